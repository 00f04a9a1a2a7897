//! Grants the upstream the keys that the daemon may serve, and releases them.
//!
//! A grant never outlasts the session that allows it. No grant is in progress while the keys to
//! release are determined, so that a reconciliation that began earlier can't grant a released key
//! again. For the same reason an announcement (of a released epoch, or of the end of the session) is
//! made while the grants are locked, and [`KeyGrants`] decides whether it is due.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::connection::peer_message::KeyHandover;
use crate::connection::peer_pool::PeerPool;
use crate::connection::protocol::{KeyRange, UpstreamProtocol};
use crate::connection::upstream_request_failure::{self, UpstreamRequestFailure};
use crate::process::clock::Clock;
use crate::process::host::grant_attempt::{GrantAttempt, SentGrant};
use crate::process::host::grant_sender::GrantSender;
use crate::process::host::grant_target::GrantTarget;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::key_grants::{KeyGrant, KeyGrants, ReleasingGrant};
use crate::process::host::key_releaser::{self, KeyReleaser};
use crate::process::host::load_meter::LoadMeter;
use crate::process::host::local_upstream::{UpstreamLoss, UpstreamProcess};
use crate::process::host::owned_range::{self, OwnedRange};
use crate::process::host::token_holder::TokenHolder;
use crate::process::load_report::LoadReport;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::upstream_load::UpstreamLoad;
use crate::version::epoch::Epoch;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;

/// The most grants that are sent before the first response is awaited: one without an answer must not
/// hold up the others, and each needs a connection.
const GRANTS_AT_ONCE_MAX: usize = 8;
/// How long the planner may take to move the keys of an upstream that announced its stop.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which one release checks whether the others have ended.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// HTTP status of an upstream that has seen a higher fencing token.
const STATUS_FENCED: u16 = 409;

/// What the daemon may serve now.
struct Served {
    /// Epoch of the table that says so.
    epoch: Epoch,
    ranges: Vec<OwnedRange>,
    /// Until when the session is live, or `None` if it has lapsed.
    live_until: Option<Moment>,
}

/// Reconciles the upstream's grants with the keys that the daemon may serve.
pub struct GrantManager {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    dispatcher: Arc<HostDispatcher>,
    sender: GrantSender,
    releaser: KeyReleaser,
    grants: Mutex<KeyGrants>,
    load_meter: Mutex<LoadMeter>,
    /// Whether the grants of the former process were released.
    former_released: AtomicBool,
}

impl GrantManager {
    /// Creates a manager without grants; no grant is longer than `grant_max`.
    pub fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        dispatcher: Arc<HostDispatcher>,
        peers: Arc<PeerPool>,
        protocol: Arc<dyn UpstreamProtocol>,
        grant_max: Duration,
    ) -> Self {
        let sender = GrantSender::new(
            Arc::clone(&clock),
            Arc::clone(&dispatcher),
            Arc::clone(&protocol),
            grant_max,
        );
        let releaser =
            KeyReleaser::new(Arc::clone(&clock), Arc::clone(&dispatcher), peers, protocol);
        Self {
            clock,
            membership,
            dispatcher,
            sender,
            releaser,
            grants: Mutex::default(),
            load_meter: Mutex::default(),
            former_released: AtomicBool::new(false),
        }
    }

    /// Keeps the handovers and load rates of keys that move to this daemon.
    pub fn accept_handovers(&self, handovers: Vec<KeyHandover>) {
        let now = self.clock.now();
        let mut load_meter = sync::lock(&self.load_meter);
        handovers
            .iter()
            .for_each(|h| load_meter.merge_rates(&h.rates));
        drop(load_meter);
        sync::lock(&self.grants).add_handovers(now, handovers);
    }

    /// Returns the load of the upstream by key range, counting the requests of the last `period`.
    pub fn load_report(
        &self,
        process: &UpstreamProcess,
        load: &UpstreamLoad,
        period: Duration,
    ) -> LoadReport {
        let table = self.membership.table();
        let own_session = self.membership.with_ownership(|o, _| o.info().session);
        let mut load_meter = sync::lock(&self.load_meter);
        load_meter.record(self.dispatcher.take_arrivals(), period);
        load_meter.report(&table, &process.service, own_session, load)
    }

    /// Releases the grants of a former daemon process on this host, for their handover. Its sessions
    /// end when their leases have expired: a grant that it sent may still take effect until then.
    ///
    /// The release is for all keys, so it is made only while this process is to have none; what it was
    /// granted before that is released first.
    pub fn release_former_grants(&self) {
        if !self.membership.has_read_platform() || self.is_candidate() {
            return;
        }
        let former = self.membership.with_ownership(|o, _| o.former_sessions());
        if former.is_empty() || self.former_released.load(Ordering::SeqCst) {
            return;
        }
        let split = |grant: &KeyGrant| self.split_by_next_owner(grant);
        let own = sync::lock(&self.grants).begin_release_all(&split);
        self.release_and_hand_over(own);
        if let Ok(handover) = self.releaser.release_all_keys(former.len()) {
            self.former_released.store(true, Ordering::SeqCst);
            self.keep_handover(key_releaser::ALL_KEYS, handover);
        }
        sync::lock(&self.grants).end_release_all();
    }

    /// Keeps the upstream's handover in case its keys are assigned to this daemon again.
    fn keep_handover(&self, keys: KeyRange, handover: Option<String>) {
        let (Some(process), Some(handover)) = (self.dispatcher.upstream_process(), handover) else {
            return;
        };
        self.accept_handovers(vec![KeyHandover {
            service: process.service,
            keys,
            handover: Some(handover),
            rates: Vec::new(),
        }]);
    }

    /// Sends the grants that are due, and resigns the session if the upstream is gone. Announces what
    /// was released meanwhile.
    pub fn reconcile(&self) {
        self.reconcile_grants();
        self.announce_released();
    }

    /// Releases the grants that may outlast a lapsed lease: the process may have stood still while
    /// they were on their way. Waits for the answers of the upstream.
    pub fn release_outlasting(&self) {
        let mut grants = sync::lock(&self.grants);
        let (live_until, lease_end) = self
            .membership
            .with_ownership(|o, now| (o.live_until(now), o.lease_end()));
        if live_until.is_some() || self.dispatcher.upstream_process().is_none() {
            return;
        }
        let now = self.clock.now();
        grants.remove_expired(now);
        let split = |grant: &KeyGrant| self.split_by_next_owner(grant);
        let releasing = grants.begin_release_outlasting(lease_end, &split);
        let in_progress = grants.releases_in_progress(now);
        if releasing.is_empty() {
            return;
        }
        self.dispatcher.set_granted(Vec::new());
        drop(grants);
        let ranges = releasing.len();
        tracing::warn!(event = "lapsed-grants-released", ranges, in_progress);
        self.release_and_hand_over(releasing);
        self.announce_released();
    }

    fn reconcile_grants(&self) {
        let mut grants = sync::lock(&self.grants);
        let Some(process) = self.dispatcher.upstream_process() else {
            grants.abandon(self.dispatcher.upstream_gone_at());
            drop(grants);
            if self.is_candidate() {
                self.resign_if_idle(self.own_session(), "the upstream is gone");
            }
            return;
        };
        self.update_process(&mut grants, &process);
        let Served {
            ranges: served,
            live_until,
            ..
        } = self.served(&process);
        let now = self.clock.now();
        if grants.is_releasing_all() {
            return;
        }
        let overdue = process
            .leaving_since
            .is_some_and(|since| now.since(since) > LEAVE_TIMEOUT);
        if overdue && (!grants.is_empty() || !served.is_empty()) {
            drop(grants);
            self.release_all_and_resign(
                "the upstream is leaving and its keys were not moved in time",
            );
            return;
        }
        grants.remove_expired(now);
        let Some(live_until) = live_until else {
            // The grants are kept: a change of witnesses can end a lease before the
            // upstream's grants expire.
            drop(grants);
            self.dispatcher.set_granted(Vec::new());
            return;
        };
        if grants.is_failing_too_long(now, self.dispatcher.upstream_seen_at()) {
            let all_expired = grants.is_empty();
            drop(grants);
            if all_expired {
                self.dispatcher
                    .handle_upstream_loss(UpstreamLoss::GrantsNotAnswered);
            }
            return;
        }
        let due: Vec<_> = served
            .iter()
            .flat_map(|range| grants.due_grants(now, &process.service, range))
            .collect();
        if !due.is_empty() && grants.holder() == TokenHolder::Unclear {
            // The next pass sends them all, with higher tokens.
            tracing::info!(event = "tokens-raised", instance = process.instance);
            self.membership.with_ownership(|o, _| o.raise_incarnation());
            grants.set_holder(TokenHolder::Nobody);
            return;
        }
        let mut target = GrantTarget {
            instance: process.instance.clone(),
            holder: grants.holder(),
            is_first: grants.holder() == TokenHolder::Nobody,
        };
        for part in due.chunks(GRANTS_AT_ONCE_MAX) {
            let mut all_accepted = true;
            for attempt in self.sender.send_grants(&mut target, part, live_until) {
                all_accepted &= self.record_attempt(&mut grants, &process, attempt);
            }
            if !all_accepted {
                break;
            }
        }
        grants.set_holder(target.holder);
        let granted = grants.granted_ranges(&served);
        drop(grants);
        self.dispatcher.set_granted(granted);
    }

    /// Releases the keys that the present table assigns to others, sends their handovers, and
    /// announces the release as soon as nothing that the table took away is in use.
    pub fn release_lost_keys(&self) {
        let lost = self.begin_release();
        self.release_and_hand_over(lost);
        self.announce_released();
    }

    /// Releases all keys to the next candidates and resigns the session. Called when the planner
    /// did not move the keys in time and the upstream or this process is about to stop.
    pub fn release_all_and_resign(&self, reason: &str) {
        let session = self.own_session();
        let split = |grant: &KeyGrant| self.split_by_next_owner(grant);
        let all = sync::lock(&self.grants).begin_release_all(&split);
        self.dispatcher.set_granted(Vec::new());
        self.release_and_hand_over(all);
        let until = self.clock.now() + key_releaser::RELEASE_TIMEOUT;
        while !self.resign_if_idle(session, reason) && self.clock.now() < until {
            thread::sleep(RELEASE_POLL_INTERVAL);
        }
        sync::lock(&self.grants).end_release_all();
        self.announce_released();
    }

    /// Returns this daemon's present session.
    pub fn own_session(&self) -> SessionId {
        self.membership.with_ownership(|o, _| o.info().session)
    }

    /// Resigns `session`, so that others may serve its keys at once, unless the upstream may still
    /// use some of them. Returns whether the session has ended; the one that followed it goes on.
    pub fn resign_if_idle(&self, session: SessionId, reason: &str) -> bool {
        let mut grants = sync::lock(&self.grants);
        if !grants.is_idle(self.clock.now()) {
            return false;
        }
        self.membership.with_ownership(|o, now| {
            if o.info().session == session {
                tracing::warn!(event = "session-resigned", %session, reason);
                o.resign(now);
            }
        });
        true
    }

    /// Announces the newest epoch whose table took no keys away that the upstream may still use.
    fn announce_released(&self) {
        let mut grants = sync::lock(&self.grants);
        let now = self.clock.now();
        let epoch = grants.released_epoch(now);
        let in_progress = grants.releases_in_progress(now);
        self.membership.with_ownership(|o, now| {
            let session = o.info().session;
            let is_member = o.table().members.contains_key(&session);
            if is_member && o.facts().adopted(session) < epoch && epoch <= o.table().epoch {
                tracing::info!(event = "epoch-released", %epoch, in_progress);
                o.announce_release(now, epoch);
            }
        });
    }

    fn release_and_hand_over(&self, releasing: Vec<ReleasingGrant>) {
        let mut by_next_owner: BTreeMap<Option<SocketAddr>, Vec<ReleasingGrant>> = BTreeMap::new();
        for release in releasing {
            by_next_owner
                .entry(release.next_owner)
                .or_default()
                .push(release);
        }
        thread::scope(|scope| {
            for (next, releasing) in by_next_owner {
                scope.spawn(move || self.release_to(next, releasing));
            }
        });
    }

    /// Releases grants whose keys the daemon at `next` owns next. Each release ends once that daemon
    /// has the handovers: it would otherwise grant the keys without them.
    fn release_to(&self, next: Option<SocketAddr>, releasing: Vec<ReleasingGrant>) {
        let released: Vec<_> = thread::scope(|scope| {
            let spawn_release = |r| scope.spawn(move || (self.release_range(&r), r));
            let threads: Vec<_> = releasing.into_iter().map(spawn_release).collect();
            threads.into_iter().filter_map(|t| t.join().ok()).collect()
        });
        let mut handovers = Vec::new();
        let mut ended = Vec::new();
        for ((over_at, handover), release) in released {
            let keys = release.grant.range.keys();
            handovers.push(KeyHandover {
                service: release.grant.service,
                keys,
                handover,
                rates: sync::lock(&self.load_meter).remove_rates(keys),
            });
            ended.push((release.id, over_at));
        }
        if let Some(next) = next {
            self.releaser.hand_over(next, handovers);
        }
        let mut grants = sync::lock(&self.grants);
        for (id, over_at) in ended {
            grants.end_release(id, over_at);
        }
    }

    /// Releases a grant at the upstream; returns until when the upstream may use it, and the handover.
    fn release_range(&self, release: &ReleasingGrant) -> (Moment, Option<String>) {
        let outcome = self.releaser.release_range(&release.grant);
        sync::lock(&self.grants).end_release_call(release.id);
        outcome
    }

    /// Begins the release of the keys that this daemon does not serve under the present table.
    fn begin_release(&self) -> Vec<ReleasingGrant> {
        let mut grants = sync::lock(&self.grants);
        let served = match self.dispatcher.upstream_process() {
            Some(process) => self.served(&process),
            None => {
                grants.abandon(self.dispatcher.upstream_gone_at());
                Served {
                    epoch: self.membership.table().epoch,
                    ranges: Vec::new(),
                    live_until: None,
                }
            }
        };
        let split = |grant: &KeyGrant| self.split_by_next_owner(grant);
        let releasing = grants.begin_release(&served.ranges, served.epoch, &split);
        let granted = grants.granted_ranges(&served.ranges);
        let in_progress = grants.releases_in_progress(self.clock.now());
        self.dispatcher.set_granted(granted);
        drop(grants);
        if !releasing.is_empty() {
            let (epoch, ranges) = (served.epoch, releasing.len());
            tracing::info!(event = "release-begun", %epoch, ranges, in_progress);
        }
        releasing
    }

    /// Splits a grant by the next owner of its keys.
    fn split_by_next_owner(&self, grant: &KeyGrant) -> Vec<(KeyGrant, Option<SocketAddr>)> {
        let range = grant.range;
        let table = self.membership.table();
        let mut parts: Vec<(KeyGrant, Option<SocketAddr>)> = Vec::new();
        let Some(slices) = table.services.get(&grant.service) else {
            return vec![(grant.with_range(range), None)];
        };
        for index in 0..slices.slices.len() {
            let Some((first, last)) = slices.key_range_at(index) else {
                continue;
            };
            let owned = OwnedRange {
                first,
                last,
                ..range
            };
            let Some(common) = range.intersection(&owned) else {
                continue;
            };
            let next = self.next_owner(&grant.service, slices.slice_id_at(index));
            match parts.last_mut() {
                Some((part, n)) if *n == next => part.range.last = common.last,
                _ => parts.push((grant.with_range(common), next)),
            }
        }
        parts
    }

    /// Returns the peer address of the daemon that owns a slice next.
    fn next_owner(&self, service: &ServiceName, slice: SliceId) -> Option<SocketAddr> {
        self.membership.with_ownership(|o, _| {
            let assignment = o.table().assignment(service, slice)?;
            let own_session = o.info().session;
            let mut candidates = assignment.candidates.iter().filter(|s| **s != own_session);
            let next = candidates.find(|s| !o.has_ended(**s))?;
            o.table().peer(*next)
        })
    }

    /// Records an attempt to grant a range; returns whether the upstream accepted it.
    fn record_attempt(
        &self,
        grants: &mut KeyGrants,
        process: &UpstreamProcess,
        attempt: GrantAttempt,
    ) -> bool {
        if attempt.result == Err(UpstreamRequestFailure::Refused) {
            let at = attempt.began_at;
            self.dispatcher
                .handle_upstream_loss(UpstreamLoss::Refused { at });
            return false;
        }
        let accepted = matches!(attempt.result, Ok(200..300));
        if let Some(sent) = &attempt.sent {
            let key_grant = attempt.key_grant(&process.service, sent);
            match accepted {
                true => record_accepted(grants, key_grant, sent),
                false => grants.record_not_accepted(&key_grant),
            }
        }
        if accepted {
            return true;
        }
        if attempt.result == Ok(STATUS_FENCED) {
            self.membership.with_ownership(|o, _| o.raise_incarnation());
        }
        grants.record_failure(attempt.began_at);
        tracing::warn!(
            event = "grant-failed",
            first = attempt.range.first,
            last = attempt.range.last,
            fence = owned_range::pack_fencing_token(attempt.range.token),
            reason = upstream_request_failure::failure_reason(attempt.result)
        );
        false
    }

    /// Returns what may be served now by the upstream `process`.
    fn served(&self, process: &UpstreamProcess) -> Served {
        self.membership.with_ownership(|o, now| {
            let slices = o.table().services.get(&process.service);
            let served = o.served_slices(now).into_iter();
            let own = served.filter(|((service, _), _)| *service == process.service);
            let ranges = own.filter_map(|((_, slice), token)| {
                let slices = slices?;
                let (first, last) = slices.key_range_at(slices.index_of(slice)?)?;
                Some(OwnedRange { first, last, token })
            });
            Served {
                epoch: o.table().epoch,
                ranges: owned_range::merge_adjacent(ranges),
                live_until: o.live_until(now),
            }
        })
    }

    /// Records the current upstream process: a new one has no grants and needs higher fencing
    /// tokens.
    fn update_process(&self, grants: &mut KeyGrants, process: &UpstreamProcess) {
        let boot = process.boot();
        if grants.set_process(boot, self.dispatcher.upstream_gone_at()) {
            self.membership.with_ownership(|o, _| o.raise_incarnation());
        }
    }

    /// Returns whether this daemon's session is a candidate of any slice.
    fn is_candidate(&self) -> bool {
        self.membership.with_ownership(|o, _| {
            let own_session = o.info().session;
            let mut assignments = o.table().assignments();
            assignments.any(|(_, _, a)| a.rank(own_session).is_some())
        })
    }
}

/// Records an accepted grant, and logs it unless it was a renewal.
fn record_accepted(grants: &mut KeyGrants, key_grant: KeyGrant, sent: &SentGrant) {
    let grant = &sent.grant;
    let range = key_grant.range;
    grants.record_success();
    if let Some(handover) = &grant.handover {
        grants.consume_handover(handover, &range);
    }
    if grants.record_accepted(key_grant) {
        tracing::info!(
            event = "keys-granted",
            first = grant.keys.first.0,
            last = grant.keys.last.0,
            fence = grant.fencing_token,
            hold_ms = grant.duration.as_millis() as u64,
            warm = grant.handover.is_some()
        );
    }
}
