//! Plans the next assignment table without keeping state.
//!
//! A plan is a pure function of the present table, the document and what the planner's daemon
//! knows, so a planner that is killed midway leaves nothing to clean up.

pub mod balance;
pub mod members;
pub mod ranges;
pub mod slices;
pub mod witnesses;

use std::collections::BTreeMap;

use crate::process::load_report::LoadReport;
use crate::process::session_facts::SessionFacts;
use crate::version::assignment::Assignment;
use crate::version::document::Document;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::table::{ServiceSlices, Table};

/// The input of a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The table that the planner's daemon has adopted.
    pub table: &'a Table,
    /// The document that the planner's daemon has adopted.
    pub document: &'a Document,
    /// The version of the document.
    pub document_version: DocumentVersion,
    /// The member info of daemons that request to join or to change it.
    pub join_requests: &'a BTreeMap<InstanceId, MemberInfo>,
    /// The session facts that the planner's daemon knows.
    pub facts: &'a SessionFacts,
    /// The sessions that the planner's daemon knows to have ended, each with the last epoch that it
    /// may have used.
    pub end_certificates: &'a BTreeMap<SessionId, Epoch>,
    /// The newest load report of each session.
    pub load_reports: &'a BTreeMap<SessionId, LoadReport>,
    /// The process that runs the planner.
    pub planner: InstanceId,
}

impl PlanInput<'_> {
    /// Returns whether `session` is known to have ended.
    pub fn has_ended(&self, session: SessionId) -> bool {
        self.end_certificates.contains_key(&session)
    }
}

/// Returns the next table, or `None` if the present one needs no change.
pub fn plan(input: &PlanInput<'_>) -> Option<Table> {
    let epoch = input.table.epoch.next();
    let mut next = input.table.clone();
    next.epoch = epoch;
    next.document = input.table.document.max(input.document_version);
    next.members = members::plan(input);
    witnesses::plan(input, epoch, &mut next.members);
    next.services = slices::plan(input, epoch, &next.members);
    if !differs(input.table, &next) {
        return None;
    }
    next.planner = input.planner;
    Some(next)
}

/// Returns whether writing `next` can be deferred to combine it with later changes: it changes
/// neither the document nor the members and their info, adds no service, and the present owner of
/// each slice has not ended.
pub fn can_defer(input: &PlanInput<'_>, next: &Table) -> bool {
    let infos = |table: &Table| -> BTreeMap<SessionId, MemberInfo> {
        let members = table.members.iter();
        members.map(|(&s, m)| (s, m.info.clone())).collect()
    };
    let has_live_owners = |(name, service): (&ServiceName, &ServiceSlices)| {
        let present = input.table.services.get(name);
        let has_live_owner =
            |a: &Assignment| a.candidates.first().is_some_and(|&s| !input.has_ended(s));
        present.is_some_and(|p| p.slices.iter().all(has_live_owner) && !service.slices.is_empty())
    };
    input.table.document == next.document
        && infos(input.table) == infos(next)
        && next.services.iter().all(has_live_owners)
}

/// Returns whether `next` differs from `table` in more than the epoch.
fn differs(table: &Table, next: &Table) -> bool {
    table.members != next.members
        || table.services != next.services
        || table.document != next.document
}
