//! The join requests of daemons that are not members yet, or whose member info changed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::join_request::JoinRequest;
use crate::process::moment::Moment;
use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::table::Table;

/// How long a join request is valid; a running process repeats it sooner.
const REQUEST_LIFETIME: Duration = Duration::from_secs(2);

/// The join requests that a daemon received recently.
#[derive(Debug, Default)]
pub struct JoinRequests {
    received: BTreeMap<InstanceId, (Moment, JoinRequest)>,
}

impl JoinRequests {
    /// Records a join request that was received at `now`.
    pub fn record(&mut self, now: Moment, request: JoinRequest) {
        let instance = request.info.session.instance;
        self.received.insert(instance, (now, request));
    }

    /// Returns the member info of the valid join requests under `table`, and removes the expired ones.
    /// The request of a former member is not valid: its session has ended.
    pub fn current(&mut self, now: Moment, table: &Table) -> BTreeMap<InstanceId, MemberInfo> {
        self.received
            .retain(|_, (at, _)| now.since(*at) <= REQUEST_LIFETIME);
        let requests = self.received.iter().map(|(&i, (_, request))| (i, request));
        requests
            .filter(|(_, r)| !r.is_member || table.members.contains_key(&r.info.session))
            .map(|(i, r)| (i, r.info.clone()))
            .collect()
    }

    /// Removes the join requests that `table` fulfils.
    pub fn forget_fulfilled(&mut self, table: &Table) {
        self.received.retain(|_, (_, request)| {
            let listed = table.members.get(&request.info.session);
            listed.is_none_or(|m| m.info != request.info)
        });
    }
}
