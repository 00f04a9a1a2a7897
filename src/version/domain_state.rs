//! Whether a failure domain takes work.

use serde::{Deserialize, Serialize};

/// The operators' decision on a failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// The domain takes work.
    #[default]
    In,
    /// The domain gets no new work.
    Out,
}
