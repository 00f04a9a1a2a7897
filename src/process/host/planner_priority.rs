//! In which order processes step in to plan.

use std::cmp::Reverse;

use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::table::Table;

/// The place of a process in the order in which they plan.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlannerPriority {
    /// Whether it is no member yet.
    is_joining: bool,
    /// The strongest host comes first.
    cpu_share: Reverse<u32>,
    /// Whether another process wrote the present table.
    is_not_current_planner: bool,
    /// The process.
    pub(super) instance: InstanceId,
}

impl PlannerPriority {
    /// Returns the place of a process under a table; `is_joining` tells that it is no member yet.
    pub(super) fn new(table: &Table, info: &MemberInfo, is_joining: bool) -> Self {
        let instance = info.session.instance;
        Self {
            is_joining,
            cpu_share: Reverse(info.strength),
            is_not_current_planner: instance != table.planner,
            instance,
        }
    }
}
