//! The operators' command line: its subcommands, their common options, and the exit codes.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use getopts::{Matches, Options};
use thiserror::Error;

use crate::cmd::{burn, check, drain, explain, history, promote, show, status, trial};
use crate::process::clock::SystemClock;
use crate::process::http_platform::HttpPlatform;
use crate::process::operations::{OperationError, Operations, PRODUCTION};
use crate::process::settings::Settings;
use crate::process::status::Status;
use crate::version::configuration::Configuration;

/// The exit code of a command that failed or was refused.
const EXIT_FAILED: u8 = 1;
/// The exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;
/// The exit code of a change that conflicts with another operator's change.
const EXIT_CONFLICT: u8 = 3;
/// The exit code of a change that may or may not be in force.
const EXIT_IN_DOUBT: u8 = 4;
/// The timeout of a request to a daemon.
pub(super) const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line is invalid.
    #[error("{0}")]
    Usage(String),
    /// The command failed or was refused.
    #[error("{0}")]
    Failed(String),
    /// Another operator changed the configuration first.
    #[error("{0}")]
    Conflict(String),
    /// The change may or may not be in force.
    #[error("{0}")]
    InDoubt(String),
}

impl CommandError {
    /// Returns the exit code of the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Usage(_) => EXIT_USAGE,
            CommandError::Failed(_) => EXIT_FAILED,
            CommandError::Conflict(_) => EXIT_CONFLICT,
            CommandError::InDoubt(_) => EXIT_IN_DOUBT,
        }
    }
}

impl From<OperationError> for CommandError {
    fn from(e: OperationError) -> Self {
        match e {
            OperationError::Conflict { .. } => CommandError::Conflict(e.to_string()),
            OperationError::InDoubt { .. } => CommandError::InDoubt(e.to_string()),
            _ => CommandError::Failed(e.to_string()),
        }
    }
}

/// A subcommand of the operators' command line.
pub struct Command {
    /// The name on the command line.
    pub name: &'static str,
    /// The arguments, as the help text shows them.
    pub usage: &'static str,
    /// The description in the help text, one line.
    pub about: &'static str,
    /// Declares the options.
    pub declare: fn(&mut Options),
    /// Executes the command and returns its output.
    pub execute: fn(&Matches) -> Result<String, CommandError>,
}

/// Returns all subcommands, in the order of the help text.
pub fn commands() -> Vec<Command> {
    vec![
        check::command(),
        trial::command(),
        promote::command(),
        show::command(),
        history::command(),
        status::command(),
        drain::drain_command(),
        drain::return_command(),
        burn::command(),
        explain::command(),
    ]
}

/// Runs the command line `args`, which does not include the program's name.
pub fn run(args: &[String]) -> ExitCode {
    let Some((name, rest)) = args.split_first() else {
        eprint!("{}", help());
        return ExitCode::from(EXIT_USAGE);
    };
    if matches!(name.as_str(), "--help" | "-h" | "help") {
        print!("{}", help());
        return ExitCode::SUCCESS;
    }
    if matches!(name.as_str(), "--version" | "-V") {
        println!("foxtaildrift {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = commands().into_iter().find(|c| c.name == name) else {
        eprintln!("foxtaildrift: unknown command `{name}`; see `foxtaildrift --help`");
        return ExitCode::from(EXIT_USAGE);
    };
    match execute(&command, rest) {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("foxtaildrift {name}: {e}");
            ExitCode::from(e.exit_code())
        }
    }
}

/// Parses the arguments of one subcommand and executes it.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or the command fails.
pub fn execute(command: &Command, args: &[String]) -> Result<String, CommandError> {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    (command.declare)(&mut options);
    let matches = options
        .parse(args)
        .map_err(|e| CommandError::Usage(e.to_string()))?;
    if matches.opt_present("help") {
        let brief = format!(
            "{}\n\nUsage: foxtaildrift {} {}",
            command.about, command.name, command.usage
        );
        return Ok(options.usage(&brief));
    }
    (command.execute)(&matches)
}

/// Returns the help text that lists all subcommands.
pub fn help() -> String {
    let mut text = String::from(
        "Operates foxtaildrift, a router for servers that own keys exclusively.\n\n\
         Usage: foxtaildrift COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for command in commands() {
        text.push_str(&format!("    {:<10}{}\n", command.name, command.about));
    }
    text.push_str(
        "\nExit codes: 0 done, 1 failed or refused, 2 bad arguments, 3 conflict, 4 in doubt\n",
    );
    text
}

/// Declares the option for the URL of the platform.
pub fn declare_platform(options: &mut Options) {
    options.optopt(
        "p",
        "platform",
        "URL of the platform (default http://127.0.0.1:8500)",
        "URL",
    );
}

/// Declares the option for the name of the environment.
pub fn declare_environment(options: &mut Options) {
    options.optopt(
        "e",
        "environment",
        "name of the environment (default production)",
        "NAME",
    );
}

/// Declares the option for JSON output.
pub fn declare_json(options: &mut Options) {
    options.optflag("", "json", "print JSON");
}

/// Declares the options of commands that read or change the configuration of an environment.
pub fn declare_configuration(options: &mut Options) {
    declare_platform(options);
    declare_environment(options);
    declare_json(options);
}

/// Declares the option for the addresses of daemons' administration APIs.
pub fn declare_admin(options: &mut Options) {
    let description =
        "address of a daemon's administration API (default 127.0.0.1:9400); may be repeated";
    options.optmulti("a", "admin", description, "ADDRESS");
}

/// Returns the operations on the platform that the arguments select.
pub fn operations(matches: &Matches) -> Operations {
    let base_url = matches
        .opt_str("platform")
        .unwrap_or_else(|| Settings::default().platform);
    Operations::new(
        Arc::new(HttpPlatform::new(&base_url)),
        Arc::new(SystemClock),
    )
}

/// Returns the environment that the arguments select.
pub fn environment(matches: &Matches) -> String {
    matches
        .opt_str("environment")
        .unwrap_or_else(|| PRODUCTION.to_owned())
}

/// Returns the only positional argument; `name` describes it in the error message.
///
/// # Errors
///
/// Returns an error if there is none or more than one.
pub fn single_argument(matches: &Matches, name: &str) -> Result<String, CommandError> {
    match matches.free.as_slice() {
        [one] => Ok(one.clone()),
        _ => Err(CommandError::Usage(format!(
            "exactly one argument is expected: {name}"
        ))),
    }
}

/// Reads a text file.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub fn read_file(path: &str) -> Result<String, CommandError> {
    let read = std::fs::read_to_string(Path::new(path));
    read.map_err(|e| CommandError::Failed(format!("{path}: {e}")))
}

/// Fetches the status of each daemon that the arguments select.
///
/// # Errors
///
/// Returns an error if an address is invalid or a daemon returns no valid status.
pub fn fetch_statuses(matches: &Matches) -> Result<Vec<Status>, CommandError> {
    let mut addresses = matches.opt_strs("admin");
    if addresses.is_empty() {
        addresses.push(Settings::default().admin.to_string());
    }
    addresses.iter().map(|text| fetch_status(text)).collect()
}

fn fetch_status(text: &str) -> Result<Status, CommandError> {
    let address: SocketAddr = text.parse().map_err(|_| {
        CommandError::Usage(format!(
            "--admin: `{text}` is not an address such as 10.0.0.5:9400"
        ))
    })?;
    let failed = |e: &dyn std::fmt::Display| {
        CommandError::Failed(format!(
            "cannot get the status of the daemon at {address}: {e}"
        ))
    };
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(STATUS_TIMEOUT))
        .proxy(None);
    let response = config
        .build()
        .new_agent()
        .get(format!("http://{address}/v1/status"))
        .call();
    let text = response
        .map_err(|e| failed(&e))?
        .into_body()
        .read_to_string();
    let text = text.map_err(|e| failed(&e))?;
    serde_json::from_str(&text).map_err(|e| failed(&e))
}

/// Formats the confirmation of an accepted change, as a line of text or JSON.
///
/// # Errors
///
/// Returns an error if the encoder fails.
pub fn format_accepted(
    matches: &Matches,
    environment: &str,
    configuration: &Configuration,
) -> Result<String, CommandError> {
    let Configuration {
        version, digest, ..
    } = configuration;
    if matches.opt_present("json") {
        let value = serde_json::json!({
            "environment": environment, "version": version, "digest": digest,
        });
        return Ok(format!("{value}\n"));
    }
    Ok(format!(
        "accepted: {environment} is at version {version}, document {digest}\n"
    ))
}

/// Serializes `value` as a line of JSON.
///
/// # Errors
///
/// Returns an error if the encoder fails.
pub fn to_json_line(value: &impl serde::Serialize) -> Result<String, CommandError> {
    let text = serde_json::to_string(value).map_err(|e| CommandError::Failed(e.to_string()))?;
    Ok(text + "\n")
}
