//! `status`: prints the status of daemons and their views of the cell.

use getopts::{Matches, Options};

use crate::cmd::command::{self, Command, CommandError};
use crate::process::status::Status;

/// Returns the subcommand.
pub fn command() -> Command {
    Command {
        name: "status",
        usage: "[OPTIONS]",
        about: "show leases, members, epochs and slice owners, as known to each daemon",
        declare,
        execute,
    }
}

fn declare(options: &mut Options) {
    command::declare_admin(options);
    command::declare_json(options);
}

fn execute(matches: &Matches) -> Result<String, CommandError> {
    let statuses = command::fetch_statuses(matches)?;
    if matches.opt_present("json") {
        return command::to_json_line(&statuses);
    }
    Ok(statuses
        .iter()
        .map(format_status)
        .collect::<Vec<_>>()
        .join("\n"))
}

/// Formats the status of one daemon as text.
fn format_status(status: &Status) -> String {
    let lease = status
        .lease_ms
        .map_or_else(|| "lapsed".to_owned(), |ms| format!("{ms} ms left"));
    let mut text = format!(
        "daemon {}: environment {}, epoch {}, configuration {}, lease {lease}\n",
        status.session, status.environment, status.epoch, status.configuration
    );
    let upstream = &status.upstream;
    text.push_str(&format!(
        "upstream: {}, {} of {} in flight, {} waiting, mean {} us\n",
        if upstream.up { "up" } else { "down" },
        upstream.in_flight,
        upstream.limit,
        upstream.waiting,
        upstream.mean_micros
    ));
    text.push_str(
        "SESSION              DOMAIN          EPOCH  STATE    PEER                   UPSTREAM\n",
    );
    for member in &status.members {
        let state = match (member.ended, member.leaving) {
            (true, _) => "ended",
            (false, true) => "leaving",
            (false, false) => "member",
        };
        let upstream = member.upstream.as_ref();
        let upstream = upstream.map_or_else(|| "-".to_owned(), |(s, a)| format!("{s} at {a}"));
        text.push_str(&format!(
            "{:<20} {:<15} {:<6} {:<8} {:<22} {}\n",
            member.session.to_string(),
            member.domain.to_string(),
            member.adopted.to_string(),
            state,
            member.peer.to_string(),
            upstream
        ));
    }
    for (service, owners) in &status.owners {
        for (session, slices) in owners {
            text.push_str(&format!("{service}: {session} owns {slices} slices\n"));
        }
    }
    text
}
