//! In which order processes step in to plan.

use std::cmp::Reverse;

use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::table::Table;

/// The place of a process in the order in which they plan.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlannerPriority {
    /// Whether it is no member yet.
    outside: bool,
    /// The strongest host comes first.
    weakness: Reverse<u32>,
    /// Whether another process wrote the present table.
    other: bool,
    /// The process.
    pub(super) instance: InstanceId,
}

impl PlannerPriority {
    /// Returns the place of a process under a table; `outside` tells that it is no member yet.
    pub(super) fn of(table: &Table, info: &MemberInfo, outside: bool) -> Self {
        let instance = info.session.instance;
        Self {
            outside,
            weakness: Reverse(info.strength),
            other: instance != table.planner,
            instance,
        }
    }
}
