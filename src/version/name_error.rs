//! Validation of names.

use thiserror::Error;

/// The maximum length of a name, in bytes.
const NAME_BYTES_MAX: usize = 63;

/// The error for text that is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no name: use 1 to 63 lower-case letters, digits and hyphens")]
pub struct NameError(String);

/// Returns an error unless `text` is a valid name: 1 to 63 lower-case letters, digits and hyphens.
pub(crate) fn validate(text: &str) -> Result<(), NameError> {
    let valid_length = !text.is_empty() && text.len() <= NAME_BYTES_MAX;
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if valid_length && text.bytes().all(is_allowed) {
        return Ok(());
    }
    Err(NameError(text.chars().take(NAME_BYTES_MAX).collect()))
}
