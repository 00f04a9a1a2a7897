//! `drain` and `return`: drain a failure domain or an upstream, and undrain it.

use getopts::{Matches, Options};

use crate::cmd::command::{self, Command, CommandError};
use crate::process::operations::DrainTarget;

/// Returns the `drain` subcommand.
pub fn drain_command() -> Command {
    Command {
        name: "drain",
        usage: "[OPTIONS] (--domain NAME | --upstream ADDRESS)",
        about: "drain a failure domain or an upstream, so that it gets no new requests",
        declare,
        execute: drain,
    }
}

/// Returns the `return` subcommand.
pub fn return_command() -> Command {
    Command {
        name: "return",
        usage: "[OPTIONS] (--domain NAME | --upstream ADDRESS)",
        about: "undrain a failure domain or an upstream",
        declare,
        execute: undrain,
    }
}

fn declare(options: &mut Options) {
    command::declare_configuration(options);
    options.optopt("d", "domain", "name of the failure domain", "NAME");
    options.optopt("u", "upstream", "address of the upstream", "ADDRESS");
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

fn target(matches: &Matches) -> Result<DrainTarget, CommandError> {
    match (matches.opt_str("domain"), matches.opt_str("upstream")) {
        (Some(domain), None) => {
            let name = domain
                .parse()
                .map_err(|e| CommandError::Usage(format!("--domain: {e}")))?;
            Ok(DrainTarget::Domain(name))
        }
        (None, Some(upstream)) => {
            let address = upstream.parse().map_err(|_| {
                let message =
                    format!("--upstream: `{upstream}` is not an address such as 10.0.0.5:80");
                CommandError::Usage(message)
            })?;
            Ok(DrainTarget::Upstream(address))
        }
        _ => Err(CommandError::Usage(
            "exactly one of --domain and --upstream is expected".to_owned(),
        )),
    }
}
