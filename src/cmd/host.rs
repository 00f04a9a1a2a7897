//! The command line of `foxtaildrift-host`, the daemon on a host of the users' platform.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use getopts::Options;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::cmd::daemon_command::DaemonCommand;
use crate::process::host::host_settings::HostSettings;
use crate::process::host::service::{HostPlatform, HostService};
use crate::process::logging;
use crate::process::settings_error::SettingsError;

/// The command line of the daemon.
const COMMAND: DaemonCommand = DaemonCommand {
    name: "foxtaildrift-host",
};
/// How often the daemon checks for signals.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the daemon until a stop signal arrives. `path` is the settings file if `args` contains
/// none, and `connect` creates the clients of the platform.
pub fn execute(
    args: &[String],
    path: Option<PathBuf>,
    connect: impl Fn(&HostSettings) -> HostPlatform,
) -> ExitCode {
    let mut options = Options::new();
    DaemonCommand::declare_settings(&mut options);
    options.optopt(
        "",
        "memory-mb",
        "the memory that the daemon may use, in MiB; takes precedence over the settings",
        "N",
    );
    DaemonCommand::declare_flags(&mut options);
    let matches = match COMMAND.parse(&options, args) {
        Ok(matches) => matches,
        Err(exit_code) => return exit_code,
    };
    // A deploy file may fill in nothing for a value that it does not know.
    let memory_mb = matches.opt_str("memory-mb").filter(|text| !text.is_empty());
    let Ok(memory_mb) = memory_mb.map(|text| text.parse()).transpose() else {
        return COMMAND.usage_error("--memory-mb: not a whole number");
    };
    let source = SettingsSource {
        path: matches.opt_str("settings").map(PathBuf::from).or(path),
        memory_mb,
    };
    match source.load() {
        Ok(_) if matches.opt_present("check") => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Ok(settings) => run(settings, &source, connect),
        Err(e) => COMMAND.report_failure(&e),
    }
}

/// Where the settings come from.
struct SettingsSource {
    /// The settings file; all defaults if there is none.
    path: Option<PathBuf>,
    /// The memory that the command line states, in MiB.
    memory_mb: Option<u64>,
}

impl SettingsSource {
    fn load(&self) -> Result<HostSettings, SettingsError> {
        let mut settings = match &self.path {
            Some(path) => HostSettings::load(path)?,
            None => HostSettings::default(),
        };
        if let Some(memory_mb) = self.memory_mb {
            settings.memory_mb = memory_mb;
            settings.validate()?;
        }
        Ok(settings)
    }
}

/// Runs a daemon until a stop signal arrives.
fn run(
    settings: HostSettings,
    source: &SettingsSource,
    connect: impl Fn(&HostSettings) -> HostPlatform,
) -> ExitCode {
    let _log = match logging::init_buffered(&settings.log_level) {
        Ok(thread) => thread,
        Err(e) => return COMMAND.report_failure(&e),
    };
    let stop_requested = Arc::new(AtomicBool::new(false));
    let reload_requested = Arc::new(AtomicBool::new(false));
    for (signal, flag) in [
        (SIGTERM, &stop_requested),
        (SIGINT, &stop_requested),
        (SIGHUP, &reload_requested),
    ] {
        if let Err(e) = signal_hook::flag::register(signal, Arc::clone(flag)) {
            return COMMAND.report_failure(&e);
        }
    }
    let platform = connect(&settings);
    let service = match HostService::start(settings.clone(), platform) {
        Ok(service) => service,
        Err(e) => return COMMAND.report_failure(&e),
    };
    while !stop_requested.load(Ordering::SeqCst) {
        std::thread::sleep(SIGNAL_POLL_INTERVAL);
        if reload_requested.swap(false, Ordering::SeqCst) {
            reload(&settings, source);
        }
    }
    service.stop();
    ExitCode::SUCCESS
}

/// Reads the settings file again and logs whether it has changed; changes take effect with the next
/// start.
fn reload(current: &HostSettings, source: &SettingsSource) {
    if source.path.is_none() {
        tracing::info!(
            event = "reload",
            changed = false,
            reason = "no settings file"
        );
        return;
    }
    match source.load() {
        Ok(settings) => {
            let changed = settings != *current;
            tracing::info!(
                event = "reload",
                changed,
                takes_effect = "with the next start"
            );
        }
        Err(e) => tracing::error!(event = "reload-refused", error = %e),
    }
}
