//! The configuration in force: the operators' document and what they have drained.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::process::wall_time::WallTime;
use crate::version::digest::Digest;
use crate::version::document::Document;
use crate::version::document_error::DocumentError;
use crate::version::document_version::DocumentVersion;
use crate::version::domain_name::DomainName;
use crate::version::domain_state::DomainState;

/// The maximum number of changes in a configuration's history.
const HISTORY_MAX: usize = 100;

/// The operators' document with the drains on top of it, stored as one value on the platform; each
/// accepted change increments the version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The version of this configuration.
    pub version: DocumentVersion,
    /// The digest of the document's text.
    pub digest: Digest,
    /// The document's text, byte for byte.
    pub text: String,
    /// The failure domains drained in addition to those that the document takes out.
    pub drained_domains: BTreeSet<DomainName>,
    /// The drained upstreams, by address.
    pub drained_upstreams: BTreeSet<SocketAddr>,
    /// The most recent changes, the newest last.
    pub history: Vec<Change>,
}

/// One accepted change of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The version that the change created.
    pub version: DocumentVersion,
    /// The digest of the document's text at that version.
    pub digest: Digest,
    /// The time of the change by the clock of the operator's host.
    pub at: WallTime,
    /// A description of the change.
    pub action: String,
}

impl Configuration {
    /// Returns the initial configuration: an empty document at version zero.
    pub fn empty() -> Self {
        Self {
            version: DocumentVersion::default(),
            digest: Document::digest(""),
            text: String::new(),
            drained_domains: BTreeSet::new(),
            drained_upstreams: BTreeSet::new(),
            history: Vec::new(),
        }
    }

    /// Returns the next version, changed by `change` and listed in the history as `action`.
    pub fn with_change(&self, at: WallTime, action: &str, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next.version = self.version.next();
        next.digest = Document::digest(&next.text);
        let (version, digest) = (next.version, next.digest.clone());
        next.history.push(Change {
            version,
            digest,
            at,
            action: action.to_owned(),
        });
        let surplus = next.history.len().saturating_sub(HISTORY_MAX);
        next.history.drain(..surplus);
        next
    }

    /// Returns whether the history contains a version with the document of this digest.
    pub fn history_contains(&self, digest: &Digest) -> bool {
        self.history.iter().any(|c| c.digest == *digest)
    }

    /// Returns the document with the drains applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a valid document.
    pub fn document(&self) -> Result<Document, DocumentError> {
        let mut document = Document::parse(&self.text)?;
        for domain in &self.drained_domains {
            document.domains.insert(domain.clone(), DomainState::Out);
        }
        document.drained.extend(&self.drained_upstreams);
        Ok(document)
    }
}
