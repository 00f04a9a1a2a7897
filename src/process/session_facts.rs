//! The facts about sessions that daemons exchange; merging is commutative and idempotent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::session_id::SessionId;
use crate::version::witness_set::WitnessSet;

/// Facts about sessions; none is ever withdrawn, and epochs only rise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionFacts {
    /// The highest epoch that each session has announced as adopted, with all work on the slices
    /// that it took away finished or cancelled.
    pub adopted: BTreeMap<SessionId, Epoch>,
    /// The highest epoch that each session has announced as confirmed by its witnesses.
    pub confirmed: BTreeMap<SessionId, Epoch>,
    /// The end statements of each session by witness, with the highest epoch that the witness had
    /// granted.
    pub ended: BTreeMap<SessionId, BTreeMap<InstanceId, Epoch>>,
    /// The sessions whose end they themselves or their successors announced, with their last epoch.
    pub resigned: BTreeMap<SessionId, Epoch>,
}

impl SessionFacts {
    /// Creates the fact that `session` has adopted `epoch`.
    pub fn from_adopted(session: SessionId, epoch: Epoch) -> Self {
        Self {
            adopted: BTreeMap::from([(session, epoch)]),
            ..Self::default()
        }
    }

    /// Creates the fact that the witnesses of `session` have confirmed `epoch`.
    pub fn from_confirmed(session: SessionId, epoch: Epoch) -> Self {
        Self {
            confirmed: BTreeMap::from([(session, epoch)]),
            ..Self::default()
        }
    }

    /// Creates the end statements of `witness` about sessions, each with the highest epoch that it
    /// had granted.
    pub fn from_ended(
        witness: InstanceId,
        ended: impl IntoIterator<Item = (SessionId, Epoch)>,
    ) -> Self {
        let ended = ended.into_iter();
        let statements = ended.map(|(s, epoch)| (s, BTreeMap::from([(witness, epoch)])));
        Self {
            ended: statements.collect(),
            ..Self::default()
        }
    }

    /// Creates the announcements that sessions have ended, each with its last epoch.
    pub fn from_resigned(resigned: impl IntoIterator<Item = (SessionId, Epoch)>) -> Self {
        Self {
            resigned: resigned.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Returns the adopted and confirmed epochs of the sessions of `instance`.
    pub fn progress_of(&self, instance: InstanceId) -> Self {
        Self {
            adopted: entries_of(&self.adopted, instance),
            confirmed: entries_of(&self.confirmed, instance),
            ..Self::default()
        }
    }

    /// Returns the end statements made by `witness`, and all announcements that sessions have ended.
    pub fn ends_stated_by(&self, witness: InstanceId) -> Self {
        let ended = self.ended.iter();
        let stated = ended.filter_map(|(&s, by)| Some((s, *by.get(&witness)?)));
        Self {
            resigned: self.resigned.clone(),
            ..Self::from_ended(witness, stated)
        }
    }

    /// Returns whether there are no facts.
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

    /// Merges the facts of `other` about sessions for which `accepts` holds; returns the new ones.
    pub fn merge(
        &mut self,
        other: SessionFacts,
        accepts: impl Fn(SessionId) -> bool,
    ) -> SessionFacts {
        let mut new_facts = SessionFacts::default();
        raise_entries(
            &mut self.adopted,
            other.adopted,
            &accepts,
            &mut new_facts.adopted,
        );
        raise_entries(
            &mut self.confirmed,
            other.confirmed,
            &accepts,
            &mut new_facts.confirmed,
        );
        raise_entries(
            &mut self.resigned,
            other.resigned,
            &accepts,
            &mut new_facts.resigned,
        );
        for (session, statements) in other.ended.into_iter().filter(|(s, _)| accepts(*s)) {
            let known = self.ended.entry(session).or_default();
            for (witness, epoch) in statements {
                if raise_entry(known, witness, epoch) {
                    new_facts
                        .ended
                        .entry(session)
                        .or_default()
                        .insert(witness, epoch);
                }
            }
        }
        new_facts
    }

    /// Removes the facts about sessions for which `keep` does not hold.
    pub fn retain(&mut self, keep: impl Fn(SessionId) -> bool) {
        self.adopted.retain(|&s, _| keep(s));
        self.confirmed.retain(|&s, _| keep(s));
        self.ended.retain(|&s, _| keep(s));
        self.resigned.retain(|&s, _| keep(s));
    }

    /// Returns the epoch of the end certificate of `session` if there is one: its resignation, or
    /// the end statements of a majority of each set.
    ///
    /// The session has used no epoch above the one returned.
    pub fn end_certificate(&self, session: SessionId, sets: &[WitnessSet]) -> Option<Epoch> {
        if let Some(&epoch) = self.resigned.get(&session) {
            return Some(epoch);
        }
        let statements = self.ended.get(&session)?;
        let mut epoch = Epoch::default();
        for set in sets {
            let epochs = set.instances().filter_map(|i| statements.get(&i));
            let epochs: Vec<Epoch> = epochs.copied().collect();
            if epochs.len() < set.majority() {
                return None;
            }
            epoch = epochs.into_iter().fold(epoch, Epoch::max);
        }
        (!sets.is_empty()).then_some(epoch)
    }
}

/// Returns the entries of the sessions of `instance`.
fn entries_of(
    epochs: &BTreeMap<SessionId, Epoch>,
    instance: InstanceId,
) -> BTreeMap<SessionId, Epoch> {
    let own = epochs.iter().filter(|(s, _)| s.instance == instance);
    own.map(|(&s, &epoch)| (s, epoch)).collect()
}

/// Raises the entries of `known` to the accepted ones of `other`; adds the raised ones to
/// `new_facts`.
fn raise_entries(
    known: &mut BTreeMap<SessionId, Epoch>,
    other: BTreeMap<SessionId, Epoch>,
    accepts: impl Fn(SessionId) -> bool,
    new_facts: &mut BTreeMap<SessionId, Epoch>,
) {
    for (session, epoch) in other.into_iter().filter(|(s, _)| accepts(*s)) {
        if raise_entry(known, session, epoch) {
            new_facts.insert(session, epoch);
        }
    }
}

/// Raises the entry of `key` to `epoch`; returns whether it changed.
fn raise_entry<K: Ord>(map: &mut BTreeMap<K, Epoch>, key: K, epoch: Epoch) -> bool {
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
