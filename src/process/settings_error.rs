//! What can be wrong with a daemon's settings.

use std::path::PathBuf;

use thiserror::Error;

/// Settings that are refused.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings: {}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The text is no YAML of the right shape; the message holds the line.
    #[error("settings: {0}")]
    Syntax(#[from] serde_yaml_ng::Error),
    /// A field is out of its range.
    #[error("settings: {field}: {value} is out of range, use {range}")]
    Range {
        /// The field.
        field: &'static str,
        /// What it holds.
        value: u64,
        /// What it may hold.
        range: &'static str,
    },
    /// The log level is none.
    #[error("settings: log_level: `{0}` is none of error, warn, info, debug and trace")]
    LogLevel(String),
    /// The platform's address is none.
    #[error("settings: platform: `{0}` is no address such as http://10.0.0.5:8500")]
    Platform(String),
}
