//! The assignment of a slice to the sessions that may own it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::version::epoch::Epoch;
use crate::version::session_id::SessionId;

/// The maximum number of candidates of a slice.
pub const CANDIDATES_MAX: usize = 3;

/// A former candidate that may still serve the slice, and how others learn that it has stopped.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerCandidate {
    /// The epoch whose adoption by the session shows that it has released the slice.
    pub release_epoch: Epoch,
    /// The candidates that ranked before the former candidate.
    ///
    /// The former candidate serves only if it knows that all of them have ended. While one of them
    /// is live, the former candidate does not serve, so none of them needs to wait for it.
    pub predecessors: BTreeSet<SessionId>,
}

/// The candidates of a slice, and the former candidates that may still serve it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The sessions that may own the slice, in the order of precedence.
    pub candidates: Vec<SessionId>,
    /// Candidates of earlier epochs that are not known to have released the slice.
    pub former_candidates: BTreeMap<SessionId, FormerCandidate>,
    /// The epoch that assigned the present candidates; appending a candidate keeps it.
    pub since: Epoch,
    /// The value of `since` before the present candidates were assigned.
    pub previous_since: Epoch,
    /// The last epoch that dropped a session which ended before it released the slice. The
    /// idempotency records of such a session are lost.
    pub records_lost_at: Epoch,
}

impl Assignment {
    /// Returns the rank of `session` among the candidates, from zero.
    pub fn rank(&self, session: SessionId) -> Option<usize> {
        self.candidates.iter().position(|&c| c == session)
    }

    /// Returns the assignment that gives the slice to `candidates` at `epoch`.
    ///
    /// A candidate becomes a former candidate unless it keeps its rank behind the same
    /// predecessors. `has_ended` returns whether a session is known to have ended, and `adopted`
    /// the epoch that a session is known to have adopted.
    pub fn successor(
        &self,
        candidates: Vec<SessionId>,
        epoch: Epoch,
        has_ended: impl Fn(SessionId) -> bool,
        adopted: impl Fn(SessionId) -> Epoch,
    ) -> Self {
        let mut former_candidates = self.former_candidates.clone();
        let lost = former_candidates
            .iter()
            .any(|(&s, former)| has_ended(s) && adopted(s) < former.release_epoch);
        let records_lost_at = if lost { epoch } else { self.records_lost_at };
        former_candidates.retain(|&s, former| !has_ended(s) && adopted(s) < former.release_epoch);
        let live: Vec<SessionId> = self
            .candidates
            .iter()
            .copied()
            .filter(|&s| !has_ended(s))
            .collect();
        let kept = common_prefix(&live, &candidates);
        for (rank, &former) in live.iter().enumerate().skip(kept) {
            let ranked_before: BTreeSet<SessionId> = live[..rank].iter().copied().collect();
            let predecessors = match former_candidates.get(&former) {
                Some(earlier) => &earlier.predecessors & &ranked_before,
                None => ranked_before,
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

/// Returns the length of the common prefix of `a` and `b`.
fn common_prefix(a: &[SessionId], b: &[SessionId]) -> usize {
    a.iter().zip(b).take_while(|(x, y)| x == y).count()
}
