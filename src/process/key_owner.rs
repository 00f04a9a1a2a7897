//! Serves requests as the owner of their keys.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::connection::buffered_connection::Recipient;
use crate::connection::peer_message::{PeerReply, PeerRequest, SliceHandover};
use crate::connection::peer_pool::PeerPool;
use crate::connection::upstream_client::Fence;
use crate::process::clock::Clock;
use crate::process::gate::{Gate, Passage, Right, SliceOf};
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::serve_permit::ServePermit;
use crate::process::sync;
use crate::request::envelope::Envelope;
use crate::request::fingerprint::Fingerprint;
use crate::request::idempotency_key::IdempotencyKey;
use crate::request::records::{BeginResult, Records, SliceRecords};
use crate::request::refusal::Refusal;
use crate::request::request_id::RequestId;
use crate::request::service_response::ServiceResponse;
use crate::version::epoch::Epoch;

/// How long handed-over records may take to arrive.
const HANDOVER_TIME: Duration = Duration::from_secs(2);

/// A request that is being served, which repeats of it join.
#[derive(Default)]
struct Pending {
    reply: Mutex<Option<PeerReply>>,
    done: Condvar,
}

/// What is kept of the slices served here.
struct Kept {
    records: Records,
    handed_over: BTreeMap<SliceOf, (Epoch, SliceRecords)>,
}

/// Brings an admitted request to an upstream: the one beside the daemon, or one of a shared
/// service.
pub trait Runner: Send + Sync {
    /// Runs the request and returns what became of it.
    fn run(&self, envelope: &Arc<Envelope>, serving: &ServePermit, deadline: Moment) -> Passage;
}

/// The owner's side of a daemon.
pub struct KeyOwner {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    gate: Arc<Gate>,
    pool: Arc<PeerPool>,
    skew: Duration,
    kept: Mutex<Kept>,
    recorded: Condvar,
    pending: Mutex<HashMap<RequestId, Arc<Pending>>>,
}

impl KeyOwner {
    /// Creates the owner's side; records take `record_bytes` at the most, and clocks of hosts and
    /// callers are `skew` apart at the most.
    pub fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        gate: Arc<Gate>,
        pool: Arc<PeerPool>,
        record_bytes: usize,
        skew: Duration,
    ) -> Self {
        let records = Records::new(record_bytes);
        Self {
            clock,
            membership,
            gate,
            pool,
            skew,
            kept: Mutex::new(Kept {
                records,
                handed_over: BTreeMap::new(),
            }),
            recorded: Condvar::new(),
            pending: Mutex::default(),
        }
    }

    /// Serves a request whose key this daemon owns; a repeat of a request that is being served
    /// joins it.
    pub fn serve(&self, envelope: Envelope, runner: &dyn Runner) -> PeerReply {
        let deadline = self.clock.now() + envelope.remaining;
        let id = envelope.id;
        let (pending, first) = {
            let mut all = sync::lock(&self.pending);
            let known = all.get(&id).cloned();
            let first = known.is_none();
            let pending = known.unwrap_or_default();
            all.entry(id).or_insert_with(|| Arc::clone(&pending));
            (pending, first)
        };
        if !first {
            return self.join(&pending, deadline);
        }
        let reply = self.serve_first(&Arc::new(envelope), deadline, runner);
        sync::lock(&self.pending).remove(&id);
        *sync::lock(&pending.reply) = Some(reply.clone());
        pending.done.notify_all();
        reply
    }

    fn join(&self, pending: &Pending, deadline: Moment) -> PeerReply {
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

    fn serve_first(
        &self,
        envelope: &Arc<Envelope>,
        deadline: Moment,
        runner: &dyn Runner,
    ) -> PeerReply {
        let hash = envelope.hash();
        let serving = self
            .membership
            .with_ownership(|o, now| o.permit_for_key(now, &envelope.service, hash));
        let serving = match serving {
            Ok(serving) => serving,
            Err(e) => return PeerReply::NotServing(e.to_string()),
        };
        let Some(id) = envelope.idempotency_key.filter(|_| !envelope.repeatable) else {
            return reply_of(runner.run(envelope, &serving, deadline));
        };
        match self.begin(envelope, &serving, id, deadline) {
            BeginResult::Started => {}
            BeginResult::Answered(answer) => return PeerReply::Response(answer),
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
        let passage = runner.run(envelope, &serving, deadline);
        let answer = match &passage {
            Passage::Answer(answer) => answer.clone(),
            Passage::NotServing(reason) => {
                ServiceResponse::not_run(Refusal::NoOwner(reason.clone()))
            }
        };
        let mut kept = sync::lock(&self.kept);
        kept.records
            .finish(&envelope.service, serving.slice, id, &answer);
        drop(kept);
        self.recorded.notify_all();
        reply_of(passage)
    }

    /// Records the request before it is run; waits where the same work is running.
    fn begin(
        &self,
        envelope: &Envelope,
        serving: &ServePermit,
        id: IdempotencyKey,
        deadline: Moment,
    ) -> BeginResult {
        let fingerprint = Fingerprint::of(envelope);
        let fresh = envelope
            .fresh_until
            .is_some_and(|until| self.clock.wall_time() <= until);
        let mut kept = sync::lock(&self.kept);
        self.take_up(&mut kept, &(envelope.service.clone(), serving.slice));
        loop {
            let (service, slice) = (&envelope.service, serving.slice);
            let verdict = kept.records.begin(service, slice, id, fingerprint, fresh);
            let span = deadline.since(self.clock.now());
            if verdict != BeginResult::InProgress || span.is_zero() {
                return verdict;
            }
            let waited = self.recorded.wait_timeout(kept, span);
            kept = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Takes up the records of each slice that this daemon has begun to serve.
    pub fn open_served_slices(&self) {
        let served = self
            .membership
            .with_ownership(|o, now| o.served_slices(now));
        let mut kept = sync::lock(&self.kept);
        for at in served.keys() {
            self.take_up(&mut kept, at);
        }
        kept.records.expire(self.clock.wall_time());
    }

    fn take_up(&self, kept: &mut MutexGuard<'_, Kept>, at: &SliceOf) {
        let (service, slice) = at;
        if kept.records.serves(service, *slice) {
            return;
        }
        let handed_over = kept.handed_over.remove(at);
        let whole = handed_over.filter(|(handed, _)| {
            self.membership
                .with_ownership(|o, _| o.is_handover_complete(service, *slice, *handed))
        });
        let records = whole
            .map(|(_, records)| records)
            .unwrap_or_else(|| SliceRecords {
                horizon: self.clock.wall_time().saturating_add(self.skew),
                ..SliceRecords::default()
            });
        kept.records.take_up(service, *slice, records);
    }

    /// Takes in records that a former owner hands over.
    ///
    /// Those of an assignment that has passed came too late, and the first of two counts: a
    /// network may hold a call up for any time.
    pub fn accept_handover(&self, handovers: Vec<SliceHandover>) {
        let mut kept = sync::lock(&self.kept);
        for handover in handovers {
            let since = handover.since;
            let at = (handover.service, handover.slice);
            let present = self.membership.with_ownership(|o, _| {
                let assignment = o.table().assignment(&at.0, at.1);
                assignment.map(|a| a.since).unwrap_or_default()
            });
            let known = kept.handed_over.get(&at).map(|(since, _)| *since);
            let late = since < present || known.is_some_and(|k| k >= since);
            if !late && !kept.records.serves(&at.0, at.1) {
                kept.handed_over.insert(at, (since, handover.records));
            }
        }
    }

    /// Lets go of what the table of `epoch` took away: waits for the work, cancels what takes too
    /// long, hands the records over, and tells the others.
    pub fn release_lost_slices(&self, epoch: Epoch, patience: Duration) {
        let released = |at: &SliceOf| {
            self.membership
                .with_ownership(|o, now| !o.may_serve(now, &at.0, at.1))
        };
        if !self.gate.wait_idle(patience, released) {
            self.gate.cancel(released);
            // Each order ends by itself with the lease that it was given under.
            while !self.gate.wait_idle(patience, released) {}
        }
        self.hand_over(released);
        self.membership
            .with_ownership(|o, now| o.announce_release(now, epoch));
    }

    /// Hands the records of released slices to the next owners.
    fn hand_over(&self, released: impl Fn(&SliceOf) -> bool) {
        let mut by_owner: BTreeMap<_, Vec<SliceHandover>> = BTreeMap::new();
        for (at, records) in self.take_released(released) {
            let next = self.membership.with_ownership(|o, now| {
                let assignment = o.table().assignment(&at.0, at.1)?;
                let owner = assignment
                    .candidates
                    .first()
                    .filter(|&&s| s != o.info().session)?;
                // Records of a session that lapsed may have gaps by now.
                o.live_until(now)?;
                Some((o.table().peer(*owner)?, assignment.since))
            });
            if let Some((peer, since)) = next {
                let (service, slice) = at;
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
                .call(peer, &request, HANDOVER_TIME, &Recipient::none(), || false)
            {
                Ok(_) => tracing::info!(%peer, slices, "records handed over"),
                Err(e) => tracing::warn!(%peer, slices, error = %e, "records not handed over"),
            }
        }
    }

    /// Takes the records of released slices out: those of slices that were served, and those that
    /// were handed over for slices that moved on before they were served.
    fn take_released(&self, released: impl Fn(&SliceOf) -> bool) -> Vec<(SliceOf, SliceRecords)> {
        let mut taken = Vec::new();
        let mut kept = sync::lock(&self.kept);
        for at in kept.records.slices().into_iter().filter(&released) {
            if let Some(records) = kept.records.drop_slice(&at.0, at.1) {
                taken.push((at, records));
            }
        }
        let moved_on = |at: &SliceOf, handed: Epoch| {
            self.membership.with_ownership(|o, _| {
                let assignment = o.table().assignment(&at.0, at.1);
                assignment.is_some_and(|a| a.since > handed) && !o.is_first_candidate(&at.0, at.1)
            })
        };
        let passed: Vec<_> = kept
            .handed_over
            .extract_if(.., |at, (handed, _)| moved_on(at, *handed))
            .collect();
        for (at, (handed, records)) in passed {
            if self
                .membership
                .with_ownership(|o, _| o.is_handover_complete(&at.0, at.1, handed))
            {
                taken.push((at, records));
            }
        }
        taken
    }

    /// Forgets all records: the session that they belong to has ended.
    pub fn clear_records(&self) {
        let mut kept = sync::lock(&self.kept);
        kept.records.clear();
        kept.handed_over.clear();
    }
}

/// Runs keyed requests on the upstream beside the daemon.
pub struct GateRunner {
    /// The gate to the upstream.
    pub gate: Arc<Gate>,
    /// The membership that holds the right.
    pub membership: Arc<Membership>,
}

impl Runner for GateRunner {
    fn run(&self, envelope: &Arc<Envelope>, serving: &ServePermit, deadline: Moment) -> Passage {
        let slice = (envelope.service.clone(), serving.slice);
        let right = |_| {
            let serving = self
                .membership
                .with_ownership(|o, now| o.permit_for_slice(now, &envelope.service, serving.slice));
            let serving = serving.map_err(|e| e.to_string())?;
            let fence = Fence {
                slice: serving.slice,
                token: serving.token,
            };
            Ok(Right {
                fence: Some(fence),
                until: serving.until,
            })
        };
        self.gate.pass(envelope, Some(slice), deadline, right)
    }
}

fn reply_of(passage: Passage) -> PeerReply {
    match passage {
        Passage::Answer(answer) => PeerReply::Response(answer),
        Passage::NotServing(reason) => PeerReply::NotServing(reason),
    }
}
