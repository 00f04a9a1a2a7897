//! Errors in a daemon's settings.

use std::path::PathBuf;

use thiserror::Error;

/// Why settings are invalid.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings: {}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The YAML is malformed or has an unknown or mistyped field; the message contains the line.
    #[error("settings: {0}")]
    Syntax(#[from] serde_yaml_ng::Error),
    /// A field is out of its range.
    #[error("settings: {field}: {value} is out of range, use {range}")]
    Range {
        /// The name of the field.
        field: &'static str,
        /// The value that was given.
        value: u64,
        /// The values that are allowed.
        range: &'static str,
    },
    /// The log level is unknown.
    #[error("settings: log_level: `{0}` is not one of error, warn, info, debug, trace")]
    LogLevel(String),
    /// The platform's URL is invalid.
    #[error("settings: platform: `{0}` is not a URL such as http://10.0.0.5:8500")]
    Platform(String),
}
