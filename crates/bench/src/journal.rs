//! Journals in which the upstreams' stand-ins record what they ran, and the check of these records
//! against the outcomes that callers received.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use foxtaildrift::process::sync;
use foxtaildrift::version::fencing_token::FencingToken;
use serde::{Deserialize, Serialize};

/// One execution of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// When the request took effect, in microseconds since 1970.
    pub at: u64,
    /// The address of the upstream.
    pub upstream: String,
    /// The name of the service.
    pub service: String,
    /// The request's idempotency key; empty if it had none.
    pub id: String,
    /// The request's key; empty if it had none.
    pub key: String,
    /// The slice from the request's header; empty if it had none.
    pub slice: String,
    /// The fencing token from the request's header; empty if it had none.
    pub token: String,
    /// Whether the request changes state.
    pub changes: bool,
}

/// A journal file; each line is written without buffering, so it survives a crash of the process.
pub struct Journal {
    file: Mutex<File>,
}

impl Journal {
    /// Opens the journal at `path` for appending, and creates it if needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Appends one execution.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written.
    pub fn write(&self, run: &Run) -> io::Result<()> {
        let mut line = serde_json::to_string(run)?;
        line.push('\n');
        sync::lock(&self.file).write_all(line.as_bytes())
    }
}

/// Returns the present time, in microseconds since 1970.
pub fn micros_now() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX)
}

/// Reads all journals in a folder and returns their executions in the order in which they took
/// effect. Incomplete lines are skipped.
///
/// # Errors
///
/// Returns an error if the folder or a journal can't be read.
pub fn read_all(folder: &Path) -> io::Result<Vec<Run>> {
    let mut runs = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "journal") {
            let text = std::fs::read_to_string(path)?;
            runs.extend(
                text.lines()
                    .filter_map(|l| serde_json::from_str::<Run>(l).ok()),
            );
        }
    }
    runs.sort_by_key(|r| r.at);
    Ok(runs)
}

/// The outcomes that callers received for requests with an idempotency key.
#[derive(Debug, Default)]
pub struct ReportedOutcomes {
    /// The idempotency keys of requests with a response that said that they ran.
    pub ran: HashSet<String>,
    /// The idempotency keys of requests of which every response said that they did not run.
    pub not_run: HashSet<String>,
}

/// Counts of broken guarantees by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Requests that change state and ran more than once.
    pub ran_twice: usize,
    /// Requests that were reported as run, but are in no journal.
    pub lost: usize,
    /// Requests that were reported as not run, but are in a journal.
    pub false_not_run: usize,
    /// Executions under a lower fencing token than an earlier one of the same slice, or under the
    /// same token at another upstream.
    pub two_owners: usize,
}

impl Violations {
    /// Returns whether no guarantee was broken.
    pub fn is_empty(&self) -> bool {
        *self == Violations::default()
    }
}

/// Counts the broken guarantees by comparing the journals with the outcomes that callers received.
pub fn count_violations(runs: &[Run], reported: &ReportedOutcomes) -> Violations {
    let mut by_id: HashMap<&str, usize> = HashMap::new();
    for run in runs.iter().filter(|r| r.changes && !r.id.is_empty()) {
        *by_id.entry(&run.id).or_default() += 1;
    }
    let has_run = |id: &&String| by_id.contains_key(id.as_str());
    Violations {
        ran_twice: by_id.values().filter(|&&n| n > 1).count(),
        lost: reported.ran.iter().filter(|id| !has_run(id)).count(),
        false_not_run: reported.not_run.iter().filter(has_run).count(),
        two_owners: count_token_regressions(runs),
    }
}

/// Returns all executions of the requests that change state and ran more than once.
pub fn repeated_runs(runs: &[Run]) -> Vec<&Run> {
    let mut by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in runs.iter().filter(|r| r.changes && !r.id.is_empty()) {
        by_id.entry(&run.id).or_default().push(run);
    }
    by_id
        .into_values()
        .filter(|runs| runs.len() > 1)
        .flatten()
        .collect()
}

/// Counts the executions in a slice that came after one under a higher fencing token, or after one
/// under the same token at another upstream. `runs` is in the order of execution.
fn count_token_regressions(runs: &[Run]) -> usize {
    let mut highest: BTreeMap<(&str, &str), (FencingToken, &str)> = BTreeMap::new();
    let mut regressions = 0;
    for run in runs {
        let Ok(token) = run.token.parse::<FencingToken>() else {
            continue;
        };
        let slice = (run.service.as_str(), run.slice.as_str());
        match highest.get(&slice) {
            Some((high, upstream))
                if token < *high || (token == *high && *upstream != run.upstream) =>
            {
                regressions += 1;
            }
            _ => {
                highest.insert(slice, (token, &run.upstream));
            }
        }
    }
    regressions
}
