//! Structured logs.

use std::io;

use serde::{Deserialize, Serialize};
use tracing_subscriber::EnvFilter;

use crate::process::log_buffer::{LogBuffer, LogThread};

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// One line of text an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

/// Starts to log to standard error; a second call has no effect.
pub fn init(format: LogFormat, level: &str) {
    // Libraries only speak up when something is wrong.
    let filter = EnvFilter::new(format!("warn,foxtaildrift={level}"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}

/// Starts to log to standard output, as one JSON object a line; the lines that wait are written
/// when the returned thread is dropped.
///
/// # Errors
///
/// Returns an error where no thread can be started.
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
