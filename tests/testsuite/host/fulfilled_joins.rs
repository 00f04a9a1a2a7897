//! Join requests in the store that were fulfilled long ago.

use std::net::Ipv4Addr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use foxtaildrift::Table;
use foxtaildrift::process::host::store_sync::StoreSync;
use foxtaildrift::process::stop_flag::StopFlag;
use foxtaildrift::process::store::{
    CommitOutcome, JOIN_REQUEST_PREFIX, KeyValue, RangeResponse, Store, StoreError, TABLE_KEY,
    Transaction, WatchResponse,
};
use foxtaildrift::process::store_position::StorePosition;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{Member, MemberInfo};
use foxtaildrift::version::routing_config::RoutingConfig;

use super::store_sync::{PlainOperators, changes, item, membership, range};

/// A store whose watches tell nothing; records the tables that are written to it.
#[derive(Default)]
struct SilentStore {
    items: Mutex<Vec<KeyValue>>,
    written: Mutex<Vec<Table>>,
}

impl Store for SilentStore {
    fn range(&self, prefix: &str) -> Result<RangeResponse, StoreError> {
        let items = self.items.lock().unwrap();
        let matching = items.iter().filter(|i| i.key.starts_with(prefix));
        Ok(range(matching.cloned().collect(), 5))
    }

    fn watch(
        &self,
        _: &str,
        _: StorePosition,
        wait: Duration,
    ) -> Result<WatchResponse, StoreError> {
        thread::sleep(wait.min(Duration::from_millis(50)));
        Ok(changes(Vec::new(), 5))
    }

    fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, StoreError> {
        let tables = transaction.puts.iter().filter(|(key, _)| key == TABLE_KEY);
        let tables = tables.map(|(_, value)| Table::decode(value).unwrap());
        self.written.lock().unwrap().extend(tables);
        Err(StoreError::Refused(503))
    }

    fn close(&self) {}
}

/// Guards against a daemon that did not watch the store when the join request of another was removed,
/// becomes the planner, and makes that one a member again after it has ended: keys and quotas were
/// moved to a dead daemon for a lease time, eight seconds after its loss.
#[test]
fn a_join_request_that_was_fulfilled_is_not_fulfilled_again() {
    let membership = membership();
    membership.adopt_routing_config(RoutingConfig {
        version: DocumentVersion::from(1_u64),
        ..RoutingConfig::default()
    });
    let own = membership.with_ownership(|o, _| o.info().clone());
    let mut other = own.clone();
    other.session.instance = InstanceId(2);
    other.peer.set_ip(Ipv4Addr::new(127, 0, 0, 2).into());
    let table = |epoch, members: &[&MemberInfo]| {
        let member = |info: &&MemberInfo| Member {
            info: (*info).clone(),
            witnesses: Vec::new(),
            witnesses_since: Epoch::default(),
            witnesses_confirming: false,
        };
        let members = members.iter().map(|i| (i.session, member(i)));
        Table {
            epoch: Epoch(epoch),
            members: members.collect(),
            ..Table::default()
        }
    };
    let stored = |table: &Table, revision| {
        let value = postcard::to_stdvec(table).unwrap();
        item(TABLE_KEY, &value, revision)
    };
    let request = postcard::to_stdvec(&other).unwrap();
    let request = item(&format!("{JOIN_REQUEST_PREFIX}2"), &request, 3);
    let store = Arc::new(SilentStore::default());
    *store.items.lock().unwrap() = vec![stored(&table(1, &[&own, &other]), 4), request];
    let stop = StopFlag::default();
    let sync = StoreSync::new(
        Arc::clone(&store) as Arc<dyn Store>,
        Arc::new(PlainOperators),
        Arc::clone(&membership),
        InstanceId(1),
    );
    thread::scope(|scope| {
        scope.spawn(|| sync.sync_table(&stop));
        scope.spawn(|| sync.run_planner(&stop));
        thread::sleep(Duration::from_millis(500));
        let without = table(2, &[&own]);
        *store.items.lock().unwrap() = vec![stored(&without, 5)];
        membership.adopt_platform_table(without);
        thread::sleep(Duration::from_millis(2500));
        stop.set();
    });
    let written = store.written.lock().unwrap();
    let former = written.iter().filter(|t| t.epoch > Epoch(2));
    let returns = |t: &Table| t.members.contains_key(&other.session);
    assert!(!former.clone().any(returns), "{} tables", written.len());
}
