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
/// The exit code of a command line that makes no sense.
const EXIT_USAGE: u8 = 2;
/// How often the daemon looks whether it shall stop.
const SIGNAL_STEP: Duration = Duration::from_millis(50);

/// Declares the arguments.
pub fn declare() -> Options {
    let mut options = Options::new();
    options.optopt(
        "s",
        "settings",
        "the settings (default: all defaults)",
        "FILE",
    );
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    options.optflag("V", "version", "print the version");
    options
}

/// Runs the daemon with the command line `args`, without the program's name, until a signal asks
/// it to stop.
pub fn execute(args: &[String]) -> ExitCode {
    let options = declare();
    let matches = match options.parse(args) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return usage(&format!("`{}` is not expected", matches.free[0])),
        Err(e) => return usage(&e.to_string()),
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
        Err(e) => failed(&e),
    }
}

/// Runs a daemon until a signal asks it to stop.
fn run(settings: Settings) -> ExitCode {
    logging::init(settings.log_format, &settings.log_level);
    let asked = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(&asked)) {
            return failed(&e);
        }
    }
    let daemon = match Daemon::start(settings) {
        Ok(daemon) => daemon,
        Err(e) => return failed(&e),
    };
    while !asked.load(Ordering::SeqCst) {
        std::thread::sleep(SIGNAL_STEP);
    }
    daemon.stop();
    ExitCode::SUCCESS
}

fn failed(e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("foxtaildriftd: {e}");
    ExitCode::from(EXIT_FAILED)
}

fn usage(text: &str) -> ExitCode {
    eprintln!("foxtaildriftd: {text}; see `foxtaildriftd --help`");
    ExitCode::from(EXIT_USAGE)
}
