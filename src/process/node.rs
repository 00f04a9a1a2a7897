//! The shared state of a daemon, and its handlers for callers, other daemons and operators.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::connection::caller_http::{CallerHandler, RequestPolicy};
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_server::PeerHandler;
use crate::connection::recipient::Recipient;
use crate::process::burn::BurnCounters;
use crate::process::clock::Clock;
use crate::process::key_owner::KeyOwner;
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::router::Router;
use crate::process::settings::Settings;
use crate::process::status::{self, Status, UpstreamStatus};
use crate::process::stop_flag::StopFlag;
use crate::process::sync;
use crate::process::upstream_dispatcher::UpstreamDispatcher;
use crate::request::envelope::Envelope;
use crate::request::outcome::Outcome;
use crate::request::refusal::Refusal;
use crate::request::service_response::ServiceResponse;
use crate::version::service::Service;
use crate::version::service_name::ServiceName;
use crate::version::upstream::Upstream;

/// How often a stopping daemon checks whether its slices were handed over.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The state that all threads of a daemon share.
pub struct Node {
    pub(super) settings: Settings,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) membership: Arc<Membership>,
    pub(super) dispatcher: Arc<UpstreamDispatcher>,
    pub(super) owner: Arc<KeyOwner>,
    pub(super) router: Arc<Router>,
    pub(super) metrics: Arc<Metrics>,
    pub(super) burn: Mutex<BurnCounters>,
    pub(super) stop: Arc<StopFlag>,
    pub(super) stop_watching: Arc<StopFlag>,
}

impl Node {
    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Registers the local upstream and publishes it to the other daemons.
    pub fn register_upstream(&self, upstream: &Upstream) {
        let active = self.membership.active_configuration();
        let default_service = Service::default();
        let service = active
            .document
            .services
            .get(&upstream.service)
            .unwrap_or(&default_service);
        let changed = self.dispatcher.register_upstream(upstream, service);
        self.membership.with_ownership(|o, now| {
            if changed || o.info().upstream.as_ref() != Some(upstream) {
                tracing::info!(service = %upstream.service, boot = %upstream.boot, "upstream up");
                o.update_info(now, |info| info.upstream = Some(upstream.clone()));
            }
        });
    }

    /// Returns whether the daemon can serve callers.
    ///
    /// It can unless it is stopping or leaving, or its lease is not live.
    pub fn is_ready(&self) -> bool {
        !self.stop.is_set()
            && self
                .membership
                .with_ownership(|o, now| o.live_until(now).is_some() && !o.info().leaving)
    }

    /// Returns the status of the daemon for operators.
    pub fn status(&self) -> Status {
        let active = self.membership.active_configuration();
        let load = self.dispatcher.load();
        let wall_time = self.clock.wall_time();
        let burn = sync::lock(&self.burn);
        let services = active.document.services.iter();
        let burn = services
            .map(|(name, s)| burn.report(wall_time, name, s.objective))
            .collect();
        let up = self.dispatcher.client().is_some();
        self.membership.with_ownership(|o, now| Status {
            environment: self.settings.environment.to_string(),
            session: o.info().session,
            lease_ms: o.live_until(now).map(|u| millis(u.since(now))),
            epoch: o.table().epoch,
            configuration: active.version,
            digest: active.configuration.as_ref().map(|c| c.digest.clone()),
            members: status::member_statuses(o),
            owners: status::slice_counts(o),
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

    /// Hands all slices over to other daemons before the process stops.
    pub(super) fn hand_off_slices(&self) {
        let until = Instant::now() + Duration::from_millis(self.settings.stop_ms);
        self.membership
            .with_ownership(|o, now| o.update_info(now, |info| info.leaving = true));
        while Instant::now() < until && !self.has_handed_off() {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let handed_off = self.has_handed_off();
        if !handed_off {
            tracing::warn!("the slices were not handed over in time");
        }
        let mut resigned = self.resign_if_idle();
        while !resigned && Instant::now() < until {
            self.dispatcher.wait_idle(STOP_POLL_INTERVAL, |_| true);
            resigned = self.resign_if_idle();
        }
        if !resigned {
            // The witnesses detect the end when the lease expires, which also bounds the deadlines
            // of the requests in flight.
            tracing::warn!("stopped with requests in flight");
        }
        thread::sleep(STOP_POLL_INTERVAL);
        if let Some(client) = self.dispatcher.client()
            && let Err(e) = client.drain()
        {
            tracing::debug!(error = %e, "failed to send the drain request to the upstream");
        }
    }

    /// Resigns the session unless a request for an owned key is outstanding; returns whether it did.
    fn resign_if_idle(&self) -> bool {
        let resign = || self.membership.with_ownership(|o, now| o.resign(now));
        self.dispatcher.run_if_idle(resign).is_some()
    }

    /// Returns whether all slices were handed over: the table shows this daemon as leaving and as
    /// first candidate of no slice, and the daemon has announced that it adopted that table.
    fn has_handed_off(&self) -> bool {
        self.membership.with_ownership(|o, _| {
            let own_session = o.info().session;
            let table = o.table();
            if !table.members.contains_key(&own_session) {
                return true;
            }
            let mut owned = table
                .assignments()
                .filter(|(_, _, a)| a.candidates.first() == Some(&own_session));
            let shown_leaving = table
                .members
                .get(&own_session)
                .is_some_and(|m| m.info.leaving);
            shown_leaving && owned.next().is_none() && o.facts().adopted(own_session) == table.epoch
        })
    }
}

impl CallerHandler for Node {
    fn handle(&self, envelope: Envelope) -> ServiceResponse {
        let (id, service) = (envelope.id, envelope.service.clone());
        let started = self.clock.now();
        let response = self.router.route(envelope);
        let latency = self.clock.now().since(started);
        self.metrics
            .record_request(&service, response.outcome, latency);
        self.record_burn(&service, &response, latency);
        match &response.refusal {
            Some(refusal) => {
                let outcome = response.outcome;
                tracing::debug!(request = %id, %service, %outcome, %refusal, "request refused");
            }
            None => tracing::debug!(request = %id, %service, status = response.status, "answered"),
        }
        response
    }

    fn request_policy(
        &self,
        service: &ServiceName,
        method: &str,
        path: &str,
    ) -> Option<RequestPolicy> {
        let active = self.membership.active_configuration();
        let service = active.document.services.get(service)?;
        let repeatable = service.is_repeatable(method, path);
        let clock_skew = Duration::from_millis(self.settings.clock_skew_ms);
        Some(RequestPolicy {
            default_timeout: service.deadline(),
            repeatable,
            clock_skew,
        })
    }
}

impl Node {
    /// Counts a request against its service's objective; caller errors are not counted.
    fn record_burn(&self, service: &ServiceName, response: &ServiceResponse, latency: Duration) {
        if response.refusal.as_ref().is_some_and(is_caller_error) {
            return;
        }
        let active = self.membership.active_configuration();
        let Some(service_settings) = active.document.services.get(service) else {
            return;
        };
        let in_time = latency <= service_settings.objective.latency();
        let good = response.outcome == Outcome::Ran && response.status < 500 && in_time;
        sync::lock(&self.burn).record(self.clock.wall_time(), service, good);
    }
}

impl PeerHandler for Node {
    fn handle(&self, request: PeerRequest, _recipient: &Recipient) -> PeerReply {
        match request {
            PeerRequest::Forward(envelope) => self.router.serve_forwarded(envelope),
            PeerRequest::DispatchShared {
                instance,
                until,
                envelope,
            } => self.router.run_locally(instance, until, envelope),
            PeerRequest::FetchTable { known } => self.membership.table_update(known),
            PeerRequest::FetchConfiguration => {
                let active = self.membership.active_configuration();
                PeerReply::Configuration(active.configuration.clone().map(Box::new))
            }
            PeerRequest::TransferRecords(handovers) => {
                self.owner.accept_handover(handovers);
                PeerReply::Accepted
            }
            PeerRequest::Dispatch { .. }
            | PeerRequest::FetchOutcome { .. }
            | PeerRequest::FetchRoutingConfig
            | PeerRequest::TransferKeys(_)
            | PeerRequest::HoldDepartures { .. }
            | PeerRequest::FetchDepartures { .. }
            | PeerRequest::ReserveBody { .. } => {
                PeerReply::NotServing("this daemon takes no such call".to_owned())
            }
        }
    }

    fn count_malformed_frame(&self) {
        self.metrics.record_malformed();
    }
}

/// Returns whether a request was refused because of the request itself, whichever daemon or
/// upstream gets it.
fn is_caller_error(refusal: &Refusal) -> bool {
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
