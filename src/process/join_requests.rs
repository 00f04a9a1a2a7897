//! The join requests of daemons that are not members yet, or whose member info changed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::moment::Moment;
use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::table::Table;

/// How long a join request is valid; a running process repeats it sooner.
const REQUEST_LIFETIME: Duration = Duration::from_secs(2);

/// The join requests that a daemon received recently.
#[derive(Debug, Default)]
pub struct JoinRequests {
    received: BTreeMap<InstanceId, (Moment, MemberInfo)>,
}

impl JoinRequests {
    /// Records a join request that was received at `now`.
    pub fn record(&mut self, now: Moment, info: MemberInfo) {
        self.received.insert(info.session.instance, (now, info));
    }

    /// Returns the valid join requests, and removes the expired ones.
    pub fn current(&mut self, now: Moment) -> BTreeMap<InstanceId, MemberInfo> {
        self.received
            .retain(|_, (at, _)| now.since(*at) <= REQUEST_LIFETIME);
        self.received
            .iter()
            .map(|(&i, (_, info))| (i, info.clone()))
            .collect()
    }

    /// Removes the join requests that `table` fulfils.
    pub fn forget_fulfilled(&mut self, table: &Table) {
        self.received.retain(|_, (_, info)| {
            let listed = table.members.get(&info.session);
            listed.is_none_or(|m| m.info != *info)
        });
    }
}
