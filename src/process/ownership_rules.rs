//! The rules that decide whether a daemon may serve a slice.

use std::collections::{BTreeMap, BTreeSet};

use crate::process::lease_times::LeaseTimes;
use crate::process::moment::Moment;
use crate::process::not_serving::NotServing;
use crate::process::own_session::OwnSession;
use crate::process::serve_permit::ServePermit;
use crate::process::session_facts::SessionFacts;
use crate::version::assignment::FormerCandidate;
use crate::version::epoch::Epoch;
use crate::version::fencing_token::FencingToken;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;
use crate::version::table::Table;

/// What a daemon knows when it decides which slices it may serve.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnershipRules<'a> {
    /// The adopted table.
    pub(crate) table: &'a Table,
    /// The daemon's own session.
    pub(crate) session: &'a OwnSession,
    /// The known facts about sessions.
    pub(crate) facts: &'a SessionFacts,
    /// The sessions known to have ended, each with the last epoch that it may have used.
    pub(crate) end_certificates: &'a BTreeMap<SessionId, Epoch>,
    /// The times of the leases.
    pub(crate) times: &'a LeaseTimes,
}

impl OwnershipRules<'_> {
    /// Returns the time until which the daemon's session is live, or `None` if it has lapsed.
    pub(crate) fn live_until(&self, now: Moment) -> Option<Moment> {
        let member = self.table.members.get(&self.session.id)?;
        let until = self.session.live_until(&member.witnesses, self.times)?;
        (until > now).then_some(until)
    }

    /// Returns the permit to serve `slice` now; `held` is the token of the slice that stays in use
    /// until the witnesses confirm the epoch of its assignment.
    ///
    /// # Errors
    ///
    /// Returns why the daemon does not serve the slice.
    pub(crate) fn permit(
        &self,
        now: Moment,
        service: &ServiceName,
        slice: SliceId,
        held: Option<FencingToken>,
    ) -> Result<ServePermit, NotServing> {
        let (rank, until) = self.check(now, service, slice)?;
        let assignment = self
            .table
            .assignment(service, slice)
            .ok_or(NotServing::UnknownSlice)?;
        let member = self
            .table
            .members
            .get(&self.session.id)
            .ok_or(NotServing::NotCandidate)?;
        if self.session.confirmed(&member.witnesses) < assignment.since {
            let token = held.ok_or(NotServing::EpochUnconfirmed)?;
            return Ok(ServePermit {
                slice,
                token,
                until,
            });
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let incarnation = self.session.incarnation;
        let token = FencingToken {
            since: assignment.since,
            rank,
            incarnation,
        };
        // A table that assigns the slice at an earlier epoch must not lower the token.
        let token = held.map_or(token, |h| h.max(token));
        Ok(ServePermit {
            slice,
            token,
            until,
        })
    }

    /// Checks the ownership rules for a slice, whether or not the witnesses have confirmed the
    /// epoch; returns the daemon's rank among the candidates and when its lease expires.
    ///
    /// # Errors
    ///
    /// Returns the rule that does not hold.
    pub(crate) fn check(
        &self,
        now: Moment,
        service: &ServiceName,
        slice: SliceId,
    ) -> Result<(usize, Moment), NotServing> {
        let assignment = self
            .table
            .assignment(service, slice)
            .ok_or(NotServing::UnknownSlice)?;
        let rank = assignment
            .rank(self.session.id)
            .ok_or(NotServing::NotCandidate)?;
        let until = self.live_until(now).ok_or(NotServing::LeaseLapsed)?;
        if !assignment.candidates[..rank]
            .iter()
            .all(|&s| self.has_ended_by_adopted_epoch(s))
        {
            return Err(NotServing::NotFirst);
        }
        if !assignment
            .former_candidates
            .iter()
            .all(|(&s, former)| self.has_released(s, former))
        {
            return Err(NotServing::NotReleased);
        }
        Ok((rank, until))
    }

    /// Returns whether records handed over at `handover_epoch` are complete for a slice: each
    /// former candidate announced its release, and none ended before it did.
    pub(crate) fn is_handover_complete(
        &self,
        service: &ServiceName,
        slice: SliceId,
        handover_epoch: Epoch,
    ) -> bool {
        let Some(assignment) = self.table.assignment(service, slice) else {
            return false;
        };
        let released = |(&s, former): (&SessionId, &FormerCandidate)| {
            s == self.session.id
                || former.predecessors.contains(&self.session.id)
                || self.facts.adopted(s) >= former.release_epoch
        };
        let recent =
            handover_epoch == assignment.since || handover_epoch == assignment.previous_since;
        recent
            && assignment.records_lost_at < handover_epoch
            && assignment.former_candidates.iter().all(released)
    }

    /// Returns the former candidates whose release alone keeps the daemon from serving a slice.
    pub(crate) fn unreleased_former_candidates(&self, now: Moment) -> BTreeSet<SessionId> {
        let mut unreleased = BTreeSet::new();
        for (service, slice, assignment) in self.table.assignments() {
            let mine = assignment.rank(self.session.id).is_some();
            if mine && self.check(now, service, slice) == Err(NotServing::NotReleased) {
                let former = assignment.former_candidates.iter();
                let former = former.filter(|(s, f)| !self.has_released(**s, f));
                unreleased.extend(former.map(|(s, _)| *s));
            }
        }
        unreleased
    }

    /// Returns the latest epoch that assigned the present candidates to a slice of which the daemon
    /// is a candidate.
    pub(crate) fn newest_assignment_epoch(&self) -> Epoch {
        let mine = self.table.assignments().map(|(_, _, a)| a);
        let mine = mine.filter(|a| a.rank(self.session.id).is_some());
        mine.map(|a| a.since).max().unwrap_or_default()
    }

    /// Returns whether `session` is known to have ended without using an epoch newer than the
    /// adopted one.
    fn has_ended_by_adopted_epoch(&self, session: SessionId) -> bool {
        self.end_certificates
            .get(&session)
            .is_some_and(|&epoch| epoch <= self.table.epoch)
    }

    /// Returns whether `session` has released the slice, or cannot serve it while this daemon is
    /// live.
    fn has_released(&self, session: SessionId, former: &FormerCandidate) -> bool {
        session == self.session.id
            || former.predecessors.contains(&self.session.id)
            || self.facts.adopted(session) >= former.release_epoch
            || self.has_ended_by_adopted_epoch(session)
    }
}
