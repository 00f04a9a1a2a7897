//! The command line of the daemon beside an upstream of a platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use getopts::Options;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::process::host::host_settings::HostSettings;
use crate::process::host::service::{HostPlatform, HostService};
use crate::process::logging;

/// The exit code of a daemon that could not start.
const EXIT_FAILED: u8 = 1;
/// The exit code of a command line that makes no sense.
const EXIT_USAGE: u8 = 2;
/// How often the daemon looks whether a signal came.
const SIGNAL_STEP: Duration = Duration::from_millis(100);

/// Runs the daemon until a signal asks it to stop; `path` is used where the arguments name no
/// settings, and `connect` tells how the platform is spoken with.
pub fn execute(
    args: &[String],
    path: Option<PathBuf>,
    connect: impl Fn(&HostSettings) -> HostPlatform,
) -> ExitCode {
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
    let matches = match options.parse(args) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return usage(&format!("`{}` is not expected", matches.free[0])),
        Err(e) => return usage(&e.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: foxtaildrift-host [OPTIONS]"));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("foxtaildrift-host {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let path = matches.opt_str("settings").map(PathBuf::from).or(path);
    let settings = match &path {
        Some(path) => HostSettings::load(path),
        None => HostSettings::parse(""),
    };
    match settings {
        Ok(_) if matches.opt_present("check") => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => run(settings, path, connect),
        Err(e) => failed(&e),
    }
}

/// Runs a daemon until a signal asks it to stop.
fn run(
    settings: HostSettings,
    path: Option<PathBuf>,
    connect: impl Fn(&HostSettings) -> HostPlatform,
) -> ExitCode {
    let _log = match logging::init_buffered(&settings.log_level) {
        Ok(thread) => thread,
        Err(e) => return failed(&e),
    };
    let asked = Arc::new(AtomicBool::new(false));
    let changed = Arc::new(AtomicBool::new(false));
    for (signal, flag) in [(SIGTERM, &asked), (SIGINT, &asked), (SIGHUP, &changed)] {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(flag)) {
            return failed(&e);
        }
    }
    let platform = connect(&settings);
    let service = match HostService::start(settings.clone(), platform) {
        Ok(service) => service,
        Err(e) => return failed(&e),
    };
    while !asked.load(Ordering::SeqCst) {
        std::thread::sleep(SIGNAL_STEP);
        if changed.swap(false, Ordering::SeqCst) {
            reload(&settings, path.as_ref());
        }
    }
    service.stop();
    ExitCode::SUCCESS
}

/// Looks at the settings again; what changed takes effect with the next start.
fn reload(present: &HostSettings, path: Option<&PathBuf>) {
    let Some(path) = path else {
        tracing::info!(
            event = "reload",
            changed = false,
            reason = "no settings file"
        );
        return;
    };
    match HostSettings::load(path) {
        Ok(settings) => {
            let changed = settings != *present;
            tracing::info!(
                event = "reload",
                changed,
                takes_effect = "with the next start"
            );
        }
        Err(e) => tracing::error!(event = "reload-refused", error = %e),
    }
}

fn failed(e: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("foxtaildrift-host: {e}");
    ExitCode::from(EXIT_FAILED)
}

fn usage(text: &str) -> ExitCode {
    eprintln!("foxtaildrift-host: {text}; see `foxtaildrift-host --help`");
    ExitCode::from(EXIT_USAGE)
}
