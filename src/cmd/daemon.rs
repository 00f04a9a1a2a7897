//! The command line of `foxtaildriftd`.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use getopts::Options;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::cmd::daemon_command::DaemonCommand;
use crate::process::daemon::Daemon;
use crate::process::logging;
use crate::process::settings::Settings;

/// The command line of the daemon.
const COMMAND: DaemonCommand = DaemonCommand {
    name: "foxtaildriftd",
};
/// How often the daemon checks for a stop signal.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Declares the options of the command line.
pub fn declare() -> Options {
    let mut options = Options::new();
    DaemonCommand::declare_settings(&mut options);
    DaemonCommand::declare_flags(&mut options);
    options
}

/// Runs the daemon until a stop signal arrives. The command line `args` does not include the
/// program's name.
pub fn execute(args: &[String]) -> ExitCode {
    let options = declare();
    let matches = match COMMAND.parse(&options, args) {
        Ok(matches) => matches,
        Err(exit_code) => return exit_code,
    };
    let settings = match matches.opt_str("settings") {
        Some(path) => Settings::load(Path::new(&path)),
        None => Settings::parse(""),
    };
    match settings {
        Ok(_) if matches.opt_present("check") => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => run(settings),
        Err(e) => COMMAND.report_failure(&e),
    }
}

/// Runs a daemon until a stop signal arrives.
fn run(settings: Settings) -> ExitCode {
    logging::init(settings.log_format, &settings.log_level);
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&stop_requested)) {
            return COMMAND.report_failure(&e);
        }
    }
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(e) => return COMMAND.report_failure(&e),
    };
    while !stop_requested.load(Ordering::SeqCst) {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    daemon.stop();
    ExitCode::SUCCESS
}
