//! A daemon of the product that is the only member of its cell, without listeners.

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use foxtaildrift::connection::peer_pool::{PeerPool, PeerTimeouts};
use foxtaildrift::connection::reactor::Reactor;
use foxtaildrift::process::clock::{Clock, SystemClock};
use foxtaildrift::process::key_owner::KeyOwner;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::membership::Membership;
use foxtaildrift::process::metrics::Metrics;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::upstream_dispatcher::UpstreamDispatcher;
use foxtaildrift::version::assignment::Assignment;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, Member, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::table::{ServiceSlices, Table};
use foxtaildrift::version::witness_set::{WitnessAddress, WitnessSet};

use crate::product_upstream;

/// Memory for records, in bytes.
const RECORD_BYTES: usize = 1 << 20;

/// A daemon that is the only member, its own witness and the owner of the only slice.
pub struct OnlyMember {
    /// Membership.
    pub membership: Arc<Membership>,
    /// Dispatcher of its upstream.
    pub dispatcher: Arc<UpstreamDispatcher>,
    /// Serves the keys that it owns.
    pub owner: Arc<KeyOwner>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Sends its calls; a test stops it at the end.
    pub reactor: Arc<Reactor>,
}

impl OnlyMember {
    /// Starts the threads of the daemon that call others.
    pub fn start() -> Self {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let socket = UdpSocket::bind("127.0.0.1:0").expect("could not bind a port");
        let peer = socket.local_addr().expect("no local address");
        let session = SessionId {
            instance: InstanceId(1),
            tenure: 1,
        };
        let info = MemberInfo {
            session,
            peer,
            entry: peer,
            domain: "zarzis".parse().expect("valid name"),
            upstream: None,
            leaving: false,
            weight: WEIGHT_FULL,
            cpu_share: CPU_SHARE_DEFAULT,
        };
        let times = LeaseTimes::default();
        let ownership = Ownership::new(1, times, info.clone(), clock.now(), 7);
        let reactor = Reactor::start().expect("no reactor");
        let pool = PeerPool::new(&reactor, peer.ip(), PeerTimeouts::default());
        let pool = Arc::new(pool);
        let metrics = Arc::new(Metrics::new().expect("no metrics"));
        let (events, _) = mpsc::channel();
        let membership = Membership::new(
            Arc::clone(&clock),
            ownership,
            socket,
            Arc::clone(&pool),
            Arc::clone(&metrics),
            events,
        );
        let membership = Arc::new(membership.expect("no membership"));
        membership.adopt_platform_table(table(info));
        let dispatcher = Arc::new(UpstreamDispatcher::new(Arc::clone(&clock), |_| {}));
        let owner = Arc::new(KeyOwner::new(
            clock,
            Arc::clone(&membership),
            Arc::clone(&dispatcher),
            pool,
            RECORD_BYTES,
            Duration::ZERO,
        ));
        Self {
            membership,
            dispatcher,
            owner,
            metrics,
            reactor,
        }
    }

    /// Returns the session of the daemon.
    pub fn session(&self) -> SessionId {
        self.membership.with_ownership(|o, _| o.info().session)
    }
}

/// Returns a table whose only member is its own witness and owns the only slice.
pub fn table(info: MemberInfo) -> Table {
    let session = info.session;
    let witness = WitnessAddress {
        instance: session.instance,
        peer: info.peer,
    };
    let member = Member {
        info,
        witnesses: vec![WitnessSet(vec![witness])],
        witnesses_since: Epoch(1),
        witnesses_confirming: false,
    };
    let assignment = Assignment {
        candidates: vec![session],
        since: Epoch(1),
        ..Assignment::default()
    };
    let slices = ServiceSlices {
        slices: vec![assignment],
        range_starts: Vec::new(),
    };
    Table {
        epoch: Epoch(1),
        planner: session.instance,
        members: BTreeMap::from([(session, member)]),
        services: BTreeMap::from([(product_upstream::service(), slices)]),
        ..Table::default()
    }
}
