//! What all subcommands share: arguments, exit codes, and the table of subcommands.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use getopts::{Matches, Options};
use thiserror::Error;

use crate::cmd::{burn, check, drain, history, promote, show, status, trial};
use crate::process::clock::SystemClock;
use crate::process::http_platform::HttpPlatform;
use crate::process::operations::{OperationError, Operations, PRODUCTION};
use crate::process::settings::Settings;
use crate::process::status::Status;
use crate::version::configuration::Configuration;

/// The exit code of a command that was refused or failed.
const EXIT_FAILED: u8 = 1;
/// The exit code of a command line that makes no sense.
const EXIT_USAGE: u8 = 2;
/// The exit code of an operator who lost a race.
const EXIT_LOST: u8 = 3;
/// The exit code of a change that may or may not be in force.
const EXIT_IN_DOUBT: u8 = 4;
/// How long a daemon may take to tell its state.
const STATUS_TIME: Duration = Duration::from_secs(3);

/// A command that did not do what was asked.
#[derive(Debug, Error)]
pub enum CommandError {
    /// The command line makes no sense.
    #[error("{0}")]
    Usage(String),
    /// The command was refused or failed.
    #[error("{0}")]
    Failed(String),
    /// Another operator was first.
    #[error("{0}")]
    Conflict(String),
    /// The change may or may not be in force.
    #[error("{0}")]
    InDoubt(String),
}

impl CommandError {
    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Usage(_) => EXIT_USAGE,
            CommandError::Failed(_) => EXIT_FAILED,
            CommandError::Conflict(_) => EXIT_LOST,
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

/// A subcommand.
pub struct Command {
    /// Its name.
    pub name: &'static str,
    /// What stands behind it on the command line.
    pub usage: &'static str,
    /// What it does, in one line.
    pub about: &'static str,
    /// Declares its arguments.
    pub declare: fn(&mut Options),
    /// Executes it and returns what it prints.
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
    ]
}

/// Runs the operators' command line `args`, without the program's name.
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
        eprintln!("foxtaildrift: `{name}` is no command; see `foxtaildrift --help`");
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
/// Returns an error where the arguments make no sense or the command fails.
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

/// Returns the help text of the whole command.
pub fn help() -> String {
    let mut text = String::from(
        "Operates foxtaildrift, a router for servers that own keys exclusively.\n\n\
         Usage: foxtaildrift COMMAND [OPTIONS]\n\nCommands:\n",
    );
    for command in commands() {
        text.push_str(&format!("    {:<10}{}\n", command.name, command.about));
    }
    text.push_str(
        "\nExit codes: 0 done, 1 failed or refused, 2 bad arguments, 3 lost a race, 4 in doubt\n",
    );
    text
}

/// Declares the option that names the platform.
pub fn declare_platform(options: &mut Options) {
    options.optopt(
        "p",
        "platform",
        "the platform (default http://127.0.0.1:8500)",
        "URL",
    );
}

/// Declares the option that names the environment.
pub fn declare_environment(options: &mut Options) {
    options.optopt(
        "e",
        "environment",
        "the environment (default production)",
        "NAME",
    );
}

/// Declares the option that asks for JSON.
pub fn declare_json(options: &mut Options) {
    options.optflag("", "json", "print JSON");
}

/// Declares the options that name an environment's configuration in the platform.
pub fn declare_configuration(options: &mut Options) {
    declare_platform(options);
    declare_environment(options);
    declare_json(options);
}

/// Declares the option that names a daemon's administration API.
pub fn declare_admin(options: &mut Options) {
    let text = "a daemon's administration API (default 127.0.0.1:9400); may be repeated";
    options.optmulti("a", "admin", text, "ADDRESS");
}

/// Returns operations on the platform that the arguments name.
pub fn operations(matches: &Matches) -> Operations {
    let base = matches
        .opt_str("platform")
        .unwrap_or_else(|| Settings::default().platform);
    Operations::new(Arc::new(HttpPlatform::new(&base)), Arc::new(SystemClock))
}

/// Returns the environment that the arguments name.
pub fn environment(matches: &Matches) -> String {
    matches
        .opt_str("environment")
        .unwrap_or_else(|| PRODUCTION.to_owned())
}

/// Returns the only free argument.
///
/// # Errors
///
/// Returns an error where there is none or more than one.
pub fn single_argument(matches: &Matches, what: &str) -> Result<String, CommandError> {
    match matches.free.as_slice() {
        [one] => Ok(one.clone()),
        _ => Err(CommandError::Usage(format!(
            "one argument is expected: {what}"
        ))),
    }
}

/// Reads a document's file.
///
/// # Errors
///
/// Returns an error where the file can't be read.
pub fn read_file(path: &str) -> Result<String, CommandError> {
    let read = std::fs::read_to_string(Path::new(path));
    read.map_err(|e| CommandError::Failed(format!("{path}: {e}")))
}

/// Asks the daemons that the arguments name for their state.
///
/// # Errors
///
/// Returns an error where an address is none or a daemon does not answer well.
pub fn fetch_statuses(matches: &Matches) -> Result<Vec<Status>, CommandError> {
    let mut named = matches.opt_strs("admin");
    if named.is_empty() {
        named.push(Settings::default().admin.to_string());
    }
    named.iter().map(|text| fetch_status(text)).collect()
}

fn fetch_status(text: &str) -> Result<Status, CommandError> {
    let address: SocketAddr = text.parse().map_err(|_| {
        CommandError::Usage(format!(
            "--admin: `{text}` is no address such as 10.0.0.5:9400"
        ))
    })?;
    let failed = |e: &dyn std::fmt::Display| {
        CommandError::Failed(format!("the daemon at {address} does not answer: {e}"))
    };
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(STATUS_TIME))
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

/// Returns the line that tells of an accepted change, as text or JSON.
///
/// # Errors
///
/// Returns an error where the encoder fails.
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

/// Returns `value` as a line of JSON.
///
/// # Errors
///
/// Returns an error where the encoder fails.
pub fn to_json_line(value: &impl serde::Serialize) -> Result<String, CommandError> {
    let text = serde_json::to_string(value).map_err(|e| CommandError::Failed(e.to_string()))?;
    Ok(text + "\n")
}
