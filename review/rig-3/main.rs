//! Stand-ins and cases of the third review: `rig-3 CASE FOLDER`, run in the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` the
//! disruption is left out.

mod backend;
mod changed_weights;
mod crashing_request;
mod deployment;
mod http;
mod json;
mod lost_departure;
mod record;
mod slow_backend;
mod slow_readers;
mod store;
mod sys;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (case, folder) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            println!("no record: {e}");
            return ExitCode::from(2);
        }
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let verdict = match case.as_str() {
        "changed-weights" => changed_weights::run(trouble, &record),
        "crashing-request" => crashing_request::run(trouble, &record),
        "lost-departure" => lost_departure::run(trouble, &record),
        "slow-backend" => slow_backend::run(trouble, &record),
        "slow-readers" => slow_readers::run(trouble, &record),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
