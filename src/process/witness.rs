//! The witness role of a daemon: grants leases and issues end statements for expired sessions.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::lease_times::LeaseTimes;
use crate::process::moment::Moment;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::session_id::SessionId;
use crate::version::table::Table;

/// The state of a session that this process witnesses.
#[derive(Clone, Copy, Debug)]
struct WitnessedSession {
    /// The epoch of the table that made this process a witness of the session.
    since: Epoch,
    last_renewal: Moment,
    granted_epoch: Epoch,
    ended: bool,
}

/// The sessions that one process witnesses; kept in memory only, so they are lost with the process.
#[derive(Debug, Default)]
pub struct Witness {
    sessions: BTreeMap<SessionId, WitnessedSession>,
}

impl Witness {
    /// Adds the sessions that `table` assigns to this witness, and removes those that are no longer
    /// in the table.
    pub fn adopt_table(&mut self, now: Moment, table: &Table, me: InstanceId) {
        self.sessions.retain(|s, _| table.members.contains_key(s));
        for (&session, member) in &table.members {
            if member.witnesses.iter().any(|set| set.contains(me)) {
                let new_session = WitnessedSession {
                    since: table.epoch,
                    last_renewal: now,
                    granted_epoch: Epoch::default(),
                    ended: false,
                };
                self.sessions.entry(session).or_insert(new_session);
            }
        }
    }

    /// Grants the lease of `session`, whose daemon has the table of `epoch`; returns the granted epoch,
    /// or `None` if the session is unknown here or has ended.
    ///
    /// A daemon with a table from before this process became a witness gets no grant: this process may
    /// have ended the session under an earlier table, and forgotten that with a later one.
    pub fn renew(
        &mut self,
        now: Moment,
        session: SessionId,
        epoch: Epoch,
        times: &LeaseTimes,
    ) -> Option<Epoch> {
        let witnessed = self.sessions.get_mut(&session)?;
        witnessed.ended |= now.since(witnessed.last_renewal) > times.expiry_delay();
        if witnessed.ended || epoch < witnessed.since {
            return None;
        }
        witnessed.last_renewal = now;
        witnessed.granted_epoch = witnessed.granted_epoch.max(epoch);
        Some(witnessed.granted_epoch)
    }

    /// Extends the time that each session may stay silent by `span`; a later end statement is
    /// always safe.
    pub fn extend_deadlines(&mut self, span: Duration) {
        for witnessed in self.sessions.values_mut() {
            witnessed.last_renewal = witnessed.last_renewal + span;
        }
    }

    /// Ends each session that has been silent for too long; returns all ended sessions with the
    /// highest epoch granted to each.
    pub fn expire(&mut self, now: Moment, times: &LeaseTimes) -> Vec<(SessionId, Epoch)> {
        for witnessed in self.sessions.values_mut() {
            witnessed.ended |= now.since(witnessed.last_renewal) > times.expiry_delay();
        }
        let ended = self.sessions.iter().filter(|(_, w)| w.ended);
        ended.map(|(&s, w)| (s, w.granted_epoch)).collect()
    }
}
