//! The parts of a daemon that grant keys, in a cell of two members whose own session is its own
//! witness.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use foxtaildrift::connection::memory_budget::MemoryBudget;
use foxtaildrift::connection::peer_pool::{PeerPool, PeerTimeouts};
use foxtaildrift::connection::protocol::{StatusReport, UpstreamProtocol};
use foxtaildrift::connection::reactor::Reactor;
use foxtaildrift::connection::upstream_pool::UpstreamPool;
use foxtaildrift::process::clock::{Clock, SystemClock};
use foxtaildrift::process::host::grant_manager::GrantManager;
use foxtaildrift::process::host::host_dispatcher::HostDispatcher;
use foxtaildrift::process::host::local_upstream::UpstreamLoss;
use foxtaildrift::process::host::stop_gate::StopGate;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::membership::{Membership, MembershipEvent};
use foxtaildrift::process::metrics::Metrics;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::stop_flag::StopFlag;
use foxtaildrift::version::assignment::{Assignment, FormerCandidate};
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::{Member, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::table::{ServiceSlices, Table};
use foxtaildrift::version::witness_set::{WitnessAddress, WitnessSet};

use crate::host::grants::upstream::{ScriptedProtocol, ScriptedUpstream};

/// The daemon under test.
pub const OWN: InstanceId = InstanceId(1);
/// Another daemon; it does not run.
pub const OTHER: InstanceId = InstanceId(2);
/// A former process of the daemon under test.
const FORMER: InstanceId = InstanceId(9);
/// The sharded service.
pub const SERVICE: &str = "desk";
/// Longest duration of a grant.
const GRANT_MAX: Duration = Duration::from_secs(10);
/// How long the daemon may take to get its lease.
const LIVE_TIME_MAX: Duration = Duration::from_secs(5);

/// Returns the table of `epoch`, which assigns all keys to `candidates`.
pub fn table(epoch: u64, candidates: &[InstanceId]) -> TestTable {
    let first_of = |i: InstanceId| SessionId {
        instance: i,
        tenure: 1,
    };
    let mut assignment = Assignment {
        candidates: candidates.iter().map(|i| first_of(*i)).collect(),
        since: Epoch(epoch),
        ..Assignment::default()
    };
    if candidates.first() != Some(&OWN) {
        let own = FormerCandidate {
            release_epoch: Epoch(epoch),
            predecessors: [].into(),
        };
        assignment.former_candidates.insert(first_of(OWN), own);
    }
    let mut slices = ServiceSlices::ranged(1);
    slices.slices = vec![assignment];
    TestTable(Table {
        epoch: Epoch(epoch),
        planner: OTHER,
        members: BTreeMap::from([member(OWN, peer(OWN)), member(OTHER, peer(OTHER))]),
        services: BTreeMap::from([(SERVICE.parse().unwrap(), slices)]),
        ..Table::default()
    })
}

/// A table of the cell.
pub struct TestTable(Table);

impl TestTable {
    /// Gives a member another address for daemons.
    pub fn with_peer(mut self, instance: InstanceId, address: SocketAddr) -> Self {
        let (session, member) = member(instance, address);
        self.0.members.insert(session, member);
        self
    }

    /// Adds a session of a former process at the address of the daemon under test.
    pub fn with_former_process(mut self) -> Self {
        let (session, member) = member(FORMER, peer(OWN));
        self.0.members.insert(session, member);
        self
    }
}

fn peer(instance: InstanceId) -> SocketAddr {
    ([127, 0, 0, 1], 9 + u16::try_from(instance.0).unwrap()).into()
}

/// Returns a member that is its own witness.
fn member(instance: InstanceId, peer: SocketAddr) -> (SessionId, Member) {
    let info = info(instance, peer);
    let witnesses = vec![WitnessSet(vec![WitnessAddress { instance, peer }])];
    let member = Member {
        info: info.clone(),
        witnesses,
        witnesses_since: Epoch(1),
        witnesses_confirming: false,
    };
    (info.session, member)
}

fn info(instance: InstanceId, peer: SocketAddr) -> MemberInfo {
    MemberInfo {
        session: SessionId {
            instance,
            tenure: 1,
        },
        peer,
        entry: peer,
        domain: "zarzis".parse().unwrap(),
        upstream: None,
        leaving: false,
        weight: WEIGHT_FULL,
        cpu_share: 1000,
    }
}

/// The daemon under test.
pub struct Daemon {
    /// What is tested.
    pub manager: Arc<GrantManager>,
    /// Dispatcher to the upstream.
    pub dispatcher: Arc<HostDispatcher>,
    /// The daemon's membership.
    pub membership: Arc<Membership>,
    /// What the daemon still takes once it stops.
    pub stop_gate: Arc<StopGate>,
    reactor: Arc<Reactor>,
    stop: Arc<StopFlag>,
    ticking: Option<JoinHandle<()>>,
    _events: Receiver<MembershipEvent>,
}

impl Daemon {
    /// Starts a daemon whose upstream has reported, and waits until it has its lease under `table`.
    pub fn start(upstream: &ScriptedUpstream, table: TestTable) -> Self {
        Self::start_with(
            upstream,
            table,
            Arc::new(SystemClock),
            Arc::new(ScriptedProtocol),
        )
    }

    /// Starts a daemon as [`Daemon::start`] does, with a clock and a protocol of the test's choice.
    pub fn start_with(
        upstream: &ScriptedUpstream,
        table: TestTable,
        clock: Arc<dyn Clock>,
        protocol: Arc<dyn UpstreamProtocol>,
    ) -> Self {
        let reactor = Reactor::start().unwrap();
        let timeouts = PeerTimeouts {
            acknowledge: Duration::from_millis(100),
            reply: Duration::from_millis(300),
            silence: Duration::ZERO,
        };
        let peers = Arc::new(PeerPool::new(&reactor, [127, 0, 0, 1].into(), timeouts));
        let own = info(OWN, peer(OWN));
        let ownership = Ownership::new(1, LeaseTimes::default(), own, clock.now(), 1);
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let metrics = Arc::new(Metrics::new().unwrap());
        let (event_tx, events) = mpsc::channel();
        let membership = Membership::new(
            Arc::clone(&clock),
            ownership,
            socket,
            Arc::clone(&peers),
            metrics,
            event_tx,
        );
        let membership = Arc::new(membership.unwrap());
        let pool = UpstreamPool::new(
            upstream.address,
            None,
            Arc::clone(&protocol),
            MemoryBudget::new(1 << 20),
        );
        let stop_gate = Arc::new(StopGate::default());
        let dispatcher = Arc::new(HostDispatcher::new(
            Arc::clone(&clock),
            Arc::clone(&membership),
            pool,
            Duration::from_secs(2),
            Arc::clone(&stop_gate),
        ));
        dispatcher.apply_report(&report(upstream.address));
        let manager = Arc::new(GrantManager::new(
            clock,
            Arc::clone(&membership),
            Arc::clone(&dispatcher),
            peers,
            protocol,
            GRANT_MAX,
        ));
        let stop = Arc::new(StopFlag::default());
        let (ticked, ticking_until) = (Arc::clone(&membership), Arc::clone(&stop));
        let ticking = thread::spawn(move || ticked.run(&ticking_until));
        let daemon = Self {
            manager,
            dispatcher,
            membership,
            stop_gate,
            reactor,
            stop,
            ticking: Some(ticking),
            _events: events,
        };
        daemon.adopt(table);
        daemon.await_lease();
        daemon
    }

    /// Adopts a table as if it was read from the store.
    pub fn adopt(&self, table: TestTable) {
        self.membership.adopt_platform_table(table.0);
    }

    /// Returns whether the daemon has announced the end of its first session.
    pub fn has_resigned(&self) -> bool {
        let first = info(OWN, peer(OWN)).session;
        self.membership
            .with_ownership(|o, _| o.facts().resigned.contains_key(&first))
    }

    /// Returns whether the daemon has announced the end of the sessions of its former process.
    pub fn has_ended_former_sessions(&self) -> bool {
        let former = info(FORMER, peer(OWN)).session;
        self.membership
            .with_ownership(|o, _| o.facts().resigned.contains_key(&former))
    }

    /// Takes the upstream as lost although its process may still run.
    pub fn lose_upstream(&self) {
        self.dispatcher
            .handle_upstream_loss(UpstreamLoss::GrantsNotAnswered);
    }

    /// Returns the newest epoch that the daemon has announced as released.
    pub fn announced(&self) -> Epoch {
        let first = info(OWN, peer(OWN)).session;
        self.membership
            .with_ownership(|o, _| o.facts().adopted(first))
    }

    /// Stops the renewals of the lease.
    pub fn stop_renewals(&self) {
        self.stop.set();
    }

    /// Waits until the lease has lapsed.
    pub fn await_lapse(&self) {
        self.await_liveness(false);
    }

    fn await_lease(&self) {
        self.await_liveness(true);
    }

    fn await_liveness(&self, live: bool) {
        let started = Instant::now();
        let is_live = || {
            self.membership
                .with_ownership(|o, now| o.live_until(now).is_some())
        };
        while is_live() != live {
            assert!(started.elapsed() < LIVE_TIME_MAX, "live: {}", !live);
            thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(ticking) = self.ticking.take() {
            let _ = ticking.join();
        }
        self.reactor.stop();
    }
}

/// Returns the first report of the upstream.
fn report(address: SocketAddr) -> StatusReport {
    StatusReport {
        instance: "i-1".to_owned(),
        started_ms: 1,
        sequence: 1,
        service: SERVICE.parse().unwrap(),
        address,
        domain: "zarzis".parse().unwrap(),
        slots: 9,
        draining: false,
        warmup_remaining: Duration::ZERO,
    }
}
