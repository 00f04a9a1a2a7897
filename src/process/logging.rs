//! Sets up structured logging.

use std::io;

use serde::{Deserialize, Serialize};
use tracing_subscriber::EnvFilter;

use crate::process::log_buffer::{LogBuffer, LogThread};

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text per event.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// Starts logging to standard error; a second call has no effect.
pub fn init(format: LogFormat, level: &str) {
    // Other crates log only warnings and errors.
    let filter = EnvFilter::new(format!("warn,foxtaildrift={level}"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Starts logging to standard output, one JSON object per line, through a bounded buffer. Dropping
/// the returned thread writes the lines that are still in the buffer.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn init_buffered(level: &str) -> io::Result<LogThread> {
    let filter = EnvFilter::new(format!("warn,foxtaildrift={level}"));
    let buffer = LogBuffer::default();
    let thread = buffer.start(io::stdout())?;
    let builder = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(buffer);
    // A second call has no effect.
    let _ = builder.try_init();
    Ok(thread)
}
