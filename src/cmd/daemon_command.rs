//! What the command lines of both daemons have in common.

use std::fmt;
use std::process::ExitCode;

use getopts::{Matches, Options};

/// The exit code of a daemon that could not start.
const EXIT_FAILED: u8 = 1;
/// The exit code of an invalid command line.
const EXIT_USAGE: u8 = 2;

/// The command line of a daemon.
pub(super) struct DaemonCommand {
    /// The name of the daemon's program.
    pub(super) name: &'static str,
}

impl DaemonCommand {
    /// Declares the option for the settings file.
    pub(super) fn declare_settings(options: &mut Options) {
        options.optopt(
            "s",
            "settings",
            "the settings file (default: all defaults)",
            "FILE",
        );
    }

    /// Declares the options that take no value.
    pub(super) fn declare_flags(options: &mut Options) {
        options.optflag("", "check", "validate the settings and exit");
        options.optflag("h", "help", "print this help");
        options.optflag("V", "version", "print the version");
    }

    /// Parses the command line, and prints the help or the version if it asks for one.
    ///
    /// # Errors
    ///
    /// Returns the exit code if the command line is invalid or nothing more is to be done.
    pub(super) fn parse(&self, options: &Options, args: &[String]) -> Result<Matches, ExitCode> {
        let name = self.name;
        let matches = match options.parse(args) {
            Ok(matches) => matches,
            Err(e) => return Err(self.usage_error(&e.to_string())),
        };
        if let Some(argument) = matches.free.first() {
            return Err(self.usage_error(&format!("unexpected argument `{argument}`")));
        }
        if matches.opt_present("help") {
            print!("{}", options.usage(&format!("Usage: {name} [OPTIONS]")));
            return Err(ExitCode::SUCCESS);
        }
        if matches.opt_present("version") {
            println!("{name} {}", env!("CARGO_PKG_VERSION"));
            return Err(ExitCode::SUCCESS);
        }
        Ok(matches)
    }

    /// Prints an error and returns the exit code of a failure.
    pub(super) fn report_failure(&self, e: &dyn fmt::Display) -> ExitCode {
        eprintln!("{}: {e}", self.name);
        ExitCode::from(EXIT_FAILED)
    }

    /// Prints a usage error and returns its exit code.
    pub(super) fn usage_error(&self, text: &str) -> ExitCode {
        let name = self.name;
        eprintln!("{name}: {text}; see `{name} --help`");
        ExitCode::from(EXIT_USAGE)
    }
}
