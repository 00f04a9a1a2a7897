//! Grants the upstream the keys that the daemon may serve, and takes them back.
//!
//! A grant never outlasts the session that allows it, and no grant is under way while it is
//! decided which keys are released: so a released key can't be granted anew by an earlier round.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::connection::buffered_connection::Recipient;
use crate::connection::peer_message::{KeyHandover, PeerRequest};
use crate::connection::peer_pool::PeerPool;
use crate::connection::protocol::{Grant, KeyRange, UpstreamProtocol};
use crate::connection::upstream_pool::UpstreamRequestFailure;
use crate::process::clock::Clock;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::key_grants::{KeyGrant, KeyGrants};
use crate::process::host::load_meter::LoadMeter;
use crate::process::host::local_upstream::UpstreamProcess;
use crate::process::host::owned_range::{self, OwnedRange};
use crate::process::load_report::LoadReport;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::shard_key::ShardKey;
use crate::request::upstream_load::UpstreamLoad;
use crate::version::epoch::Epoch;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;
use crate::version::token::Token;

/// How far the clock that measures a hold may be off.
const CLOCK_DRIFT: f64 = 0.02;
/// What a hold is shorter than the lease, for the way of the call.
const HOLD_MARGIN: Duration = Duration::from_millis(20);
/// The least hold that is worth a call.
const HOLD_MIN: Duration = Duration::from_millis(150);
/// How long a grant may take.
const GRANT_TIME: Duration = Duration::from_millis(150);
/// How many grants of one round may fail.
const FAILURES_MAX: u32 = 3;
/// How long after a planned leave has begun the planner may take to move the keys.
const LEAVE_TIME: Duration = Duration::from_millis(1000);
/// How long a release may take: the work on its keys ends first.
const RELEASE_TIME: Duration = Duration::from_millis(2500);
/// How often one release looks whether the others have ended.
const RELEASE_STEP: Duration = Duration::from_millis(20);
/// How long a handover may take to the next holder.
const HANDOVER_TIME: Duration = Duration::from_millis(600);
/// The HTTP status by which an upstream says that its service is not divided by keys.
const NO_KEYS_STATUS: u16 = 400;
/// The HTTP status by which an upstream says that it has seen a higher fence.
const FENCED_STATUS: u16 = 409;

/// Keeps the upstream's grants in step with what the daemon may serve.
pub struct GrantManager {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    gate: Arc<HostDispatcher>,
    peers: Arc<PeerPool>,
    protocol: Arc<dyn UpstreamProtocol>,
    hold_max: Duration,
    holds: Mutex<KeyGrants>,
    meter: Mutex<LoadMeter>,
}

impl GrantManager {
    /// Creates a keeper that holds nothing; no hold is longer than `hold_max`.
    pub fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        gate: Arc<HostDispatcher>,
        peers: Arc<PeerPool>,
        protocol: Arc<dyn UpstreamProtocol>,
        hold_max: Duration,
    ) -> Self {
        Self {
            clock,
            membership,
            gate,
            peers,
            protocol,
            hold_max,
            holds: Mutex::default(),
            meter: Mutex::default(),
        }
    }

    /// Takes in what upstreams handed over with keys that come here.
    pub fn take_handovers(&self, handovers: Vec<KeyHandover>) {
        let now = self.clock.now();
        let mut meter = sync::lock(&self.meter);
        handovers.iter().for_each(|h| meter.give(&h.rates));
        drop(meter);
        sync::lock(&self.holds).take_handovers(now, handovers);
    }

    /// Returns the load of the upstream by range, with the orders that came in the last `span`.
    pub fn measure(
        &self,
        life: &UpstreamProcess,
        load: &UpstreamLoad,
        span: Duration,
    ) -> LoadReport {
        let table = self.membership.table();
        let me = self.membership.with_ownership(|o, _| o.info().session);
        let mut meter = sync::lock(&self.meter);
        meter.count(self.gate.take_arrived(), span);
        meter.report(&table, &life.service, me, load)
    }

    /// Takes back what a former process on this host granted, and states that process's end; it
    /// can't grant any more, so others need not wait for its lease to run out.
    pub fn succeed_former(&self) {
        if !self.membership.has_read_platform() {
            return;
        }
        let former = self.membership.with_ownership(|o, _| o.former_sessions());
        if former.is_empty() {
            return;
        }
        let epoch = self.membership.table().epoch;
        // As high as any fence that the former process can have used, and below all later ones.
        let fence = owned_range::fencing_token(Token {
            since: epoch,
            rank: u32::MAX,
            incarnation: u32::MAX,
        });
        let all = KeyRange {
            first: ShardKey(0),
            last: ShardKey(u16::MAX),
        };
        let call = self.protocol.release_request(all, fence);
        match self.gate.pool().send_control_request(&call, RELEASE_TIME) {
            Ok((head, metadata)) if head.status < 300 => {
                tracing::info!(
                    event = "former-released",
                    sessions = former.len(),
                    warm = metadata.handover.is_some()
                );
                self.keep_handover(all, metadata.handover);
            }
            Ok((head, _)) if head.status == NO_KEYS_STATUS => {
                tracing::info!(
                    event = "former-released",
                    sessions = former.len(),
                    reason = "the upstream takes no keys"
                );
            }
            Err(UpstreamRequestFailure::Refused) => {
                tracing::info!(
                    event = "former-released",
                    sessions = former.len(),
                    reason = "the upstream is gone"
                );
            }
            other => {
                let reason = reason_of(other.map(|(head, _)| head.status));
                tracing::warn!(
                    event = "former-not-released",
                    sessions = former.len(),
                    reason
                );
                return;
            }
        }
        self.membership.with_ownership(|o, now| {
            if o.table().epoch == epoch {
                o.end_former_sessions(now);
            }
        });
    }

    /// Keeps what the upstream handed over, for when its keys come back here.
    fn keep_handover(&self, keys: KeyRange, handover: Option<String>) {
        let (Some(life), Some(handover)) = (self.gate.life(), handover) else {
            return;
        };
        self.take_handovers(vec![KeyHandover {
            service: life.service,
            keys,
            handover: Some(handover),
            rates: Vec::new(),
        }]);
    }

    /// Grants what is due, and ends the session where the upstream is gone.
    pub fn round(&self) {
        let mut holds = sync::lock(&self.holds);
        let Some(life) = self.gate.life() else {
            holds.clear();
            drop(holds);
            self.resign_if_listed("the upstream is gone");
            return;
        };
        self.note_life(&mut holds, &life);
        let (served, live_until) = self.served(&life);
        let now = self.clock.now();
        if holds.is_given_up() {
            return;
        }
        let late = life
            .leaving_since
            .is_some_and(|since| now.since(since) > LEAVE_TIME);
        if late && (!holds.is_empty() || !served.is_empty()) {
            drop(holds);
            self.give_up("the upstream leaves and its keys were not moved");
            return;
        }
        holds.forget_ended(now);
        let Some(live_until) = live_until else {
            // The upstream may still hold keys: a change of witnesses can end a lease early.
            drop(holds);
            self.gate.set_granted(Vec::new());
            return;
        };
        if holds.fail_too_long(now) {
            let ended = holds.is_empty();
            drop(holds);
            if ended {
                self.gate.note_loss("grants are not answered");
            }
            return;
        }
        let mut failures = 0;
        'runs: for run in &served {
            for (part, handover) in holds.parts_due(now, &life.service, run) {
                failures += u32::from(!self.grant(&mut holds, &life, part, handover, live_until));
                if failures >= FAILURES_MAX {
                    break 'runs;
                }
            }
        }
        let granted = holds.granted(&served);
        drop(holds);
        self.gate.set_granted(granted);
    }

    /// Releases what the table of `epoch` took away, hands it over, and tells the others once
    /// nothing is being released any more.
    pub fn release(&self, epoch: Epoch) {
        let lost = self.take_lost(epoch);
        self.release_all(lost);
        let mut holds = sync::lock(&self.holds);
        let done = holds.end_release();
        drop(holds);
        if let Some(epoch) = done {
            self.membership
                .with_ownership(|o, now| o.announce_release(now, epoch));
        }
    }

    /// Gives all keys to the next candidates and ends the session: the planner did not move them
    /// in time, and the upstream or this process is about to stop.
    pub fn give_up(&self, reason: &str) {
        let mut holds = sync::lock(&self.holds);
        let all = holds.give_up();
        drop(holds);
        self.gate.set_granted(Vec::new());
        let parts = all.iter().flat_map(|h| self.by_next_holder(h, h.run));
        self.release_all(parts.collect());
        self.await_other_releases();
        self.resign_if_listed(reason);
        let done = sync::lock(&self.holds).end_give_up();
        if let Some(epoch) = done {
            self.membership
                .with_ownership(|o, now| o.announce_release(now, epoch));
        }
    }

    /// Waits until only the release of the caller is under way.
    fn await_other_releases(&self) {
        let until = self.clock.now() + RELEASE_TIME;
        while sync::lock(&self.holds).releases() > 1 && self.clock.now() < until {
            thread::sleep(RELEASE_STEP);
        }
    }

    fn release_all(&self, lost: Vec<(KeyGrant, Option<SocketAddr>)>) {
        let released: Vec<_> = thread::scope(|scope| {
            let one = |(held, next)| scope.spawn(move || (self.release_run(&held), held, next));
            let running: Vec<_> = lost.into_iter().map(one).collect();
            running.into_iter().filter_map(|t| t.join().ok()).collect()
        });
        let mut by_next: BTreeMap<SocketAddr, Vec<KeyHandover>> = BTreeMap::new();
        for (handover, held, next) in released {
            let keys = held.run.keys();
            let rates = sync::lock(&self.meter).take(keys);
            if let Some(next) = next {
                by_next.entry(next).or_default().push(KeyHandover {
                    service: held.service,
                    keys,
                    handover,
                    rates,
                });
            }
        }
        for (peer, handovers) in by_next {
            self.hand_over(peer, handovers);
        }
    }

    fn hand_over(&self, peer: SocketAddr, handovers: Vec<KeyHandover>) {
        let ranges = handovers.len();
        let request = PeerRequest::TransferKeys(handovers);
        let called = self
            .peers
            .call(peer, &request, HANDOVER_TIME, &Recipient::none(), || false);
        match called {
            Ok(_) => tracing::info!(event = "keys-handed-over", %peer, ranges),
            Err(e) => tracing::warn!(event = "handover-failed", %peer, ranges, error = %e),
        }
    }

    /// Takes out what is held and not served under the table of `epoch` any more, with the next
    /// holder of each range.
    fn take_lost(&self, epoch: Epoch) -> Vec<(KeyGrant, Option<SocketAddr>)> {
        let mut holds = sync::lock(&self.holds);
        holds.begin_release(epoch);
        let Some(life) = self.gate.life() else {
            return Vec::new();
        };
        let (served, _) = self.served(&life);
        let lost = holds.take_lost(&served);
        let granted = holds.granted(&served);
        drop(holds);
        self.gate.set_granted(granted);
        let parts = lost.iter().flat_map(|h| self.by_next_holder(h, h.run));
        parts.collect()
    }

    /// Divides a range by who holds its keys next.
    fn by_next_holder(
        &self,
        held: &KeyGrant,
        run: OwnedRange,
    ) -> Vec<(KeyGrant, Option<SocketAddr>)> {
        let table = self.membership.table();
        let mut parts: Vec<(KeyGrant, Option<SocketAddr>)> = Vec::new();
        let Some(slices) = table.services.get(&held.service) else {
            return vec![(held.with(run), None)];
        };
        for place in 0..slices.slices.len() {
            let Some((first, last)) = slices.keys_at(place) else {
                continue;
            };
            let range = OwnedRange { first, last, ..run };
            let Some(shared) = run.shared(&range) else {
                continue;
            };
            let next = self.next_holder(&held.service, slices.slice_at(place));
            match parts.last_mut() {
                Some((part, n)) if *n == next => part.run.last = shared.last,
                _ => parts.push((held.with(shared), next)),
            }
        }
        parts
    }

    /// Returns where the daemon is that holds a slice next.
    fn next_holder(&self, service: &ServiceName, slice: SliceId) -> Option<SocketAddr> {
        self.membership.with_ownership(|o, _| {
            let assignment = o.table().assignment(service, slice)?;
            let me = o.info().session;
            let mut others = assignment.candidates.iter().filter(|s| **s != me);
            let next = others.find(|s| !o.has_ended(**s))?;
            o.table().peer(*next)
        })
    }

    /// Takes a range back from the upstream; returns what it hands over.
    fn release_run(&self, held: &KeyGrant) -> Option<String> {
        let keys = held.run.keys();
        let fence = owned_range::fencing_token(held.run.token);
        let call = self.protocol.release_request(keys, fence);
        let started = self.clock.now();
        match self.gate.pool().send_control_request(&call, RELEASE_TIME) {
            Ok((head, metadata)) if head.status < 300 => {
                let ms = self.clock.now().since(started).as_millis();
                tracing::info!(
                    event = "keys-released",
                    first = keys.first.0,
                    last = keys.last.0,
                    fence,
                    ms
                );
                // A grant that was not answered may take effect after the release.
                thread::sleep(held.doubt.since(self.clock.now()));
                metadata.handover
            }
            Err(UpstreamRequestFailure::Refused) => {
                self.gate.note_loss("connection refused");
                None
            }
            other => {
                let reason = reason_of(other.map(|(head, _)| head.status));
                tracing::warn!(
                    event = "release-failed",
                    first = keys.first.0,
                    last = keys.last.0,
                    fence,
                    reason
                );
                // Nobody else may hold the keys before the grant has run out.
                let left = held.maybe.since(self.clock.now());
                thread::sleep(left);
                None
            }
        }
    }

    /// Grants a range; returns whether the upstream took it.
    fn grant(
        &self,
        holds: &mut KeyGrants,
        life: &UpstreamProcess,
        run: OwnedRange,
        handover: Option<String>,
        live_until: Moment,
    ) -> bool {
        let sent = self.clock.now();
        let allowed = live_until
            .since(sent + HOLD_MARGIN)
            .mul_f64(1.0 / (1.0 + CLOCK_DRIFT));
        let hold = allowed.min(self.hold_max);
        if hold < HOLD_MIN {
            return true;
        }
        let grant = Grant {
            keys: run.keys(),
            fencing_token: owned_range::fencing_token(run.token),
            lease: hold,
            handover: handover.clone(),
        };
        let result = self
            .gate
            .pool()
            .send_control_request(&self.protocol.grant_request(&grant), GRANT_TIME);
        let now = self.clock.now();
        let maybe = now + hold.mul_f64(1.0 + CLOCK_DRIFT);
        let status = match result {
            Ok((head, _)) => Ok(head.status),
            Err(UpstreamRequestFailure::Refused) => {
                self.gate.note_loss("connection refused");
                return false;
            }
            Err(e) => Err(e),
        };
        let sure = match status {
            Ok(200..300) => sent + hold.mul_f64(1.0 - CLOCK_DRIFT),
            _ => sent,
        };
        let doubt = match status {
            Err(_) => maybe,
            Ok(_) => Moment::default(),
        };
        let is_new = holds.note(&life.service, run, sure, maybe, doubt);
        if matches!(status, Ok(200..300)) {
            holds.note_success();
            if let Some(handover) = &handover {
                holds.use_handover(handover, &run);
            }
            if is_new {
                tracing::info!(
                    event = "keys-granted",
                    first = grant.keys.first.0,
                    last = grant.keys.last.0,
                    fence = grant.fencing_token,
                    hold_ms = hold.as_millis() as u64,
                    warm = handover.is_some()
                );
            }
            return true;
        }
        if status == Ok(FENCED_STATUS) {
            self.membership.with_ownership(|o, _| o.raise_incarnation());
        }
        holds.note_failure(sent);
        let reason = reason_of(status);
        tracing::warn!(
            event = "grant-failed",
            first = grant.keys.first.0,
            last = grant.keys.last.0,
            fence = grant.fencing_token,
            reason
        );
        false
    }

    /// Returns the keys that may be served now, and until when the session is live.
    fn served(&self, life: &UpstreamProcess) -> (Vec<OwnedRange>, Option<Moment>) {
        self.membership.with_ownership(|o, now| {
            let Some(slices) = o.table().services.get(&life.service) else {
                return (Vec::new(), o.live_until(now));
            };
            let served = o.served_slices(now).into_iter();
            let own = served.filter(|((service, _), _)| *service == life.service);
            let runs = own.filter_map(|((_, slice), token)| {
                let (first, last) = slices.keys_at(slices.place_of(slice)?)?;
                Some(OwnedRange { first, last, token })
            });
            (owned_range::merge_adjacent(runs), o.live_until(now))
        })
    }

    /// Notes a new run of the upstream: it holds nothing, and needs higher fences.
    fn note_life(&self, holds: &mut KeyGrants, life: &UpstreamProcess) {
        let boot = life.boot();
        if holds.begin_life(boot) {
            self.membership.with_ownership(|o, _| o.raise_incarnation());
        }
    }

    /// Ends the session where others wait for it: they may serve its keys at once.
    fn resign_if_listed(&self, reason: &str) {
        let session: Option<SessionId> = self.membership.with_ownership(|o, _| {
            let me = o.info().session;
            let mut all = o.table().assignments();
            all.any(|(_, _, a)| a.rank(me).is_some()).then_some(me)
        });
        if let Some(session) = session {
            tracing::warn!(event = "session-resigned", %session, reason);
            self.membership.with_ownership(|o, now| o.resign(now));
        }
    }
}

fn reason_of(result: Result<u16, UpstreamRequestFailure>) -> String {
    match result {
        Ok(status) => format!("status {status}"),
        Err(e) => format!("{e:?}"),
    }
}
