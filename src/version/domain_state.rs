//! Whether a failure domain is in use.

use serde::{Deserialize, Serialize};

/// The state that operators set for a failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// The upstreams of the domain get requests.
    #[default]
    In,
    /// The upstreams of the domain get no new requests.
    Out,
}
