//! Operators' changes to the configuration of an environment.
//!
//! Each change is one compare-and-swap. If the response to a write is lost, the configuration is
//! read back to find out whether the write took effect. An operator whose write conflicts with
//! another's gets the version and the action that were written first.

use std::net::SocketAddr;
use std::sync::Arc;

use thiserror::Error;

use crate::process::clock::Clock;
use crate::process::platform::{Platform, PlatformError, PlatformKey, Revision, SwapOutcome};
use crate::version::configuration::Configuration;
use crate::version::digest::Digest;
use crate::version::document::Document;
use crate::version::document_error::DocumentError;
use crate::version::document_version::DocumentVersion;
use crate::version::domain_name::DomainName;

/// The environment in which operators try documents before they promote them.
pub const TRIAL: &str = "trial";
/// The environment to which tried documents are promoted.
pub const PRODUCTION: &str = "production";
/// How many times the configuration is read back after the response to a write was lost.
const READ_BACK_ATTEMPTS: u32 = 3;

/// Why a change was not made, or is not known to be made.
#[derive(Debug, Error)]
pub enum OperationError {
    /// The document is invalid.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// A call to the platform failed before the configuration was written.
    #[error("{0}; nothing is known to have changed")]
    Platform(#[from] PlatformError),
    /// The response to the write was lost, and reading back did not show whether it took effect.
    #[error("{source}; the change may or may not be in force: check with `foxtaildrift show`")]
    InDoubt {
        /// The error of the write.
        source: PlatformError,
    },
    /// Another operator changed the configuration first.
    #[error("conflict with version {version} ({action}); nothing was changed")]
    Conflict {
        /// The version that the other operator wrote.
        version: DocumentVersion,
        /// The action of that version.
        action: String,
    },
    /// The document with this digest was never in force in the trial environment.
    #[error("digest {0} was not tried in the trial environment, whose current digest is {1}")]
    NotTried(Digest, String),
    /// A stored configuration or document is malformed.
    #[error("the platform's value of key {key} is malformed: {reason}")]
    Malformed {
        /// The key of the value.
        key: String,
        /// Why it was rejected.
        reason: String,
    },
}

/// What an operator drains or undrains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainTarget {
    /// A failure domain.
    Domain(DomainName),
    /// The upstream at an address.
    Upstream(SocketAddr),
}

impl std::fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            DrainTarget::Domain(domain) => write!(f, "failure domain {domain}"),
            DrainTarget::Upstream(address) => write!(f, "upstream {address}"),
        }
    }
}

/// Reads and changes the configurations in the platform for operators.
pub struct Operations {
    platform: Arc<dyn Platform>,
    clock: Arc<dyn Clock>,
}

impl Operations {
    /// Creates operations on `platform`.
    pub fn new(platform: Arc<dyn Platform>, clock: Arc<dyn Clock>) -> Self {
        Self { platform, clock }
    }

    /// Returns the configuration of `environment`, or an empty one if it has none yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the call fails or the configuration is malformed.
    pub fn configuration(&self, environment: &str) -> Result<Configuration, OperationError> {
        Ok(self.read_configuration(environment)?.1)
    }

    /// Stores a document and puts it in force in the trial environment.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is invalid or the change was not made.
    pub fn trial(&self, text: &str) -> Result<Configuration, OperationError> {
        Document::parse(text)?;
        let digest = Document::digest(text);
        let key = PlatformKey::document(&digest);
        // The key contains the digest of the text, so a conflicting value is identical.
        self.platform
            .compare_and_swap(&key, Revision::default(), text.as_bytes())?;
        self.change(TRIAL, &format!("trial {digest}"), |c| {
            text.clone_into(&mut c.text)
        })
    }

    /// Puts the document with `digest`, tried before, in force in production, byte for byte.
    ///
    /// # Errors
    ///
    /// Returns an error if that document was not tried or the change was not made.
    pub fn promote(&self, digest: &Digest) -> Result<Configuration, OperationError> {
        let tried = self.configuration(TRIAL)?;
        if !tried.history_contains(digest) {
            return Err(OperationError::NotTried(
                digest.clone(),
                tried.digest.to_string(),
            ));
        }
        let key = PlatformKey::document(digest);
        let malformed = |reason: &str| OperationError::Malformed {
            key: key.to_string(),
            reason: reason.to_owned(),
        };
        let stored = self
            .platform
            .read(&key)?
            .ok_or_else(|| malformed("the value does not exist"))?;
        let text =
            String::from_utf8(stored.bytes).map_err(|_| malformed("the text is not UTF-8"))?;
        if Document::digest(&text) != *digest {
            return Err(malformed("its digest differs from the key"));
        }
        Document::parse(&text)?;
        self.change(PRODUCTION, &format!("promote {digest}"), |c| c.text = text)
    }

    /// Drains a failure domain or an upstream, so that it gets no new requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the change was not made.
    pub fn drain(
        &self,
        environment: &str,
        target: &DrainTarget,
    ) -> Result<Configuration, OperationError> {
        self.change(environment, &format!("drain {target}"), |c| match target {
            DrainTarget::Domain(domain) => {
                c.drained_domains.insert(domain.clone());
            }
            DrainTarget::Upstream(address) => {
                c.drained_upstreams.insert(*address);
            }
        })
    }

    /// Undrains a failure domain or an upstream, so that it gets requests again.
    ///
    /// # Errors
    ///
    /// Returns an error if the change was not made.
    pub fn undrain(
        &self,
        environment: &str,
        target: &DrainTarget,
    ) -> Result<Configuration, OperationError> {
        self.change(environment, &format!("return {target}"), |c| match target {
            DrainTarget::Domain(domain) => {
                c.drained_domains.remove(domain);
            }
            DrainTarget::Upstream(address) => {
                c.drained_upstreams.remove(address);
            }
        })
    }

    /// Applies `change` to the configuration with one compare-and-swap.
    fn change(
        &self,
        environment: &str,
        action: &str,
        change: impl FnOnce(&mut Configuration),
    ) -> Result<Configuration, OperationError> {
        let (revision, current) = self.read_configuration(environment)?;
        let next = current.with_change(self.clock.wall_time(), action, change);
        let key = PlatformKey::configuration(environment);
        let bytes = serde_json::to_vec(&next).map_err(|e| OperationError::Malformed {
            key: key.to_string(),
            reason: e.to_string(),
        })?;
        match self.platform.compare_and_swap(&key, revision, &bytes) {
            Ok(SwapOutcome::Done) => Ok(next),
            Ok(SwapOutcome::Conflict) => Err(self.conflict_error(environment)?),
            Err(source) => self.resolve_in_doubt(environment, revision, next, source),
        }
    }

    /// Reads the configuration back to find out whether a write whose response was lost took
    /// effect.
    fn resolve_in_doubt(
        &self,
        environment: &str,
        before: Revision,
        next: Configuration,
        source: PlatformError,
    ) -> Result<Configuration, OperationError> {
        for _ in 0..READ_BACK_ATTEMPTS {
            let Ok((revision, current)) = self.read_configuration(environment) else {
                continue;
            };
            let written = next.history.last();
            if current.history.iter().any(|c| Some(c) == written) {
                return Ok(next);
            }
            if revision == before {
                // The write may still arrive; only a newer revision would rule that out.
                return Err(OperationError::InDoubt { source });
            }
            return Err(self.conflict_error(environment)?);
        }
        Err(OperationError::InDoubt { source })
    }

    /// Returns the error that names the version that was written first.
    fn conflict_error(&self, environment: &str) -> Result<OperationError, OperationError> {
        let current = self.configuration(environment)?;
        let action = current
            .history
            .last()
            .map(|c| c.action.clone())
            .unwrap_or_default();
        Ok(OperationError::Conflict {
            version: current.version,
            action,
        })
    }

    /// Returns the configuration of `environment` with its revision.
    fn read_configuration(
        &self,
        environment: &str,
    ) -> Result<(Revision, Configuration), OperationError> {
        let key = PlatformKey::configuration(environment);
        let Some(stored) = self.platform.read(&key)? else {
            return Ok((Revision::default(), Configuration::empty()));
        };
        let configuration =
            serde_json::from_slice(&stored.bytes).map_err(|e| OperationError::Malformed {
                key: key.to_string(),
                reason: e.to_string(),
            })?;
        Ok((stored.revision, configuration))
    }
}
