//! `explain`: prints where a request would go now, and why, without sending it.

use std::net::SocketAddr;
use std::str::FromStr;

use getopts::{Matches, Options};

use crate::cmd::command::{self, Command, CommandError};
use crate::process::host::explanation::{
    CandidateExplanation, Choice, DaemonDescription, DescribedRequest, RouteExplanation,
};

/// Returns the subcommand.
pub fn command() -> Command {
    Command {
        name: "explain",
        usage: "--ready ADDRESS --host HOST --path PATH [OPTIONS]",
        about: "show where a daemon would send a request now, and why, without sending it",
        declare,
        execute,
    }
}

fn declare(options: &mut Options) {
    options.optopt(
        "",
        "ready",
        "address of a daemon's readiness endpoint (foxtaildrift-host)",
        "ADDRESS",
    );
    options.optopt("", "host", "host that the request names", "HOST");
    options.optopt("", "path", "path of the request", "PATH");
    options.optopt("", "key", "shard key, 0 to 65535", "KEY");
    options.optopt(
        "",
        "domain",
        "failure domain of the caller (default: that of the daemon)",
        "DOMAIN",
    );
    options.optopt("", "body-bytes", "size of the body (default 0)", "N");
    command::declare_json(options);
}

fn execute(matches: &Matches) -> Result<String, CommandError> {
    let address: SocketAddr = required(matches, "ready")?;
    let request = DescribedRequest {
        host: required(matches, "host")?,
        path: required(matches, "path")?,
        key: optional(matches, "key")?,
        domain: optional(matches, "domain")?,
        body_bytes: optional(matches, "body-bytes")?.unwrap_or_default(),
    };
    let explanation = fetch(address, &request)?;
    if matches.opt_present("json") {
        return command::to_json_line(&explanation);
    }
    Ok(format_explanation(&explanation))
}

/// Returns the value of an option, if it is present.
fn optional<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, CommandError> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    let value = text
        .parse()
        .map_err(|_| CommandError::Usage(format!("--{name}: `{text}` is not valid")))?;
    Ok(Some(value))
}

/// Returns the value of an option that must be present.
fn required<T: FromStr>(matches: &Matches, name: &str) -> Result<T, CommandError> {
    let value = optional(matches, name)?;
    value.ok_or_else(|| CommandError::Usage(format!("--{name} is missing")))
}

/// Asks the daemon at `address`.
fn fetch(
    address: SocketAddr,
    request: &DescribedRequest,
) -> Result<RouteExplanation, CommandError> {
    let failed = |e: &dyn std::fmt::Display| {
        CommandError::Failed(format!("no explanation from the daemon at {address}: {e}"))
    };
    let body = serde_json::to_string(request).map_err(|e| failed(&e))?;
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(command::STATUS_TIMEOUT))
        .http_status_as_error(false)
        .proxy(None);
    let agent = config.build().new_agent();
    let response = agent.post(format!("http://{address}/explain")).send(body);
    let response = response.map_err(|e| failed(&e))?;
    let is_success = response.status().is_success();
    let text = response.into_body().read_to_string();
    let text = text.map_err(|e| failed(&e))?;
    if !is_success {
        return Err(failed(&text.trim_end()));
    }
    serde_json::from_str(&text).map_err(|e| failed(&e))
}

/// Formats an explanation as text.
pub fn format_explanation(explanation: &RouteExplanation) -> String {
    let mut text = format!(
        "route {} (prefix {}, priority {}, {}), routing {}, asked of {}, caller in {}\n",
        explanation.route,
        explanation.prefix,
        explanation.priority,
        if explanation.repeatable {
            "repeatable"
        } else {
            "not repeatable"
        },
        explanation.version,
        explanation.daemon,
        explanation.domain,
    );
    for target in &explanation.targets {
        text.push_str(&format!(
            "service {}, weight {}: {}",
            target.service,
            target.weight,
            format_choice(&target.choice)
        ));
    }
    text
}

fn format_choice(choice: &Choice) -> String {
    match choice {
        Choice::NoKey => "sharded, and the request has no key: refused\n".to_owned(),
        Choice::NoOwner => "sharded, and the key has no known owner now: waits\n".to_owned(),
        Choice::Owner(daemon) => {
            format!(
                "sharded, goes to the owner of the key: {}\n",
                format_daemon(daemon)
            )
        }
        Choice::Candidates(candidates) if candidates.is_empty() => {
            "no upstream takes work: waits\n".to_owned()
        }
        Choice::Candidates(candidates) => format_candidates(candidates),
    }
}

fn format_daemon(daemon: &DaemonDescription) -> String {
    let upstream = daemon.upstream.map_or("-".to_owned(), |a| a.to_string());
    format!(
        "{} at {} in {}, upstream {upstream}",
        daemon.daemon, daemon.peer, daemon.domain
    )
}

fn format_candidates(candidates: &[CandidateExplanation]) -> String {
    let mut text = String::from(
        "one upstream of the caller's domain and one of the others are chosen by share; the cheaper \
         one gets the request\n\
         WHERE   SHARE  COST MS  REPORT MS  REQUESTS  WAIT MS  RUN MS  NET MS  FAILS  DAEMON\n",
    );
    for c in candidates {
        let age = c.report_age_ms.map_or("none".to_owned(), |a| a.to_string());
        text.push_str(&format!(
            "{:<6} {:>5.1} % {:>8.1} {:>10} {:>6.1}/{:<3} {:>7.1} {:>7.1} {:>7.1} {:>4.0} % {}\n",
            if c.remote { "other" } else { "own" },
            c.share * 100.0,
            c.cost_ms,
            age,
            c.expected_requests,
            c.slots,
            c.wait_ms,
            c.run_ms,
            c.network_ms,
            c.failure_rate * 100.0,
            format_daemon(&c.at),
        ));
    }
    text
}
