//! Journal entries of the upstream's stand-in for the users' platform: one line for each request
//! that it runs.

use std::fmt;
use std::fs;
use std::path::Path;

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRun {
    /// When the execution began, in microseconds since 1970.
    pub started_at_micros: u64,
    /// The request's id, from its header `Request-Id`.
    pub id: String,
    /// The HTTP method.
    pub method: String,
    /// The HTTP request target.
    pub target: String,
    /// The key, if the service is sharded.
    pub key: Option<u64>,
    /// The highest fencing token of the grants that covered the key; zero if there was none.
    pub fencing_token: u64,
    /// The instance id of the upstream process.
    pub upstream: String,
}

impl HostRun {
    /// Parses a line of a journal; returns `None` if it describes no execution.
    pub fn parse(line: &str) -> Option<Self> {
        let mut fields = line.strip_prefix("run ")?.split(' ');
        let mut next = || fields.next().map(str::to_owned);
        Some(Self {
            id: next()?,
            method: next()?,
            target: next()?,
            key: next()?.parse().ok(),
            fencing_token: next()?.parse().ok()?,
            started_at_micros: next()?.parse().ok()?,
            upstream: next()?,
        })
    }

    /// Returns all executions in a journal; none if the file does not exist.
    pub fn read_all(journal: &Path) -> Vec<Self> {
        let text = fs::read_to_string(journal).unwrap_or_default();
        text.lines().filter_map(Self::parse).collect()
    }
}

impl fmt::Display for HostRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = self.key.map_or("-".to_owned(), |k| k.to_string());
        write!(
            f,
            "run {} {} {} {key} {} {} {}",
            self.id,
            self.method,
            self.target,
            self.fencing_token,
            self.started_at_micros,
            self.upstream
        )
    }
}
