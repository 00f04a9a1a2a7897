//! The gate to the upstream beside this daemon: nothing else speaks to it.

use std::collections::{BTreeMap, HashMap};
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::connection::upstream_client::{self, Fence, UpstreamClient};
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

/// How long a probe for a crashed upstream may take.
const PROBE_TIME: Duration = Duration::from_millis(200);
/// How often a request that the upstream shed is tried in all.
const SHED_TRIES: u32 = 4;
/// The least time that is worth giving an order.
const ORDER_TIME_MIN: Duration = Duration::from_millis(1);

/// How long a grant holds unless a higher token replaces it; orders are bounded by the lease.
const GRANT_TIME: Duration = Duration::from_secs(24 * 3600);

/// A slice of a service.
pub type ServiceSlice = (ServiceName, SliceId);

/// The right to give an order now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// The fence, where the service is divided by key.
    pub fence: Option<Fence>,
    /// When the right ends.
    pub until: Moment,
}

/// How a request fared at the gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchResult {
    /// This is the answer.
    Response(ServiceResponse),
    /// The right was lost before the order was given.
    NotServing(String),
}

/// An order that the upstream was or is about to be given.
#[derive(Clone, Debug)]
struct InFlight {
    slice: Option<ServiceSlice>,
    fingerprint: Fingerprint,
    envelope: Arc<Envelope>,
}

#[derive(Default)]
struct State {
    client: Option<Arc<UpstreamClient>>,
    limiter: Limiter,
    waiters: HashMap<Ticket, SyncSender<()>>,
    flights: HashMap<RequestId, InFlight>,
    granted: BTreeMap<SliceId, FencingToken>,
    quarantine: Quarantine,
    suspect: Option<RequestId>,
    served: BTreeMap<SliceId, u64>,
}

/// The load that an upstream carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DispatcherLoad {
    /// Orders in flight.
    pub in_flight: u32,
    /// Orders that may be in flight.
    pub limit: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// The mean time in the upstream, in microseconds.
    pub mean_micros: u64,
    /// The capacity that the upstream has now, in per mille.
    pub capacity: u32,
    /// The part of its full share that the upstream gets, in per mille.
    pub share: u32,
    /// The orders that the upstream works on at once when warm.
    pub slots: u32,
    /// How the limit is set.
    pub policy: Policy,
}

/// The gate to one upstream.
pub struct UpstreamDispatcher {
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    changed: Condvar,
    tell_all: Box<dyn Fn(Message) + Send + Sync>,
}

impl UpstreamDispatcher {
    /// Creates a gate without an upstream; `tell_all` tells the other daemons of suspects.
    pub fn new(clock: Arc<dyn Clock>, tell_all: impl Fn(Message) + Send + Sync + 'static) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            changed: Condvar::new(),
            tell_all: Box::new(tell_all),
        }
    }

    /// Takes in the upstream's announcement; returns whether it changes anything.
    pub fn register_upstream(&self, upstream: &Upstream, service: &Service) -> bool {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        state.limiter.configure(service.policy, service.queue);
        let present = state.client.as_ref().map(|l| l.upstream().clone());
        if present.as_ref() == Some(upstream) {
            return false;
        }
        state.limiter.register_upstream(now, upstream);
        state.granted.clear();
        state.client = Some(Arc::new(UpstreamClient::new(upstream.clone())));
        let replaced = present.filter(|p| p.boot != upstream.boot);
        let suspects = replaced.map(|p| suspects_of(&mut state, now, p.boot));
        let admitted = state.limiter.admit_waiting();
        wake(&mut state, admitted);
        drop(state);
        if let Some(suspects) = suspects {
            (self.tell_all)(Message::Suspects(suspects));
        }
        true
    }

    /// Forgets the upstream; it must announce itself again.
    pub fn remove_upstream(&self) {
        sync::lock(&self.state).client = None;
    }

    /// Returns the link to the upstream, where there is one.
    pub fn client(&self) -> Option<Arc<UpstreamClient>> {
        sync::lock(&self.state).client.clone()
    }

    /// Returns the load that the upstream carries.
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

    /// Returns how many orders of each slice were given since the last call.
    pub fn take_request_counts(&self) -> BTreeMap<SliceId, u64> {
        std::mem::take(&mut sync::lock(&self.state).served)
    }

    /// Takes in requests that other daemons suspect.
    pub fn add_suspects(&self, suspects: &[CrashSuspect]) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        for suspicion in suspects {
            state.quarantine.add_suspect(now, suspicion);
        }
    }

    /// Takes in that another daemon's upstream ran a suspect without a crash.
    pub fn clear_suspect(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        sync::lock(&self.state).quarantine.clear(now, fingerprint);
    }

    /// Waits up to `span` until no order of a slice that `released` names is in flight; returns
    /// whether that is so.
    pub fn wait_idle(&self, span: Duration, released: impl Fn(&ServiceSlice) -> bool) -> bool {
        let state = sync::lock(&self.state);
        let busy = |s: &mut State| {
            s.flights
                .values()
                .any(|f| f.slice.as_ref().is_some_and(&released))
        };
        let waited = self.changed.wait_timeout_while(state, span, busy);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Asks the upstream to stop the orders of the slices that `released` names.
    pub fn cancel(&self, released: impl Fn(&ServiceSlice) -> bool) {
        let state = sync::lock(&self.state);
        let Some(client) = state.client.clone() else {
            return;
        };
        let named = |f: &&InFlight| f.slice.as_ref().is_some_and(&released);
        let orders: Vec<_> = state
            .flights
            .values()
            .filter(named)
            .map(|f| Arc::clone(&f.envelope))
            .collect();
        drop(state);
        for envelope in orders {
            let cancelled = client.cancel(&envelope);
            tracing::info!(request = %envelope.id, ?cancelled, "order cancelled");
        }
    }

    /// Brings a request to the upstream, within its limit, and returns its answer.
    ///
    /// `right` is asked right before the order is given.
    pub fn dispatch(
        &self,
        envelope: &Arc<Envelope>,
        slice: Option<ServiceSlice>,
        deadline: Moment,
        right: impl Fn(Moment) -> Result<Permit, String>,
    ) -> DispatchResult {
        let mut passage = self.dispatch_once(envelope, slice.clone(), deadline, &right);
        for _ in 1..SHED_TRIES {
            let shed = matches!(&passage, DispatchResult::Response(a)
                if a.refusal == Some(Refusal::UpstreamShed));
            if !shed {
                break;
            }
            // It was not run, so it may wait for its turn under the lower limit.
            passage = self.dispatch_once(envelope, slice.clone(), deadline, &right);
        }
        passage
    }

    fn dispatch_once(
        &self,
        envelope: &Arc<Envelope>,
        slice: Option<ServiceSlice>,
        deadline: Moment,
        right: impl Fn(Moment) -> Result<Permit, String>,
    ) -> DispatchResult {
        let fingerprint = Fingerprint::of(envelope);
        if let Err(refusal) = self.admit(envelope.id, fingerprint, deadline) {
            return DispatchResult::Response(ServiceResponse::not_run(refusal));
        }
        let flight = InFlight {
            slice,
            fingerprint,
            envelope: Arc::clone(envelope),
        };
        let client = {
            let mut state = sync::lock(&self.state);
            if let Some((_, slice)) = &flight.slice {
                *state.served.entry(*slice).or_default() += 1;
            }
            state.flights.insert(envelope.id, flight);
            state.client.clone()
        };
        // The flight is noted before the right is asked for, so that a release that starts in
        // between waits for it.
        let right = right(self.clock.now());
        let passage = match (client, right) {
            (_, Err(reason)) => DispatchResult::NotServing(reason),
            (None, _) => DispatchResult::Response(ServiceResponse::not_run(upstream_down())),
            (Some(client), Ok(right)) => {
                return DispatchResult::Response(self.give(
                    &client,
                    envelope,
                    fingerprint,
                    right,
                    deadline,
                ));
            }
        };
        self.land(envelope.id, Completion::Failed, None);
        passage
    }

    /// Waits for the request's turn.
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
            Admission::Wait(ticket) => return self.wait_turn(state, id, ticket, deadline),
            Admission::Full => Refusal::Overloaded("the queue is full".to_owned()),
            Admission::TooLate => Refusal::Overloaded("it would end too late".to_owned()),
        };
        release_suspect(&mut state, id);
        Err(refusal)
    }

    /// Waits until no other suspect is in flight.
    fn wait_as_suspect<'s>(
        &'s self,
        state: std::sync::MutexGuard<'s, State>,
        id: RequestId,
        deadline: Moment,
    ) -> Result<std::sync::MutexGuard<'s, State>, Refusal> {
        let span = deadline.since(self.clock.now());
        let waited = self
            .changed
            .wait_timeout_while(state, span, |s| s.suspect.is_some());
        let (mut state, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        if timeout.timed_out() {
            return Err(Refusal::Overloaded("other suspects run first".to_owned()));
        }
        state.suspect = Some(id);
        Ok(state)
    }

    fn wait_turn(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        id: RequestId,
        ticket: Ticket,
        deadline: Moment,
    ) -> Result<(), Refusal> {
        let (tx, rx) = mpsc::sync_channel(1);
        state.waiters.insert(ticket, tx);
        drop(state);
        let span = deadline.since(self.clock.now());
        if rx.recv_timeout(span) == Err(RecvTimeoutError::Timeout) {
            let mut state = sync::lock(&self.state);
            if state.waiters.remove(&ticket).is_some() {
                state.limiter.abandon(deadline, ticket);
                release_suspect(&mut state, id);
                return Err(Refusal::Overloaded("it waited too long".to_owned()));
            }
        }
        Ok(())
    }

    /// Gives the order.
    fn give(
        &self,
        client: &UpstreamClient,
        envelope: &Envelope,
        fingerprint: Fingerprint,
        right: Permit,
        deadline: Moment,
    ) -> ServiceResponse {
        if let Err(e) = self.grant(client, right) {
            self.land(envelope.id, Completion::Failed, None);
            return ServiceResponse::not_run(Refusal::UpstreamRefused(e.to_string()));
        }
        // Read before the lease is looked at: a pause in between may only shorten the order's time.
        let wall = self.clock.wall_time();
        let given = self.clock.now();
        let limit = deadline.min(right.until).since(given);
        if limit < ORDER_TIME_MIN {
            self.land(envelope.id, Completion::Failed, None);
            return ServiceResponse::not_run(Refusal::DeadlinePassed);
        }
        match client.send_request(envelope, right.fence, limit, wall) {
            Ok(answer) => {
                let now = self.clock.now();
                let landing = match (&answer.refusal, answer.outcome) {
                    (_, Outcome::Ran) => Completion::Ran(now.since(given)),
                    (Some(Refusal::UpstreamShed), _) => Completion::Shed,
                    _ => Completion::Failed,
                };
                // Only a run shows that the request crashes nothing; a shed one shows nothing.
                let ran = (answer.outcome == Outcome::Ran).then_some(fingerprint);
                self.land(envelope.id, landing, ran);
                answer
            }
            Err(e) => {
                self.look_for_crash(client, fingerprint);
                self.land(envelope.id, Completion::Failed, None);
                answer_to(&e)
            }
        }
    }

    /// Grants the upstream the slice, where it checks that and does not have the token yet.
    fn grant(&self, client: &UpstreamClient, right: Permit) -> Result<(), UpstreamError> {
        let Some(fence) = right.fence else {
            return Ok(());
        };
        if !client.upstream().checks_grants {
            return Ok(());
        }
        let granted = sync::lock(&self.state).granted.get(&fence.slice).copied();
        debug_assert!(
            granted.is_none_or(|t| t <= fence.token),
            "a slice's token never falls"
        );
        if granted == Some(fence.token) {
            return Ok(());
        }
        client.grant(fence, self.clock.wall_time().saturating_add(GRANT_TIME))?;
        sync::lock(&self.state)
            .granted
            .insert(fence.slice, fence.token);
        Ok(())
    }

    /// Ends a flight; `ran` names the request where an upstream ran it without a crash.
    fn land(&self, id: RequestId, landing: Completion, ran: Option<Fingerprint>) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        state.flights.remove(&id);
        release_suspect(&mut state, id);
        let cleared = ran.filter(|&f| state.quarantine.clear(now, f));
        let admitted = state.limiter.complete(now, landing);
        wake(&mut state, admitted);
        drop(state);
        self.changed.notify_all();
        if let Some(fingerprint) = cleared {
            (self.tell_all)(Message::Cleared(fingerprint));
        }
    }

    /// Finds out whether the upstream crashed, and what was in flight then.
    fn look_for_crash(&self, client: &UpstreamClient, fingerprint: Fingerprint) {
        let listening = upstream_client::is_listening(client.upstream().address, PROBE_TIME);
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let boot = client.upstream().boot;
        if listening {
            // Perhaps it is the next run already; that will announce itself.
            let suspicion = CrashSuspect { fingerprint, boot };
            state.quarantine.record_broken_connection(now, suspicion);
            return;
        }
        if state.quarantine.has_crashed(boot) {
            return;
        }
        let suspects = suspects_of(&mut state, now, boot);
        let present = state.client.as_ref().map(|l| l.upstream().boot);
        if present == Some(boot) {
            state.client = None;
        }
        drop(state);
        tracing::warn!(%boot, suspects = suspects.len(), "upstream crashed");
        (self.tell_all)(Message::Suspects(suspects));
    }
}

/// Suspects all that was in flight when the run `boot` of the upstream ended.
fn suspects_of(state: &mut State, now: Moment, boot: UpstreamBoot) -> Vec<CrashSuspect> {
    let aloft = state.flights.values().map(|f| f.fingerprint);
    state.quarantine.record_crash(now, boot, aloft)
}

fn release_suspect(state: &mut State, id: RequestId) {
    if state.suspect == Some(id) {
        state.suspect = None;
    }
}

fn wake(state: &mut State, admitted: Vec<Ticket>) {
    for ticket in admitted {
        if let Some(waiter) = state.waiters.remove(&ticket) {
            let _ = waiter.try_send(());
        }
    }
}

fn upstream_down() -> Refusal {
    Refusal::UpstreamRefused("the upstream is down".to_owned())
}

/// Returns the answer to an order that the upstream did not answer.
fn answer_to(e: &UpstreamError) -> ServiceResponse {
    match e {
        UpstreamError::NotSent(_) | UpstreamError::Malformed(_) => {
            ServiceResponse::not_run(Refusal::UpstreamRefused(e.to_string()))
        }
        UpstreamError::MaybeSent(_) => {
            ServiceResponse::unknown(Refusal::UpstreamFailed(e.to_string()))
        }
    }
}
