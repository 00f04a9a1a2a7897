//! The witness role: grants leases and states that sessions have ended.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::lease_times::LeaseTimes;
use crate::process::moment::Moment;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::session_id::SessionId;
use crate::version::table::Table;

/// What a witness remembers of a session.
#[derive(Clone, Copy, Debug)]
struct Heard {
    last: Moment,
    epoch: Epoch,
    ended: bool,
}

/// The promises of one process as a witness; they end with the process.
#[derive(Debug, Default)]
pub struct Witness {
    heard: BTreeMap<SessionId, Heard>,
}

impl Witness {
    /// Takes up the sessions that `table` gives to this witness, and forgets the ended ones
    /// that are in the table no more.
    pub fn adopt_table(&mut self, now: Moment, table: &Table, me: InstanceId) {
        self.heard.retain(|s, _| table.members.contains_key(s));
        for (&session, member) in &table.members {
            if member.witnesses.iter().any(|set| set.contains(me)) {
                let fresh = Heard {
                    last: now,
                    epoch: Epoch::default(),
                    ended: false,
                };
                self.heard.entry(session).or_insert(fresh);
            }
        }
    }

    /// Grants the lease of `session` and returns the epoch granted, or `None` where the session
    /// is unknown here or has ended.
    pub fn renew(
        &mut self,
        now: Moment,
        session: SessionId,
        epoch: Epoch,
        times: &LeaseTimes,
    ) -> Option<Epoch> {
        let heard = self.heard.get_mut(&session)?;
        heard.ended |= now.since(heard.last) > times.expiry_delay();
        if heard.ended {
            return None;
        }
        heard.last = now;
        heard.epoch = heard.epoch.max(epoch);
        Some(heard.epoch)
    }

    /// Allows each session `span` more of silence: a later statement is always safe.
    pub fn postpone(&mut self, span: Duration) {
        for heard in self.heard.values_mut() {
            heard.last = heard.last + span;
        }
    }

    /// States the end of each session that has been silent for too long, and returns the
    /// statements: each session with the highest epoch granted to it.
    pub fn expire(&mut self, now: Moment, times: &LeaseTimes) -> Vec<(SessionId, Epoch)> {
        for heard in self.heard.values_mut() {
            heard.ended |= now.since(heard.last) > times.expiry_delay();
        }
        let ended = self.heard.iter().filter(|(_, h)| h.ended);
        ended.map(|(&s, h)| (s, h.epoch)).collect()
    }
}
