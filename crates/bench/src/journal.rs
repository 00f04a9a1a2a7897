//! The journals of upstreams: what ran, under which key and token.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

use foxtaildrift::process::sync;
use foxtaildrift::version::fencing_token::FencingToken;
use serde::{Deserialize, Serialize};

/// One run of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// When it took effect, in microseconds since 1970.
    pub at: u64,
    /// The upstream.
    pub upstream: String,
    /// The service.
    pub service: String,
    /// The request's idempotency key, or empty.
    pub id: String,
    /// The key that it concerned.
    pub key: String,
    /// The slice, as the order bore it.
    pub slice: String,
    /// The fence token, as the order bore it.
    pub token: String,
    /// Whether the request changes state.
    pub changes: bool,
}

/// A journal that outlives its process: each line is written at once.
pub struct Journal {
    file: Mutex<File>,
}

impl Journal {
    /// Opens the journal at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Writes one run.
    ///
    /// # Errors
    ///
    /// Returns an error where the file can't be written.
    pub fn write(&self, run: &Run) -> io::Result<()> {
        let mut line = serde_json::to_string(run)?;
        line.push('\n');
        sync::lock(&self.file).write_all(line.as_bytes())
    }
}

/// Returns microseconds since 1970.
pub fn micros_now() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Reads all journals in a folder, in the order in which the runs took effect.
///
/// # Errors
///
/// Returns an error where a journal can't be read.
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

/// What the callers of a run were reported.
#[derive(Debug, Default)]
pub struct ReportedOutcomes {
    /// The idempotency keys of requests whose answer said that they ran.
    pub ran: HashSet<String>,
    /// The idempotency keys of requests of which every answer said that they did not run.
    pub not_run: HashSet<String>,
}

/// What the journals show against what callers were reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Requests that may not be repeated and ran more than once.
    pub ran_twice: usize,
    /// Requests that callers were reported ran, and that no journal holds.
    pub lost: usize,
    /// Requests that callers were reported did not run, and that a journal holds.
    pub false_not_run: usize,
    /// Runs under a lower token than an earlier run of the slice, or an equal one elsewhere.
    pub two_owners: usize,
}

impl Violations {
    /// Returns whether all promises held.
    pub fn is_empty(&self) -> bool {
        *self == Violations::default()
    }
}

/// Holds the journals against what callers were reported.
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

/// Returns the runs of each request that may not be repeated and ran more than once.
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

/// Counts the runs that another owner's later run came before.
fn count_token_regressions(runs: &[Run]) -> usize {
    let mut highest: BTreeMap<(&str, &str), (FencingToken, &str)> = BTreeMap::new();
    let mut regressions = 0;
    for run in runs {
        let Ok(token) = run.token.parse::<FencingToken>() else {
            continue;
        };
        let at = (run.service.as_str(), run.slice.as_str());
        match highest.get(&at) {
            Some((high, by)) if token < *high || (token == *high && *by != run.upstream) => {
                regressions += 1;
            }
            _ => {
                highest.insert(at, (token, &run.upstream));
            }
        }
    }
    regressions
}
