//! The daemons that may own a slice.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::version::epoch::Epoch;
use crate::version::session_id::SessionId;

/// The most candidates of a slice.
pub const CANDIDATES_MAX: usize = 3;

/// What is still to be known of a former candidate before others may serve.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerCandidate {
    /// The epoch that the session must adopt to have let go.
    pub release_epoch: Epoch,
    /// The sessions whose end the former candidate had to know before it could serve.
    ///
    /// None of these needs to wait for it: as long as one of them is live, it does not serve.
    pub predecessors: BTreeSet<SessionId>,
}

/// The candidates of a slice and the sessions that may still hold it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The sessions that may own the slice, the first of them before all others.
    pub candidates: Vec<SessionId>,
    /// Candidates of earlier epochs that were not known to have let go.
    pub former_candidates: BTreeMap<SessionId, FormerCandidate>,
    /// The epoch that gave the slice its present candidates.
    pub since: Epoch,
    /// The value of `since` before the present candidates.
    pub previous_since: Epoch,
    /// The last epoch that dropped a session which ended before it let go: what it recorded is
    /// lost.
    pub records_lost_at: Epoch,
}

impl Assignment {
    /// Returns the place of `session` among the candidates.
    pub fn rank(&self, session: SessionId) -> Option<usize> {
        self.candidates.iter().position(|&c| c == session)
    }

    /// Returns the assignment that gives the slice to `candidates` at `epoch`.
    ///
    /// A former candidate stays behind as leaving unless it keeps its place behind the same
    /// predecessors. `gone` tells which sessions are known to have ended, and `adopted` which
    /// epoch a session is known to have adopted.
    pub fn successor(
        &self,
        candidates: Vec<SessionId>,
        epoch: Epoch,
        gone: impl Fn(SessionId) -> bool,
        adopted: impl Fn(SessionId) -> Epoch,
    ) -> Self {
        let mut former_candidates = self.former_candidates.clone();
        let lost = former_candidates
            .iter()
            .any(|(&s, former)| gone(s) && adopted(s) < former.release_epoch);
        let records_lost_at = if lost { epoch } else { self.records_lost_at };
        former_candidates.retain(|&s, former| !gone(s) && adopted(s) < former.release_epoch);
        let alive: Vec<SessionId> = self
            .candidates
            .iter()
            .copied()
            .filter(|&s| !gone(s))
            .collect();
        let kept = common_prefix(&alive, &candidates);
        for (place, &former) in alive.iter().enumerate().skip(kept) {
            let previous_since: BTreeSet<SessionId> = alive[..place].iter().copied().collect();
            let predecessors = match former_candidates.get(&former) {
                Some(earlier) => &earlier.predecessors & &previous_since,
                None => previous_since,
            };
            former_candidates.insert(
                former,
                FormerCandidate {
                    release_epoch: epoch,
                    predecessors,
                },
            );
        }
        let appended = common_prefix(&self.candidates, &candidates) == self.candidates.len();
        let since = if appended && self.since > Epoch::default() {
            self.since
        } else {
            epoch
        };
        let previous_since = if since == self.since {
            self.previous_since
        } else {
            self.since
        };
        Self {
            candidates,
            former_candidates,
            since,
            previous_since,
            records_lost_at,
        }
    }
}

/// Returns the length of the prefix that `a` and `b` share.
fn common_prefix(a: &[SessionId], b: &[SessionId]) -> usize {
    a.iter().zip(b).take_while(|(x, y)| x == y).count()
}
