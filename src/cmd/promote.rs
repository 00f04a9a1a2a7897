//! `promote`: puts a tried document in force in production, byte for byte.

use getopts::{Matches, Options};

use crate::cmd::command::{self, Command, CommandError};
use crate::process::operations::PRODUCTION;
use crate::version::digest::Digest;

/// Returns the subcommand.
pub fn command() -> Command {
    Command {
        name: "promote",
        usage: "[OPTIONS] DIGEST",
        about: "put a tried document in force in production",
        declare,
        execute,
    }
}

fn declare(options: &mut Options) {
    command::declare_platform(options);
    command::declare_json(options);
}

fn execute(matches: &Matches) -> Result<String, CommandError> {
    let text = command::single_argument(matches, "DIGEST")?;
    let digest: Digest = text
        .parse()
        .map_err(|e| CommandError::Usage(format!("{e}")))?;
    let configuration = command::operations(matches).promote(&digest)?;
    command::format_accepted(matches, PRODUCTION, &configuration)
}
