//! `check`: validates a document or a daemon's settings without changing anything.

use getopts::{Matches, Options};

use crate::cmd::command::{self, Command, CommandError};
use crate::process::settings::Settings;
use crate::version::document::Document;

/// Returns the subcommand.
pub fn command() -> Command {
    Command {
        name: "check",
        usage: "[--settings] FILE",
        about: "validate a document, or a daemon's settings",
        declare,
        execute,
    }
}

fn declare(options: &mut Options) {
    options.optflag("s", "settings", "the file contains a daemon's settings");
}

fn execute(matches: &Matches) -> Result<String, CommandError> {
    let path = command::single_argument(matches, "FILE")?;
    let text = command::read_file(&path)?;
    let failed = |e: &dyn std::fmt::Display| CommandError::Failed(format!("{path}: {e}"));
    if matches.opt_present("settings") {
        Settings::parse(&text).map_err(|e| failed(&e))?;
        return Ok(format!("{path}: the settings are valid\n"));
    }
    let document = Document::parse(&text).map_err(|e| failed(&e))?;
    let digest = Document::digest(&text);
    Ok(format!(
        "{path}: valid, {} services, digest {digest}\n",
        document.services.len()
    ))
}
