//! What daemons say of themselves that want to join, or that changed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::process::moment::Moment;
use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::table::Table;

/// How long a wish holds that is not repeated: a process that is gone repeats none.
const WISH_TIME: Duration = Duration::from_secs(2);

/// The wishes that a daemon heard lately.
#[derive(Debug, Default)]
pub struct JoinRequests {
    heard: BTreeMap<InstanceId, (Moment, MemberInfo)>,
}

impl JoinRequests {
    /// Takes in a wish.
    pub fn record(&mut self, now: Moment, info: MemberInfo) {
        self.heard.insert(info.session.instance, (now, info));
    }

    /// Returns the wishes that hold, and forgets the others.
    pub fn current(&mut self, now: Moment) -> BTreeMap<InstanceId, MemberInfo> {
        self.heard.retain(|_, (at, _)| now.since(*at) <= WISH_TIME);
        self.heard
            .iter()
            .map(|(&i, (_, info))| (i, info.clone()))
            .collect()
    }

    /// Forgets the wishes that `table` fulfils.
    pub fn forget_fulfilled(&mut self, table: &Table) {
        self.heard.retain(|_, (_, info)| {
            let listed = table.members.get(&info.session);
            listed.is_none_or(|m| m.info != *info)
        });
    }
}
