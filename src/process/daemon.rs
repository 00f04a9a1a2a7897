//! Starts all parts of a daemon process, and stops them.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use thiserror::Error;

use crate::connection::buffered_connection;
use crate::connection::caller_http::{CallerHandler, CallerHttpHandler};
use crate::connection::http_server::{HttpHandler, HttpServer};
use crate::connection::peer_pool::{PeerPool, PeerTimeouts};
use crate::connection::peer_server::{PeerHandler, PeerServer};
use crate::connection::reactor::Reactor;
use crate::process::admin::{self, AdminApi};
use crate::process::clock::{Clock, SystemClock};
use crate::process::http_platform::HttpPlatform;
use crate::process::key_owner::KeyOwner;
use crate::process::membership::{Membership, MembershipEvent};
use crate::process::metrics::{Metrics, MetricsError};
use crate::process::node::Node;
use crate::process::ownership::Ownership;
use crate::process::periodic_tasks::PeriodicTasks;
use crate::process::platform::Platform;
use crate::process::platform_sync::PlatformSync;
use crate::process::router::{Router, RouterDeps};
use crate::process::settings::Settings;
use crate::process::stop_flag::StopFlag;
use crate::process::thread_pool::ThreadPool;
use crate::process::upstream_dispatcher::UpstreamDispatcher;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use crate::version::session_id::SessionId;

/// How long requests on released slices may take before they are cancelled.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a caller's new connection may be queued.
const CALLER_QUEUE_TIMEOUT: Duration = Duration::from_millis(50);
/// How long an operator's new connection may be queued.
const ADMIN_QUEUE_TIMEOUT: Duration = Duration::from_millis(500);
/// How often the event thread checks the stop flag while no event arrives.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// The size of the socket buffers of an accepted connection, in bytes, each; the kernel doubles it.
const SOCKET_BUFFER_BYTES: usize = 64 * 1024;
/// The maximum number of connections that wait to be accepted by a listener.
const LISTEN_BACKLOG: i32 = 1024;

/// Why a daemon could not be started.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// A listener can't be opened.
    #[error("{setting}: can't listen on {address}: {source}; is another process using it?")]
    Listen {
        /// The field of the settings that holds the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A thread can't be started.
    #[error("can't start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// A running daemon.
pub struct Daemon {
    node: Arc<Node>,
    caller_server: HttpServer,
    reactor: Arc<Reactor>,
    peer_server: PeerServer,
    admin_server: HttpServer,
    /// Watches the configuration; it stops before the other threads.
    configuration_thread: JoinHandle<()>,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon with `settings`.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener, a thread or the metrics can't be set up.
    pub fn start(settings: Settings) -> Result<Self, DaemonError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let socket = UdpSocket::bind(settings.peer);
        let socket = socket.map_err(|e| listen_error("peer", settings.peer, e))?;
        let peer_listener = listen("peer", settings.peer)?;
        let entry_listener = listen("entry", settings.entry)?;
        let admin_listener = listen("admin", settings.admin)?;
        let instance = InstanceId(rand::random());
        tracing::info!(%instance, peer = %settings.advertised_address(), "daemon starts");
        let metrics = Arc::new(Metrics::new()?);
        let reactor = Reactor::start()?;
        let pool = Arc::new(PeerPool::new(
            &reactor,
            settings.peer.ip(),
            PeerTimeouts::default(),
        ));
        let traffic = Arc::clone(pool.traffic());
        let (event_tx, event_rx) = mpsc::channel();
        let ownership = ownership(&settings, &*clock, instance);
        let membership = Arc::new(Membership::new(
            Arc::clone(&clock),
            ownership,
            socket,
            Arc::clone(&pool),
            Arc::clone(&metrics),
            event_tx,
        )?);
        let broadcaster = Arc::clone(&membership);
        let broadcast = move |message| broadcaster.broadcast(&message);
        let dispatcher = Arc::new(UpstreamDispatcher::new(Arc::clone(&clock), broadcast));
        let owner = Arc::new(KeyOwner::new(
            Arc::clone(&clock),
            Arc::clone(&membership),
            Arc::clone(&dispatcher),
            Arc::clone(&pool),
            usize::try_from(settings.record_mb).unwrap_or(1) * 1024 * 1024,
            Duration::from_millis(settings.clock_skew_ms),
        ));
        let router = Arc::new(Router::new(RouterDeps {
            clock: Arc::clone(&clock),
            membership: Arc::clone(&membership),
            owner: Arc::clone(&owner),
            dispatcher: Arc::clone(&dispatcher),
            pool,
            metrics: Arc::clone(&metrics),
            instance,
            workers: settings.workers,
            clock_skew: Duration::from_millis(settings.clock_skew_ms),
        })?);
        let stop = Arc::new(StopFlag::default());
        let node = Arc::new(Node {
            clock,
            membership,
            dispatcher,
            owner,
            router,
            metrics,
            burn: Mutex::default(),
            stop,
            stop_watching: Arc::default(),
            settings,
        });
        let (configuration_thread, threads) = start_threads(&node, event_rx, instance)?;
        let peer_handler = Arc::clone(&node) as Arc<dyn PeerHandler>;
        let peer_server = PeerServer::start(&reactor, peer_listener, peer_handler, &traffic)?;
        let caller_handler = CallerHttpHandler::new(Arc::clone(&node) as Arc<dyn CallerHandler>);
        let caller_handler: Arc<dyn HttpHandler> = Arc::new(caller_handler);
        let workers = node.settings.workers;
        let caller_server = HttpServer::start(
            "caller",
            entry_listener,
            workers,
            CALLER_QUEUE_TIMEOUT,
            &caller_handler,
        )?;
        let admin_handler: Arc<dyn HttpHandler> = Arc::new(AdminApi::new(Arc::clone(&node)));
        let admin_server = HttpServer::start(
            "admin",
            admin_listener,
            admin::THREADS,
            ADMIN_QUEUE_TIMEOUT,
            &admin_handler,
        )?;
        Ok(Self {
            node,
            caller_server,
            reactor,
            peer_server,
            admin_server,
            configuration_thread,
            threads,
        })
    }

    /// Shuts down gracefully: accepts no new requests, hands its slices over, finishes the requests
    /// in flight, and joins all threads.
    pub fn stop(mut self) {
        tracing::info!("daemon stops");
        self.node.stop_watching.set();
        self.node.hand_off_slices();
        let _ = self.configuration_thread.join();
        self.node.stop.set();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.peer_server.stop();
        self.admin_server.stop();
        // The callers' server stops last and forwards to the daemons that own the keys now: a
        // request that arrived after it stopped would wait until the process ends.
        self.caller_server.stop();
        tracing::info!("daemon stopped");
        self.reactor.stop();
    }
}

/// Starts the thread that watches the configuration, and the threads that run until the process
/// stops; returns both.
fn start_threads(
    node: &Arc<Node>,
    event_rx: Receiver<MembershipEvent>,
    instance: InstanceId,
) -> Result<(JoinHandle<()>, Vec<JoinHandle<()>>), DaemonError> {
    let platform: Arc<dyn Platform> = Arc::new(HttpPlatform::new(&node.settings.platform));
    let platform_sync = Arc::new(PlatformSync::new(
        platform,
        Arc::clone(&node.membership),
        node.settings.environment.to_string(),
        node.settings.cell,
        instance,
    ));
    let tasks = PeriodicTasks::new(
        Arc::clone(&node.membership),
        Arc::clone(&node.dispatcher),
        Arc::clone(&node.owner),
        Arc::clone(&node.metrics),
        node.settings.lease_times(),
    );
    let stop = || Arc::clone(&node.stop);
    let (membership, stop_datagrams) = (Arc::clone(&node.membership), stop());
    let (watcher, stop_watching) = (Arc::clone(&platform_sync), Arc::clone(&node.stop_watching));
    let (planner, stop_planning) = (platform_sync, stop());
    let stop_tasks = stop();
    let (event_node, stop_events) = (Arc::clone(node), stop());
    let fetchers = ThreadPool::new("fetch", 2);
    let releasers = ThreadPool::new("release", 1);
    let configuration_thread = spawn("configuration", move || {
        watcher.follow_configuration(&stop_watching)
    })?;
    let threads = vec![
        spawn("datagrams", move || membership.run(&stop_datagrams))?,
        spawn("planner", move || planner.run_planner(&stop_planning))?,
        spawn("upkeep", move || tasks.run(&stop_tasks))?,
        spawn("events", move || {
            handle_events(&event_node, &event_rx, &stop_events, &fetchers, &releasers);
        })?,
    ];
    Ok((configuration_thread, threads))
}

/// Handles the events of the membership until `stop` is set.
fn handle_events(
    node: &Arc<Node>,
    event_rx: &Receiver<MembershipEvent>,
    stop: &StopFlag,
    fetchers: &ThreadPool,
    releasers: &ThreadPool,
) {
    while !stop.is_set() {
        let Ok(event) = event_rx.recv_timeout(EVENT_POLL_INTERVAL) else {
            continue;
        };
        let node = Arc::clone(node);
        match event {
            MembershipEvent::TableAdopted(epoch) => {
                node.metrics.record_versions(
                    epoch.0,
                    node.membership.active_configuration().version.number,
                );
                node.router.forget_ended_members();
                releasers.submit(move || node.owner.release_lost_slices(epoch, RELEASE_TIMEOUT));
            }
            MembershipEvent::LeaseLapsed => {
                releasers.submit(move || node.dispatcher.cancel(|_| true))
            }
            MembershipEvent::SessionEnded(_) => node.owner.clear_records(),
            MembershipEvent::SuspectsReported(suspects) => node.dispatcher.add_suspects(&suspects),
            MembershipEvent::SuspectCleared(fingerprint) => {
                node.dispatcher.clear_suspect(fingerprint)
            }
            MembershipEvent::QuotaAsked { .. }
            | MembershipEvent::QuotaGranted { .. }
            | MembershipEvent::QuotaHandedOver(_) => {}
            MembershipEvent::FetchTable { from, epoch } => fetchers.submit(move || {
                if node.membership.table().epoch < epoch {
                    node.membership.fetch_table(from);
                }
            }),
            MembershipEvent::FetchConfiguration { from, version } => fetchers.submit(move || {
                if node.membership.active_configuration().version < version {
                    node.membership.fetch_configuration(from);
                }
            }),
        }
    }
}

/// Starts a thread named `name`.
///
/// # Errors
///
/// Returns an error if the thread can't be started.
pub fn spawn(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, std::io::Error> {
    thread::Builder::new().name(name.to_owned()).spawn(work)
}

/// Creates the ownership state of a process that has just started.
fn ownership(settings: &Settings, clock: &dyn Clock, instance: InstanceId) -> Ownership {
    let info = MemberInfo {
        session: SessionId {
            instance,
            tenure: 1,
        },
        peer: settings.advertised_address(),
        entry: settings.entry,
        domain: settings.domain.clone(),
        upstream: None,
        leaving: false,
        weight: WEIGHT_FULL,
        cpu_share: CPU_SHARE_DEFAULT,
    };
    let name = format!("{}/{}", settings.environment, settings.cell);
    let cell_hash = KeyHash::of(name.as_bytes()).0;
    Ownership::new(
        cell_hash,
        settings.lease_times(),
        info,
        clock.now(),
        rand::random(),
    )
}

/// Opens a listener on `address`, which the field `setting` of the settings holds.
pub(super) fn listen(
    setting: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        // Accepted connections inherit these options, such as TCP_NODELAY, from the listener.
        buffered_connection::set_socket_options(&socket)?;
        // Without a limit, the kernel keeps up to 32 MiB for each connection that is not read.
        socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
        socket.bind(&SockAddr::from(address))?;
        socket.listen(LISTEN_BACKLOG)?;
        Ok(TcpListener::from(socket))
    };
    open().map_err(|e| listen_error(setting, address, e))
}

/// Returns the error of a listener that can't be opened.
pub(super) fn listen_error(
    setting: &'static str,
    address: SocketAddr,
    source: std::io::Error,
) -> DaemonError {
    DaemonError::Listen {
        setting,
        address,
        source,
    }
}
