//! The rule for names and the error for a name that breaks it.

use thiserror::Error;

/// The longest name, in bytes.
const NAME_BYTES_MAX: usize = 63;

/// A name that breaks the rule for names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{0}` is no name: use 1 to 63 lower-case letters, digits and hyphens")]
pub struct NameError(String);

/// Checks `text` against the rule for names.
pub(crate) fn validate(text: &str) -> Result<(), NameError> {
    let fits = !text.is_empty() && text.len() <= NAME_BYTES_MAX;
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if fits && text.bytes().all(plain) {
        return Ok(());
    }
    Err(NameError(text.chars().take(NAME_BYTES_MAX).collect()))
}
