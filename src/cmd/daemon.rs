//! The command line of `foxtaildriftd`.

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use getopts::Options;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::process::daemon::Daemon;
use crate::process::logging;
use crate::process::settings::Settings;

/// The exit code of a daemon that could not start.
const EXIT_FAILED: u8 = 1;
/// The exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;
/// How often the daemon checks for a stop signal.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Declares the options of the command line.
pub fn declare() -> Options {
    let mut options = Options::new();
    options.optopt(
        "s",
        "settings",
        "the settings file (default: all defaults)",
        "FILE",
    );
    options.optflag("", "check", "validate the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Runs the daemon until a stop signal arrives. The command line `args` does not include the
/// program's name.
pub fn execute(args: &[String]) -> ExitCode {
    let options = declare();
    let matches = match options.parse(args) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return usage_error(&format!("unexpected argument `{}`", matches.free[0])),
        Err(e) => return usage_error(&e.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: foxtaildriftd [OPTIONS]"));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("foxtaildriftd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
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
        Err(e) => report_failure(&e),
    }
}

/// Runs a daemon until a stop signal arrives.
fn run(settings: Settings) -> ExitCode {
    logging::init(settings.log_format, &settings.log_level);
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&stop_requested)) {
            return report_failure(&e);
        }
    }
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(e) => return report_failure(&e),
    };
    while !stop_requested.load(Ordering::SeqCst) {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
    }
    daemon.stop();
    ExitCode::SUCCESS
}

/// Prints an error and returns the exit code of a failure.
fn report_failure(e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("foxtaildriftd: {e}");
    ExitCode::from(EXIT_FAILED)
}

/// Prints a usage error and returns its exit code.
fn usage_error(text: &str) -> ExitCode {
    eprintln!("foxtaildriftd: {text}; see `foxtaildriftd --help`");
    ExitCode::from(EXIT_USAGE)
}
