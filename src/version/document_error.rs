//! The error for an invalid document.

use thiserror::Error;

use crate::version::document::DOCUMENT_BYTES_MAX;
use crate::version::service_name::ServiceName;

/// Why a document is invalid.
#[derive(Debug, Error)]
pub enum DocumentError {
    /// The text is not valid YAML or has unknown fields; the message contains the line.
    #[error("document: {0}")]
    Syntax(#[from] serde_yaml_ng::Error),
    /// The text exceeds the maximum size of a document.
    #[error("document: {bytes} bytes exceed the maximum of {DOCUMENT_BYTES_MAX} bytes")]
    TooLarge {
        /// The size of the text, in bytes.
        bytes: usize,
    },
    /// A field is out of its range.
    #[error("document: services.{service}.{field}: {value} is out of range, use {range}")]
    Range {
        /// The service that the field belongs to.
        service: ServiceName,
        /// The path of the field within the service.
        field: &'static str,
        /// The invalid value.
        value: String,
        /// A description of the valid values.
        range: &'static str,
    },
}
