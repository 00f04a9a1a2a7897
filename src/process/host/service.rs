//! Starts the daemon, and stops it gracefully.

use std::net::UdpSocket;
use std::sync::mpsc;
use std::sync::{Arc, Mutex, atomic::AtomicBool};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::connection::http_listener::HttpListener;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::peer_pool::{PeerPool, PeerTimeouts};
use crate::connection::peer_server::{PeerHandler, PeerServer};
use crate::connection::protocol::{CallerProtocol, Discovery, OperatorProtocol, UpstreamProtocol};
use crate::connection::reactor::Reactor;
use crate::connection::upstream_pool::UpstreamPool;
use crate::process::clock::{Clock, SystemClock};
use crate::process::daemon::{self, DaemonError};
use crate::process::host::body_reservations::BodyReservations;
use crate::process::host::departure_copies::DepartureCopies;
use crate::process::host::departure_log::DepartureLog;
use crate::process::host::descriptors;
use crate::process::host::endpoints::{ReadinessHandler, ReportHandler};
use crate::process::host::grant_manager::GrantManager;
use crate::process::host::host_context::HostContext;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::host_router::{HostRouter, HostRouterDeps};
use crate::process::host::host_settings::HostSettings;
use crate::process::host::host_threads;
use crate::process::host::quota_gate::QuotaGate;
use crate::process::host::recent_requests::RecentRequests;
use crate::process::host::report_processor::ReportProcessor;
use crate::process::host::stop_gate::StopGate;
use crate::process::host::stop_schedule::StopSchedule;
use crate::process::membership::{Membership, MembershipEvent};
use crate::process::metrics::Metrics;
use crate::process::ownership::Ownership;
use crate::process::store::Store;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::{MemberInfo, WEIGHT_FULL};
use crate::version::session_id::SessionId;

/// How long other daemons may take to answer a ping, and to reply before a ping is sent.
const PEER_TIMEOUTS: PeerTimeouts = PeerTimeouts {
    acknowledge: Duration::from_millis(120),
    reply: Duration::from_millis(600),
    // As long as a lease: a lost host sends nothing for that time before its session ends, while one
    // whose renewals are late goes on with its work.
    silence: Duration::from_millis(2000),
};
/// Largest number of connections to the readiness and to the report address at a time, each.
const LOCAL_CONNECTIONS_MAX: usize = 256;
/// How long callers may still connect after the process reported that it is not ready.
const NOT_READY_TIME: Duration = Duration::from_millis(2600);
/// How long a graceful stop waits for the planner to move the keys.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval at which a stopping process checks whether it is done.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Store and protocols of the platform.
pub struct HostPlatform {
    /// Client of the platform's store.
    pub store: Arc<dyn Store>,
    /// Protocol of the callers.
    pub caller_protocol: Arc<dyn CallerProtocol>,
    /// Protocol of the upstreams.
    pub upstream_protocol: Arc<dyn UpstreamProtocol>,
    /// Protocol by which upstreams register and report their state.
    pub discovery: Arc<dyn Discovery>,
    /// Format in which operators write the routing.
    pub operator_protocol: Arc<dyn OperatorProtocol>,
}

/// Running daemon.
pub struct HostService {
    context: Arc<HostContext>,
    reactor: Arc<Reactor>,
    pool: Arc<PeerPool>,
    callers: HttpListener,
    ready: HttpListener,
    reports: HttpListener,
    peers: PeerServer,
    store: Arc<dyn Store>,
    threads: Vec<JoinHandle<()>>,
}

impl HostService {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or a thread can't be started.
    pub fn start(settings: HostSettings, platform: HostPlatform) -> Result<Self, DaemonError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let listen_address = settings.peers_listen_address();
        let socket = UdpSocket::bind(listen_address);
        let socket = socket.map_err(|e| daemon::listen_error("peers", listen_address, e))?;
        let peer_listener = daemon::listen("peers", listen_address)?;
        let caller_listener = daemon::listen("callers", settings.callers)?;
        let ready_listener = daemon::listen("ready", settings.ready)?;
        let report_listener = daemon::listen("reports", settings.reports)?;
        let instance = InstanceId(rand::random());
        tracing::info!(event = "start", node = settings.node, %instance, peers = %settings.peers);
        let (event_tx, event_rx) = mpsc::channel();
        let budget = MemoryBudget::new(settings.memory_budget_bytes());
        let reactor = Reactor::start_with_budget(Arc::clone(&budget))?;
        let pool = Arc::new(PeerPool::new(&reactor, listen_address.ip(), PEER_TIMEOUTS));
        let context = build_context(
            settings, &platform, clock, socket, &pool, instance, event_tx,
        )?;
        let threads = host_threads::start(&context, &platform, event_rx)?;
        let peer_handler = Arc::clone(&context) as Arc<dyn PeerHandler>;
        let peers = PeerServer::start_with_limit(
            &reactor,
            peer_listener,
            peer_handler,
            pool.traffic(),
            descriptors::links_max(),
        )?;
        let router = Arc::clone(&context.router);
        let callers = HttpListener::start(&reactor, caller_listener, router)?;
        let ready = HttpListener::start_with_limit(
            &reactor,
            ready_listener,
            Arc::new(ReadinessHandler(Arc::clone(&context))),
            LOCAL_CONNECTIONS_MAX,
        )?;
        let discovery = Arc::clone(&platform.discovery);
        let report_handler = ReportHandler {
            processor: ReportProcessor::new(Arc::clone(&context)),
            stop: Arc::clone(&context.stop),
            discovery,
        };
        let reports = HttpListener::start_with_limit(
            &reactor,
            report_listener,
            Arc::new(report_handler),
            LOCAL_CONNECTIONS_MAX,
        )?;
        Ok(Self {
            context,
            reactor,
            pool,
            callers,
            ready,
            reports,
            peers,
            store: platform.store,
            threads,
        })
    }

    /// Stops gracefully: reports that it is not ready, moves its keys to other daemons, serves the
    /// callers that still arrive, and joins all threads before the grace period ends.
    pub fn stop(mut self) {
        tracing::info!(event = "stop");
        let started = Instant::now();
        let grace = Duration::from_secs_f64(self.context.settings.grace_s);
        let now = self.context.clock.now();
        let schedule = self.context.stop_gate.start_stop(now, grace);
        self.leave(&schedule, started);
        self.finish_requests(&schedule);
        self.end_session();
        thread::sleep(STOP_POLL_INTERVAL);
        host_threads::log_traffic(&self.context);
        self.join_all();
        tracing::info!(event = "stopped", ms = started.elapsed().as_millis() as u64);
    }

    /// Lets callers and keys go to other daemons, until nothing is left to serve or no more connections
    /// may be accepted.
    fn leave(&self, schedule: &StopSchedule, started: Instant) {
        self.context.set_leaving(true);
        let mut released_all = false;
        while self.context.clock.now() < schedule.close_at() {
            if !released_all && started.elapsed() >= LEAVE_TIMEOUT && !self.has_moved_all_keys() {
                released_all = true;
                self.context.grant_manager.release_all_and_resign(
                    "the process is stopping and its keys were not moved in time",
                );
            }
            if started.elapsed() >= NOT_READY_TIME && self.is_idle() && self.has_moved_all_keys() {
                return;
            }
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Takes nothing any more, and waits until what was taken has ended, or the grace period has.
    fn finish_requests(&mut self, schedule: &StopSchedule) {
        self.callers.stop_accepting();
        // Before the last look for requests, so that none can arrive after it.
        self.context.stop_gate.close();
        let deadline = schedule.deadline();
        while self.context.clock.now() < deadline && !(self.is_idle() && self.has_moved_all_keys())
        {
            // What waits beside another upstream is refused as not run.
            self.pool.withdraw_calls();
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }

    /// Announces the end of the session, unless the upstream may still use keys.
    fn end_session(&self) {
        let grant_manager = &self.context.grant_manager;
        let session = grant_manager.own_session();
        let has_ended =
            self.has_moved_all_keys() && grant_manager.resign_if_idle(session, "the process stops");
        if !has_ended {
            tracing::warn!(event = "stopped-with-keys");
        }
    }

    /// Closes all connections and joins all threads.
    fn join_all(&mut self) {
        // While announcements are acknowledged, the thread that stores them runs.
        self.context.departure_log.close();
        self.reports.stop();
        self.context.stop.set();
        self.store.close();
        self.callers.stop();
        self.ready.stop();
        self.peers.stop();
        self.pool.close();
        self.reactor.stop();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }

    /// Returns whether no caller and no other daemon is being served.
    fn is_idle(&self) -> bool {
        self.callers.busy_connections() == 0 && self.peers.requests_in_progress() == 0
    }

    /// Returns whether this daemon is the first candidate of no slice in a table that takes its
    /// leaving into account, and it has announced that it released all keys that it lost.
    fn has_moved_all_keys(&self) -> bool {
        self.context.membership.with_ownership(|o, _| {
            let session = o.info().session;
            let table = o.table();
            let Some(member) = table.members.get(&session) else {
                return true;
            };
            let mut own_slices = table
                .assignments()
                .filter(|(_, _, a)| a.candidates.first() == Some(&session));
            member.info.leaving
                && own_slices.next().is_none()
                && o.facts().adopted(session) == table.epoch
        })
    }
}

/// Builds the shared state of a daemon.
fn build_context(
    settings: HostSettings,
    platform: &HostPlatform,
    clock: Arc<dyn Clock>,
    socket: UdpSocket,
    peers: &Arc<PeerPool>,
    instance: InstanceId,
    event_tx: mpsc::Sender<MembershipEvent>,
) -> Result<Arc<HostContext>, DaemonError> {
    let metrics = Arc::new(Metrics::new()?);
    let membership = Arc::new(Membership::new(
        Arc::clone(&clock),
        ownership(&settings, &*clock, instance),
        socket,
        Arc::clone(peers),
        Arc::clone(&metrics),
        event_tx,
    )?);
    let upstream_pool = UpstreamPool::new(
        settings.upstream,
        Some(settings.peers_listen_address().ip()),
        Arc::clone(&platform.upstream_protocol),
        peers.budget().share(settings.response_bodies_bytes()),
    );
    let stop_gate = Arc::new(StopGate::default());
    let dispatcher = Arc::new(HostDispatcher::new(
        Arc::clone(&clock),
        Arc::clone(&membership),
        upstream_pool,
        Duration::from_millis(settings.drain_ms),
        Arc::clone(&stop_gate),
    ));
    let grant_manager = Arc::new(GrantManager::new(
        Arc::clone(&clock),
        Arc::clone(&membership),
        Arc::clone(&dispatcher),
        Arc::clone(peers),
        Arc::clone(&platform.upstream_protocol),
        Duration::from_millis(settings.hold_max_ms),
    ));
    let quotas = Arc::new(QuotaGate::new(
        Arc::clone(&clock),
        Arc::clone(&membership),
        settings.quota(),
        settings.lease_times(),
    ));
    let router = Arc::new(HostRouter::new(HostRouterDeps {
        clock: Arc::clone(&clock),
        membership: Arc::clone(&membership),
        dispatcher: Arc::clone(&dispatcher),
        peers: Arc::clone(peers),
        protocol: Arc::clone(&platform.caller_protocol),
        metrics: Arc::clone(&metrics),
        instance,
        domain: settings.domain.clone(),
        origin: settings.service.clone(),
        retry_budget: settings.retry_budget(),
        quotas: Arc::clone(&quotas),
        stop_gate: Arc::clone(&stop_gate),
    }));
    let departure_copies =
        DepartureCopies::new(Arc::clone(&membership), Arc::clone(peers), settings.peers);
    let body_reservations = Mutex::new(BodyReservations::new(settings.link_mbps));
    Ok(Arc::new(HostContext {
        settings,
        clock,
        instance,
        budget: Arc::clone(peers.budget()),
        membership,
        dispatcher,
        grant_manager,
        router,
        quotas,
        recent_requests: RecentRequests::default(),
        body_reservations,
        departure_log: DepartureLog::default(),
        departure_copies,
        held_departures: Mutex::default(),
        metrics,
        stop_gate,
        stop: Arc::default(),
        was_ready: AtomicBool::new(false),
    }))
}

/// Creates the ownership state of a process that has just started.
fn ownership(settings: &HostSettings, clock: &dyn Clock, instance: InstanceId) -> Ownership {
    let info = MemberInfo {
        session: SessionId {
            instance,
            tenure: 1,
        },
        peer: settings.peers,
        entry: settings.callers,
        domain: settings.domain.clone(),
        upstream: None,
        leaving: false,
        weight: WEIGHT_FULL,
        cpu_share: settings.cpu_share_per_mille(),
    };
    let cell_hash = KeyHash::of(b"host").0;
    Ownership::new(
        cell_hash,
        settings.lease_times(),
        info,
        clock.now(),
        rand::random(),
    )
    .with_routing_freshness(settings.routing_freshness())
}
