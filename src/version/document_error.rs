//! What can be wrong with a document.

use thiserror::Error;

use crate::version::document::DOCUMENT_BYTES_MAX;
use crate::version::service_name::ServiceName;

/// A document that is refused.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The text is no YAML of the right shape; the message holds the line.
    #[error("document: {0}")]
    Syntax(#[from] serde_yaml_ng::Error),
    /// The text is larger than a document may be.
    #[error("document: {bytes} bytes are more than the {DOCUMENT_BYTES_MAX} allowed")]
    TooLarge {
        /// The size of the text.
        bytes: usize,
    },
    /// A field is out of its range.
    #[error("document: services.{service}.{field}: {value} is out of range, use {range}")]
    Range {
        /// The service.
        service: ServiceName,
        /// The field.
        field: &'static str,
        /// What it holds.
        value: String,
        /// What it may hold.
        range: &'static str,
    },
}
