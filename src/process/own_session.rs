//! The session of this daemon, with the grants that its witnesses gave it.

use std::collections::BTreeMap;

use crate::process::lease_times::LeaseTimes;
use crate::process::moment::Moment;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::session_id::SessionId;
use crate::version::witness_set::WitnessSet;

/// The newest grant of one witness.
#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    sent: Moment,
    epoch: Epoch,
}

/// A session with the grants that keep it live.
#[derive(Debug)]
pub struct OwnSession {
    /// The session.
    pub id: SessionId,
    /// How many times the session became live or the upstream needed higher fencing tokens.
    pub incarnation: u32,
    grants: BTreeMap<InstanceId, Grant>,
    live: bool,
    /// The latest end of a lease that was in force at any time. A change of witnesses can end the
    /// lease earlier, but not the permits that were given before.
    permitted_until: Moment,
}

impl OwnSession {
    /// Creates a session without grants.
    pub fn new(id: SessionId) -> Self {
        Self {
            id,
            incarnation: 0,
            grants: BTreeMap::new(),
            live: false,
            permitted_until: Moment::default(),
        }
    }

    /// Records the grant of `witness` for the renewal sent at `sent`.
    pub fn record_grant(&mut self, witness: InstanceId, sent: Moment, epoch: Epoch) {
        let grant = self.grants.entry(witness).or_default();
        grant.sent = grant.sent.max(sent);
        grant.epoch = grant.epoch.max(epoch);
    }

    /// Returns the highest epoch that `witness` has granted.
    pub fn granted_epoch(&self, witness: InstanceId) -> Epoch {
        self.grants
            .get(&witness)
            .map(|g| g.epoch)
            .unwrap_or_default()
    }

    /// Returns the time until which a majority of each set has granted the lease, or `None` if
    /// there was no such grant.
    pub fn live_until(&self, sets: &[WitnessSet], times: &LeaseTimes) -> Option<Moment> {
        let sent = self.majority_value(sets, |g| g.sent)?;
        (sent > Moment::default()).then(|| sent + times.lease)
    }

    /// Records that permits may have been given until `until`.
    pub fn record_lease_end(&mut self, until: Moment) {
        self.permitted_until = self.permitted_until.max(until);
    }

    /// Returns the latest end of the permits given so far.
    pub fn permitted_until(&self) -> Moment {
        self.permitted_until
    }

    /// Returns the highest epoch that a majority of each set has granted.
    pub fn confirmed(&self, sets: &[WitnessSet]) -> Epoch {
        self.majority_value(sets, |g| g.epoch).unwrap_or_default()
    }

    /// Records whether the session is live now; returns the new state if it changed.
    pub fn set_live(&mut self, live: bool) -> Option<bool> {
        if live == self.live {
            return None;
        }
        self.live = live;
        if live {
            self.incarnation += 1;
        }
        Some(live)
    }

    /// Returns the highest value that a majority of each set reaches.
    fn majority_value<T: Ord + Default + Copy>(
        &self,
        sets: &[WitnessSet],
        value: impl Fn(&Grant) -> T,
    ) -> Option<T> {
        let majority_of = |set: &WitnessSet| {
            let grants = set.instances().map(|i| self.grants.get(&i));
            let mut values: Vec<T> = grants.map(|g| g.map(&value).unwrap_or_default()).collect();
            values.sort_unstable();
            values.reverse();
            values.get(set.majority() - 1).copied().unwrap_or_default()
        };
        sets.iter().map(majority_of).min()
    }
}
