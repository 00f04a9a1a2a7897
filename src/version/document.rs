//! The operators' document, one per environment.
//!
//! ```
//! use foxtaildrift::version::document::Document;
//!
//! let text = "services:\n  order-desk:\n    kind: keyed\n";
//! let document = Document::parse(text)?;
//! assert_eq!(document.services.len(), 1);
//! # Ok::<(), foxtaildrift::version::document_error::DocumentError>(())
//! ```

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::version::digest::Digest;
use crate::version::document_error::DocumentError;
use crate::version::domain_name::DomainName;
use crate::version::domain_state::DomainState;
use crate::version::service::Service;
use crate::version::service_name::ServiceName;

/// The maximum size of a document, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 512 * 1024;

/// The services and failure domains of an environment, as operators define them in YAML. An empty
/// document is valid and routes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The services, by name; the first segment of a request's path selects the service.
    pub services: BTreeMap<ServiceName, Service>,
    /// The states of the failure domains; a domain that is not listed is `in`.
    pub domains: BTreeMap<DomainName, DomainState>,
    /// The addresses of the upstreams that get no new requests.
    pub drained: BTreeSet<SocketAddr>,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns an error with the invalid field, or with the line and column of a syntax error.
    pub fn parse(text: &str) -> Result<Self, DocumentError> {
        if text.len() > DOCUMENT_BYTES_MAX {
            return Err(DocumentError::TooLarge { bytes: text.len() });
        }
        if text.trim().is_empty() {
            return Ok(Self::default());
        }
        let document: Option<Self> = serde_yaml_ng::from_str(text).map_err(DocumentError::from)?;
        let document = document.unwrap_or_default();
        for (name, service) in &document.services {
            service.validate(name)?;
        }
        Ok(document)
    }

    /// Returns the digest of a document's text, including comments and white space.
    pub fn digest(text: &str) -> Digest {
        Digest::of(text.as_bytes())
    }

    /// Returns whether upstreams in `domain` get new requests.
    pub fn accepts_work(&self, domain: &DomainName) -> bool {
        self.domains.get(domain).copied().unwrap_or_default() == DomainState::In
    }

    /// Returns whether the upstream at `address` is drained, so that it gets no new requests.
    pub fn is_drained(&self, address: SocketAddr) -> bool {
        self.drained.contains(&address)
    }
}
