//! Serves requests whose keys this daemon owns, and keeps the records that prevent a request from
//! running twice.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::connection::peer_message::{PeerReply, PeerRequest, SliceHandover};
use crate::connection::peer_pool::PeerPool;
use crate::connection::recipient::Recipient;
use crate::connection::upstream_client::SliceFence;
use crate::process::clock::Clock;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::serve_permit::ServePermit;
use crate::process::sync;
use crate::process::upstream_dispatcher::{
    DispatchResult, Permit, ServiceSlice, UpstreamDispatcher,
};
use crate::request::envelope::Envelope;
use crate::request::fingerprint::Fingerprint;
use crate::request::idempotency_key::IdempotencyKey;
use crate::request::records::{BeginResult, Records, SliceRecords};
use crate::request::refusal::Refusal;
use crate::request::request_id::RequestId;
use crate::request::service_response::ServiceResponse;
use crate::version::epoch::Epoch;

/// The timeout for handing records over to another daemon.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(2);

/// A request that is being served; resent copies of it wait for its reply.
#[derive(Default)]
struct PendingRequest {
    reply: Mutex<Option<PeerReply>>,
    done: Condvar,
}

/// The records of the slices served here, and those handed over for slices not yet served here.
struct RecordState {
    records: Records,
    handed_over: BTreeMap<ServiceSlice, (Epoch, SliceRecords)>,
}

/// Runs an admitted request on an upstream: the local one, or one of a shared service.
pub trait Runner: Send + Sync {
    /// Runs the request and returns its result.
    fn run(
        &self,
        envelope: &Arc<Envelope>,
        permit: &ServePermit,
        deadline: Moment,
    ) -> DispatchResult;
}

/// Serves the requests whose keys this daemon owns.
pub struct KeyOwner {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    dispatcher: Arc<UpstreamDispatcher>,
    pool: Arc<PeerPool>,
    clock_skew: Duration,
    record_state: Mutex<RecordState>,
    record_finished: Condvar,
    pending: Mutex<HashMap<RequestId, Arc<PendingRequest>>>,
}

impl KeyOwner {
    /// Creates a key owner without records; the records take at most `record_bytes` bytes of
    /// memory, and the clocks of hosts and callers differ by at most `clock_skew`.
    pub fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        dispatcher: Arc<UpstreamDispatcher>,
        pool: Arc<PeerPool>,
        record_bytes: usize,
        clock_skew: Duration,
    ) -> Self {
        let records = Records::new(record_bytes);
        Self {
            clock,
            membership,
            dispatcher,
            pool,
            clock_skew,
            record_state: Mutex::new(RecordState {
                records,
                handed_over: BTreeMap::new(),
            }),
            record_finished: Condvar::new(),
            pending: Mutex::default(),
        }
    }

    /// Serves a request whose key this daemon owns; a resent copy of a request that is being served
    /// waits for its reply.
    pub fn serve(&self, envelope: Envelope, runner: &dyn Runner) -> PeerReply {
        let deadline = self.clock.now() + envelope.remaining;
        let id = envelope.id;
        let (pending, first) = {
            let mut all_pending = sync::lock(&self.pending);
            let known = all_pending.get(&id).cloned();
            let first = known.is_none();
            let pending = known.unwrap_or_default();
            all_pending
                .entry(id)
                .or_insert_with(|| Arc::clone(&pending));
            (pending, first)
        };
        if !first {
            return self.wait_for_reply(&pending, deadline);
        }
        let reply = self.serve_new(&Arc::new(envelope), deadline, runner);
        sync::lock(&self.pending).remove(&id);
        *sync::lock(&pending.reply) = Some(reply.clone());
        pending.done.notify_all();
        reply
    }

    fn wait_for_reply(&self, pending: &PendingRequest, deadline: Moment) -> PeerReply {
        let span = deadline.since(self.clock.now());
        let reply = sync::lock(&pending.reply);
        let waited = pending
            .done
            .wait_timeout_while(reply, span, |r| r.is_none());
        let reply = waited.unwrap_or_else(PoisonError::into_inner).0.clone();
        reply.unwrap_or_else(|| {
            PeerReply::Response(ServiceResponse::unknown(Refusal::DeadlinePassed))
        })
    }

    fn serve_new(
        &self,
        envelope: &Arc<Envelope>,
        deadline: Moment,
        runner: &dyn Runner,
    ) -> PeerReply {
        let hash = envelope.routing_hash();
        let permit = self
            .membership
            .with_ownership(|o, now| o.permit_for_key(now, &envelope.service, hash));
        let permit = match permit {
            Ok(permit) => permit,
            Err(e) => return PeerReply::NotServing(e.to_string()),
        };
        let Some(id) = envelope.idempotency_key.filter(|_| !envelope.repeatable) else {
            return reply_of(runner.run(envelope, &permit, deadline));
        };
        match self.begin(envelope, &permit, id, deadline) {
            BeginResult::Started => {}
            BeginResult::Completed(response) => return PeerReply::Response(response),
            BeginResult::InProgress => {
                return PeerReply::Response(ServiceResponse::unknown(Refusal::DeadlinePassed));
            }
            BeginResult::Lost => {
                return PeerReply::Response(ServiceResponse::unknown(Refusal::RecordLost));
            }
            BeginResult::KeyReused => {
                return PeerReply::Response(ServiceResponse::not_run(Refusal::KeyReused));
            }
            BeginResult::NotServed => return PeerReply::NotServing("released just now".to_owned()),
        }
        let result = runner.run(envelope, &permit, deadline);
        let response = match &result {
            DispatchResult::Response(response) => response.clone(),
            DispatchResult::NotServing(reason) => {
                ServiceResponse::not_run(Refusal::NoOwner(reason.clone()))
            }
        };
        let mut record_state = sync::lock(&self.record_state);
        record_state
            .records
            .finish(&envelope.service, permit.slice, id, &response);
        drop(record_state);
        self.record_finished.notify_all();
        reply_of(result)
    }

    /// Records the request before it is run; waits while a request with the same idempotency key is
    /// running.
    fn begin(
        &self,
        envelope: &Envelope,
        permit: &ServePermit,
        id: IdempotencyKey,
        deadline: Moment,
    ) -> BeginResult {
        let fingerprint = Fingerprint::of(envelope);
        let first_attempt = envelope
            .fresh_until
            .is_some_and(|until| self.clock.wall_time() <= until);
        let mut record_state = sync::lock(&self.record_state);
        self.open_slice_records(&mut record_state, &(envelope.service.clone(), permit.slice));
        loop {
            let (service, slice) = (&envelope.service, permit.slice);
            let result = record_state
                .records
                .begin(service, slice, id, fingerprint, first_attempt);
            let span = deadline.since(self.clock.now());
            if result != BeginResult::InProgress || span.is_zero() {
                return result;
            }
            let waited = self.record_finished.wait_timeout(record_state, span);
            record_state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Starts the records of each slice that this daemon has begun to serve, and removes expired
    /// records.
    pub fn open_served_slices(&self) {
        let served = self
            .membership
            .with_ownership(|o, now| o.served_slices(now));
        let mut record_state = sync::lock(&self.record_state);
        for service_slice in served.keys() {
            self.open_slice_records(&mut record_state, service_slice);
        }
        record_state.records.expire(self.clock.wall_time());
    }

    fn open_slice_records(
        &self,
        record_state: &mut MutexGuard<'_, RecordState>,
        service_slice: &ServiceSlice,
    ) {
        let (service, slice) = service_slice;
        if record_state.records.has_slice(service, *slice) {
            return;
        }
        let handed_over = record_state.handed_over.remove(service_slice);
        let complete = handed_over.filter(|(handover_epoch, _)| {
            self.membership
                .with_ownership(|o, _| o.is_handover_complete(service, *slice, *handover_epoch))
        });
        let records = complete
            .map(|(_, records)| records)
            .unwrap_or_else(|| SliceRecords {
                horizon: self.clock.wall_time().saturating_add(self.clock_skew),
                ..SliceRecords::default()
            });
        record_state.records.insert_slice(service, *slice, records);
    }

    /// Accepts records that a former owner hands over.
    ///
    /// A network may delay a call for any time, so records of a superseded assignment are ignored,
    /// and so are all but the first for the same assignment.
    pub fn accept_handover(&self, handovers: Vec<SliceHandover>) {
        let mut record_state = sync::lock(&self.record_state);
        for handover in handovers {
            let since = handover.since;
            let service_slice = (handover.service, handover.slice);
            let present_since = self.membership.with_ownership(|o, _| {
                let assignment = o.table().assignment(&service_slice.0, service_slice.1);
                assignment.map(|a| a.since).unwrap_or_default()
            });
            let known = record_state
                .handed_over
                .get(&service_slice)
                .map(|(since, _)| *since);
            let outdated = since < present_since || known.is_some_and(|k| k >= since);
            if !outdated
                && !record_state
                    .records
                    .has_slice(&service_slice.0, service_slice.1)
            {
                record_state
                    .handed_over
                    .insert(service_slice, (since, handover.records));
            }
        }
    }

    /// Releases the slices that the table of `epoch` took away: waits up to `timeout` for running
    /// requests, cancels the rest, hands the records over, and announces the release.
    ///
    /// Records whose requests don't complete within another `timeout` are handed over as running.
    pub fn release_lost_slices(&self, epoch: Epoch, timeout: Duration) {
        let released = |service_slice: &ServiceSlice| {
            self.membership
                .with_ownership(|o, now| !o.may_serve(now, &service_slice.0, service_slice.1))
        };
        if !self.dispatcher.wait_idle(timeout, released) {
            self.dispatcher.cancel(released);
            // Each request ends at the latest with the lease under which it was sent.
            while !self.dispatcher.wait_idle(timeout, released) {}
        }
        self.wait_for_results(timeout, released);
        self.hand_over(released);
        self.membership
            .with_ownership(|o, now| o.announce_release(now, epoch));
    }

    /// Waits up to `timeout` until the result of each request for a released slice is recorded: a
    /// request of a shared service runs on the upstream of any daemon, and another one is recorded
    /// a moment after its response has arrived.
    fn wait_for_results(&self, timeout: Duration, released: impl Fn(&ServiceSlice) -> bool) {
        let until = self.clock.now() + timeout;
        let mut record_state = sync::lock(&self.record_state);
        while has_running_request(&record_state.records, &released) {
            let remaining = until.since(self.clock.now());
            if remaining.is_zero() {
                return;
            }
            let waited = self.record_finished.wait_timeout(record_state, remaining);
            record_state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Hands the records of released slices to the next owners.
    fn hand_over(&self, released: impl Fn(&ServiceSlice) -> bool) {
        let mut by_owner: BTreeMap<_, Vec<SliceHandover>> = BTreeMap::new();
        for (service_slice, records) in self.remove_released_records(released) {
            let next = self.membership.with_ownership(|o, now| {
                let assignment = o.table().assignment(&service_slice.0, service_slice.1)?;
                let owner = assignment
                    .candidates
                    .first()
                    .filter(|&&s| s != o.info().session)?;
                // The records of a lapsed session may be incomplete by now.
                o.live_until(now)?;
                Some((o.table().peer(*owner)?, assignment.since))
            });
            if let Some((peer, since)) = next {
                let (service, slice) = service_slice;
                let handover = SliceHandover {
                    service,
                    slice,
                    since,
                    records,
                };
                by_owner.entry(peer).or_default().push(handover);
            }
        }
        for (peer, handovers) in by_owner {
            let slices = handovers.len();
            let request = PeerRequest::TransferRecords(handovers);
            match self
                .pool
                .call(peer, &request, HANDOVER_TIMEOUT, &Recipient::none(), || {
                    false
                }) {
                Ok(_) => tracing::info!(%peer, slices, "records handed over"),
                Err(e) => tracing::warn!(%peer, slices, error = %e, "records not handed over"),
            }
        }
    }

    /// Removes and returns the records of released slices: those of slices that were served, and
    /// those handed over for slices that were reassigned before they were served here.
    fn remove_released_records(
        &self,
        released: impl Fn(&ServiceSlice) -> bool,
    ) -> Vec<(ServiceSlice, SliceRecords)> {
        let mut removed = Vec::new();
        let mut record_state = sync::lock(&self.record_state);
        for service_slice in record_state.records.slices().into_iter().filter(&released) {
            if let Some(records) = record_state
                .records
                .remove_slice(&service_slice.0, service_slice.1)
            {
                removed.push((service_slice, records));
            }
        }
        let reassigned = |service_slice: &ServiceSlice, handover_epoch: Epoch| {
            self.membership.with_ownership(|o, _| {
                let assignment = o.table().assignment(&service_slice.0, service_slice.1);
                assignment.is_some_and(|a| a.since > handover_epoch)
                    && !o.is_first_candidate(&service_slice.0, service_slice.1)
            })
        };
        let superseded: Vec<_> = record_state
            .handed_over
            .extract_if(.., |service_slice, (handover_epoch, _)| {
                reassigned(service_slice, *handover_epoch)
            })
            .collect();
        for (service_slice, (handover_epoch, records)) in superseded {
            if self.membership.with_ownership(|o, _| {
                o.is_handover_complete(&service_slice.0, service_slice.1, handover_epoch)
            }) {
                removed.push((service_slice, records));
            }
        }
        removed
    }

    /// Removes all records when the session that they belong to has ended.
    pub fn clear_records(&self) {
        let mut record_state = sync::lock(&self.record_state);
        record_state.records.clear();
        record_state.handed_over.clear();
    }
}

/// Returns whether a request for a released slice is recorded as running.
fn has_running_request(records: &Records, released: impl Fn(&ServiceSlice) -> bool) -> bool {
    let slices = records.slices();
    let running = slices
        .iter()
        .filter(|(s, slice)| records.has_running(s, *slice));
    running.into_iter().any(released)
}

/// Runs keyed requests on the local upstream.
pub struct LocalRunner {
    /// The dispatcher of the local upstream.
    pub dispatcher: Arc<UpstreamDispatcher>,
    /// The membership that issues the permits.
    pub membership: Arc<Membership>,
}

impl Runner for LocalRunner {
    fn run(
        &self,
        envelope: &Arc<Envelope>,
        permit: &ServePermit,
        deadline: Moment,
    ) -> DispatchResult {
        let slice = (envelope.service.clone(), permit.slice);
        let dispatch_permit = |_| {
            let permit = self
                .membership
                .with_ownership(|o, now| o.permit_for_slice(now, &envelope.service, permit.slice));
            let permit = permit.map_err(|e| e.to_string())?;
            let fence = SliceFence {
                slice: permit.slice,
                token: permit.token,
            };
            Ok(Permit {
                fence: Some(fence),
                until: permit.until,
            })
        };
        self.dispatcher
            .dispatch(envelope, Some(slice), deadline, dispatch_permit)
    }
}

fn reply_of(result: DispatchResult) -> PeerReply {
    match result {
        DispatchResult::Response(response) => PeerReply::Response(response),
        DispatchResult::NotServing(reason) => PeerReply::NotServing(reason),
    }
}
