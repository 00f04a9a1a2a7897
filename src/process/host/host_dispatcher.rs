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
use crate::process::host::local_upstream::{Change, LocalUpstream, UpstreamProcess};
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
const WAIT_STEP: Duration = Duration::from_millis(100);
/// How long a caller is told to wait for a key that moves.
const MOVE_RETRY: Duration = Duration::from_millis(100);
/// How long a caller is told to wait after an upstream with room turned its order away.
const SHED_RETRY: Duration = Duration::from_millis(15);
/// How long a caller is told to wait for an upstream that is down.
const DOWN_RETRY: Duration = Duration::from_millis(300);
/// The orders a second that a cold upstream gets while the routing is unknown.
const COLD_RATE_UNKNOWN: f64 = 4.0;
/// How long before the drain's bound the gate closes.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);
/// The least time that is worth an order.
const ORDER_TIME_MIN: Duration = Duration::from_millis(5);

/// Where the time of an order went.
#[derive(Default)]
struct Times {
    waited: Duration,
    ran: Duration,
}

#[derive(Default)]
struct State {
    beside: LocalUpstream,
    admission: Admission,
    callers: HashMap<Ticket, SyncSender<()>>,
    flights: HashMap<u64, Fingerprint>,
    next_flight: u64,
    quarantine: Quarantine,
    granted: Vec<(OwnedRange, Moment)>,
    /// Whether the process takes no orders any more.
    closed: bool,
    /// The orders that came for each key held here, also those that were refused for want of room.
    arrived: BTreeMap<u16, u32>,
}

/// The gate to the upstream beside the daemon.
pub struct HostDispatcher {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    pool: UpstreamPool,
    drain_bound: Duration,
    state: Mutex<State>,
}

impl HostDispatcher {
    /// Creates the gate to an upstream that has not reported yet; one that leaves gets nothing
    /// more after `drain_bound`.
    pub fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        pool: UpstreamPool,
        drain_bound: Duration,
    ) -> Self {
        Self {
            clock,
            membership,
            pool,
            drain_bound,
            state: Mutex::default(),
        }
    }

    /// Returns the connections to the upstream.
    pub fn pool(&self) -> &UpstreamPool {
        &self.pool
    }

    /// Returns the present run of the upstream, where it is up.
    pub fn life(&self) -> Option<UpstreamProcess> {
        sync::lock(&self.state).beside.up().cloned()
    }

    /// Takes in a report of the upstream.
    pub fn report(&self, report: &StatusReport) -> Change {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let before = state.beside.up().map(UpstreamProcess::boot);
        let change = state.beside.report(now, report);
        if change == Change::NewProcess {
            state.granted.clear();
            let suspects = before.map(|boot| state.suspect_flights(now, boot));
            drop(state);
            self.pool.clear();
            self.tell_suspects(suspects.unwrap_or_default());
            state = sync::lock(&self.state);
        }
        if change != Change::Outdated {
            state.admission.set_slots(report.slots);
        }
        change
    }

    /// Takes in that the upstream leaves; returns whether that is news.
    pub fn leave(&self, instance: &str, started_ms: Option<u64>) -> bool {
        let now = self.clock.now();
        sync::lock(&self.state)
            .beside
            .leave(now, instance, started_ms)
    }

    /// Takes no orders any more; those that were taken are finished.
    pub fn close(&self) {
        sync::lock(&self.state).closed = true;
    }

    /// Notes that the upstream's process is gone; returns whether that is news.
    pub fn lose(&self) -> bool {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let boot = state.beside.up().map(UpstreamProcess::boot);
        let news = state.beside.lose();
        state.granted.clear();
        let suspects = boot.map(|boot| state.suspect_flights(now, boot));
        drop(state);
        self.pool.clear();
        self.tell_suspects(suspects.unwrap_or_default());
        news
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
    pub fn take_arrived(&self) -> BTreeMap<u16, u32> {
        std::mem::take(&mut sync::lock(&self.state).arrived)
    }

    /// Sets until when the upstream surely holds which keys.
    pub fn set_granted(&self, granted: Vec<(OwnedRange, Moment)>) {
        sync::lock(&self.state).granted = granted;
    }

    /// Takes in requests that other daemons suspect.
    pub fn suspect(&self, suspects: &[Suspicion]) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        for suspicion in suspects {
            state.quarantine.suspect(now, suspicion);
        }
    }

    /// Takes in that another daemon's upstream ran a suspect without a crash.
    pub fn clear(&self, fingerprint: Fingerprint) {
        let now = self.clock.now();
        sync::lock(&self.state).quarantine.clear(now, fingerprint);
    }

    /// Brings an order to the upstream and returns what became of it, with the load after it.
    pub fn run(
        &self,
        order: &UpstreamRequest,
        recipient: &Recipient,
    ) -> (UpstreamOutcome, UpstreamLoad) {
        let mut times = Times::default();
        let verdict = self.run_timed(order, recipient, &mut times);
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

    fn run_timed(
        &self,
        order: &UpstreamRequest,
        recipient: &Recipient,
        times: &mut Times,
    ) -> UpstreamOutcome {
        let now = self.clock.now();
        let deadline = now + order.remaining;
        let objective = now + order.objective;
        if let Err(refusal) = self.allowed(order) {
            return refusal;
        }
        let fingerprint = Fingerprint::of_order(order);
        if let Err(refusal) = self.take_turn(order, fingerprint, deadline, objective, recipient) {
            return refusal;
        }
        // What was right when the order came may have changed while it waited.
        let (flight, life) = match self.take_off(order, fingerprint) {
            Ok(taken) => taken,
            Err(refusal) => {
                self.land(None, None, None);
                return refusal;
            }
        };
        let given = self.clock.now();
        times.waited = given.since(now);
        let left = deadline.since(given);
        if left < ORDER_TIME_MIN {
            self.land(Some(flight), None, None);
            return UpstreamOutcome::not_run(NotRunCause::TimedOut, MOVE_RETRY);
        }
        let result = self
            .pool
            .send_request(order, &life.instance, left, recipient);
        let took = self.clock.now().since(given);
        times.ran = took;
        self.conclude(order, &life, flight, fingerprint, took, result)
    }

    /// Turns the upstream's answer, or its lack, into a verdict.
    fn conclude(
        &self,
        order: &UpstreamRequest,
        life: &UpstreamProcess,
        flight: u64,
        fingerprint: Fingerprint,
        took: Duration,
        result: Result<ReceivedResponse, UpstreamRequestFailure>,
    ) -> UpstreamOutcome {
        match result {
            Ok(reply) => {
                self.land(Some(flight), Some(took), Some(fingerprint));
                UpstreamOutcome::Ran(reply.response)
            }
            Err(UpstreamRequestFailure::NotRun { status, metadata }) => {
                self.land(Some(flight), None, None);
                let other = metadata.instance.as_ref().filter(|i| **i != life.instance);
                tracing::info!(event = "upstream-shed", request = %order.id, status, ?other);
                if let Some(span) = metadata.warmup_remaining {
                    let now = self.clock.now();
                    sync::lock(&self.state).beside.turn_cold(now, span);
                }
                UpstreamOutcome::not_run(NotRunCause::Shed, SHED_RETRY)
            }
            Err(UpstreamRequestFailure::Refused) => {
                // Counted before the loss is noted: no byte was sent, so it is no suspect.
                self.land(Some(flight), None, None);
                self.note_loss("connection refused");
                UpstreamOutcome::not_run(NotRunCause::Down, DOWN_RETRY)
            }
            Err(UpstreamRequestFailure::NotSent(reason)) => {
                self.land(Some(flight), None, None);
                tracing::info!(event = "order-not-sent", request = %order.id, reason);
                UpstreamOutcome::not_run(NotRunCause::Down, DOWN_RETRY)
            }
            Err(UpstreamRequestFailure::MaybeRun(reason)) => {
                let boot = life.boot();
                self.look_for_crash(Suspicion { fingerprint, boot });
                self.land(Some(flight), None, None);
                UpstreamOutcome::unknown(reason)
            }
            Err(UpstreamRequestFailure::TimedOut) => {
                self.land(Some(flight), Some(took), None);
                UpstreamOutcome::timed_out("the upstream did not answer in time")
            }
            Err(UpstreamRequestFailure::RecipientDisconnected) => {
                self.land(Some(flight), None, None);
                UpstreamOutcome::unknown("the caller left")
            }
        }
    }

    /// Returns whether the upstream may get the order now.
    fn allowed(&self, order: &UpstreamRequest) -> Result<(), UpstreamOutcome> {
        let now = self.clock.now();
        let active = self.membership.active_configuration();
        let state = sync::lock(&self.state);
        if state.closed {
            return Err(UpstreamOutcome::not_run(NotRunCause::Stopping, MOVE_RETRY));
        }
        let Some(life) = state.beside.up() else {
            return Err(UpstreamOutcome::not_run(NotRunCause::Down, DOWN_RETRY));
        };
        if life.service != order.service {
            return Err(UpstreamOutcome::not_run(NotRunCause::Down, DOWN_RETRY));
        }
        if !active.document.takes_work(&life.domain) {
            return Err(UpstreamOutcome::not_run(NotRunCause::Evacuated, MOVE_RETRY));
        }
        let closes = self.drain_bound.saturating_sub(DRAIN_MARGIN);
        if life.leaving_since.is_some_and(|at| now.since(at) >= closes) {
            return Err(UpstreamOutcome::not_run(NotRunCause::Draining, MOVE_RETRY));
        }
        drop(state);
        match order.key {
            Some(key) => self.holds(order, key),
            None => Ok(()),
        }
    }

    /// Returns whether the daemon may serve a key now, and the upstream holds it.
    fn holds(&self, order: &UpstreamRequest, key: ShardKey) -> Result<(), UpstreamOutcome> {
        let hash = KeyHash(key.0.into());
        let may = self
            .membership
            .with_ownership(|o, now| o.permit_for_key(now, &order.service, hash).is_ok());
        let now = self.clock.now();
        let state = sync::lock(&self.state);
        let held = |(run, until): &(OwnedRange, Moment)| run.contains(key.0) && *until > now;
        match may && state.granted.iter().any(held) {
            true => Ok(()),
            false => Err(UpstreamOutcome::not_run(NotRunCause::NotOwner, MOVE_RETRY)),
        }
    }

    /// Waits for the order's turn.
    fn take_turn(
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
        let cold_until = state.beside.up().map_or(now, |life| life.cold_until);
        state.admission.set_cold(now, cold_until, cold_rate);
        if state.quarantine.standing(now, fingerprint) == Standing::Quarantined {
            return Err(UpstreamOutcome::not_run(
                NotRunCause::Quarantined,
                deadline.since(now),
            ));
        }
        if let Some(key) = order.key {
            *state.arrived.entry(key.0).or_default() += 1;
        }
        let ticket = match state
            .admission
            .arrive(now, order.priority, deadline, objective)
        {
            Decision::Admitted => return Ok(()),
            Decision::Refused { cause, retry_after } => {
                return Err(UpstreamOutcome::not_run(cause, retry_after));
            }
            Decision::Queued(ticket) => ticket,
        };
        let (tx, rx) = mpsc::sync_channel(1);
        state.callers.insert(ticket, tx);
        let mut step = state.admission.next_turn(now);
        drop(state);
        loop {
            let span = step.unwrap_or(WAIT_STEP).clamp(ORDER_TIME_MIN, WAIT_STEP);
            match rx.recv_timeout(span) {
                Ok(()) => return Ok(()),
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(UpstreamOutcome::not_run(NotRunCause::Stopping, MOVE_RETRY));
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = self.clock.now();
            let left = recipient.has_disconnected();
            let mut state = sync::lock(&self.state);
            if (left || now + ORDER_TIME_MIN >= deadline) && state.admission.leave(ticket) {
                state.callers.remove(&ticket);
                let cause = if left {
                    NotRunCause::CallerLeft
                } else {
                    NotRunCause::TimedOut
                };
                return Err(UpstreamOutcome::not_run(cause, MOVE_RETRY));
            }
            state.call(now);
            step = state.admission.next_turn(now);
        }
    }

    /// Notes an order as given, where that is still right.
    fn take_off(
        &self,
        order: &UpstreamRequest,
        fingerprint: Fingerprint,
    ) -> Result<(u64, UpstreamProcess), UpstreamOutcome> {
        self.allowed(order)?;
        let mut state = sync::lock(&self.state);
        let Some(life) = state.beside.up().cloned() else {
            return Err(UpstreamOutcome::not_run(NotRunCause::Down, DOWN_RETRY));
        };
        state.next_flight += 1;
        let flight = state.next_flight;
        state.flights.insert(flight, fingerprint);
        Ok((flight, life))
    }

    /// Ends an order's turn; `ran` names the request where the upstream ran it without a crash.
    fn land(&self, flight: Option<u64>, took: Option<Duration>, ran: Option<Fingerprint>) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        if let Some(flight) = flight {
            state.flights.remove(&flight);
        }
        state.admission.done(took);
        let cleared = ran.filter(|&f| state.quarantine.clear(now, f));
        state.call(now);
        drop(state);
        if let Some(fingerprint) = cleared {
            self.membership.broadcast(&Message::Cleared(fingerprint));
        }
    }

    /// Finds out whether the upstream's process is gone, which had the order of `suspicion`.
    fn look_for_crash(&self, suspicion: Suspicion) {
        match self.pool.probe() {
            Err(UpstreamRequestFailure::Refused) => self.note_loss("connection refused"),
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
    pub fn note_loss(&self, reason: &str) {
        if self.lose() {
            tracing::warn!(event = "upstream-lost", reason);
            self.membership
                .with_ownership(|o, now| o.update_info(now, |info| info.upstream = None));
        }
    }

    fn tell_suspects(&self, suspects: Vec<Suspicion>) {
        if !suspects.is_empty() {
            tracing::warn!(event = "suspects", count = suspects.len());
            self.membership.broadcast(&Message::Suspects(suspects));
        }
    }

    /// Returns how many orders a second a cold upstream of `service` bears.
    fn cold_rate(&self, service: &ServiceName) -> f64 {
        let active = self.membership.active_configuration();
        let desired = active.desired.as_ref();
        let terms = desired.and_then(|d| d.services.get(service));
        terms.map_or(COLD_RATE_UNKNOWN, |t| t.cold_rate)
    }
}

impl State {
    /// Tells those whose turn it is.
    fn call(&mut self, now: Moment) {
        for ticket in self.admission.call(now) {
            if let Some(caller) = self.callers.remove(&ticket) {
                // A caller that no longer waits ends its turn itself.
                let _ = caller.try_send(());
            }
        }
    }

    /// Suspects all that was in flight when the run `boot` of the upstream ended.
    fn suspect_flights(&mut self, now: Moment, boot: UpstreamBoot) -> Vec<Suspicion> {
        self.quarantine
            .crash(now, boot, self.flights.values().copied())
    }
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
