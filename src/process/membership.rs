//! Connects the ownership state machine of this process to the network.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_pool::{PeerCallReply, PeerPool};
use crate::connection::recipient::Recipient;
use crate::connection::traffic::Traffic;
use crate::process::clock::Clock;
use crate::process::datagram::{DATAGRAM_BYTES_MAX, Datagram, Message};
use crate::process::join_requests::JoinRequests;
use crate::process::load_report::LoadReport;
use crate::process::metrics::Metrics;
use crate::process::moment::Moment;
use crate::process::ownership::Ownership;
use crate::process::ownership_action::OwnershipAction;
use crate::process::quota_message::{TeamGrant, TeamTokens};
use crate::process::stop_flag::StopFlag;
use crate::process::sync;
use crate::process::table_history::{TableHistory, TableUpdate};
use crate::request::fingerprint::Fingerprint;
use crate::request::quarantine::CrashSuspect;
use crate::version::configuration::Configuration;
use crate::version::document::Document;
use crate::version::document_error::DocumentError;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::member::{Member, MemberInfo};
use crate::version::routing_config::RoutingConfig;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::store_era::StoreEra;
use crate::version::table::Table;
use crate::version::teams::Teams;

/// The interval at which periodic work is checked.
pub const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// The timeout for fetching a table or configuration from another daemon.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// How soon routing that was refused is fetched again. Each datagram announces it.
const REFUSED_ROUTING_INTERVAL: Duration = Duration::from_secs(1);

/// An event that the rest of the process must handle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEvent {
    /// A table was adopted: release the slices that it took away.
    TableAdopted(Epoch),
    /// The lease lapsed: cancel all work.
    LeaseLapsed,
    /// The session ended: discard its state.
    SessionEnded(SessionId),
    /// Another daemon reported requests that are suspected of crashing upstreams.
    SuspectsReported(Vec<CrashSuspect>),
    /// An upstream completed a suspected request without a crash.
    SuspectCleared(Fingerprint),
    /// Another daemon asked for tokens of teams.
    QuotaAsked {
        /// The peer address of that daemon.
        from: SocketAddr,
        /// When it sent the ask, by its own clock.
        sent: Moment,
        /// The numbers of tokens that it asked for.
        teams: Vec<TeamTokens>,
    },
    /// A quota owner issued tokens.
    QuotaGranted {
        /// When the ask was sent, by this daemon's clock.
        sent: Moment,
        /// The tokens.
        teams: Vec<TeamGrant>,
    },
    /// The former quota owner of teams issues no more tokens, and had these left.
    QuotaHandedOver(Vec<TeamTokens>),
    /// Another daemon has a newer table.
    FetchTable {
        /// The peer address of that daemon.
        from: SocketAddr,
        /// The epoch of its table.
        epoch: Epoch,
    },
    /// Another daemon has a newer configuration.
    FetchConfiguration {
        /// The peer address of that daemon.
        from: SocketAddr,
        /// The version of its configuration.
        version: DocumentVersion,
    },
}

/// The configuration in force in this process.
#[derive(Clone, Debug, Default)]
pub struct ActiveConfiguration {
    /// The version of the document.
    pub version: DocumentVersion,
    /// The document with the operators' drains applied.
    pub document: Document,
    /// The configuration as stored in the platform.
    pub configuration: Option<Configuration>,
    /// The routing configuration, if operators write that instead of a document.
    pub routing_config: Option<Arc<RoutingConfig>>,
}

impl ActiveConfiguration {
    /// Returns the teams, if the routing in force has any.
    fn teams(&self) -> Option<&Teams> {
        self.routing_config.as_ref()?.teams.as_ref()
    }

    /// Returns whether API keys work with `routing` that don't with the one in force.
    pub fn adds_keys(&self, routing: &RoutingConfig) -> bool {
        let teams = self.teams().zip(routing.teams.as_ref());
        teams.is_some_and(|(former, teams)| teams.adds_keys_to(former))
    }
}

/// The membership of this process: the ownership state machine with its datagram socket, and the
/// configuration in force.
pub struct Membership {
    clock: Arc<dyn Clock>,
    ownership: Mutex<Ownership>,
    socket: UdpSocket,
    pool: Arc<PeerPool>,
    metrics: Arc<Metrics>,
    active: RwLock<Arc<ActiveConfiguration>>,
    join_requests: Mutex<JoinRequests>,
    load_reports: Mutex<BTreeMap<SessionId, LoadReport>>,
    events: Sender<MembershipEvent>,
    platform_read: AtomicBool,
    table_history: Mutex<TableHistory>,
    /// The version of the routing that was refused last, and when.
    refused_routing: Mutex<Option<(DocumentVersion, Moment)>>,
}

impl Membership {
    /// Creates the membership; `socket` is bound to this daemon's peer address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket's read timeout can't be set.
    pub fn new(
        clock: Arc<dyn Clock>,
        ownership: Ownership,
        socket: UdpSocket,
        pool: Arc<PeerPool>,
        metrics: Arc<Metrics>,
        events: Sender<MembershipEvent>,
    ) -> io::Result<Self> {
        socket.set_read_timeout(Some(TICK_INTERVAL))?;
        Ok(Self {
            clock,
            ownership: Mutex::new(ownership),
            socket,
            pool,
            metrics,
            active: RwLock::default(),
            join_requests: Mutex::default(),
            load_reports: Mutex::default(),
            events,
            platform_read: AtomicBool::new(false),
            table_history: Mutex::default(),
            refused_routing: Mutex::default(),
        })
    }

    /// Runs `f` on the ownership state machine, then performs the actions that it requests.
    pub fn with_ownership<R>(&self, f: impl FnOnce(&mut Ownership, Moment) -> R) -> R {
        let mut ownership = sync::lock(&self.ownership);
        let result = f(&mut ownership, self.clock.now());
        let actions = ownership.take_actions();
        drop(ownership);
        for action in actions {
            self.perform(action);
        }
        result
    }

    /// Adopts the table that was read from the platform.
    pub fn adopt_platform_table(&self, table: Table) {
        self.with_ownership(|o, now| o.adopt_table(now, table.into()));
        self.record_platform_read();
    }

    /// Records that this process has read whether the platform has a table.
    pub fn record_platform_read(&self) {
        self.platform_read.store(true, Ordering::SeqCst);
    }

    /// Returns whether this process has read the platform's table since it started.
    pub fn has_read_platform(&self) -> bool {
        self.platform_read.load(Ordering::SeqCst)
    }

    /// Returns the counts of what this daemon sends.
    pub fn traffic(&self) -> &Arc<Traffic> {
        self.pool.traffic()
    }

    /// Returns the metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the configuration in force.
    pub fn active_configuration(&self) -> Arc<ActiveConfiguration> {
        Arc::clone(&sync::read(&self.active))
    }

    /// Returns the table that this daemon has adopted.
    pub fn table(&self) -> Arc<Table> {
        self.with_ownership(|o, _| Arc::clone(o.table()))
    }

    /// Returns the members whose upstreams may take new work of `service`.
    pub fn members_taking_work(&self, service: &ServiceName) -> Vec<Member> {
        let active = self.active_configuration();
        let table = self.table();
        let eligible = table.members.values().filter(|m| {
            let upstream = m.info.upstream.as_ref().filter(|u| u.service == *service);
            let runs_service = upstream.is_some_and(|u| !active.document.is_drained(u.address));
            runs_service && !m.info.leaving && active.document.accepts_work(&m.info.domain)
        });
        eligible.cloned().collect()
    }

    /// Returns the member info of daemons that request to join or to change it, and of this daemon.
    pub fn join_requests(&self) -> BTreeMap<InstanceId, MemberInfo> {
        let table = self.table();
        let mut requests = sync::lock(&self.join_requests).current(self.clock.now(), &table);
        let own = self.with_ownership(|o, _| o.info().clone());
        requests.insert(own.session.instance, own);
        requests
    }

    /// Removes the join requests that `table` fulfils.
    pub fn forget_fulfilled_joins(&self, table: &Table) {
        sync::lock(&self.join_requests).forget_fulfilled(table);
    }

    /// Returns the newest load report of each member.
    pub fn load_reports(&self) -> BTreeMap<SessionId, LoadReport> {
        sync::lock(&self.load_reports).clone()
    }

    /// Reports this daemon's load to the planner.
    pub fn report_load(&self, mut report: LoadReport) {
        self.with_ownership(|o, _| {
            report.session = Some(o.info().session);
            let planner = o.table().member_of(o.table().planner).map(|m| m.info.peer);
            match planner {
                Some(peer) if peer != o.info().peer => {
                    o.send(peer, Message::Load(Box::new(report)));
                }
                Some(_) => {
                    sync::lock(&self.load_reports).insert(o.info().session, report);
                }
                None => {}
            }
        });
    }

    /// Sends `message` to all other members.
    pub fn broadcast(&self, message: &Message) {
        self.with_ownership(|o, _| {
            for peer in o.other_peers() {
                o.send(peer, message.clone());
            }
        });
    }

    /// Adopts a configuration if it is newer than the one in force.
    ///
    /// # Errors
    ///
    /// Returns an error if its document is invalid; the present one stays in force.
    pub fn adopt_configuration(&self, configuration: Configuration) -> Result<(), DocumentError> {
        let document = configuration.document()?;
        let version = configuration.version;
        let mut active = sync::write(&self.active);
        if version <= active.version {
            return Ok(());
        }
        *active = Arc::new(ActiveConfiguration {
            version,
            document,
            configuration: Some(configuration),
            routing_config: None,
        });
        drop(active);
        tracing::info!(%version, "configuration in force");
        self.announce_document(version);
        Ok(())
    }

    /// Adopts a routing configuration if it is newer than the one in force; returns whether it is.
    ///
    /// One that a daemon read from an older copy of the store, without knowing what that lost, does
    /// not replace the lost one as long as that is held.
    pub fn adopt_routing_config(&self, config: RoutingConfig) -> bool {
        let version = config.version;
        let is_holding = self.with_ownership(|o, now| {
            o.observe_store_era(now, version.era);
            o.is_holding_routing(now)
        });
        let mut active = sync::write(&self.active);
        if version <= active.version {
            return false;
        }
        let drops_lost = config.carried < version_to_carry(&active, version.era);
        if is_holding && drops_lost {
            drop(active);
            tracing::info!(event = "routing-not-taken", %version, carried = %config.carried);
            *sync::lock(&self.refused_routing) = Some((version, self.clock.now()));
            return false;
        }
        // Before the routing takes effect, as requests are judged by the freshness read before it.
        self.update_freshness(&active, &config, drops_lost);
        let label = config.label.clone();
        *active = Arc::new(ActiveConfiguration {
            version,
            document: config.document(),
            configuration: None,
            routing_config: Some(Arc::new(config)),
        });
        drop(active);
        tracing::info!(event = "routing-in-force", %version, label);
        self.announce_document(version);
        true
    }

    /// Suspends the freshness of the routing if the teams of `config` replace those in force without taking
    /// the latter into account, and so may make revoked keys valid; ends that with other teams.
    fn update_freshness(
        &self,
        active: &ActiveConfiguration,
        config: &RoutingConfig,
        drops_lost: bool,
    ) {
        if drops_lost && active.adds_keys(config) {
            tracing::warn!(event = "keys-suspended", version = %config.version);
            self.with_ownership(|o, _| o.routing_freshness_mut().suspend());
        } else if !drops_lost && active.teams() != config.teams.as_ref() {
            self.with_ownership(|o, _| o.routing_freshness_mut().resume());
        }
    }

    /// Returns the version of an earlier era that routing of `era` must take into account to replace the
    /// one in force at once.
    pub fn version_to_carry(&self, era: StoreEra) -> DocumentVersion {
        version_to_carry(&self.active_configuration(), era)
    }

    /// Returns whether to fetch the routing of `version` from another daemon: it is newer than the
    /// one in force, and has not been refused just now.
    pub fn should_fetch_routing(&self, version: DocumentVersion) -> bool {
        let refused = *sync::lock(&self.refused_routing);
        let is_refused = refused.is_some_and(|(refused, at)| {
            version <= refused && self.clock.now().since(at) < REFUSED_ROUTING_INTERVAL
        });
        !is_refused && self.active_configuration().version < version
    }

    fn announce_document(&self, version: DocumentVersion) {
        self.with_ownership(|o, _| {
            if version > o.document_version() {
                o.adopt_document_version(version);
                o.broadcast_versions();
            }
        });
    }

    /// Returns the reply to a daemon with the table of epoch `known` that fetches the newest one.
    pub fn table_update(&self, known: Epoch) -> PeerReply {
        match sync::lock(&self.table_history).update_since(known) {
            TableUpdate::None => PeerReply::Table(None),
            TableUpdate::Whole(table) => PeerReply::Table(Some(table)),
            TableUpdate::Delta(delta) => PeerReply::TableDelta(delta),
        }
    }

    /// Fetches what changed in the table of the daemon at `from` and adopts it.
    pub fn fetch_table(&self, from: SocketAddr) {
        let table = self.table();
        let delta = match self.fetch_table_since(from, table.epoch) {
            Some(PeerReply::TableDelta(delta)) => delta,
            Some(PeerReply::Table(Some(table))) => return self.adopt_table(table),
            _ => return,
        };
        match Arc::unwrap_or_clone(delta).apply(&table) {
            Ok(table) => self.adopt_table(table.into()),
            Err(e) => {
                tracing::warn!(event = "table-delta-refused", %from, error = %e);
                let whole = self.fetch_table_since(from, Epoch::default());
                if let Some(PeerReply::Table(Some(table))) = whole {
                    self.adopt_table(table);
                }
            }
        }
    }

    /// Fetches the table of the daemon at `from`, or what changed since the epoch `known`.
    fn fetch_table_since(&self, from: SocketAddr, known: Epoch) -> Option<PeerReply> {
        let request = PeerRequest::FetchTable { known };
        let recipient = Recipient::none();
        match self
            .pool
            .call(from, &request, FETCH_TIMEOUT, &recipient, || false)
        {
            Ok(called) => Some(called.reply),
            Err(e) => {
                tracing::debug!(%from, error = %e, "table not fetched");
                None
            }
        }
    }

    /// Adopts the table of another daemon.
    fn adopt_table(&self, table: Arc<Table>) {
        match table.check() {
            Ok(()) => self.with_ownership(|o, now| o.adopt_table(now, table)),
            Err(e) => tracing::error!(event = "table-refused", error = %e),
        }
    }

    /// Fetches the configuration of the daemon at `from` and adopts it.
    pub fn fetch_configuration(&self, from: SocketAddr) {
        match self.pool.call(
            from,
            &PeerRequest::FetchConfiguration,
            FETCH_TIMEOUT,
            &Recipient::none(),
            || false,
        ) {
            Ok(PeerCallReply {
                reply: PeerReply::Configuration(Some(configuration)),
                ..
            }) => {
                if let Err(e) = self.adopt_configuration(*configuration) {
                    tracing::error!(error = %e, "configuration of another daemon refused");
                }
            }
            Ok(_) => {}
            Err(e) => tracing::debug!(%from, error = %e, "configuration not fetched"),
        }
    }

    /// Receives datagrams and runs periodic work until the process stops.
    pub fn run(&self, stop: &StopFlag) {
        let mut buf = vec![0; DATAGRAM_BYTES_MAX];
        let mut next_tick = self.clock.now();
        while !stop.is_set() {
            match self.socket.recv_from(&mut buf) {
                Ok((length, _)) => self.handle_datagram(&buf[..length]),
                Err(e) if is_timeout(&e) => {}
                Err(e) => tracing::debug!(error = %e, "can't receive a datagram"),
            }
            let now = self.clock.now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                self.with_ownership(|o, now| o.tick(now));
            }
        }
    }

    /// Fetches the routing configuration of the daemon at `from` and adopts it.
    pub fn fetch_routing_config(&self, from: SocketAddr) {
        let request = PeerRequest::FetchRoutingConfig;
        match self
            .pool
            .call(from, &request, FETCH_TIMEOUT, &Recipient::none(), || false)
        {
            Ok(PeerCallReply {
                reply: PeerReply::RoutingConfig(Some(config)),
                ..
            }) => {
                self.adopt_routing_config(*config);
            }
            Ok(_) => {}
            Err(e) => tracing::debug!(%from, error = %e, "routing configuration not fetched"),
        }
    }

    fn handle_datagram(&self, bytes: &[u8]) {
        self.metrics.record_datagram_received(bytes.len());
        let Ok(datagram) = Datagram::decode(bytes) else {
            self.metrics.record_malformed();
            return;
        };
        match &datagram.message {
            Message::Join(request) => {
                sync::lock(&self.join_requests).record(self.clock.now(), (**request).clone());
            }
            Message::Load(report) => {
                if let Some(session) = report.session {
                    sync::lock(&self.load_reports).insert(session, (**report).clone());
                }
            }
            Message::Suspects(suspects) => {
                self.emit(MembershipEvent::SuspectsReported(suspects.clone()))
            }
            Message::Cleared(fingerprint) => {
                self.emit(MembershipEvent::SuspectCleared(*fingerprint))
            }
            Message::QuotaAsk { sent, teams } => self.emit(MembershipEvent::QuotaAsked {
                from: datagram.peer,
                sent: *sent,
                teams: teams.clone(),
            }),
            Message::QuotaGrant { sent, teams } => self.emit(MembershipEvent::QuotaGranted {
                sent: *sent,
                teams: teams.clone(),
            }),
            Message::QuotaHandover(teams) => {
                self.emit(MembershipEvent::QuotaHandedOver(teams.clone()))
            }
            _ => {}
        }
        self.with_ownership(|o, now| o.receive(now, datagram));
    }

    fn perform(&self, action: OwnershipAction) {
        match action {
            OwnershipAction::Send { to, datagram } => self.send(to, &datagram),
            OwnershipAction::FetchTable { from, epoch } => {
                self.emit(MembershipEvent::FetchTable { from, epoch })
            }
            OwnershipAction::FetchConfiguration { from, version } => {
                self.emit(MembershipEvent::FetchConfiguration { from, version });
            }
            OwnershipAction::TableAdopted(epoch) => {
                tracing::info!(event = "table-adopted", %epoch);
                let table = self.table();
                sync::lock(&self.table_history).record(&table);
                self.emit(MembershipEvent::TableAdopted(epoch));
            }
            OwnershipAction::LeaseLapsed => {
                tracing::warn!(event = "lease-lapsed");
                self.emit(MembershipEvent::LeaseLapsed);
            }
            OwnershipAction::LeaseLive => tracing::info!(event = "lease-live"),
            OwnershipAction::SessionEnded(session) => {
                tracing::warn!(event = "session-ended", %session);
                self.emit(MembershipEvent::SessionEnded(session));
            }
        }
    }

    fn send(&self, to: SocketAddr, datagram: &Datagram) {
        let bytes = match datagram.encode() {
            Ok(bytes) if bytes.len() <= DATAGRAM_BYTES_MAX => bytes,
            Ok(bytes) => {
                tracing::error!(bytes = bytes.len(), "datagram too large, not sent");
                return;
            }
            Err(e) => {
                tracing::error!(error = %e, "datagram not encoded");
                return;
            }
        };
        match self.socket.send_to(&bytes, to) {
            Ok(length) => {
                self.metrics.record_datagram_sent(length);
                self.traffic().record(datagram.message.kind(), length);
            }
            Err(e) => tracing::debug!(%to, error = %e, "datagram not sent"),
        }
    }

    fn emit(&self, event: MembershipEvent) {
        // The receiver is dropped only when the process stops.
        let _ = self.events.send(event);
    }
}

/// Returns the version of an earlier era that routing of `era` must take into account to replace the
/// one in force.
fn version_to_carry(active: &ActiveConfiguration, era: StoreEra) -> DocumentVersion {
    match &active.routing_config {
        Some(_) if active.version.era < era => active.version,
        Some(routing) => routing.carried,
        None => DocumentVersion::default(),
    }
}

/// Returns whether a read timed out.
fn is_timeout(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
