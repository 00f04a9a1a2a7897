//! Puts a daemon process together, and takes it apart again.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::sync::mpsc::{self, Receiver};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use thiserror::Error;

use crate::connection::caller::{CallerFront, CallerHandler, Terms};
use crate::connection::http_server::{HttpHandler, HttpServer};
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_pool::PeerPool;
use crate::connection::peer_server::{PeerHandler, PeerServer};
use crate::process::admin::{self, AdminApi};
use crate::process::burn::BurnLog;
use crate::process::clock::{Clock, SystemClock};
use crate::process::custodian::Custodian;
use crate::process::gate::Gate;
use crate::process::http_platform::HttpPlatform;
use crate::process::membership::{Event, Membership};
use crate::process::metrics::{Metrics, MetricsError};
use crate::process::owner::Owner;
use crate::process::ownership::Ownership;
use crate::process::platform::Platform;
use crate::process::router::Router;
use crate::process::settings::Settings;
use crate::process::status::{MemberStatus, Status, UpstreamStatus};
use crate::process::stop::Stop;
use crate::process::sync;
use crate::process::upkeep::Upkeep;
use crate::process::workers::Workers;
use crate::request::answer::Answer;
use crate::request::envelope::Envelope;
use crate::request::outcome::Outcome;
use crate::request::refusal::Refusal;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::{Member, MemberInfo, WEIGHT_FULL};
use crate::version::service::Service;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::upstream::Upstream;

/// How long work on released slices may take before it is cancelled.
const RELEASE_PATIENCE: Duration = Duration::from_millis(500);
/// How often a stopping daemon looks whether its slices are gone.
const STOP_STEP: Duration = Duration::from_millis(50);
/// How long a caller's new connection may be queued.
const CALLER_PATIENCE: Duration = Duration::from_millis(50);
/// How long an operator's new connection may be queued.
const ADMIN_PATIENCE: Duration = Duration::from_millis(500);
/// How often the process looks whether it stops while nothing happens.
const EVENT_STEP: Duration = Duration::from_millis(250);
/// The backlog of a listener.
const BACKLOG: i32 = 1024;

/// A daemon that could not be started.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// An address can't be listened on.
    #[error("{what}: can't listen on {address}: {source}; is another process using it?")]
    Listen {
        /// The setting.
        what: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// A thread can't be started.
    #[error("can't start a thread: {0}")]
    Thread(#[from] std::io::Error),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
}

/// The parts that all threads of the daemon share.
pub struct Shared {
    settings: Settings,
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    gate: Arc<Gate>,
    owner: Arc<Owner>,
    router: Arc<Router>,
    metrics: Arc<Metrics>,
    burn: Mutex<BurnLog>,
    stop: Arc<Stop>,
    stop_watching: Arc<Stop>,
}

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    callers: HttpServer,
    peers: PeerServer,
    admin: HttpServer,
    watcher: JoinHandle<()>,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error where an address is taken or a thread can't be started.
    pub fn start(settings: Settings) -> Result<Self, DaemonError> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let socket = UdpSocket::bind(settings.peer);
        let socket = socket.map_err(|e| listen_error("peer", settings.peer, e))?;
        let peer_listener = listen("peer", settings.peer)?;
        let entry_listener = listen("entry", settings.entry)?;
        let admin_listener = listen("admin", settings.admin)?;
        let instance = InstanceId(rand::random());
        tracing::info!(%instance, peer = %settings.advertised(), "daemon starts");
        let metrics = Arc::new(Metrics::new()?);
        let pool = Arc::new(PeerPool::new(settings.peer.ip()));
        let (events, received) = mpsc::channel();
        let ownership = ownership(&settings, &*clock, instance);
        let membership = Arc::new(Membership::new(
            Arc::clone(&clock),
            ownership,
            socket,
            Arc::clone(&pool),
            Arc::clone(&metrics),
            events,
        )?);
        let for_crash = Arc::clone(&membership);
        let tell_all = move |message| for_crash.tell_all(&message);
        let gate = Arc::new(Gate::new(Arc::clone(&clock), tell_all));
        let owner = Arc::new(Owner::new(
            Arc::clone(&clock),
            Arc::clone(&membership),
            Arc::clone(&gate),
            Arc::clone(&pool),
            usize::try_from(settings.record_mb).unwrap_or(1) * 1024 * 1024,
            Duration::from_millis(settings.clock_skew_ms),
        ));
        let router = Arc::new(Router::new(
            Arc::clone(&clock),
            Arc::clone(&membership),
            Arc::clone(&owner),
            Arc::clone(&gate),
            Arc::clone(&pool),
            Arc::clone(&metrics),
            instance,
            settings.workers,
        )?);
        let stop = Arc::new(Stop::default());
        let shared = Arc::new(Shared {
            clock,
            membership,
            gate,
            owner,
            router,
            metrics,
            burn: Mutex::default(),
            stop,
            stop_watching: Arc::default(),
            settings,
        });
        let (watcher, threads) = start_threads(&shared, received, instance)?;
        let peers = PeerServer::start(peer_listener, Arc::clone(&shared) as Arc<dyn PeerHandler>)?;
        let front = CallerFront::new(Arc::clone(&shared) as Arc<dyn CallerHandler>);
        let front: Arc<dyn HttpHandler> = Arc::new(front);
        let workers = shared.settings.workers;
        let callers =
            HttpServer::start("caller", entry_listener, workers, CALLER_PATIENCE, &front)?;
        let api: Arc<dyn HttpHandler> = Arc::new(AdminApi::new(Arc::clone(&shared)));
        let admin = HttpServer::start(
            "admin",
            admin_listener,
            admin::THREADS,
            ADMIN_PATIENCE,
            &api,
        )?;
        Ok(Self {
            shared,
            callers,
            peers,
            admin,
            watcher,
            threads,
        })
    }

    /// Stops as planned: takes no new work, hands the slices over, finishes what is in flight,
    /// and joins all threads.
    pub fn stop(mut self) {
        tracing::info!("daemon stops");
        self.shared.stop_watching.raise();
        self.shared.leave();
        let _ = self.watcher.join();
        // Callers are served to the last: by now other daemons own all keys.
        self.callers.stop();
        self.shared.stop.raise();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        self.peers.stop();
        self.admin.stop();
        tracing::info!("daemon stopped");
    }
}

impl Shared {
    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Takes in the announcement of the upstream beside the daemon.
    pub fn announce(&self, upstream: &Upstream) {
        let active = self.membership.active();
        let unknown = Service::default();
        let service = active
            .document
            .services
            .get(&upstream.service)
            .unwrap_or(&unknown);
        let changed = self.gate.announce(upstream, service);
        self.membership.with(|o, now| {
            if changed || o.info().upstream.as_ref() != Some(upstream) {
                tracing::info!(service = %upstream.service, boot = %upstream.boot, "upstream up");
                o.describe(now, |info| info.upstream = Some(upstream.clone()));
            }
        });
    }

    /// Returns whether the daemon can serve callers.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_raised()
            && self
                .membership
                .with(|o, now| o.live_until(now).is_some() && !o.info().leaving)
    }

    /// Returns the daemon's state.
    pub fn status(&self) -> Status {
        let active = self.membership.active();
        let load = self.gate.load();
        let wall = self.clock.wall();
        let burn = sync::lock(&self.burn);
        let services = active.document.services.iter();
        let burn = services
            .map(|(name, s)| burn.report(wall, name, s.objective))
            .collect();
        let up = self.gate.link().is_some();
        self.membership.with(|o, now| Status {
            environment: self.settings.environment.to_string(),
            session: o.info().session,
            lease_ms: o.live_until(now).map(|u| millis(u.since(now))),
            epoch: o.table().epoch,
            configuration: active.version,
            digest: active.configuration.as_ref().map(|c| c.digest.clone()),
            members: member_statuses(o),
            owners: owners(o),
            upstream: UpstreamStatus {
                up,
                in_flight: load.in_flight,
                limit: load.limit,
                waiting: load.waiting,
                mean_micros: load.mean_micros,
            },
            burn,
        })
    }

    /// Gives all slices away before the process stops.
    fn leave(&self) {
        let until = Instant::now() + Duration::from_millis(self.settings.stop_ms);
        self.membership
            .with(|o, now| o.describe(now, |info| info.leaving = true));
        while Instant::now() < until && !self.has_left() {
            thread::sleep(STOP_STEP);
        }
        let left = self.has_left();
        if !left {
            tracing::warn!("the slices were not handed over in time");
        }
        while Instant::now() < until && !self.gate.wait_idle(STOP_STEP, |_| true) {}
        self.membership.with(|o, now| o.resign(now));
        thread::sleep(STOP_STEP);
        if let Some(link) = self.gate.link()
            && let Err(e) = link.drain()
        {
            tracing::debug!(error = %e, "the upstream was not told to drain");
        }
    }

    /// Returns whether no slice is this daemon's any more, and all others know it.
    fn has_left(&self) -> bool {
        self.membership.with(|o, _| {
            let me = o.info().session;
            let table = o.table();
            if !table.members.contains_key(&me) {
                return true;
            }
            let mut mine = table
                .assignments()
                .filter(|(_, _, a)| a.candidates.first() == Some(&me));
            let listed = table.members.get(&me).is_some_and(|m| m.info.leaving);
            listed && mine.next().is_none() && o.facts().adopted(me) == table.epoch
        })
    }
}

impl CallerHandler for Shared {
    fn handle(&self, envelope: Envelope) -> Answer {
        let (id, service) = (envelope.id, envelope.service.clone());
        let started = self.clock.now();
        let answer = self.router.route(envelope);
        let took = self.clock.now().since(started);
        self.metrics.request(&service, answer.outcome, took);
        self.count_burn(&service, &answer, took);
        match &answer.refusal {
            Some(refusal) => {
                let outcome = answer.outcome;
                tracing::debug!(request = %id, %service, %outcome, %refusal, "request refused");
            }
            None => tracing::debug!(request = %id, %service, status = answer.status, "answered"),
        }
        answer
    }

    fn terms(&self, service: &ServiceName, method: &str, path: &str) -> Option<Terms> {
        let active = self.membership.active();
        let service = active.document.services.get(service)?;
        let repeatable = service.is_repeatable(method, path);
        let clock_skew = Duration::from_millis(self.settings.clock_skew_ms);
        Some(Terms {
            deadline: service.deadline(),
            repeatable,
            clock_skew,
        })
    }
}

impl Shared {
    /// Counts a request against its service's objective; a caller's own mistakes don't count.
    fn count_burn(&self, service: &ServiceName, answer: &Answer, took: Duration) {
        if answer.refusal.as_ref().is_some_and(is_callers_mistake) {
            return;
        }
        let active = self.membership.active();
        let Some(service_terms) = active.document.services.get(service) else {
            return;
        };
        let in_time = took <= service_terms.objective.latency();
        let good = answer.outcome == Outcome::Ran && answer.status < 500 && in_time;
        sync::lock(&self.burn).count(self.clock.wall(), service, good);
    }
}

impl PeerHandler for Shared {
    fn handle(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Forward(envelope) => self.router.serve_forwarded(envelope),
            PeerRequest::Run { instance, envelope } => self.router.run_here(instance, envelope),
            PeerRequest::Table => {
                let table = self.membership.table();
                let some = table.epoch > Epoch::default();
                PeerReply::Table(some.then(|| Box::new((*table).clone())))
            }
            PeerRequest::Configuration => {
                let active = self.membership.active();
                PeerReply::Configuration(active.configuration.clone().map(Box::new))
            }
            PeerRequest::Handover(handovers) => {
                self.owner.take_handover(handovers);
                PeerReply::Taken
            }
        }
    }

    fn malformed(&self) {
        self.metrics.malformed();
    }
}

/// Starts the thread that watches the configuration, and those that live as long as the process.
fn start_threads(
    shared: &Arc<Shared>,
    events: Receiver<Event>,
    instance: InstanceId,
) -> Result<(JoinHandle<()>, Vec<JoinHandle<()>>), DaemonError> {
    let platform: Arc<dyn Platform> = Arc::new(HttpPlatform::new(&shared.settings.platform));
    let custodian = Arc::new(Custodian::new(
        platform,
        Arc::clone(&shared.membership),
        shared.settings.environment.to_string(),
        shared.settings.cell,
        instance,
    ));
    let upkeep = Upkeep::new(
        Arc::clone(&shared.membership),
        Arc::clone(&shared.gate),
        Arc::clone(&shared.owner),
        Arc::clone(&shared.metrics),
        shared.settings.lease_times(),
    );
    let stop = || Arc::clone(&shared.stop);
    let (membership, stop_datagrams) = (Arc::clone(&shared.membership), stop());
    let (follower, stop_following) = (Arc::clone(&custodian), Arc::clone(&shared.stop_watching));
    let (planner, stop_planning) = (custodian, stop());
    let stop_upkeep = stop();
    let (for_events, stop_events) = (Arc::clone(shared), stop());
    let fetchers = Workers::start("fetch", 2)?;
    let releasers = Workers::start("release", 1)?;
    let watcher = spawn("configuration", move || {
        follower.follow_configuration(&stop_following)
    })?;
    let threads = vec![
        spawn("datagrams", move || membership.run(&stop_datagrams))?,
        spawn("planner", move || planner.plan(&stop_planning))?,
        spawn("upkeep", move || upkeep.run(&stop_upkeep))?,
        spawn("events", move || {
            react(&for_events, &events, &stop_events, &fetchers, &releasers);
        })?,
    ];
    Ok((watcher, threads))
}

/// Does what the membership asks of the rest of the process.
fn react(
    shared: &Arc<Shared>,
    events: &Receiver<Event>,
    stop: &Stop,
    fetchers: &Workers,
    releasers: &Workers,
) {
    while !stop.is_raised() {
        let Ok(event) = events.recv_timeout(EVENT_STEP) else {
            continue;
        };
        let shared = Arc::clone(shared);
        match event {
            Event::Adopted(epoch) => {
                shared
                    .metrics
                    .versions(epoch.0, shared.membership.active().version.0);
                releasers.submit(move || shared.owner.release(epoch, RELEASE_PATIENCE));
            }
            Event::Lapsed => releasers.submit(move || shared.gate.cancel(|_| true)),
            Event::Ended(_) => shared.owner.forget(),
            Event::Suspects(suspects) => shared.gate.suspect(&suspects),
            Event::Cleared(fingerprint) => shared.gate.clear(fingerprint),
            Event::FetchTable { from, epoch } => fetchers.submit(move || {
                if shared.membership.table().epoch < epoch {
                    shared.membership.fetch_table(from);
                }
            }),
            Event::FetchConfiguration { from, version } => fetchers.submit(move || {
                if shared.membership.active().version < version {
                    shared.membership.fetch_configuration(from);
                }
            }),
        }
    }
}

fn spawn(
    name: &str,
    work: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, std::io::Error> {
    thread::Builder::new().name(name.to_owned()).spawn(work)
}

/// Creates the ownership rules of a process that has just started.
fn ownership(settings: &Settings, clock: &dyn Clock, instance: InstanceId) -> Ownership {
    let info = MemberInfo {
        session: SessionId {
            instance,
            tenure: 1,
        },
        peer: settings.advertised(),
        entry: settings.entry,
        domain: settings.domain.clone(),
        upstream: None,
        leaving: false,
        weight: WEIGHT_FULL,
    };
    let name = format!("{}/{}", settings.environment, settings.cell);
    let cell = KeyHash::of(name.as_bytes()).0;
    Ownership::new(
        cell,
        settings.lease_times(),
        info,
        clock.now(),
        rand::random(),
    )
}

/// Opens a listener whose connections send at once.
fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let open = || {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_reuse_address(true)?;
        // Connections take this over from their listener.
        socket.set_tcp_nodelay(true)?;
        socket.bind(&SockAddr::from(address))?;
        socket.listen(BACKLOG)?;
        Ok(TcpListener::from(socket))
    };
    open().map_err(|e| listen_error(what, address, e))
}

fn listen_error(what: &'static str, address: SocketAddr, source: std::io::Error) -> DaemonError {
    DaemonError::Listen {
        what,
        address,
        source,
    }
}

fn member_statuses(ownership: &Ownership) -> Vec<MemberStatus> {
    let members = ownership.table().members.values();
    let status = members.map(|m| MemberStatus {
        session: m.info.session,
        peer: m.info.peer,
        entry: m.info.entry,
        domain: m.info.domain.clone(),
        upstream: m
            .info
            .upstream
            .as_ref()
            .map(|u| (u.service.clone(), u.address)),
        leaving: m.info.leaving,
        ended: ownership.certified().contains_key(&m.info.session),
        adopted: ownership.facts().adopted(m.info.session),
        watched: is_watched(m),
    });
    status.collect()
}

/// Returns whether a majority of others can notice the loss of a member.
fn is_watched(member: &Member) -> bool {
    member.witnesses.iter().all(|set| {
        let own = usize::from(set.contains(member.info.session.instance));
        set.0.len() - own >= set.majority()
    })
}

fn owners(
    ownership: &Ownership,
) -> std::collections::BTreeMap<ServiceName, std::collections::BTreeMap<String, u32>> {
    let mut owners = std::collections::BTreeMap::new();
    for (service, _, assignment) in ownership.table().assignments() {
        let by_session: &mut std::collections::BTreeMap<String, u32> =
            owners.entry(service.clone()).or_default();
        let certified = ownership.certified();
        let owner = assignment
            .candidates
            .iter()
            .find(|s| !certified.contains_key(s));
        let name = owner.map_or_else(|| "nobody".to_owned(), ToString::to_string);
        *by_session.entry(name).or_default() += 1;
    }
    owners
}

/// Returns whether a refusal is due to the request itself.
fn is_callers_mistake(refusal: &Refusal) -> bool {
    matches!(
        refusal,
        Refusal::Malformed(_)
            | Refusal::NoSuchService
            | Refusal::NoIdempotencyKey
            | Refusal::KeyReused
            | Refusal::NoKey
            | Refusal::Quarantined
    )
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
