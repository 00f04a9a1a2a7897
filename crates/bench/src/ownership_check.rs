//! Check of the upstreams' journals: a key belongs to one upstream at a time, and passes on only with
//! a higher fencing token.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;

use crate::host_run::HostRun;
use crate::key_history::{Holding, KeyHistory};
use crate::ownership_event::OwnershipEvent;
use crate::ownership_violation::{OwnershipViolation, ViolationKind};

/// How long two upstreams may hold a key at the same time, in microseconds, if they don't both begin
/// requests for it.
const HELD_TOGETHER_MICROS_MAX: u64 = 500_000;

/// The merged journals of all upstreams of a service.
#[derive(Debug, Default)]
pub struct OwnershipCheck {
    /// The changes of ownership, in the order in which they took effect.
    events: Vec<OwnershipEvent>,
    /// The executions, by key.
    runs: BTreeMap<u64, Vec<HostRun>>,
}

impl OwnershipCheck {
    /// Merges changes of ownership and executions. Those of one upstream are in their order.
    pub fn new(
        events: impl IntoIterator<Item = OwnershipEvent>,
        runs: impl IntoIterator<Item = HostRun>,
    ) -> Self {
        let mut check = Self::default();
        check.events.extend(events);
        check.events.sort_by_key(|e| e.at_micros);
        for run in runs {
            if let Some(key) = run.key {
                check.runs.entry(key).or_default().push(run);
            }
        }
        check
    }

    /// Reads and merges journals; one that does not exist counts as empty.
    ///
    /// # Errors
    ///
    /// Returns an error if a journal can't be read, or a change of ownership in it can't be parsed.
    pub fn read(journals: impl IntoIterator<Item = PathBuf>) -> io::Result<Self> {
        let (mut events, mut runs) = (Vec::new(), Vec::new());
        for journal in journals {
            events.extend(OwnershipEvent::read_all(&journal)?);
            runs.extend(HostRun::read_all(&journal));
        }
        Ok(Self::new(events, runs))
    }

    /// Returns how often a range of keys passed from one upstream to another, counted once for each
    /// of the smallest ranges that the journals distinguish.
    pub fn transfers(&self) -> usize {
        let of_range = |(first, _)| {
            let (history, _) = self.replay(first);
            let pairs = history.holdings.windows(2);
            pairs.filter(|p| p[0].upstream != p[1].upstream).count()
        };
        self.ranges().into_iter().map(of_range).sum()
    }

    /// Returns the violations of exclusive ownership in the order of their time, each for the lowest
    /// of its keys.
    pub fn violations(&self) -> Vec<OwnershipViolation> {
        let mut violations: Vec<OwnershipViolation> = Vec::new();
        for (first, last) in self.ranges() {
            let (history, mut found) = self.replay(first);
            found.extend(self.check_overlaps(first, last, &history));
            for violation in found {
                if !violations.iter().any(|v| v.is_same_for_any_key(&violation)) {
                    violations.push(violation);
                }
            }
        }
        violations.sort_by_key(|v| (v.at_micros, v.key));
        violations
    }

    /// Returns the largest ranges whose keys all have the same history, both ends included.
    fn ranges(&self) -> Vec<(u64, u64)> {
        let bounds: BTreeSet<u64> = self
            .events
            .iter()
            .flat_map(|e| [e.first, e.last + 1])
            .collect();
        let bounds: Vec<u64> = bounds.into_iter().collect();
        bounds.windows(2).map(|b| (b[0], b[1] - 1)).collect()
    }

    /// Replays the changes of a key's ownership, and returns the grants whose token is not higher.
    fn replay(&self, key: u64) -> (KeyHistory, Vec<OwnershipViolation>) {
        let mut history = KeyHistory::default();
        let mut violations = Vec::new();
        let covers_key = |e: &&OwnershipEvent| e.first <= key && key <= e.last;
        for event in self.events.iter().filter(covers_key) {
            let violation = history.apply(event);
            violations.extend(violation.map(|v| OwnershipViolation { key, ..v }));
        }
        (history, violations)
    }

    /// Checks the periods in which two upstreams held the keys from `first` to `last`.
    fn check_overlaps(
        &self,
        first: u64,
        last: u64,
        history: &KeyHistory,
    ) -> Vec<OwnershipViolation> {
        let mut violations = Vec::new();
        for (index, later) in history.holdings.iter().enumerate() {
            for former in &history.holdings[..index] {
                let until_micros = former.until_micros.min(later.until_micros);
                let duration_micros = until_micros.saturating_sub(later.from_micros);
                if former.upstream == later.upstream || duration_micros == 0 {
                    continue;
                }
                let violation = |key, kind| OwnershipViolation {
                    at_micros: later.from_micros,
                    key,
                    former: former.upstream.clone(),
                    upstream: later.upstream.clone(),
                    kind,
                };
                if duration_micros > HELD_TOGETHER_MICROS_MAX {
                    let kind = ViolationKind::HeldTogether { duration_micros };
                    violations.push(violation(first, kind));
                }
                let used = self.find_use_of_both(first, last, former, later);
                violations.extend(used.map(|(key, kind)| violation(key, kind)));
            }
        }
        violations
    }

    /// Returns a key from `first` to `last` for which both upstreams began requests while both held
    /// it.
    fn find_use_of_both(
        &self,
        first: u64,
        last: u64,
        former: &Holding,
        later: &Holding,
    ) -> Option<(u64, ViolationKind)> {
        let until_micros = former.until_micros.min(later.until_micros);
        let held_by_both = later.from_micros..until_micros;
        self.runs.range(first..=last).find_map(|(key, runs)| {
            let find_run = |upstream: &str| {
                let mut runs = runs.iter();
                let run = runs.find(|r| {
                    r.upstream == upstream && held_by_both.contains(&r.started_at_micros)
                });
                run.map(|r| r.id.clone())
            };
            let kind = ViolationKind::UsedTogether {
                former_request: find_run(&former.upstream)?,
                request: find_run(&later.upstream)?,
            };
            Some((*key, kind))
        })
    }
}
