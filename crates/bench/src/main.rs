//! Command line of the bench: runs a stand-in, a daemon or an experiment.

use std::process::ExitCode;

use foxtaildrift_bench::args::BenchError;
use foxtaildrift_bench::{
    explore, platform_stand_in, ranged_upstream, runs, soak, store_return, store_stand_in,
    upstream_stand_in,
};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = args.split_first() else {
        eprintln!("usage: foxtaildrift-bench COMMAND; see docs/PROOF.md");
        return ExitCode::from(2);
    };
    let result = match name.as_str() {
        "platform" => platform_stand_in::run(rest),
        "upstream" => upstream_stand_in::run(rest),
        "daemon" => return foxtaildrift::cmd::daemon::execute(rest),
        "host" => {
            return foxtaildrift::cmd::host::execute(rest, None, foxtaildrift_platform::connect);
        }
        "store" => store_stand_in::run(rest),
        "ranged-upstream" => ranged_upstream::run(rest),
        "explore" => explore::run(rest),
        "soak" => soak::run(rest),
        "store-return" => store_return::run(rest),
        _ => match runs::RUNS.iter().find(|(n, _)| n == name) {
            Some((_, run)) => run(rest),
            None => Err(BenchError(format!("unknown command `{name}`"))),
        },
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("foxtaildrift-bench {name}: {e}");
            ExitCode::FAILURE
        }
    }
}
