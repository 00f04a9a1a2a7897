//! `drain` and `return`: take a failure domain or an upstream out of use, and bring it back.

use getopts::{Matches, Options};

use crate::cmd::command::{self, Command, CommandError};
use crate::process::operations::Target;

/// Returns the subcommand that takes out of use.
pub fn drain_command() -> Command {
    Command {
        name: "drain",
        usage: "[OPTIONS] (--domain NAME | --upstream ADDRESS)",
        about: "give a failure domain or an upstream no new work",
        declare,
        execute: drain,
    }
}

/// Returns the subcommand that brings back into use.
pub fn return_command() -> Command {
    Command {
        name: "return",
        usage: "[OPTIONS] (--domain NAME | --upstream ADDRESS)",
        about: "bring a drained failure domain or upstream back",
        declare,
        execute: undrain,
    }
}

fn declare(options: &mut Options) {
    command::declare_configuration(options);
    options.optopt("d", "domain", "the failure domain", "NAME");
    options.optopt("u", "upstream", "the upstream", "ADDRESS");
}

fn drain(matches: &Matches) -> Result<String, CommandError> {
    let environment = command::environment(matches);
    let changed = command::operations(matches).drain(&environment, &target(matches)?)?;
    command::format_accepted(matches, &environment, &changed)
}

fn undrain(matches: &Matches) -> Result<String, CommandError> {
    let environment = command::environment(matches);
    let changed = command::operations(matches).undrain(&environment, &target(matches)?)?;
    command::format_accepted(matches, &environment, &changed)
}

fn target(matches: &Matches) -> Result<Target, CommandError> {
    match (matches.opt_str("domain"), matches.opt_str("upstream")) {
        (Some(domain), None) => {
            let name = domain
                .parse()
                .map_err(|e| CommandError::Usage(format!("--domain: {e}")))?;
            Ok(Target::Domain(name))
        }
        (None, Some(upstream)) => {
            let address = upstream.parse().map_err(|_| {
                let text = format!("--upstream: `{upstream}` is no address such as 10.0.0.5:80");
                CommandError::Usage(text)
            })?;
            Ok(Target::Upstream(address))
        }
        _ => Err(CommandError::Usage(
            "give either --domain or --upstream".to_owned(),
        )),
    }
}
