//! State that all threads of the daemon share, and the handling of requests from other daemons.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::connection::memory_budget::MemoryBudget;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_server::PeerHandler;
use crate::connection::recipient::Recipient;
use crate::process::clock::Clock;
use crate::process::host::body_reservations::BodyReservations;
use crate::process::host::departure_copies::DepartureCopies;
use crate::process::host::departure_log::DepartureLog;
use crate::process::host::grant_manager::GrantManager;
use crate::process::host::held_departures::HeldDepartures;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::host_router::HostRouter;
use crate::process::host::host_settings::HostSettings;
use crate::process::host::quota_gate::QuotaGate;
use crate::process::host::recent_requests::{RecentRequests, RequestStatus};
use crate::process::host::stop_gate::StopGate;
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::stop_flag::StopFlag;
use crate::process::sync;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::departed_process::DepartedProcess;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::upstream::Upstream;

/// Shared state of the daemon.
pub struct HostContext {
    pub(super) settings: HostSettings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) instance: InstanceId,
    pub(super) budget: Arc<MemoryBudget>,
    pub(super) membership: Arc<Membership>,
    pub(super) dispatcher: Arc<HostDispatcher>,
    pub(super) grant_manager: Arc<GrantManager>,
    pub(super) router: Arc<HostRouter>,
    pub(super) quotas: Arc<QuotaGate>,
    pub(super) recent_requests: RecentRequests,
    pub(super) body_reservations: Mutex<BodyReservations>,
    /// Departures of the local upstream that outlive this process.
    pub(super) departure_log: DepartureLog,
    /// Other daemons that hold copies of them.
    pub(super) departure_copies: DepartureCopies,
    /// Copies that this daemon holds for others.
    pub(super) held_departures: Mutex<HeldDepartures>,
    pub(super) metrics: Arc<Metrics>,
    /// What the process still takes once it has been asked to stop.
    pub(super) stop_gate: Arc<StopGate>,
    /// Set when all threads must end.
    pub(super) stop: Arc<StopFlag>,
    /// Whether the process has ever been ready.
    pub(super) was_ready: AtomicBool,
}

impl HostContext {
    /// Returns whether callers may send requests to this daemon.
    pub fn is_ready(&self) -> bool {
        if self.stop_gate.is_stopping() {
            return false;
        }
        let has_routing = self
            .membership
            .active_configuration()
            .routing_config
            .is_some();
        let ready = has_routing && (self.was_ready.load(Ordering::SeqCst) || self.has_table());
        if ready && !self.was_ready.swap(true, Ordering::SeqCst) {
            tracing::info!(event = "ready");
        }
        ready
    }

    /// Returns whether the daemon has adopted a table.
    fn has_table(&self) -> bool {
        self.membership.table().epoch > Epoch::default()
    }

    /// Applies the departures of the upstream that former processes of this daemon have acknowledged.
    pub(super) fn add_departures(&self, processes: &[DepartedProcess]) {
        if self.dispatcher.add_departures(processes) {
            tracing::info!(event = "upstream-leaving", by = "recovered");
            self.set_leaving(true);
        }
    }

    /// Offers the upstream, as the departures that former processes acknowledged are known.
    pub(super) fn offer_upstream(&self) {
        self.departure_log.set_recovered();
        self.publish_upstream();
    }

    /// Sets the present process of the upstream in this daemon's member info, which the planner reads.
    pub(super) fn publish_upstream(&self) {
        let Some(process) = self.dispatcher.upstream_process() else {
            return;
        };
        let upstream = Upstream {
            service: process.service.clone(),
            address: self.settings.upstream,
            boot: process.boot(),
            slots: process.slots,
            cold_slots: 1,
            connections: 1,
            checks_grants: true,
        };
        let leaving = process.leaving_since.is_some() || self.stop_gate.is_stopping();
        self.membership.with_ownership(|o, now| {
            o.update_info(now, |info| {
                info.upstream = Some(upstream);
                info.leaving = leaving;
            });
        });
    }

    /// Sets whether the upstream leaves in this daemon's member info, which the planner reads.
    pub fn set_leaving(&self, leaving: bool) {
        self.membership
            .with_ownership(|o, now| o.update_info(now, |info| info.leaving = leaving));
    }

    /// Sends another daemon's request to the upstream; a duplicate waits for the first copy's
    /// reply.
    fn serve_request(
        &self,
        instance: InstanceId,
        request: &UpstreamRequest,
        recipient: &Recipient,
    ) -> PeerReply {
        if instance != self.instance {
            return PeerReply::NotServing("another process than the one meant".to_owned());
        }
        let now = self.clock.now();
        sync::lock(&self.body_reservations).release(&request.id, request.attempt);
        let execution = match self
            .recent_requests
            .begin(now, &request.id, request.attempt)
        {
            RequestStatus::New(execution) => execution,
            status => return self.await_execution(&status, request.remaining, recipient),
        };
        recipient.join(&execution.waiters);
        let (outcome, load) = self.dispatcher.dispatch(request, execution.waiters.work());
        let reply = PeerReply::Completed {
            outcome: Box::new(outcome),
            load,
        };
        let now = self.clock.now();
        self.recent_requests
            .finish(now, &request.id, request.attempt, &execution, &reply);
        reply
    }

    /// Reserves room for the body of a request that another daemon is about to send.
    fn reserve_body(
        &self,
        instance: InstanceId,
        id: &str,
        attempt: u32,
        bytes: usize,
    ) -> PeerReply {
        if instance != self.instance {
            return PeerReply::NotServing("another process than the one meant".to_owned());
        }
        if self.stop_gate.is_closed() {
            let refusal = UpstreamOutcome::not_run(NotRunCause::Stopping, Duration::ZERO);
            return self.completed(refusal);
        }
        let now = self.clock.now();
        let reserved = sync::lock(&self.body_reservations).reserve(now, id, attempt, bytes);
        match reserved {
            Ok(()) => PeerReply::Accepted,
            Err(retry_after) => self.completed(UpstreamOutcome::not_run(
                NotRunCause::Overloaded,
                retry_after,
            )),
        }
    }

    /// Returns the outcome of a request that was received before.
    fn fetch_outcome(
        &self,
        instance: InstanceId,
        id: &str,
        attempt: u32,
        timeout: Duration,
        recipient: &Recipient,
    ) -> PeerReply {
        if instance != self.instance {
            return PeerReply::UnknownRequest;
        }
        match self.recent_requests.status(id, attempt) {
            Some(status) => self.await_execution(&status, timeout, recipient),
            None => PeerReply::UnknownRequest,
        }
    }

    /// Waits for the outcome of a request that was received before. While `recipient` waits, the
    /// request goes on although its first connection breaks.
    fn await_execution(
        &self,
        status: &RequestStatus,
        timeout: Duration,
        recipient: &Recipient,
    ) -> PeerReply {
        match status {
            RequestStatus::New(execution) | RequestStatus::Duplicate(execution) => {
                recipient.join(&execution.waiters);
                let reply = execution.wait(timeout);
                recipient.leave();
                reply.unwrap_or_else(|| {
                    self.completed(UpstreamOutcome::timed_out("no outcome in time"))
                })
            }
            RequestStatus::Expired => self.completed(UpstreamOutcome::unknown("a late copy")),
        }
    }

    /// Holds copies of the departures on another host, unless they would end with this process.
    fn hold_departures(&self, host: SocketAddr, processes: Vec<DepartedProcess>) -> PeerReply {
        if self.stop_gate.is_stopping() {
            return PeerReply::NotServing("the process stops".to_owned());
        }
        let now = self.clock.now();
        sync::lock(&self.held_departures).record(now, host, processes);
        PeerReply::Accepted
    }

    fn completed(&self, outcome: UpstreamOutcome) -> PeerReply {
        PeerReply::Completed {
            outcome: Box::new(outcome),
            load: self.dispatcher.load(),
        }
    }
}

impl PeerHandler for HostContext {
    fn handle(&self, request: PeerRequest, recipient: &Recipient) -> PeerReply {
        match request {
            PeerRequest::Dispatch { instance, request } => {
                self.serve_request(instance, &request, recipient)
            }
            PeerRequest::FetchOutcome {
                instance,
                id,
                attempt,
                remaining,
            } => self.fetch_outcome(instance, &id, attempt, remaining, recipient),
            PeerRequest::ReserveBody {
                instance,
                id,
                attempt,
                bytes,
            } => self.reserve_body(instance, &id, attempt, bytes),
            PeerRequest::FetchTable { known } => self.membership.table_update(known),
            PeerRequest::FetchRoutingConfig => {
                let active = self.membership.active_configuration();
                PeerReply::RoutingConfig(
                    active
                        .routing_config
                        .as_ref()
                        .map(|r| Box::new((**r).clone())),
                )
            }
            // Handovers end with the process, so a stopping one must not accept them.
            PeerRequest::TransferKeys(_) if self.stop_gate.is_stopping() => {
                PeerReply::NotServing("the process stops".to_owned())
            }
            PeerRequest::TransferKeys(handovers) => {
                self.grant_manager.accept_handovers(handovers);
                PeerReply::Accepted
            }
            PeerRequest::HoldDepartures { host, processes } => {
                self.hold_departures(host, processes)
            }
            PeerRequest::FetchDepartures { host } => {
                let now = self.clock.now();
                PeerReply::Departures(sync::lock(&self.held_departures).of_host(now, host))
            }
            PeerRequest::Forward(_)
            | PeerRequest::DispatchShared { .. }
            | PeerRequest::FetchConfiguration
            | PeerRequest::TransferRecords(_) => {
                tracing::warn!(event = "peer-request-refused", reason = "not served here");
                PeerReply::NotServing("this daemon takes orders only".to_owned())
            }
        }
    }

    fn count_malformed_frame(&self) {
        self.metrics.record_malformed();
    }
}
