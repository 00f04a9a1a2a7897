//! Processes that an environment starts.

use std::fs;
use std::io;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

/// Selects which output of a process its log receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Standard error; standard output is discarded.
    Errors,
    /// Standard output and standard error.
    All,
}

/// Starts `program` with `args`, and appends its `output` to the file `log`.
///
/// # Errors
///
/// Returns an error if the log can't be opened or the process can't be started.
pub fn spawn(program: &Path, args: &[&str], output: Output, log: &Path) -> io::Result<Child> {
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let stdout = match output {
        Output::Errors => Stdio::null(),
        Output::All => Stdio::from(log.try_clone()?),
    };
    let mut command = Command::new(program);
    command
        .args(args)
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(log);
    command.spawn()
}

/// Returns whether a process is running, and clears it if it has ended.
pub fn is_running(process: &mut Option<Child>) -> bool {
    let ended = process
        .as_mut()
        .is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))));
    if ended {
        *process = None;
    }
    process.is_some()
}

/// Sends a signal to a process.
///
/// # Errors
///
/// Returns an error if the signal can't be sent.
pub fn signal(process: &Child, signal: Signal) -> io::Result<()> {
    let pid = i32::try_from(process.id()).ok().and_then(Pid::from_raw);
    let pid = pid.ok_or(io::ErrorKind::InvalidInput)?;
    Ok(kill_process(pid, signal)?)
}

/// Kills a process, waits for its exit and clears it.
pub fn kill_and_wait(process: &mut Option<Child>) {
    if let Some(mut process) = process.take() {
        // It fails if the process has ended by itself.
        let _ = process.kill();
        let _ = process.wait();
    }
}
