//! What daemons tell each other of sessions; merging it in any order gives the same.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::session_id::SessionId;
use crate::version::witness_set::WitnessSet;

/// Statements on sessions, none of which is ever taken back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionFacts {
    /// The highest epoch that each session has adopted, by its own word.
    pub adopted: BTreeMap<SessionId, Epoch>,
    /// The highest epoch that each session's witnesses are known to have confirmed, by its own word.
    pub confirmed: BTreeMap<SessionId, Epoch>,
    /// The witnesses that state a session's end, with the highest epoch each granted it.
    pub ended: BTreeMap<SessionId, BTreeMap<InstanceId, Epoch>>,
    /// The sessions that ended by their own or their successor's word, with their last epoch.
    pub resigned: BTreeMap<SessionId, Epoch>,
}

impl SessionFacts {
    /// Returns whether there is no statement.
    pub fn is_empty(&self) -> bool {
        self.adopted.is_empty()
            && self.confirmed.is_empty()
            && self.ended.is_empty()
            && self.resigned.is_empty()
    }

    /// Returns the epoch that `session` is known to have adopted.
    pub fn adopted(&self, session: SessionId) -> Epoch {
        self.adopted.get(&session).copied().unwrap_or_default()
    }

    /// Returns the epoch that the witnesses of `session` are known to have confirmed.
    pub fn confirmed(&self, session: SessionId) -> Epoch {
        self.confirmed.get(&session).copied().unwrap_or_default()
    }

    /// Takes in the statements of `other` on sessions that `wanted` names; returns the new ones.
    pub fn merge(
        &mut self,
        other: SessionFacts,
        wanted: impl Fn(SessionId) -> bool,
    ) -> SessionFacts {
        let mut news = SessionFacts::default();
        raise_all(&mut self.adopted, other.adopted, &wanted, &mut news.adopted);
        raise_all(
            &mut self.confirmed,
            other.confirmed,
            &wanted,
            &mut news.confirmed,
        );
        raise_all(
            &mut self.resigned,
            other.resigned,
            &wanted,
            &mut news.resigned,
        );
        for (session, statements) in other.ended.into_iter().filter(|(s, _)| wanted(*s)) {
            let known = self.ended.entry(session).or_default();
            for (witness, epoch) in statements {
                if raise(known, witness, epoch) {
                    news.ended
                        .entry(session)
                        .or_default()
                        .insert(witness, epoch);
                }
            }
        }
        news
    }

    /// Forgets the sessions that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(SessionId) -> bool) {
        self.adopted.retain(|&s, _| keep(s));
        self.confirmed.retain(|&s, _| keep(s));
        self.ended.retain(|&s, _| keep(s));
        self.resigned.retain(|&s, _| keep(s));
    }

    /// Returns the epoch of the certificate that `session` has ended, if there is one: its own
    /// resignation, or the statements of a majority of each set.
    ///
    /// The session has used no epoch above the one returned.
    pub fn certificate(&self, session: SessionId, sets: &[WitnessSet]) -> Option<Epoch> {
        if let Some(&epoch) = self.resigned.get(&session) {
            return Some(epoch);
        }
        let statements = self.ended.get(&session)?;
        let mut epoch = Epoch::default();
        for set in sets {
            let stated = set.instances().filter_map(|i| statements.get(&i));
            let stated: Vec<Epoch> = stated.copied().collect();
            if stated.len() < set.majority() {
                return None;
            }
            epoch = stated.into_iter().fold(epoch, Epoch::max);
        }
        (!sets.is_empty()).then_some(epoch)
    }
}

/// Raises the entries of `known` to those of `other` that are wanted; notes the new ones.
fn raise_all(
    known: &mut BTreeMap<SessionId, Epoch>,
    other: BTreeMap<SessionId, Epoch>,
    wanted: impl Fn(SessionId) -> bool,
    news: &mut BTreeMap<SessionId, Epoch>,
) {
    for (session, epoch) in other.into_iter().filter(|(s, _)| wanted(*s)) {
        if raise(known, session, epoch) {
            news.insert(session, epoch);
        }
    }
}

/// Raises the entry of `key` to `epoch`; returns whether that is news.
fn raise<K: Ord>(map: &mut BTreeMap<K, Epoch>, key: K, epoch: Epoch) -> bool {
    match map.get_mut(&key) {
        Some(known) if *known >= epoch => false,
        Some(known) => {
            *known = epoch;
            true
        }
        None => {
            map.insert(key, epoch);
            true
        }
    }
}
