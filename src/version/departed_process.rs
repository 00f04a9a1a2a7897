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

impl DepartedProcess {
    /// Returns whether `announced`, as the upstream stated it, is this process. An announcement without
    /// a start time is that of any process with its name.
    pub fn is_announced_by(&self, announced: &DepartedProcess) -> bool {
        let has_same_start =
            announced.started_ms.is_none() || announced.started_ms == self.started_ms;
        self.instance == announced.instance && has_same_start
    }
}
