//! The operators' changes of a configuration.
//!
//! Each change is one compare-and-swap. A write whose answer was lost is settled by reading back;
//! the loser of a race learns against which version it lost.

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

/// The environment in which documents are tried.
pub const TRIAL: &str = "trial";
/// The environment to which tried documents are promoted.
pub const PRODUCTION: &str = "production";
/// How often a write whose answer was lost is settled.
const SETTLE_TRIES: u32 = 3;

/// A change that was not made.
#[derive(Debug, Error)]
pub enum OperationError {
    /// The document is refused.
    #[error(transparent)]
    Document(#[from] DocumentError),
    /// The platform can't be used.
    #[error("{0}; nothing is known to have changed")]
    Platform(#[from] PlatformError),
    /// A write's answer was lost and can't be settled.
    #[error("{source}; the change may or may not be in force: ask `foxtaildrift show`")]
    InDoubt {
        /// What failed.
        source: PlatformError,
    },
    /// Another operator was first.
    #[error("lost against version {version} ({action}); nothing was changed")]
    Conflict {
        /// The version that won.
        version: DocumentVersion,
        /// What it did.
        action: String,
    },
    /// The digest was never tried.
    #[error("digest {0} was not tried in the trial environment; it holds {1}")]
    NotTried(Digest, String),
    /// The platform holds something that is no configuration.
    #[error("the platform holds a malformed value for {key}: {reason}")]
    Malformed {
        /// The key.
        key: String,
        /// What is wrong.
        reason: String,
    },
}

/// What is taken out of use or brought back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// A failure domain.
    Domain(DomainName),
    /// The upstream at an address.
    Upstream(SocketAddr),
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Target::Domain(domain) => write!(f, "failure domain {domain}"),
            Target::Upstream(address) => write!(f, "upstream {address}"),
        }
    }
}

/// Makes the operators' changes through the platform.
pub struct Operations {
    platform: Arc<dyn Platform>,
    clock: Arc<dyn Clock>,
}

impl Operations {
    /// Creates operations on `platform`.
    pub fn new(platform: Arc<dyn Platform>, clock: Arc<dyn Clock>) -> Self {
        Self { platform, clock }
    }

    /// Returns the configuration of `environment`, an empty one where there is none.
    ///
    /// # Errors
    ///
    /// Returns an error where the platform can't be used or holds something else.
    pub fn configuration(&self, environment: &str) -> Result<Configuration, OperationError> {
        Ok(self.read(environment)?.1)
    }

    /// Tries a document: puts it in force in the trial environment.
    ///
    /// # Errors
    ///
    /// Returns an error where the document is refused or the change was not made.
    pub fn trial(&self, text: &str) -> Result<Configuration, OperationError> {
        Document::parse(text)?;
        let digest = Document::digest(text);
        let key = PlatformKey::document(&digest);
        // The key names its content, so an entry that is there already is the same.
        self.platform
            .compare_and_swap(&key, Revision::default(), text.as_bytes())?;
        self.change(TRIAL, &format!("trial {digest}"), |c| {
            text.clone_into(&mut c.text)
        })
    }

    /// Promotes the tried document with `digest` to production, byte for byte.
    ///
    /// # Errors
    ///
    /// Returns an error where that document was not tried or the change was not made.
    pub fn promote(&self, digest: &Digest) -> Result<Configuration, OperationError> {
        let tried = self.configuration(TRIAL)?;
        if !tried.has_held(digest) {
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
            .ok_or_else(|| malformed("it is absent"))?;
        let text = String::from_utf8(stored.bytes).map_err(|_| malformed("it is no text"))?;
        if Document::digest(&text) != *digest {
            return Err(malformed("its digest is another"));
        }
        Document::parse(&text)?;
        self.change(PRODUCTION, &format!("promote {digest}"), |c| c.text = text)
    }

    /// Takes a failure domain or an upstream out of use.
    ///
    /// # Errors
    ///
    /// Returns an error where the change was not made.
    pub fn drain(
        &self,
        environment: &str,
        target: &Target,
    ) -> Result<Configuration, OperationError> {
        self.change(environment, &format!("drain {target}"), |c| match target {
            Target::Domain(domain) => {
                c.drained_domains.insert(domain.clone());
            }
            Target::Upstream(address) => {
                c.drained_upstreams.insert(*address);
            }
        })
    }

    /// Brings a failure domain or an upstream back into use.
    ///
    /// # Errors
    ///
    /// Returns an error where the change was not made.
    pub fn undrain(
        &self,
        environment: &str,
        target: &Target,
    ) -> Result<Configuration, OperationError> {
        self.change(environment, &format!("return {target}"), |c| match target {
            Target::Domain(domain) => {
                c.drained_domains.remove(domain);
            }
            Target::Upstream(address) => {
                c.drained_upstreams.remove(address);
            }
        })
    }

    /// Makes one change with one compare-and-swap.
    fn change(
        &self,
        environment: &str,
        action: &str,
        change: impl FnOnce(&mut Configuration),
    ) -> Result<Configuration, OperationError> {
        let (revision, present) = self.read(environment)?;
        let next = present.changed(self.clock.wall_time(), action, change);
        let key = PlatformKey::configuration(environment);
        let bytes = serde_json::to_vec(&next).map_err(|e| OperationError::Malformed {
            key: key.to_string(),
            reason: e.to_string(),
        })?;
        match self.platform.compare_and_swap(&key, revision, &bytes) {
            Ok(SwapOutcome::Done) => Ok(next),
            Ok(SwapOutcome::Conflict) => Err(self.lost(environment)?),
            Err(source) => self.settle(environment, revision, next, source),
        }
    }

    /// Finds out what became of a write whose answer was lost.
    fn settle(
        &self,
        environment: &str,
        before: Revision,
        next: Configuration,
        source: PlatformError,
    ) -> Result<Configuration, OperationError> {
        for _ in 0..SETTLE_TRIES {
            let Ok((revision, present)) = self.read(environment) else {
                continue;
            };
            let made = next.history.last();
            if present.history.iter().any(|c| Some(c) == made) {
                return Ok(next);
            }
            if revision == before {
                // The write may still arrive; only a later version would rule that out.
                return Err(OperationError::InDoubt { source });
            }
            return Err(self.lost(environment)?);
        }
        Err(OperationError::InDoubt { source })
    }

    fn lost(&self, environment: &str) -> Result<OperationError, OperationError> {
        let present = self.configuration(environment)?;
        let action = present
            .history
            .last()
            .map(|c| c.action.clone())
            .unwrap_or_default();
        Ok(OperationError::Conflict {
            version: present.version,
            action,
        })
    }

    fn read(&self, environment: &str) -> Result<(Revision, Configuration), OperationError> {
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
