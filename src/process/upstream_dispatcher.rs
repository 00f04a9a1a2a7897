//! Sends requests to the local upstream, which runs on the same host, within its concurrency limit.
//!
//! All requests to the upstream go through its dispatcher.

use std::collections::{BTreeMap, HashMap};
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::connection::upstream_client::{self, SliceFence, UpstreamClient};
use crate::connection::upstream_error::UpstreamError;
use crate::process::clock::Clock;
use crate::process::datagram::Message;
use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::envelope::Envelope;
use crate::request::fingerprint::Fingerprint;
use crate::request::limiter::{Admission, Completion, Limiter, Ticket};
use crate::request::outcome::Outcome;
use crate::request::quarantine::{CrashSuspect, Quarantine, QuarantineState};
use crate::request::refusal::Refusal;
use crate::request::request_id::RequestId;
use crate::request::service_response::ServiceResponse;
use crate::version::fencing_token::FencingToken;
use crate::version::service::{Policy, Service};
use crate::version::service_name::ServiceName;
use crate::version::slice_id::SliceId;
use crate::version::upstream::{Upstream, UpstreamBoot};

/// The timeout of the connection attempt that checks whether an upstream crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// The maximum number of attempts for a request that the upstream sheds.
const SHED_ATTEMPTS: u32 = 4;
/// The minimum time before the deadline or the end of the permit with which a request is sent.
const REQUEST_TIME_MIN: Duration = Duration::from_millis(1);

/// How long a grant is valid unless a higher token replaces it. It may exceed the lease because the
/// deadline of each request is bounded by the lease.
const GRANT_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// A service with one of its slices.
pub type ServiceSlice = (ServiceName, SliceId);

/// The permission to send a request to the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The slice and fencing token of the request, if its service is keyed.
    pub fence: Option<SliceFence>,
    /// When the permission expires.
    pub until: Moment,
}

/// The result of dispatching a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// The response to the request.
    Response(ServiceResponse),
    /// The permission was refused before the request was sent; the text states the reason.
    NotServing(String),
}

/// A request that was sent to the upstream or is about to be sent.
#[derive(Clone, Debug)]
struct InFlightRequest {
    slice: Option<ServiceSlice>,
    fingerprint: Fingerprint,
    envelope: Arc<Envelope>,
}

/// A request whose connection broke before a response arrived; the upstream may still run it.
struct UnansweredRequest {
    slice: ServiceSlice,
    envelope: Arc<Envelope>,
    client: Arc<UpstreamClient>,
    /// The deadline that was sent to the upstream with the request.
    until: Moment,
}

/// A request with the client that sent it.
type SentRequest = (Arc<UpstreamClient>, Arc<Envelope>);

#[derive(Default)]
struct State {
    client: Option<Arc<UpstreamClient>>,
    limiter: Limiter,
    queued: HashMap<Ticket, SyncSender<()>>,
    in_flight: HashMap<RequestId, InFlightRequest>,
    unanswered: Vec<UnansweredRequest>,
    granted_tokens: BTreeMap<SliceId, FencingToken>,
    quarantine: Quarantine,
    running_suspect: Option<RequestId>,
    request_counts: BTreeMap<SliceId, u64>,
}

/// The load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherLoad {
    /// The number of requests in flight.
    pub in_flight: u32,
    /// The maximum number of requests in flight.
    pub limit: u32,
    /// The number of queued requests.
    pub waiting: usize,
    /// The mean latency of the upstream, in microseconds.
    pub mean_micros: u64,
    /// The present capacity of the upstream, in per mille of its usual capacity.
    pub capacity: u32,
    /// The limit, in per mille of the slots.
    pub share: u32,
    /// The number of concurrent requests that the upstream handles when warm.
    pub slots: u32,
    /// The policy by which the limit is set.
    pub policy: Policy,
}

/// Sends requests to the local upstream.
pub struct UpstreamDispatcher {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    in_flight_changed: Condvar,
    broadcast: Box<dyn Fn(Message) + Send + Sync>,
}

impl State {
    /// Returns until when a request of a slice selected by `released` is outstanding: the latest
    /// end of those without an answer, or the end of time if one is in flight; `None` if there is
    /// none.
    fn busy_until(&self, now: Moment, released: impl Fn(&ServiceSlice) -> bool) -> Option<Moment> {
        let in_flight = self.in_flight.values().filter_map(|f| f.slice.as_ref());
        if in_flight.into_iter().any(&released) {
            return Some(Moment(u64::MAX));
        }
        let unanswered = self.unanswered.iter().filter(|u| u.until > now);
        let unanswered = unanswered.filter(|u| released(&u.slice));
        unanswered.map(|u| u.until).max()
    }

    /// Returns the requests in flight of the slices selected by `released`, with the client for the
    /// upstream; none if there is no upstream.
    fn in_flight_of(&self, released: impl Fn(&ServiceSlice) -> bool) -> Vec<SentRequest> {
        let Some(client) = &self.client else {
            return Vec::new();
        };
        let in_flight = self.in_flight.values();
        let selected = in_flight.filter(|f| f.slice.as_ref().is_some_and(&released));
        selected
            .map(|f| (Arc::clone(client), Arc::clone(&f.envelope)))
            .collect()
    }

    /// Returns the unanswered requests of the slices selected by `released`.
    fn unanswered_of(&self, released: impl Fn(&ServiceSlice) -> bool) -> Vec<SentRequest> {
        let selected = self.unanswered.iter().filter(|u| released(&u.slice));
        selected
            .map(|u| (Arc::clone(&u.client), Arc::clone(&u.envelope)))
            .collect()
    }

    /// Records that the upstream of `client` may run the request `id` until `until`.
    fn record_unanswered(
        &mut self,
        now: Moment,
        client: &Arc<UpstreamClient>,
        id: RequestId,
        until: Moment,
    ) {
        self.unanswered.retain(|u| u.until > now);
        let Some(request) = self.in_flight.get(&id) else {
            return;
        };
        if let Some(slice) = request.slice.clone() {
            self.unanswered.push(UnansweredRequest {
                slice,
                envelope: Arc::clone(&request.envelope),
                client: Arc::clone(client),
                until,
            });
        }
    }
}

impl UpstreamDispatcher {
    /// Creates a dispatcher without an upstream; `broadcast` sends a message to all other daemons.
    pub fn new(clock: Arc<dyn Clock>, broadcast: impl Fn(Message) + Send + Sync + 'static) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            in_flight_changed: Condvar::new(),
            broadcast: Box::new(broadcast),
        }
    }

    /// Registers an announced upstream and the settings of its service; returns whether the
    /// announcement differs from the previous one.
    pub fn register_upstream(&self, upstream: &Upstream, service: &Service) -> bool {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        state.limiter.configure(service.policy, service.queue);
        let current = state
            .client
            .as_ref()
            .map(|client| client.upstream().clone());
        if current.as_ref() == Some(upstream) {
            return false;
        }
        state.limiter.register_upstream(now, upstream);
        state.granted_tokens.clear();
        state.client = Some(Arc::new(UpstreamClient::new(upstream.clone())));
        let replaced = current.filter(|p| p.boot != upstream.boot);
        let suspects = replaced.map(|p| record_crash(&mut state, now, p.boot));
        let admitted = state.limiter.admit_waiting();
        wake_waiters(&mut state, admitted);
        drop(state);
        if let Some(suspects) = suspects {
            (self.broadcast)(Message::Suspects(suspects));
        }
        true
    }

    /// Removes the upstream until it announces itself again.
    pub fn remove_upstream(&self) {
        sync::lock(&self.state).client = None;
    }

    /// Returns the client for the upstream, if there is an upstream.
    pub fn client(&self) -> Option<Arc<UpstreamClient>> {
        sync::lock(&self.state).client.clone()
    }

    /// Returns the load of the upstream.
    pub fn load(&self) -> DispatcherLoad {
        let state = sync::lock(&self.state);
        DispatcherLoad {
            in_flight: state.limiter.in_flight(),
            limit: state.limiter.limit(),
            waiting: state.limiter.waiting(),
            mean_micros: state.limiter.adaptive_limit().mean_micros() as u64,
            capacity: state.limiter.adaptive_limit().capacity_per_mille(),
            share: state.limiter.adaptive_limit().share_per_mille(),
            slots: state.limiter.adaptive_limit().slots(),
            policy: state.limiter.policy(),
        }
    }

    /// Returns the number of requests dispatched per slice since the last call.
    pub fn take_request_counts(&self) -> BTreeMap<SliceId, u64> {
        std::mem::take(&mut sync::lock(&self.state).request_counts)
    }

    /// Adds suspects that another daemon reported.
    pub fn add_suspects(&self, suspects: &[CrashSuspect]) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        for suspect in suspects {
            state.quarantine.add_suspect(now, suspect);
        }
    }

    /// Clears a suspect that the upstream of another daemon ran without a crash.
    pub fn clear_suspect(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        sync::lock(&self.state).quarantine.clear(now, fingerprint);
    }

    /// Waits up to `max_wait` until no request of a slice selected by `released` is outstanding;
    /// returns whether that is the case.
    ///
    /// A request is outstanding while it is in flight, and if its connection broke, until its
    /// deadline, because the upstream may still run it.
    pub fn wait_idle(&self, max_wait: Duration, released: impl Fn(&ServiceSlice) -> bool) -> bool {
        let until = self.clock.now() + max_wait;
        let mut state = sync::lock(&self.state);
        loop {
            let now = self.clock.now();
            let Some(recheck_at) = state.busy_until(now, &released) else {
                return true;
            };
            let wait = until.min(recheck_at).since(now);
            if wait.is_zero() {
                return false;
            }
            let waited = self.in_flight_changed.wait_timeout(state, wait);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Calls `f` and returns its result if no request of any slice is outstanding; no request becomes
    /// outstanding until `f` returns. `f` must not call this dispatcher.
    pub fn run_if_idle<R>(&self, f: impl FnOnce() -> R) -> Option<R> {
        let state = sync::lock(&self.state);
        let is_idle = state.busy_until(self.clock.now(), |_| true).is_none();
        let result = is_idle.then(f);
        drop(state);
        result
    }

    /// Asks the upstream to cancel the requests of the slices selected by `released`. Those whose
    /// connections broke are no longer outstanding if they did not run, or their process is gone.
    pub fn cancel(&self, released: impl Fn(&ServiceSlice) -> bool) {
        let state = sync::lock(&self.state);
        let in_flight = state.in_flight_of(&released);
        let unanswered = state.unanswered_of(&released);
        drop(state);
        for (client, envelope) in in_flight {
            cancel_request(&client, &envelope);
        }
        for (client, envelope) in unanswered {
            let is_gone = upstream_client::is_refused(client.upstream().address, PROBE_TIMEOUT);
            if is_gone || cancel_request(&client, &envelope) {
                let mut state = sync::lock(&self.state);
                state.unanswered.retain(|u| u.envelope.id != envelope.id);
            }
        }
        self.in_flight_changed.notify_all();
    }

    /// Sends a request to the upstream, within its concurrency limit, and returns its response.
    ///
    /// `permit` is called immediately before the request is sent.
    pub fn dispatch(
        &self,
        envelope: &Arc<Envelope>,
        slice: Option<ServiceSlice>,
        deadline: Moment,
        permit: impl Fn(Moment) -> Result<Permit, String>,
    ) -> DispatchResult {
        let mut result = self.dispatch_once(envelope, slice.clone(), deadline, &permit);
        for _ in 1..SHED_ATTEMPTS {
            let shed = matches!(&result, DispatchResult::Response(r)
                if r.refusal == Some(Refusal::UpstreamShed));
            if !shed {
                break;
            }
            // The request did not run, so it may be queued again, now under a lower limit.
            result = self.dispatch_once(envelope, slice.clone(), deadline, &permit);
        }
        result
    }

    fn dispatch_once(
        &self,
        envelope: &Arc<Envelope>,
        slice: Option<ServiceSlice>,
        deadline: Moment,
        permit: impl Fn(Moment) -> Result<Permit, String>,
    ) -> DispatchResult {
        let fingerprint = Fingerprint::of(envelope);
        if let Err(refusal) = self.admit(envelope.id, fingerprint, deadline) {
            return DispatchResult::Response(ServiceResponse::not_run(refusal));
        }
        let request = InFlightRequest {
            slice,
            fingerprint,
            envelope: Arc::clone(envelope),
        };
        let client = {
            let mut state = sync::lock(&self.state);
            if let Some((_, slice)) = &request.slice {
                *state.request_counts.entry(*slice).or_default() += 1;
            }
            state.in_flight.insert(envelope.id, request);
            state.client.clone()
        };
        // The request is registered as in flight before the permit is checked, so that a release
        // of the slice that starts in between waits for the request.
        let permit = permit(self.clock.now());
        let result = match (client, permit) {
            (_, Err(reason)) => DispatchResult::NotServing(reason),
            (None, _) => DispatchResult::Response(ServiceResponse::not_run(upstream_down())),
            (Some(client), Ok(permit)) => {
                return DispatchResult::Response(self.send(
                    &client,
                    envelope,
                    fingerprint,
                    permit,
                    deadline,
                ));
            }
        };
        self.finish(envelope.id, Completion::Failed, None);
        result
    }

    /// Waits until the quarantine and the limiter admit the request.
    fn admit(
        &self,
        id: RequestId,
        fingerprint: Fingerprint,
        deadline: Moment,
    ) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        match state.quarantine.state_of(now, fingerprint) {
            QuarantineState::Quarantined => return Err(Refusal::Quarantined),
            QuarantineState::Suspect => state = self.wait_as_suspect(state, id, deadline)?,
            QuarantineState::Clear => {}
        }
        if state.client.is_none() {
            release_suspect(&mut state, id);
            return Err(upstream_down());
        }
        let admission = state.limiter.admit(now, deadline);
        let refusal = match admission {
            Admission::Run => return Ok(()),
            Admission::Wait(ticket) => return self.wait_in_queue(state, id, ticket, deadline),
            Admission::Full => Refusal::Overloaded("the queue is full".to_owned()),
            Admission::TooLate => Refusal::Overloaded("it would end too late".to_owned()),
        };
        release_suspect(&mut state, id);
        Err(refusal)
    }

    /// Waits until no other suspect is running.
    fn wait_as_suspect<'s>(
        &'s self,
        state: std::sync::MutexGuard<'s, State>,
        id: RequestId,
        deadline: Moment,
    ) -> Result<std::sync::MutexGuard<'s, State>, Refusal> {
        let max_wait = deadline.since(self.clock.now());
        let waited = self
            .in_flight_changed
            .wait_timeout_while(state, max_wait, |s| s.running_suspect.is_some());
        let (mut state, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        if timeout.timed_out() {
            return Err(Refusal::Overloaded("other suspects run first".to_owned()));
        }
        state.running_suspect = Some(id);
        Ok(state)
    }

    /// Waits until the limiter admits a queued request.
    fn wait_in_queue(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        id: RequestId,
        ticket: Ticket,
        deadline: Moment,
    ) -> Result<(), Refusal> {
        let (tx, rx) = mpsc::sync_channel(1);
        state.queued.insert(ticket, tx);
        drop(state);
        let max_wait = deadline.since(self.clock.now());
        if rx.recv_timeout(max_wait) == Err(RecvTimeoutError::Timeout) {
            let mut state = sync::lock(&self.state);
            // A ticket that is no longer queued was admitted in the meantime.
            if state.queued.remove(&ticket).is_some() {
                state.limiter.abandon(deadline, ticket);
                release_suspect(&mut state, id);
                return Err(Refusal::Overloaded("it waited too long".to_owned()));
            }
        }
        Ok(())
    }

    /// Sends an admitted request.
    fn send(
        &self,
        client: &Arc<UpstreamClient>,
        envelope: &Envelope,
        fingerprint: Fingerprint,
        permit: Permit,
        deadline: Moment,
    ) -> ServiceResponse {
        if let Err(e) = self.grant(client, permit) {
            self.finish(envelope.id, Completion::Failed, None);
            return ServiceResponse::not_run(Refusal::UpstreamRefused(e.to_string()));
        }
        // The wall clock is read before the remaining lease time is computed, so that a pause in
        // between can only shorten the time that the upstream gets.
        let sent_wall_time = self.clock.wall_time();
        let sent_at = self.clock.now();
        let timeout = deadline.min(permit.until).since(sent_at);
        if timeout < REQUEST_TIME_MIN {
            self.finish(envelope.id, Completion::Failed, None);
            return ServiceResponse::not_run(Refusal::DeadlinePassed);
        }
        match client.send_request(envelope, permit.fence, timeout, sent_wall_time) {
            Ok(response) => {
                let now = self.clock.now();
                let completion = match (&response.refusal, response.outcome) {
                    (_, Outcome::Ran) => Completion::Ran(now.since(sent_at)),
                    (Some(Refusal::UpstreamShed), _) => Completion::Shed,
                    _ => Completion::Failed,
                };
                // Only a request that ran is shown not to crash the upstream.
                let ran = (response.outcome == Outcome::Ran).then_some(fingerprint);
                self.finish(envelope.id, completion, ran);
                response
            }
            Err(e) => {
                self.check_for_crash(client, fingerprint);
                if matches!(e, UpstreamError::MaybeSent(_)) {
                    self.record_unanswered(client, envelope.id, sent_at + timeout);
                }
                self.finish(envelope.id, Completion::Failed, None);
                response_to_error(&e)
            }
        }
    }

    /// Records that the upstream may run a request until `until` although its connection broke,
    /// unless its process is gone.
    fn record_unanswered(&self, client: &Arc<UpstreamClient>, id: RequestId, until: Moment) {
        if upstream_client::is_refused(client.upstream().address, PROBE_TIMEOUT) {
            return;
        }
        let now = self.clock.now();
        sync::lock(&self.state).record_unanswered(now, client, id, until);
    }

    /// Grants the slice to the upstream if it checks grants and does not have the token yet.
    fn grant(&self, client: &UpstreamClient, permit: Permit) -> Result<(), UpstreamError> {
        let Some(fence) = permit.fence else {
            return Ok(());
        };
        if !client.upstream().checks_grants {
            return Ok(());
        }
        let granted = sync::lock(&self.state)
            .granted_tokens
            .get(&fence.slice)
            .copied();
        debug_assert!(
            granted.is_none_or(|t| t <= fence.token),
            "the fencing token of a slice must not decrease"
        );
        if granted == Some(fence.token) {
            return Ok(());
        }
        client.grant(fence, self.clock.wall_time().saturating_add(GRANT_LIFETIME))?;
        sync::lock(&self.state)
            .granted_tokens
            .insert(fence.slice, fence.token);
        Ok(())
    }

    /// Records the end of a request; `ran` is its fingerprint if it ran without a crash.
    fn finish(&self, id: RequestId, completion: Completion, ran: Option<Fingerprint>) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        state.in_flight.remove(&id);
        release_suspect(&mut state, id);
        let cleared = ran.filter(|&f| state.quarantine.clear(now, f));
        let admitted = state.limiter.complete(now, completion);
        wake_waiters(&mut state, admitted);
        drop(state);
        self.in_flight_changed.notify_all();
        if let Some(fingerprint) = cleared {
            (self.broadcast)(Message::Cleared(fingerprint));
        }
    }

    /// Checks whether the upstream crashed; if so, reports the requests in flight as suspects.
    fn check_for_crash(&self, client: &UpstreamClient, fingerprint: Fingerprint) {
        let listening = upstream_client::is_listening(client.upstream().address, PROBE_TIMEOUT);
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let boot = client.upstream().boot;
        if listening {
            // This may already be the next upstream process, which will announce itself.
            let suspect = CrashSuspect { fingerprint, boot };
            state.quarantine.record_broken_connection(now, suspect);
            return;
        }
        if state.quarantine.has_crashed(boot) {
            return;
        }
        let suspects = record_crash(&mut state, now, boot);
        let current = state.client.as_ref().map(|client| client.upstream().boot);
        if current == Some(boot) {
            state.client = None;
        }
        drop(state);
        tracing::warn!(%boot, suspects = suspects.len(), "upstream crashed");
        (self.broadcast)(Message::Suspects(suspects));
    }
}

/// Records that the upstream process `boot` ended; returns the requests that may have crashed it.
fn record_crash(state: &mut State, now: Moment, boot: UpstreamBoot) -> Vec<CrashSuspect> {
    let in_flight = state.in_flight.values().map(|f| f.fingerprint);
    state.quarantine.record_crash(now, boot, in_flight)
}

fn release_suspect(state: &mut State, id: RequestId) {
    if state.running_suspect == Some(id) {
        state.running_suspect = None;
    }
}

fn wake_waiters(state: &mut State, admitted: Vec<Ticket>) {
    for ticket in admitted {
        if let Some(tx) = state.queued.remove(&ticket) {
            let _ = tx.try_send(());
        }
    }
}

/// Asks the upstream to cancel a request; returns whether it confirms that the request did not run.
fn cancel_request(client: &UpstreamClient, envelope: &Envelope) -> bool {
    let cancelled = client.cancel(envelope);
    tracing::info!(request = %envelope.id, ?cancelled, "request cancelled");
    cancelled.unwrap_or(false)
}

fn upstream_down() -> Refusal {
    Refusal::UpstreamRefused("the upstream is down".to_owned())
}

/// Returns the response to a request that could not be sent, or whose connection failed.
fn response_to_error(e: &UpstreamError) -> ServiceResponse {
    match e {
        UpstreamError::NotSent(_) | UpstreamError::Malformed(_) => {
            ServiceResponse::not_run(Refusal::UpstreamRefused(e.to_string()))
        }
        UpstreamError::MaybeSent(_) => {
            ServiceResponse::unknown(Refusal::UpstreamFailed(e.to_string()))
        }
    }
}
