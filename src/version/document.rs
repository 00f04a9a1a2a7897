//! The operators' document: one per environment.
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

/// The largest document, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 512 * 1024;

/// What operators decide for an environment. An empty document is valid and routes nothing.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// The services that callers reach, by the first segment of the path.
    pub services: BTreeMap<ServiceName, Service>,
    /// The failure domains that are not simply in use.
    pub domains: BTreeMap<DomainName, DomainState>,
    /// The upstreams that get no new work.
    pub drained: BTreeSet<SocketAddr>,
}

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Returns what is wrong and where: the field, or the line and column.
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
            service.check(name)?;
        }
        Ok(document)
    }

    /// Returns the digest of a document's text, byte for byte.
    pub fn digest(text: &str) -> Digest {
        Digest::of(text.as_bytes())
    }

    /// Returns whether work may go to upstreams of `domain`.
    pub fn accepts_work(&self, domain: &DomainName) -> bool {
        self.domains.get(domain).copied().unwrap_or_default() == DomainState::In
    }

    /// Returns whether work may go to the upstream at `address`.
    pub fn is_drained(&self, address: SocketAddr) -> bool {
        self.drained.contains(&address)
    }
}
