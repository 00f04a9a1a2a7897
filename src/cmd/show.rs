//! `show`: prints the configuration of an environment, as stored in the platform.

use getopts::Matches;

use crate::cmd::command::{self, Command, CommandError};

/// Returns the subcommand.
pub fn command() -> Command {
    Command {
        name: "show",
        usage: "[OPTIONS]",
        about: "show the configuration of an environment",
        declare: command::declare_configuration,
        execute,
    }
}

fn execute(matches: &Matches) -> Result<String, CommandError> {
    let environment = command::environment(matches);
    let configuration = command::operations(matches).configuration(&environment)?;
    if matches.opt_present("json") {
        return command::to_json_line(&configuration);
    }
    let mut text = format!(
        "environment {environment}, version {}, document {}\n",
        configuration.version, configuration.digest
    );
    for domain in &configuration.drained_domains {
        text.push_str(&format!("drained: failure domain {domain}\n"));
    }
    for upstream in &configuration.drained_upstreams {
        text.push_str(&format!("drained: upstream {upstream}\n"));
    }
    text.push_str("---\n");
    text.push_str(&configuration.text);
    Ok(text)
}
