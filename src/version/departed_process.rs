//! A process of an upstream that has announced that it will stop.

use serde::{Deserialize, Serialize};

/// A process of an upstream that has announced that it will stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedProcess {
    /// Name that the process reports for itself.
    pub instance: String,
    /// Start time by the upstream's clock, in milliseconds since 1970; `None` if the announcement did
    /// not state it, until the next process with this name reports.
    pub started_ms: Option<u64>,
}
