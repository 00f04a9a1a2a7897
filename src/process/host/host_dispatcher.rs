//! The gate to the upstream beside the daemon: all that reaches it passes here.

use std::collections::{BTreeMap, HashMap};
use std::sync::mpsc::{self, RecvTimeoutError, SyncSender};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::connection::buffered_connection::Recipient;
use crate::connection::protocol::StatusReport;
use crate::connection::upstream_pool::{ReceivedResponse, UpstreamPool, UpstreamRequestFailure};
use crate::process::clock::Clock;
use crate::process::datagram::Message;
use crate::process::host::admission::{Admission, Decision, Ticket};
use crate::process::host::local_upstream::{LocalUpstream, ReportEffect, UpstreamProcess};
use crate::process::host::owned_range::OwnedRange;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::fingerprint::Fingerprint;
use crate::request::quarantine::{Quarantine, Standing, Suspicion};
use crate::request::shard_key::ShardKey;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::key_hash::KeyHash;
use crate::version::service_name::ServiceName;
use crate::version::upstream::UpstreamBoot;

/// How long an order that waits sleeps before it looks whether its caller is still there.
const CALLER_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a caller is told to wait for a key that moves.
const MOVE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// How long a caller is told to wait after an upstream with room turned its order away.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(15);
/// How long a caller is told to wait for an upstream that is down.
const DOWN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The orders a second that a cold upstream gets while the routing is unknown.
const COLD_RATE_DEFAULT: f64 = 4.0;
/// How long before the drain's bound the gate closes.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);
/// The least time that is worth an order.
const REQUEST_TIME_MIN: Duration = Duration::from_millis(5);

/// Where the time of an order went.
#[derive(Default)]
struct RequestTimes {
    waited: Duration,
    ran: Duration,
}

#[derive(Default)]
struct State {
    upstream: LocalUpstream,
    admission: Admission,
    waiting: HashMap<Ticket, SyncSender<()>>,
    in_flight: HashMap<u64, Fingerprint>,
    last_dispatch: u64,
    quarantine: Quarantine,
    granted: Vec<(OwnedRange, Moment)>,
    /// Whether the process takes no orders any more.
    closed: bool,
    /// The orders that came for each key held here, also those that were refused for want of room.
    arrivals: BTreeMap<u16, u32>,
}

/// The gate to the upstream beside the daemon.
pub struct HostDispatcher {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    pool: UpstreamPool,
    drain_timeout: Duration,
    state: Mutex<State>,
}

impl HostDispatcher {
    /// Creates the gate to an upstream that has not reported yet; one that leaves gets nothing
    /// more after `drain_timeout`.
    pub fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        pool: UpstreamPool,
        drain_timeout: Duration,
    ) -> Self {
        Self {
            clock,
            membership,
            pool,
            drain_timeout,
            state: Mutex::default(),
        }
    }

    /// Returns the connections to the upstream.
    pub fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// Returns the present run of the upstream, where it is up.
    pub fn upstream_process(&self) -> Option<UpstreamProcess> {
        sync::lock(&self.state).upstream.running().cloned()
    }

    /// Takes in a report of the upstream.
    pub fn apply_report(&self, report: &StatusReport) -> ReportEffect {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let before = state.upstream.running().map(UpstreamProcess::boot);
        let change = state.upstream.apply_report(now, report);
        if change == ReportEffect::NewProcess {
            state.granted.clear();
            let suspects = before.map(|boot| state.suspect_in_flight(now, boot));
            drop(state);
            self.pool.clear();
            self.broadcast_suspects(suspects.unwrap_or_default());
            state = sync::lock(&self.state);
        }
        if change != ReportEffect::Outdated {
            state.admission.set_slots(report.slots);
        }
        change
    }

    /// Takes in that the upstream leaves; returns whether that is news.
    pub fn mark_upstream_leaving(&self, instance: &str, started_ms: Option<u64>) -> bool {
        let now = self.clock.now();
        sync::lock(&self.state)
            .upstream
            .mark_leaving(now, instance, started_ms)
    }

    /// Takes no orders any more; those that were taken are finished.
    pub fn close(&self) {
        sync::lock(&self.state).closed = true;
    }

    /// Notes that the upstream's process is gone; returns whether that is news.
    pub fn set_upstream_down(&self) -> bool {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let boot = state.upstream.running().map(UpstreamProcess::boot);
        let changed = state.upstream.mark_down();
        state.granted.clear();
        let suspects = boot.map(|boot| state.suspect_in_flight(now, boot));
        drop(state);
        self.pool.clear();
        self.broadcast_suspects(suspects.unwrap_or_default());
        changed
    }

    /// Returns the load that the upstream carries.
    pub fn load(&self) -> UpstreamLoad {
        let state = sync::lock(&self.state);
        UpstreamLoad {
            in_flight: state.admission.in_flight(),
            waiting: u32::try_from(state.admission.waiting()).unwrap_or(u32::MAX),
            slots: state.admission.slots(),
            mean_micros: state.admission.mean_micros() as u32,
            ..UpstreamLoad::default()
        }
    }

    /// Returns how many orders came for each key since the last call.
    pub fn take_arrivals(&self) -> BTreeMap<u16, u32> {
        std::mem::take(&mut sync::lock(&self.state).arrivals)
    }

    /// Sets until when the upstream surely holds which keys.
    pub fn set_granted(&self, granted: Vec<(OwnedRange, Moment)>) {
        sync::lock(&self.state).granted = granted;
    }

    /// Takes in requests that other daemons suspect.
    pub fn add_suspects(&self, suspects: &[Suspicion]) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        for suspicion in suspects {
            state.quarantine.suspect(now, suspicion);
        }
    }

    /// Takes in that another daemon's upstream ran a suspect without a crash.
    pub fn clear_suspect(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        sync::lock(&self.state).quarantine.clear(now, fingerprint);
    }

    /// Brings an order to the upstream and returns what became of it, with the load after it.
    pub fn dispatch(
        &self,
        order: &UpstreamRequest,
        recipient: &Recipient,
    ) -> (UpstreamOutcome, UpstreamLoad) {
        let mut times = RequestTimes::default();
        let verdict = self.dispatch_timed(order, recipient, &mut times);
        if !matches!(verdict, UpstreamOutcome::NotRun { .. }) {
            self.membership
                .metrics()
                .record_order(times.waited, times.ran);
        }
        let load = UpstreamLoad {
            waited_ms: millis(times.waited),
            ran_ms: millis(times.ran),
            ..self.load()
        };
        (verdict, load)
    }

    fn dispatch_timed(
        &self,
        order: &UpstreamRequest,
        recipient: &Recipient,
        times: &mut RequestTimes,
    ) -> UpstreamOutcome {
        let now = self.clock.now();
        let deadline = now + order.remaining;
        let objective = now + order.objective;
        if let Err(refusal) = self.check_allowed(order) {
            return refusal;
        }
        let fingerprint = Fingerprint::of_order(order);
        if let Err(refusal) =
            self.await_admission(order, fingerprint, deadline, objective, recipient)
        {
            return refusal;
        }
        // What was right when the order came may have changed while it waited.
        let (dispatch, process) = match self.begin_dispatch(order, fingerprint) {
            Ok(taken) => taken,
            Err(refusal) => {
                self.end_dispatch(None, None, None);
                return refusal;
            }
        };
        let sent_at = self.clock.now();
        times.waited = sent_at.since(now);
        let left = deadline.since(sent_at);
        if left < REQUEST_TIME_MIN {
            self.end_dispatch(Some(dispatch), None, None);
            return UpstreamOutcome::not_run(NotRunCause::TimedOut, MOVE_RETRY_AFTER);
        }
        let result = self
            .pool
            .send_request(order, &process.instance, left, recipient);
        let took = self.clock.now().since(sent_at);
        times.ran = took;
        self.outcome_of(order, &process, dispatch, fingerprint, took, result)
    }

    /// Turns the upstream's answer, or its lack, into a verdict.
    fn outcome_of(
        &self,
        order: &UpstreamRequest,
        process: &UpstreamProcess,
        dispatch: u64,
        fingerprint: Fingerprint,
        took: Duration,
        result: Result<ReceivedResponse, UpstreamRequestFailure>,
    ) -> UpstreamOutcome {
        match result {
            Ok(reply) => {
                self.end_dispatch(Some(dispatch), Some(took), Some(fingerprint));
                UpstreamOutcome::Ran(reply.response)
            }
            Err(UpstreamRequestFailure::NotRun { status, metadata }) => {
                self.end_dispatch(Some(dispatch), None, None);
                let other = metadata
                    .instance
                    .as_ref()
                    .filter(|i| **i != process.instance);
                tracing::info!(event = "upstream-shed", request = %order.id, status, ?other);
                if let Some(span) = metadata.warmup_remaining {
                    let now = self.clock.now();
                    sync::lock(&self.state).upstream.set_cold_for(now, span);
                }
                UpstreamOutcome::not_run(NotRunCause::Shed, SHED_RETRY_AFTER)
            }
            Err(UpstreamRequestFailure::Refused) => {
                // Counted before the loss is noted: no byte was sent, so it is no suspect.
                self.end_dispatch(Some(dispatch), None, None);
                self.mark_upstream_down("connection refused");
                UpstreamOutcome::not_run(NotRunCause::Down, DOWN_RETRY_AFTER)
            }
            Err(UpstreamRequestFailure::NotSent(reason)) => {
                self.end_dispatch(Some(dispatch), None, None);
                tracing::info!(event = "order-not-sent", request = %order.id, reason);
                UpstreamOutcome::not_run(NotRunCause::Down, DOWN_RETRY_AFTER)
            }
            Err(UpstreamRequestFailure::MaybeRun(reason)) => {
                let boot = process.boot();
                self.probe_after_failure(Suspicion { fingerprint, boot });
                self.end_dispatch(Some(dispatch), None, None);
                UpstreamOutcome::unknown(reason)
            }
            Err(UpstreamRequestFailure::TimedOut) => {
                self.end_dispatch(Some(dispatch), Some(took), None);
                UpstreamOutcome::timed_out("the upstream did not answer in time")
            }
            Err(UpstreamRequestFailure::RecipientDisconnected) => {
                self.end_dispatch(Some(dispatch), None, None);
                UpstreamOutcome::unknown("the caller left")
            }
        }
    }

    /// Returns whether the upstream may get the order now.
    fn check_allowed(&self, order: &UpstreamRequest) -> Result<(), UpstreamOutcome> {
        let now = self.clock.now();
        let active = self.membership.active_configuration();
        let state = sync::lock(&self.state);
        if state.closed {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Stopping,
                MOVE_RETRY_AFTER,
            ));
        }
        let Some(process) = state.upstream.running() else {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Down,
                DOWN_RETRY_AFTER,
            ));
        };
        if process.service != order.service {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Down,
                DOWN_RETRY_AFTER,
            ));
        }
        if !active.document.takes_work(&process.domain) {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Evacuated,
                MOVE_RETRY_AFTER,
            ));
        }
        let close_after = self.drain_timeout.saturating_sub(DRAIN_MARGIN);
        if process
            .leaving_since
            .is_some_and(|at| now.since(at) >= close_after)
        {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Draining,
                MOVE_RETRY_AFTER,
            ));
        }
        drop(state);
        match order.key {
            Some(key) => self.check_key_granted(order, key),
            None => Ok(()),
        }
    }

    /// Returns whether the daemon may serve a key now, and the upstream holds it.
    fn check_key_granted(
        &self,
        order: &UpstreamRequest,
        key: ShardKey,
    ) -> Result<(), UpstreamOutcome> {
        let hash = KeyHash(key.0.into());
        let may_serve = self
            .membership
            .with_ownership(|o, now| o.permit_for_key(now, &order.service, hash).is_ok());
        let now = self.clock.now();
        let state = sync::lock(&self.state);
        let is_granted =
            |(range, until): &(OwnedRange, Moment)| range.contains(key.0) && *until > now;
        match may_serve && state.granted.iter().any(is_granted) {
            true => Ok(()),
            false => Err(UpstreamOutcome::not_run(
                NotRunCause::NotOwner,
                MOVE_RETRY_AFTER,
            )),
        }
    }

    /// Waits for the order's turn.
    fn await_admission(
        &self,
        order: &UpstreamRequest,
        fingerprint: Fingerprint,
        deadline: Moment,
        objective: Moment,
        recipient: &Recipient,
    ) -> Result<(), UpstreamOutcome> {
        let now = self.clock.now();
        let cold_rate = self.cold_rate(&order.service);
        let mut state = sync::lock(&self.state);
        let cold_until = state
            .upstream
            .running()
            .map_or(now, |process| process.cold_until);
        state.admission.set_cold(now, cold_until, cold_rate);
        if state.quarantine.standing(now, fingerprint) == Standing::Quarantined {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Quarantined,
                deadline.since(now),
            ));
        }
        if let Some(key) = order.key {
            *state.arrivals.entry(key.0).or_default() += 1;
        }
        let ticket = match state
            .admission
            .admit(now, order.priority, deadline, objective)
        {
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
                Ok(()) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(UpstreamOutcome::not_run(
                        NotRunCause::Stopping,
                        MOVE_RETRY_AFTER,
                    ));
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = self.clock.now();
            let caller_left = recipient.has_disconnected();
            let mut state = sync::lock(&self.state);
            if (caller_left || now + REQUEST_TIME_MIN >= deadline)
                && state.admission.abandon(ticket)
            {
                state.waiting.remove(&ticket);
                let cause = if caller_left {
                    NotRunCause::CallerLeft
                } else {
                    NotRunCause::TimedOut
                };
                return Err(UpstreamOutcome::not_run(cause, MOVE_RETRY_AFTER));
            }
            state.wake_admitted(now);
            pacing_delay = state.admission.pacing_delay(now);
        }
    }

    /// Notes an order as given, where that is still right.
    fn begin_dispatch(
        &self,
        order: &UpstreamRequest,
        fingerprint: Fingerprint,
    ) -> Result<(u64, UpstreamProcess), UpstreamOutcome> {
        self.check_allowed(order)?;
        let mut state = sync::lock(&self.state);
        let Some(process) = state.upstream.running().cloned() else {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Down,
                DOWN_RETRY_AFTER,
            ));
        };
        state.last_dispatch += 1;
        let dispatch = state.last_dispatch;
        state.in_flight.insert(dispatch, fingerprint);
        Ok((dispatch, process))
    }

    /// Ends an order's turn; `ran` names the request where the upstream ran it without a crash.
    fn end_dispatch(
        &self,
        dispatch: Option<u64>,
        took: Option<Duration>,
        ran: Option<Fingerprint>,
    ) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        if let Some(dispatch) = dispatch {
            state.in_flight.remove(&dispatch);
        }
        state.admission.complete(took);
        let cleared = ran.filter(|&f| state.quarantine.clear(now, f));
        state.wake_admitted(now);
        drop(state);
        if let Some(fingerprint) = cleared {
            self.membership.broadcast(&Message::Cleared(fingerprint));
        }
    }

    /// Finds out whether the upstream's process is gone, which had the order of `suspicion`.
    fn probe_after_failure(&self, suspicion: Suspicion) {
        match self.pool.probe() {
            Err(UpstreamRequestFailure::Refused) => self.mark_upstream_down("connection refused"),
            probed => {
                // Perhaps it is the next run that listens; that will report itself.
                let now = self.clock.now();
                sync::lock(&self.state)
                    .quarantine
                    .connection_broke(now, suspicion);
                tracing::debug!(event = "upstream-probe", result = ?probed);
            }
        }
    }

    /// Notes the loss of the upstream.
    pub fn mark_upstream_down(&self, reason: &str) {
        if self.set_upstream_down() {
            tracing::warn!(event = "upstream-lost", reason);
            self.membership
                .with_ownership(|o, now| o.update_info(now, |info| info.upstream = None));
        }
    }

    fn broadcast_suspects(&self, suspects: Vec<Suspicion>) {
        if !suspects.is_empty() {
            tracing::warn!(event = "suspects", count = suspects.len());
            self.membership.broadcast(&Message::Suspects(suspects));
        }
    }

    /// Returns how many orders a second a cold upstream of `service` bears.
    fn cold_rate(&self, service: &ServiceName) -> f64 {
        let active = self.membership.active_configuration();
        let desired = active.routing_config.as_ref();
        let terms = desired.and_then(|d| d.services.get(service));
        terms.map_or(COLD_RATE_DEFAULT, |t| t.cold_rate)
    }
}

impl State {
    /// Tells those whose turn it is.
    fn wake_admitted(&mut self, now: Moment) {
        for ticket in self.admission.admit_waiting(now) {
            if let Some(waiter) = self.waiting.remove(&ticket) {
                // A caller that no longer waits ends its turn itself.
                let _ = waiter.try_send(());
            }
        }
    }

    /// Suspects all that was in dispatch when the run `boot` of the upstream ended.
    fn suspect_in_flight(&mut self, now: Moment, boot: UpstreamBoot) -> Vec<Suspicion> {
        self.quarantine
            .crash(now, boot, self.in_flight.values().copied())
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
