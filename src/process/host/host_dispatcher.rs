//! Dispatcher to the local upstream. All requests to the upstream pass through it.

use std::collections::BTreeMap;
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::connection::protocol::StatusReport;
use crate::connection::recipient::Recipient;
use crate::connection::upstream_pool::{ReceivedResponse, UpstreamPool};
use crate::connection::upstream_request_failure::UpstreamRequestFailure;
use crate::process::clock::Clock;
use crate::process::datagram::Message;
use crate::process::host::admission::Decision;
use crate::process::host::admission_queue::Arrival;
use crate::process::host::dispatcher_state::{DispatcherState, InFlight, Turn};
use crate::process::host::grant_wait::GrantWait;
use crate::process::host::local_upstream::{ReportEffect, UpstreamLoss, UpstreamProcess};
use crate::process::host::owned_range::OwnedRange;
use crate::process::host::sending_conditions::SendingConditions;
use crate::process::host::stop_gate::StopGate;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::fingerprint::Fingerprint;
use crate::request::quarantine::{CrashSuspect, QuarantineState};
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::departed_process::DepartedProcess;
use crate::version::key_hash::KeyHash;
use crate::version::service_name::ServiceName;

/// Interval at which a queued request checks whether its caller is still connected.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Retry delay returned for a key that is moving to another owner.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry delay returned after the upstream shed a request although it had a free slot.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(15);
/// Retry delay returned while the upstream is down.
const DOWN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Rate of a cold upstream while the routing is unknown, in requests per second.
const COLD_RATE_DEFAULT: f64 = 4.0;
/// Least time left at which a request is sent.
const REQUEST_TIME_MIN: Duration = Duration::from_millis(5);

/// Time that a request spent in the queue and at the upstream.
#[derive(Default)]
struct RequestTimes {
    waited: Duration,
    ran: Duration,
}

/// Dispatcher to the local upstream.
pub struct HostDispatcher {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    pool: UpstreamPool,
    conditions: SendingConditions,
    stop_gate: Arc<StopGate>,
    state: Mutex<DispatcherState>,
    /// Notified when the granted ranges change.
    granted_changed: Condvar,
    /// Notified when a process of the upstream announces that it will stop.
    departures_changed: Condvar,
}

impl HostDispatcher {
    /// Creates a dispatcher to an upstream that has not reported yet. An upstream that leaves gets
    /// no more requests after `drain_timeout`; `stop_gate` decides what the process takes once it stops.
    pub fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        pool: UpstreamPool,
        drain_timeout: Duration,
        stop_gate: Arc<StopGate>,
    ) -> Self {
        let conditions =
            SendingConditions::new(Arc::clone(&clock), Arc::clone(&membership), drain_timeout);
        Self {
            clock,
            membership,
            pool,
            conditions,
            stop_gate,
            state: Mutex::default(),
            granted_changed: Condvar::new(),
            departures_changed: Condvar::new(),
        }
    }

    /// Returns the connections to the upstream.
    pub fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// Returns the current upstream process, if it is up.
    pub fn upstream_process(&self) -> Option<UpstreamProcess> {
        sync::lock(&self.state).upstream.running().cloned()
    }

    /// Returns the latest time at which a process of the upstream was known to be gone.
    pub fn upstream_gone_at(&self) -> Option<Moment> {
        sync::lock(&self.state).upstream.gone_at()
    }

    /// Returns when the upstream last showed that it runs.
    pub fn upstream_seen_at(&self) -> Moment {
        sync::lock(&self.state).upstream.seen_at()
    }

    /// Applies a report of the upstream and returns what it changed.
    pub fn apply_report(&self, report: &StatusReport) -> ReportEffect {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let former_boot = state.upstream.running().map(UpstreamProcess::boot);
        let effect = state.upstream.apply_report(now, report);
        if report.draining {
            self.departures_changed.notify_all();
        }
        if effect == ReportEffect::NewProcess {
            state.granted.clear();
            let suspects = former_boot.map(|boot| state.suspect_in_flight(now, boot));
            drop(state);
            self.pool.clear();
            self.broadcast_suspects(suspects.unwrap_or_default());
            state = sync::lock(&self.state);
        }
        if effect != ReportEffect::Outdated {
            state.admission.set_slots(report.slots);
        }
        effect
    }

    /// Records that the upstream will stop; returns whether that was new.
    pub fn mark_upstream_leaving(&self, instance: &str, started_ms: Option<u64>) -> bool {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let is_new = state.upstream.mark_leaving(now, instance, started_ms);
        drop(state);
        self.departures_changed.notify_all();
        is_new
    }

    /// Returns the process that an announcement of `instance` is about.
    pub fn departed_process(&self, instance: &str, started_ms: Option<u64>) -> DepartedProcess {
        sync::lock(&self.state)
            .upstream
            .departed_process(instance, started_ms)
    }

    /// Returns the processes that have announced that they will stop.
    pub fn departures(&self) -> Vec<DepartedProcess> {
        sync::lock(&self.state).upstream.departures()
    }

    /// Waits up to `timeout` until the processes that have announced that they will stop differ from
    /// `known`; returns them.
    pub fn await_departures(
        &self,
        known: &[DepartedProcess],
        timeout: Duration,
    ) -> Vec<DepartedProcess> {
        let state = sync::lock(&self.state);
        let is_known = |state: &mut DispatcherState| state.upstream.departures() == known;
        let waited = self
            .departures_changed
            .wait_timeout_while(state, timeout, is_known);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.upstream.departures()
    }

    /// Records that `processes` had announced that they will stop before this daemon started; returns
    /// whether that is new for the current process.
    pub fn add_departures(&self, processes: &[DepartedProcess]) -> bool {
        sync::lock(&self.state).upstream.add_departures(processes)
    }

    /// Marks the upstream as down, clears its grants and connections, and broadcasts its requests
    /// in flight as crash suspects; returns whether it was up.
    fn mark_upstream_down(&self, loss: UpstreamLoss) -> bool {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let boot = state.upstream.running().map(UpstreamProcess::boot);
        let changed = state.upstream.mark_down(loss);
        state.granted.clear();
        let suspects = boot.map(|boot| state.suspect_in_flight(now, boot));
        drop(state);
        self.pool.clear();
        self.broadcast_suspects(suspects.unwrap_or_default());
        changed
    }

    /// Returns the current load of the upstream.
    pub fn load(&self) -> UpstreamLoad {
        let state = sync::lock(&self.state);
        UpstreamLoad {
            in_flight: state.admission.in_flight(),
            waiting: u32::try_from(state.admission.waiting()).unwrap_or(u32::MAX),
            slots: state.admission.slots(),
            mean_micros: state.admission.run_times().mean_micros() as u32,
            ..UpstreamLoad::default()
        }
    }

    /// Records the metrics of the queue.
    pub fn record_queue(&self) {
        let now = self.clock.now();
        let state = sync::lock(&self.state);
        let late = state.admission.late_waiting();
        let slowdown = state.admission.run_times().slowdown(now);
        drop(state);
        self.membership.metrics().record_queue(late, slowdown);
    }

    /// Returns the number of requests for each key since the last call.
    pub fn take_arrivals(&self) -> BTreeMap<u16, u32> {
        std::mem::take(&mut sync::lock(&self.state).arrivals)
    }

    /// Sets the ranges that are certainly granted to the upstream, each with the end of its grant.
    pub fn set_granted(&self, granted: Vec<(OwnedRange, Moment)>) {
        sync::lock(&self.state).granted = granted;
        self.granted_changed.notify_all();
    }

    /// Records requests that other daemons suspect of crashing an upstream.
    pub fn add_suspects(&self, suspects: &[CrashSuspect]) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        for suspect in suspects {
            state.quarantine.add_suspect(now, suspect);
        }
    }

    /// Records that another daemon's upstream ran a suspect request without crashing.
    pub fn clear_suspect(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        sync::lock(&self.state).quarantine.clear(now, fingerprint);
    }

    /// Sends a request to the upstream once it is admitted; returns its outcome and the load
    /// afterwards.
    pub fn dispatch(
        &self,
        request: &UpstreamRequest,
        recipient: &Recipient,
    ) -> (UpstreamOutcome, UpstreamLoad) {
        let mut times = RequestTimes::default();
        let outcome = self.dispatch_timed(request, recipient, &mut times);
        if recipient.has_disconnected() {
            log_departure(request, &outcome, &times);
        }
        if !matches!(outcome, UpstreamOutcome::NotRun { .. }) {
            self.membership
                .metrics()
                .record_upstream_request(times.waited, times.ran);
        }
        let load = UpstreamLoad {
            waited_ms: millis(times.waited),
            ran_ms: millis(times.ran),
            ..self.load()
        };
        (outcome, load)
    }

    fn dispatch_timed(
        &self,
        request: &UpstreamRequest,
        recipient: &Recipient,
        times: &mut RequestTimes,
    ) -> UpstreamOutcome {
        let now = self.clock.now();
        let deadline = now + request.remaining;
        let objective = now + request.objective;
        if !self.stop_gate.admits(now, request.remaining) {
            return refusal(NotRunCause::Stopping);
        }
        if let Err(refusal) = self.await_grant(request, recipient) {
            return refusal;
        }
        let fingerprint = Fingerprint::of_upstream_request(request);
        if let Err(refusal) =
            self.await_admission(request, fingerprint, deadline, objective, recipient)
        {
            return refusal;
        }
        // The conditions may have changed while the request was queued.
        let (dispatch, process) = match self.begin_dispatch(request, fingerprint, recipient) {
            Ok(dispatched) => dispatched,
            Err(cause) => {
                self.end_dispatch(None, None, None);
                return refusal(cause);
            }
        };
        if recipient.has_disconnected() {
            self.end_dispatch(Some(dispatch), None, None);
            return refusal(NotRunCause::CallerLeft);
        }
        let sent_at = self.clock.now();
        times.waited = sent_at.since(now);
        let time_left = deadline.since(sent_at);
        if time_left < REQUEST_TIME_MIN {
            self.end_dispatch(Some(dispatch), None, None);
            return refusal(NotRunCause::TimedOut);
        }
        let result =
            self.pool
                .send_request(request, &process.instance, time_left, recipient, || {
                    self.check_sendable(request, &process, deadline)
                });
        times.ran = self.clock.now().since(sent_at);
        self.outcome_of(request, &process, dispatch, fingerprint, sent_at, result)
    }

    /// Builds the outcome from the upstream's response or failure.
    fn outcome_of(
        &self,
        request: &UpstreamRequest,
        process: &UpstreamProcess,
        dispatch: u64,
        fingerprint: Fingerprint,
        sent_at: Moment,
        result: Result<ReceivedResponse, UpstreamRequestFailure>,
    ) -> UpstreamOutcome {
        let now = self.clock.now();
        let duration = now.since(sent_at);
        match result {
            Ok(received) => {
                sync::lock(&self.state).upstream.record_answer(now);
                self.end_dispatch(Some(dispatch), Some(duration), Some(fingerprint));
                UpstreamOutcome::Ran(received.response)
            }
            Err(UpstreamRequestFailure::NotRun { status, metadata }) => {
                self.end_dispatch(Some(dispatch), None, None);
                let other = metadata
                    .instance
                    .as_ref()
                    .filter(|i| **i != process.instance);
                tracing::info!(event = "upstream-shed", request = %request.id, status, ?other);
                if let Some(warmup) = metadata.warmup_remaining {
                    sync::lock(&self.state).upstream.set_cold_for(now, warmup);
                }
                UpstreamOutcome::not_run(NotRunCause::Shed, SHED_RETRY_AFTER)
            }
            Err(UpstreamRequestFailure::Refused) => {
                // Ended before the upstream is marked as down: no byte was sent, so this request
                // is not a crash suspect.
                self.end_dispatch(Some(dispatch), None, None);
                self.handle_upstream_loss(UpstreamLoss::Refused { at: sent_at });
                refusal(NotRunCause::Down)
            }
            Err(UpstreamRequestFailure::NotSent(reason)) => {
                self.end_dispatch(Some(dispatch), None, None);
                tracing::info!(event = "order-not-sent", request = %request.id, reason);
                refusal(NotRunCause::Down)
            }
            Err(UpstreamRequestFailure::NotAllowed(cause)) => {
                self.end_dispatch(Some(dispatch), None, None);
                tracing::info!(event = "order-not-sent", request = %request.id, reason = %cause);
                refusal(cause)
            }
            Err(UpstreamRequestFailure::MaybeRun(reason)) => {
                let boot = process.boot();
                self.probe_after_failure(CrashSuspect { fingerprint, boot });
                self.end_dispatch(Some(dispatch), None, None);
                UpstreamOutcome::unknown(reason)
            }
            Err(UpstreamRequestFailure::TimedOut) => {
                self.end_dispatch(Some(dispatch), Some(duration), None);
                UpstreamOutcome::timed_out("the upstream did not answer in time")
            }
            Err(UpstreamRequestFailure::RecipientDisconnected { sent }) => {
                self.end_dispatch(Some(dispatch), None, None);
                match sent {
                    true => UpstreamOutcome::unknown("the caller left"),
                    false => refusal(NotRunCause::CallerLeft),
                }
            }
        }
    }

    /// Returns an error unless the request may be sent to the upstream; waits a while for a key that
    /// is moving here.
    fn await_grant(
        &self,
        request: &UpstreamRequest,
        recipient: &Recipient,
    ) -> Result<(), UpstreamOutcome> {
        let wait = GrantWait::new(self.clock.now(), request.objective);
        loop {
            let Err(cause) = self.check_allowed(request, recipient) else {
                return Ok(());
            };
            let outcome = refusal(cause);
            let is_next_owner = self.is_next_owner(request);
            let Some(pause) = wait.next(self.clock.now(), &outcome, is_next_owner) else {
                return Err(outcome);
            };
            if recipient.has_disconnected() {
                return Err(refusal(NotRunCause::CallerLeft));
            }
            let state = sync::lock(&self.state);
            // A grant that arrives just before the wait is found by the next check.
            drop(self.granted_changed.wait_timeout(state, pause));
        }
    }

    /// Returns whether this daemon owns the request's key next, as far as it knows.
    fn is_next_owner(&self, request: &UpstreamRequest) -> bool {
        let Some(key) = request.key else {
            return false;
        };
        let hash = KeyHash(key.0.into());
        self.membership.with_ownership(|o, _| {
            let owner = o.likely_owner(&request.service, hash);
            owner.is_some_and(|m| m.info.session == o.info().session)
        })
    }

    /// Returns an error unless work on the request of `recipient` may begin now.
    fn check_allowed(
        &self,
        request: &UpstreamRequest,
        recipient: &Recipient,
    ) -> Result<(), NotRunCause> {
        match self.must_not_begin(recipient) {
            true => Err(NotRunCause::Stopping),
            false => self.conditions.check(&self.state, request).map(drop),
        }
    }

    /// Returns whether this process or that of the recipient stops, so that nothing may be begun for it.
    fn must_not_begin(&self, recipient: &Recipient) -> bool {
        recipient.is_withdrawn() || self.stop_gate.is_closed()
    }

    /// Returns an error unless a request that was admitted for `process` may still be written to it:
    /// since then it has waited for a connection, and this process may have been paused.
    fn check_sendable(
        &self,
        request: &UpstreamRequest,
        process: &UpstreamProcess,
        deadline: Moment,
    ) -> Result<(), NotRunCause> {
        if self.conditions.check(&self.state, request)? != process.boot() {
            return Err(NotRunCause::Down);
        }
        match deadline.since(self.clock.now()) < REQUEST_TIME_MIN {
            true => Err(NotRunCause::TimedOut),
            false => Ok(()),
        }
    }

    /// Waits until the request is admitted, refused or abandoned.
    fn await_admission(
        &self,
        request: &UpstreamRequest,
        fingerprint: Fingerprint,
        deadline: Moment,
        objective: Moment,
        recipient: &Recipient,
    ) -> Result<(), UpstreamOutcome> {
        let now = self.clock.now();
        let cold_rate = self.cold_rate(&request.service);
        let mut state = sync::lock(&self.state);
        let cold_until = state
            .upstream
            .running()
            .map_or(now, |process| process.cold_until);
        state.admission.set_cold(now, cold_until, cold_rate);
        if state.quarantine.state_of(now, fingerprint) == QuarantineState::Quarantined {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Quarantined,
                deadline.since(now),
            ));
        }
        if let Some(key) = request.key {
            *state.arrivals.entry(key.0).or_default() += 1;
        }
        let arrival = Arrival {
            priority: request.priority,
            team: request.team.clone(),
            kind: request.kind,
            key: request.key,
            deadline,
            objective,
        };
        let ticket = match state.admission.admit(now, &arrival) {
            Decision::Admitted => return Ok(()),
            Decision::Refused { cause, retry_after } => {
                return Err(UpstreamOutcome::not_run(cause, retry_after));
            }
            Decision::Queued(ticket) => ticket,
        };
        let (tx, rx) = mpsc::sync_channel(1);
        state.waiting.insert(ticket, tx);
        let mut pacing_delay = state.admission.pacing_delay(now);
        drop(state);
        loop {
            let timeout = pacing_delay
                .unwrap_or(CALLER_POLL_INTERVAL)
                .clamp(REQUEST_TIME_MIN, CALLER_POLL_INTERVAL);
            match rx.recv_timeout(timeout) {
                Ok(Turn::Admitted) => return Ok(()),
                Ok(Turn::Expired) => {
                    return Err(refusal(NotRunCause::Overloaded));
                }
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(refusal(NotRunCause::Stopping));
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = self.clock.now();
            let ended = self.end_of_wait(now, deadline, recipient);
            let mut state = sync::lock(&self.state);
            if let Some(cause) = ended
                && state.admission.abandon(ticket)
            {
                state.waiting.remove(&ticket);
                return Err(refusal(cause));
            }
            state.wake_admitted(now);
            pacing_delay = state.admission.pacing_delay(now);
        }
    }

    /// Returns why a queued request must not wait any longer, if so.
    fn end_of_wait(
        &self,
        now: Moment,
        deadline: Moment,
        recipient: &Recipient,
    ) -> Option<NotRunCause> {
        if recipient.has_disconnected() {
            Some(NotRunCause::CallerLeft)
        } else if now + REQUEST_TIME_MIN >= deadline {
            Some(NotRunCause::TimedOut)
        } else {
            self.must_not_begin(recipient)
                .then_some(NotRunCause::Stopping)
        }
    }

    /// Checks the conditions again and records the request as in flight.
    fn begin_dispatch(
        &self,
        request: &UpstreamRequest,
        fingerprint: Fingerprint,
        recipient: &Recipient,
    ) -> Result<(u64, UpstreamProcess), NotRunCause> {
        self.check_allowed(request, recipient)?;
        let mut state = sync::lock(&self.state);
        let process = state.upstream.running().cloned();
        let process = process.ok_or(NotRunCause::Down)?;
        state.last_dispatch += 1;
        let dispatch = state.last_dispatch;
        let kind = request.kind;
        state
            .in_flight
            .insert(dispatch, InFlight { fingerprint, kind });
        Ok((dispatch, process))
    }

    /// Ends a dispatch and admits queued requests; `ran` is the fingerprint of a request that the
    /// upstream ran without crashing.
    fn end_dispatch(
        &self,
        dispatch: Option<u64>,
        duration: Option<Duration>,
        ran: Option<Fingerprint>,
    ) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let ended = dispatch.and_then(|d| state.in_flight.remove(&d));
        let run = ended.zip(duration).map(|(ended, d)| (ended.kind, d));
        state.admission.complete(now, run);
        let cleared = ran.filter(|&f| state.quarantine.clear(now, f));
        state.wake_admitted(now);
        drop(state);
        if let Some(fingerprint) = cleared {
            self.membership.broadcast(&Message::Cleared(fingerprint));
        }
    }

    /// Probes whether the upstream's process crashed while it had the request of `suspect`.
    fn probe_after_failure(&self, suspect: CrashSuspect) {
        let at = self.clock.now();
        match self.pool.probe() {
            Err(UpstreamRequestFailure::Refused) => {
                self.handle_upstream_loss(UpstreamLoss::Refused { at });
            }
            probed => {
                // A new process may already be listening; its report will show that.
                let now = self.clock.now();
                sync::lock(&self.state)
                    .quarantine
                    .record_broken_connection(now, suspect);
                tracing::debug!(event = "upstream-probe", result = ?probed);
            }
        }
    }

    /// Handles the loss of the upstream: marks it as down, logs that, and removes it from this
    /// daemon's member info, which the planner reads.
    pub fn handle_upstream_loss(&self, loss: UpstreamLoss) {
        if self.mark_upstream_down(loss) {
            tracing::warn!(event = "upstream-lost", reason = %loss);
            self.membership
                .with_ownership(|o, now| o.update_info(now, |info| info.upstream = None));
        }
    }

    fn broadcast_suspects(&self, suspects: Vec<CrashSuspect>) {
        if !suspects.is_empty() {
            tracing::warn!(event = "suspects", count = suspects.len());
            self.membership.broadcast(&Message::Suspects(suspects));
        }
    }

    /// Returns the rate that a cold upstream of `service` gets, in requests per second.
    fn cold_rate(&self, service: &ServiceName) -> f64 {
        let active = self.membership.active_configuration();
        let routing = active.routing_config.as_ref();
        let settings = routing.and_then(|r| r.services.get(service));
        settings.map_or(COLD_RATE_DEFAULT, |s| s.cold_rate)
    }
}

/// Returns the outcome of a request that was refused for `cause`, with the usual retry delay.
fn refusal(cause: NotRunCause) -> UpstreamOutcome {
    let retry_after = match cause {
        NotRunCause::Down => DOWN_RETRY_AFTER,
        _ => MOVE_RETRY_AFTER,
    };
    UpstreamOutcome::not_run(cause, retry_after)
}

/// Logs what became of a request whose recipient disconnected before its end.
fn log_departure(request: &UpstreamRequest, outcome: &UpstreamOutcome, times: &RequestTimes) {
    tracing::info!(
        event = "recipient-left",
        request = %request.id,
        attempt = request.attempt,
        sent = !matches!(outcome, UpstreamOutcome::NotRun { .. }),
        waited_ms = millis(times.waited),
        ran_ms = millis(times.ran),
        remaining_ms = millis(request.remaining),
    );
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
