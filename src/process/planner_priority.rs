//! Order in which daemons take over planning.

use std::cmp::Reverse;

use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::table::Table;

/// Sort key of a daemon in the planning order: members first, then by processor share, then the
/// current planner.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlannerPriority {
    /// Whether the daemon is not a member yet.
    is_joining: bool,
    /// Processor share of the host; the largest share comes first.
    cpu_share: Reverse<u32>,
    /// Whether another daemon wrote the current table.
    is_not_current_planner: bool,
    /// Daemon that this is the sort key of.
    pub(crate) instance: InstanceId,
}

impl PlannerPriority {
    /// Creates the sort key of a daemon under `table`; `is_joining` is set if it is not a member
    /// yet.
    pub(crate) fn new(table: &Table, info: &MemberInfo, is_joining: bool) -> Self {
        let instance = info.session.instance;
        Self {
            is_joining,
            cpu_share: Reverse(info.cpu_share),
            is_not_current_planner: instance != table.planner,
            instance,
        }
    }
}
