//! `trial`: puts a document in force in the trial environment.

use getopts::{Matches, Options};

use crate::cmd::command::{self, Command, CommandError};
use crate::process::operations::TRIAL;

/// Returns the subcommand.
pub fn command() -> Command {
    Command {
        name: "trial",
        usage: "[OPTIONS] FILE",
        about: "put a document in force in the trial environment",
        declare,
        execute,
    }
}

fn declare(options: &mut Options) {
    command::declare_platform(options);
    command::declare_json(options);
}

fn execute(matches: &Matches) -> Result<String, CommandError> {
    let path = command::single_argument(matches, "FILE")?;
    let text = command::read_file(&path)?;
    let configuration = command::operations(matches).trial(&text)?;
    command::format_accepted(matches, TRIAL, &configuration)
}
