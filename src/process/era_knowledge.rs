//! What a daemon knows of the store's present era, and of the epochs of the other daemons since then.
//!
//! After the store has come back from an older copy, the table of the copy may be older than that of
//! the living. Before a planner writes a table in the new era, it must know the highest one.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::lease_times::LeaseTimes;
use crate::process::moment::Moment;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::store_era::StoreEra;

/// How long routing that the store has lost stays in force without being written again. An operator who
/// removes a lost value again leaves no trace in the store; with 30 s a failure domain stayed evacuated
/// for longer than the 15 s in which all keys must be served (soak, seed 203).
pub const HOLD_TIME: Duration = Duration::from_secs(10);

/// The newest era of the store that is known, and the daemons heard since.
#[derive(Debug, Default)]
pub struct EraKnowledge {
    era: StoreEra,
    /// When the era became known; `None` for era 0.
    since: Option<Moment>,
    /// The last datagram of each daemon: its arrival, and the epoch of the sender's table.
    heard: BTreeMap<InstanceId, (Moment, Epoch)>,
}

impl EraKnowledge {
    /// Returns the newest era.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Records an era that a response of the store or a peer's routing shows.
    pub fn observe(&mut self, now: Moment, era: StoreEra) {
        if era > self.era {
            self.era = era;
            self.since = Some(now);
        }
    }

    /// Records a datagram of another daemon, whose table has `epoch`.
    pub fn record_heard(&mut self, now: Moment, from: InstanceId, epoch: Epoch) {
        self.heard.insert(from, (now, epoch));
    }

    /// Removes what was heard from the daemons for which `keep` does not hold.
    pub fn retain_heard(&mut self, keep: impl Fn(InstanceId) -> bool) {
        self.heard.retain(|&from, _| keep(from));
    }

    /// Returns whether routing that the store may have lost stays in force.
    pub fn is_holding(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now.since(since) < HOLD_TIME)
    }

    /// Returns whether no living daemon can have a table above `own_epoch`: since the era became
    /// known, each of the `others` was heard, or a majority for so long that the leases of the rest
    /// have expired, and none of those heard has a higher epoch.
    pub fn is_floor_known(
        &self,
        now: Moment,
        others: &[InstanceId],
        own_epoch: Epoch,
        times: &LeaseTimes,
    ) -> bool {
        let Some(since) = self.since else {
            return true;
        };
        let heard = others.iter().filter_map(|other| self.heard.get(other));
        let heard: Vec<Epoch> = heard
            .filter(|(at, _)| *at >= since)
            .map(|(_, epoch)| *epoch)
            .collect();
        if heard.iter().any(|&epoch| epoch > own_epoch) {
            return false;
        }
        let has_majority = 2 * (heard.len() + 1) > others.len() + 1;
        let have_leases_expired = now.since(since) >= 2 * times.expiry_delay();
        heard.len() == others.len() || (has_majority && have_leases_expired)
    }
}
