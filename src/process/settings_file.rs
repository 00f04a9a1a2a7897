//! What the settings files of both daemons have in common.

use std::path::Path;

use serde::de::DeserializeOwned;

use crate::process::settings_error::SettingsError;

/// Log levels, from the most to the least severe.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Decodes settings in YAML; an empty text has all defaults.
///
/// # Errors
///
/// Returns the YAML error, with its line if the parser knows it.
pub(crate) fn decode<T: DeserializeOwned + Default>(text: &str) -> Result<T, SettingsError> {
    if text.trim().is_empty() {
        return Ok(T::default());
    }
    let settings: Option<T> = serde_yaml_ng::from_str(text)?;
    Ok(settings.unwrap_or_default())
}

/// Reads a settings file.
///
/// # Errors
///
/// Returns an error if the file can't be read.
pub(crate) fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|e| SettingsError::File {
        path: path.to_owned(),
        source: e,
    })
}

/// Returns the error of a field that is out of its range.
///
/// # Errors
///
/// Always returns the error.
pub(crate) fn out_of_range(
    field: &'static str,
    value: u64,
    range: &'static str,
) -> Result<(), SettingsError> {
    Err(SettingsError::Range {
        field,
        value,
        range,
    })
}

/// Checks the duration of a lease and the interval between its renewals, in milliseconds.
///
/// # Errors
///
/// Returns the first field that is out of range.
pub(crate) fn check_lease(lease_ms: u64, renewal_ms: u64) -> Result<(), SettingsError> {
    if !(100..=60_000).contains(&lease_ms) {
        return out_of_range("lease_ms", lease_ms, "100 to 60000");
    }
    if renewal_ms < 10 || renewal_ms > lease_ms / 3 {
        return out_of_range("renewal_ms", renewal_ms, "10 to a third of lease_ms");
    }
    Ok(())
}

/// Checks the name of a log level.
///
/// # Errors
///
/// Returns an error if there is no such level.
pub(crate) fn check_log_level(level: &str) -> Result<(), SettingsError> {
    match LOG_LEVELS.contains(&level) {
        true => Ok(()),
        false => Err(SettingsError::LogLevel(level.to_owned())),
    }
}
