//! The configuration in force: the operators' document with what they have drained.

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

/// The most changes that a configuration lists.
const HISTORY_MAX: usize = 100;

/// One value in the platform; each accepted change raises its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The version.
    pub version: DocumentVersion,
    /// The digest of the document's text.
    pub digest: Digest,
    /// The document's text, byte for byte.
    pub text: String,
    /// The failure domains taken out on top of the document.
    pub drained_domains: BTreeSet<DomainName>,
    /// The upstreams taken out on top of the document.
    pub drained_upstreams: BTreeSet<SocketAddr>,
    /// The latest changes, this version's last.
    pub history: Vec<Change>,
}

/// One accepted change of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The version that it made.
    pub version: DocumentVersion,
    /// The digest of the document's text at that version.
    pub digest: Digest,
    /// When the operator's host thought it was.
    pub at: WallTime,
    /// What was done.
    pub action: String,
}

impl Configuration {
    /// Returns a configuration with an empty document, which no daemon has seen.
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

    /// Returns the next version, changed by `change` and noted as `action`.
    pub fn changed(&self, at: WallTime, action: &str, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next.version = DocumentVersion(self.version.0 + 1);
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

    /// Returns whether the document with `digest` was in force at one of the latest versions.
    pub fn has_held(&self, digest: &Digest) -> bool {
        self.history.iter().any(|c| c.digest == *digest)
    }

    /// Returns the document with the drains applied.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn document(&self) -> Result<Document, DocumentError> {
        let mut document = Document::parse(&self.text)?;
        for domain in &self.drained_domains {
            document.domains.insert(domain.clone(), DomainState::Out);
        }
        document.drained.extend(&self.drained_upstreams);
        Ok(document)
    }
}
