//! Structured logs.

use serde::{Deserialize, Serialize};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

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
pub fn start(format: LogFormat, level: &str) {
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

/// How many lines may wait to be written; further ones are dropped and counted.
const LINES_MAX: usize = 2048;

/// Starts to log to standard output, as one JSON object a line, from a thread of its own: a slow
/// reader loses lines and never stops the process. The lines that wait are written when the
/// returned guard is dropped.
pub fn start_bounded(level: &str) -> WorkerGuard {
    let filter = EnvFilter::new(format!("warn,foxtaildrift={level}"));
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES_MAX)
        .lossy(true)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer);
    // A second call has no effect.
    let _ = builder.try_init();
    guard
}
