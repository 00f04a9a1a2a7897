//! Plans the members of a cell.

use std::collections::BTreeMap;

use crate::process::planner::PlanInput;
use crate::version::epoch::Epoch;
use crate::version::member::{Member, MemberInfo};
use crate::version::session_id::SessionId;

/// Returns the members of the next table: the present ones that are not known to have ended, with
/// their newest member info, and the daemons that request to join.
pub fn plan(input: &PlanInput<'_>) -> BTreeMap<SessionId, Member> {
    let mut members = input.table.members.clone();
    members.retain(|&s, _| !input.has_ended(s));
    for info in input.join_requests.values() {
        if !input.has_ended(info.session) && is_newest(&members, info) {
            let member = members
                .entry(info.session)
                .or_insert_with(|| new_member(info));
            member.info = info.clone();
        }
    }
    members
}

/// Returns whether no later session of the same process is a member already.
fn is_newest(members: &BTreeMap<SessionId, Member>, info: &MemberInfo) -> bool {
    let sessions = members
        .keys()
        .filter(|s| s.instance == info.session.instance);
    sessions.max().is_none_or(|&newest| newest <= info.session)
}

/// Returns a new member without witnesses.
fn new_member(info: &MemberInfo) -> Member {
    Member {
        info: info.clone(),
        witnesses: Vec::new(),
        witnesses_since: Epoch::default(),
        witnesses_confirming: false,
    }
}
