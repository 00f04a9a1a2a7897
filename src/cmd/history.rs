//! `history`: prints the latest changes of the configuration of an environment.

use getopts::Matches;

use crate::cmd::command::{self, Command, CommandError};

/// Returns the subcommand.
pub fn command() -> Command {
    Command {
        name: "history",
        usage: "[OPTIONS]",
        about: "show the latest changes of a configuration",
        declare: command::declare_configuration,
        execute,
    }
}

fn execute(matches: &Matches) -> Result<String, CommandError> {
    let environment = command::environment(matches);
    let configuration = command::operations(matches).configuration(&environment)?;
    if matches.opt_present("json") {
        return command::to_json_line(&configuration.history);
    }
    let mut text = String::from("VERSION  AT (ms since 1970)  ACTION\n");
    for change in &configuration.history {
        text.push_str(&format!(
            "{:<8} {:<19}  {}\n",
            change.version, change.at, change.action
        ));
    }
    Ok(text)
}
