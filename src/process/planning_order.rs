//! The order in which the daemons of a cell take over planning.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::process::planner_priority::PlannerPriority;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::member::{Member, MemberInfo};
use crate::version::session_id::SessionId;
use crate::version::table::Table;

/// The planning order of the members that are not known to have ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlanningOrder<'a> {
    table: &'a Table,
    end_certificates: &'a BTreeMap<SessionId, Epoch>,
}

impl<'a> PlanningOrder<'a> {
    /// Creates the planning order under `table`; `end_certificates` has the sessions known to have
    /// ended.
    pub(crate) fn new(table: &'a Table, end_certificates: &'a BTreeMap<SessionId, Epoch>) -> Self {
        Self {
            table,
            end_certificates,
        }
    }

    /// Returns the addresses of the first `count` members, without the one at `own_peer`.
    pub(crate) fn first_peers(&self, count: usize, own_peer: SocketAddr) -> Vec<SocketAddr> {
        let others = self.live_members().map(|(_, m)| m);
        let mut order: Vec<_> = others
            .filter(|m| m.info.peer != own_peer)
            .map(|m| (self.priority(m), m.info.peer))
            .collect();
        order.sort_unstable();
        order.truncate(count);
        order.into_iter().map(|(_, peer)| peer).collect()
    }

    /// Returns how many live members of the failure domain of `session` come before it, or `None`
    /// if it is no member.
    pub(crate) fn domain_position(&self, session: SessionId) -> Option<usize> {
        let own = self.table.members.get(&session)?;
        let own_priority = self.priority(own);
        let in_domain = self.live_members().map(|(_, m)| m);
        let in_domain = in_domain.filter(|m| m.info.domain == own.info.domain);
        let before = in_domain.filter(|m| self.priority(m) < own_priority);
        Some(before.count())
    }

    /// Returns how many daemons come before `instance` when those with join requests count too, or
    /// `None` if it is not among them.
    pub(crate) fn position(
        &self,
        instance: InstanceId,
        join_requests: &BTreeMap<InstanceId, MemberInfo>,
    ) -> Option<usize> {
        // A join request from a member's address by another instance shows that the member is gone.
        let instance_at = join_requests
            .values()
            .map(|info| (info.peer, info.session.instance));
        let instance_at: BTreeMap<_, _> = instance_at.collect();
        let present = self.live_members().filter(|(s, m)| {
            let instance = instance_at.get(&m.info.peer);
            instance.is_none_or(|i| *i == s.instance)
        });
        let mut order: Vec<PlannerPriority> = present.map(|(_, m)| self.priority(m)).collect();
        let known: BTreeSet<InstanceId> = order.iter().map(|p| p.instance).collect();
        let joining = join_requests.iter().filter(|(i, _)| !known.contains(i));
        order.extend(joining.map(|(_, info)| PlannerPriority::new(self.table, info, true)));
        order.sort_unstable();
        order.dedup_by_key(|p| p.instance);
        order.iter().position(|p| p.instance == instance)
    }

    fn live_members(&self) -> impl Iterator<Item = (&'a SessionId, &'a Member)> {
        let end_certificates = self.end_certificates;
        let members = self.table.members.iter();
        members.filter(|(s, _)| !end_certificates.contains_key(s))
    }

    fn priority(&self, member: &Member) -> PlannerPriority {
        PlannerPriority::new(self.table, &member.info, false)
    }
}
