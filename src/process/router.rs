//! Brings each request to where it is served, and its answer back.

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use crate::connection::buffered_connection::Recipient;
use crate::connection::peer_error::PeerError;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_pool::PeerPool;
use crate::process::clock::Clock;
use crate::process::key_owner::{KeyOwner, LocalRunner, Runner};
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::moment::Moment;
use crate::process::recent_shared_requests::RecentSharedRequests;
use crate::process::serve_permit::ServePermit;
use crate::process::shared_upstream_selector::SharedUpstreamSelector;
use crate::process::sync;
use crate::process::thread_pool::ThreadPool;
use crate::process::upstream_dispatcher::{DispatchResult, Permit, UpstreamDispatcher};
use crate::process::wall_time::WallTime;
use crate::request::envelope::Envelope;
use crate::request::outcome::Outcome;
use crate::request::refusal::Refusal;
use crate::request::request_id::RequestId;
use crate::request::retry_budget::RetryBudget;
use crate::request::service_response::ServiceResponse;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::Member;
use crate::version::service::{Policy, Service, ServiceKind};
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;

/// The first pause before another try for a key without an owner.
const PAUSE_MIN: Duration = Duration::from_millis(2);
/// The longest such pause.
const PAUSE_MAX: Duration = Duration::from_millis(25);
/// The part of the workers that may wait for keys without an owner: one in so many.
const WAITERS_ONE_IN: u32 = 2;

/// The budgets of one service.
struct Budgets {
    retry: RetryBudget,
    hedge: RetryBudget,
}

/// What the routing of a daemon works with.
#[derive(Clone)]
pub struct RouterParts {
    /// The clock of the host.
    pub clock: Arc<dyn Clock>,
    /// The membership.
    pub membership: Arc<Membership>,
    /// The owner's side.
    pub owner: Arc<KeyOwner>,
    /// The gate to the upstream.
    pub dispatcher: Arc<UpstreamDispatcher>,
    /// The connections to other daemons.
    pub pool: Arc<PeerPool>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The daemon's process.
    pub instance: InstanceId,
    /// How many callers' requests are worked on at once.
    pub workers: u32,
    /// How far clocks of hosts and callers may be apart.
    pub clock_skew: Duration,
}

/// The routing of one daemon.
pub struct Router {
    parts: RouterParts,
    choice: SharedUpstreamSelector,
    hedgers: ThreadPool,
    budgets: Mutex<HashMap<ServiceName, Budgets>>,
    ran: Mutex<RecentSharedRequests>,
    ran_changed: Condvar,
    waiters: AtomicU32,
}

/// How one try of a request ended.
enum Try {
    Answered(ServiceResponse, Repeated),
    Elsewhere(String, Repeated),
    NotSent(String),
    MaybeSent(String),
}

/// Whether a call was sent more than once.
type Repeated = bool;

impl Router {
    /// Creates the routing of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error where a thread can't be started.
    pub fn new(parts: RouterParts) -> io::Result<Self> {
        Ok(Self {
            hedgers: ThreadPool::start("hedge", parts.workers)?,
            parts,
            choice: SharedUpstreamSelector::default(),
            budgets: Mutex::default(),
            ran: Mutex::default(),
            ran_changed: Condvar::new(),
            waiters: AtomicU32::new(0),
        })
    }

    /// Routes a caller's request and returns its answer.
    pub fn route(self: &Arc<Self>, envelope: Envelope) -> ServiceResponse {
        let active = self.parts.membership.active_configuration();
        let Some(service) = active.document.services.get(&envelope.service) else {
            return ServiceResponse::not_run(Refusal::NoSuchService);
        };
        if service.kind == ServiceKind::Keyed && envelope.key.is_empty() {
            return ServiceResponse::not_run(Refusal::NoKey);
        }
        if !envelope.repeatable && envelope.idempotency_key.is_none() {
            return ServiceResponse::not_run(Refusal::NoIdempotencyKey);
        }
        self.with_budgets(&envelope.service, service, |b| {
            b.retry.deposit();
            b.hedge.deposit();
        });
        let deadline = self.parts.clock.now() + envelope.remaining;
        if service.kind == ServiceKind::Shared && envelope.repeatable {
            return self.route_shared(envelope, service, deadline);
        }
        self.route_owned(envelope, service, deadline)
    }

    /// Forgets what was seen of processes that are no members any more.
    pub fn forget_ended_members(&self) {
        let table = self.parts.membership.table();
        self.choice
            .retain(|instance| table.member_of(instance).is_some());
    }

    /// Serves a call of another daemon's entry.
    pub fn serve_forwarded(self: &Arc<Self>, envelope: Envelope) -> PeerReply {
        let active = self.parts.membership.active_configuration();
        let kind = active
            .document
            .services
            .get(&envelope.service)
            .map(|s| s.kind);
        match kind {
            None => PeerReply::NotServing("no such service here yet".to_owned()),
            Some(ServiceKind::Keyed) => {
                let gate = Arc::clone(&self.parts.dispatcher);
                let runner = LocalRunner {
                    dispatcher: gate,
                    membership: Arc::clone(&self.parts.membership),
                };
                self.parts.owner.serve(envelope, &runner)
            }
            Some(ServiceKind::Shared) => {
                let runner = SharedRunner {
                    router: Arc::clone(self),
                };
                self.parts.owner.serve(envelope, &runner)
            }
        }
    }

    /// Runs a request of a shared service on the upstream beside this daemon.
    ///
    /// A repeated call joins the first, also after that has ended.
    pub fn run_locally(
        &self,
        instance: InstanceId,
        until: WallTime,
        envelope: Envelope,
    ) -> PeerReply {
        if instance != self.parts.instance {
            return PeerReply::NotServing("that process is gone".to_owned());
        }
        let skew = self.parts.clock_skew;
        if self.parts.clock.wall_time() > until.saturating_add(skew) {
            // Whether it ran before may be forgotten by now.
            return PeerReply::NotServing("the order came too late".to_owned());
        }
        let now = self.parts.clock.now();
        let deadline = now + envelope.remaining;
        let id = envelope.id;
        let repeatable = envelope.repeatable;
        let mut ran = sync::lock(&self.ran);
        if !ran.begin(now, id, deadline + skew * 2) {
            return self.join_run(ran, id, deadline);
        }
        drop(ran);
        let leaving = self
            .parts
            .membership
            .with_ownership(|o, _| o.info().leaving);
        let right = |_| match leaving {
            true => Err("the upstream is leaving".to_owned()),
            false => Ok(Permit {
                fence: None,
                until: deadline,
            }),
        };
        let passage = self
            .parts
            .dispatcher
            .dispatch(&Arc::new(envelope), None, deadline, right);
        let reply = match passage {
            DispatchResult::Response(answer) => PeerReply::Response(answer),
            DispatchResult::NotServing(reason) => PeerReply::NotServing(reason),
        };
        let now = self.parts.clock.now();
        sync::lock(&self.ran).finish(now, id, &reply, repeatable);
        self.ran_changed.notify_all();
        reply
    }

    fn join_run(
        &self,
        ran: MutexGuard<'_, RecentSharedRequests>,
        id: RequestId,
        deadline: Moment,
    ) -> PeerReply {
        let span = deadline.since(self.parts.clock.now());
        let waited = self
            .ran_changed
            .wait_timeout_while(ran, span, |r| r.is_running(id));
        let ran = waited.unwrap_or_else(PoisonError::into_inner).0;
        let unknown = || PeerReply::Response(ServiceResponse::unknown(Refusal::DeadlinePassed));
        ran.reply(id).unwrap_or_else(unknown)
    }

    /// Brings a request to the owner of its key, or of its idempotency key.
    fn route_owned(
        self: &Arc<Self>,
        mut envelope: Envelope,
        service: &Service,
        deadline: Moment,
    ) -> ServiceResponse {
        let hash = envelope.routing_hash();
        let mut pause = PAUSE_MIN;
        let mut maybe_run = false;
        let mut reason = String::from("no daemon owns it");
        let mut avoid = None;
        loop {
            let now = self.parts.clock.now();
            envelope.remaining = deadline.since(now);
            if envelope.remaining.is_zero() {
                break;
            }
            match self.try_owner(&envelope, hash, avoid) {
                Some(Try::Answered(answer, repeated)) => {
                    maybe_run |= repeated;
                    return truthful(answer, maybe_run);
                }
                Some(Try::Elsewhere(why, repeated)) => {
                    maybe_run |= repeated;
                    reason = why;
                }
                Some(Try::NotSent(why)) => reason = why,
                Some(Try::MaybeSent(why)) => {
                    maybe_run = true;
                    reason = why;
                    // Without budget, only another owner may be tried.
                    if envelope.repeatable && !self.may_retry(&envelope.service, service) {
                        avoid = self.owner_of(&envelope.service, hash);
                    }
                }
                None => {}
            }
            if maybe_run {
                envelope.fresh_until = None;
            }
            if !self.pause(pause, deadline) {
                break;
            }
            pause = (pause * 2).min(PAUSE_MAX);
        }
        if maybe_run {
            return ServiceResponse::unknown(Refusal::OwnerFailed(reason));
        }
        ServiceResponse::not_run(Refusal::NoOwner(reason))
    }

    /// Returns the session that most likely owns `hash`.
    fn owner_of(&self, service: &ServiceName, hash: KeyHash) -> Option<SessionId> {
        self.parts
            .membership
            .with_ownership(|o, _| o.likely_owner(service, hash).map(|m| m.info.session))
    }

    /// Tries the daemon that most likely owns `hash`; `None` where there is none but `avoid`.
    fn try_owner(
        self: &Arc<Self>,
        envelope: &Envelope,
        hash: KeyHash,
        avoid: Option<SessionId>,
    ) -> Option<Try> {
        let owner = self
            .parts
            .membership
            .with_ownership(|o, _| o.likely_owner(&envelope.service, hash).cloned());
        let owner = owner.filter(|m| Some(m.info.session) != avoid)?;
        if owner.info.session.instance == self.parts.instance {
            return Some(match self.serve_forwarded(envelope.clone()) {
                PeerReply::Response(answer) => Try::Answered(answer, false),
                PeerReply::NotServing(why) => Try::Elsewhere(why, false),
                _ => Try::Elsewhere("no reply".to_owned(), false),
            });
        }
        let request = PeerRequest::Forward(envelope.clone());
        Some(self.call(&owner, &request, envelope.remaining))
    }

    /// Calls a daemon; gives up once its session is known to have ended.
    fn call(&self, member: &Member, request: &PeerRequest, limit: Duration) -> Try {
        let session = member.info.session;
        let has_ended = || {
            self.parts
                .membership
                .with_ownership(|o, _| o.has_ended(session))
        };
        match self.parts.pool.call(
            member.info.peer,
            request,
            limit,
            &Recipient::none(),
            has_ended,
        ) {
            Ok(called) => match called.reply {
                PeerReply::Response(answer) => Try::Answered(answer, called.resent),
                PeerReply::NotServing(why) => Try::Elsewhere(why, called.resent),
                _ => Try::MaybeSent(PeerError::Mismatch.to_string()),
            },
            Err(e) if e.is_unsent() => Try::NotSent(e.to_string()),
            Err(e) => Try::MaybeSent(e.to_string()),
        }
    }

    /// Brings a repeatable request to an upstream of a shared service, with retries and hedges.
    fn route_shared(
        self: &Arc<Self>,
        mut envelope: Envelope,
        service: &Service,
        deadline: Moment,
    ) -> ServiceResponse {
        let mut tried = Vec::new();
        let mut maybe_run = false;
        let mut last =
            ServiceResponse::not_run(Refusal::NoOwner("no upstream is known".to_owned()));
        loop {
            envelope.remaining = deadline.since(self.parts.clock.now());
            if envelope.remaining.is_zero() {
                break;
            }
            let members = self.parts.membership.members_taking_work(&envelope.service);
            let Some(member) = self.choice.select(&members, &tried, service.policy) else {
                if tried.is_empty() && self.pause(PAUSE_MAX, deadline) {
                    continue;
                }
                break;
            };
            let tried_now = self.run_hedged(&envelope, service, &members, member, deadline);
            tried.push(member.info.session.instance);
            match tried_now {
                Try::Answered(answer, repeated) => {
                    maybe_run |= repeated || answer.outcome == Outcome::Unknown;
                    if answer.outcome == Outcome::Ran {
                        return answer;
                    }
                    last = answer;
                }
                Try::Elsewhere(why, repeated) => {
                    maybe_run |= repeated;
                    last = ServiceResponse::not_run(Refusal::NoOwner(why));
                }
                Try::NotSent(why) => last = ServiceResponse::not_run(Refusal::NoOwner(why)),
                Try::MaybeSent(why) => {
                    maybe_run = true;
                    last = ServiceResponse::unknown(Refusal::OwnerFailed(why));
                }
            }
            if last.refusal == Some(Refusal::Quarantined)
                || !self.may_retry(&envelope.service, service)
            {
                break;
            }
        }
        truthful(last, maybe_run)
    }

    /// Runs a request on `member`, and on another one too where that takes unusually long.
    fn run_hedged(
        self: &Arc<Self>,
        envelope: &Envelope,
        service: &Service,
        members: &[Member],
        member: &Member,
        deadline: Moment,
    ) -> Try {
        if service.policy == Policy::Baseline || service.hedge_percent == 0 || members.len() < 2 {
            return self.run_on(member, envelope);
        }
        let (tx, rx) = mpsc::channel();
        self.submit_run(member, envelope, &tx);
        match rx.recv_timeout(self.choice.hedge_delay(members)) {
            Ok(done) => return done,
            Err(RecvTimeoutError::Disconnected) => {
                return Try::MaybeSent("the call was dropped".to_owned());
            }
            Err(RecvTimeoutError::Timeout) => {}
        }
        let avoid = [member.info.session.instance];
        let other = self.choice.select(members, &avoid, service.policy);
        let allowed = self.with_budgets(&envelope.service, service, |b| b.hedge.withdraw());
        if let (Some(other), true) = (other, allowed) {
            self.parts.metrics.record_hedge();
            let remaining = deadline.since(self.parts.clock.now());
            self.submit_run(
                other,
                &Envelope {
                    remaining,
                    ..envelope.clone()
                },
                &tx,
            );
        }
        drop(tx);
        let mut result = Try::MaybeSent("no answer came".to_owned());
        while let Ok(done) = rx.recv_timeout(deadline.since(self.parts.clock.now())) {
            let ran = matches!(&done, Try::Answered(a, _) if a.outcome == Outcome::Ran);
            result = done;
            if ran {
                break;
            }
        }
        result
    }

    fn submit_run(self: &Arc<Self>, member: &Member, envelope: &Envelope, tx: &mpsc::Sender<Try>) {
        let (router, tx) = (Arc::clone(self), tx.clone());
        let (member, envelope) = (member.clone(), envelope.clone());
        self.hedgers.submit(move || {
            let _ = tx.send(router.run_on(&member, &envelope));
        });
    }

    /// Runs a request on the upstream beside `member`.
    fn run_on(&self, member: &Member, envelope: &Envelope) -> Try {
        let instance = member.info.session.instance;
        self.choice.call_started(instance);
        let started = self.parts.clock.now();
        let until = self
            .parts
            .clock
            .wall_time()
            .saturating_add(envelope.remaining);
        let result = if instance == self.parts.instance {
            match self.run_locally(instance, until, envelope.clone()) {
                PeerReply::Response(answer) => Try::Answered(answer, false),
                PeerReply::NotServing(why) => Try::Elsewhere(why, false),
                _ => Try::Elsewhere("no reply".to_owned(), false),
            }
        } else {
            let request = PeerRequest::Run {
                instance,
                until,
                envelope: envelope.clone(),
            };
            self.call(member, &request, envelope.remaining)
        };
        self.choice
            .call_ended(instance, self.parts.clock.now().since(started));
        result
    }

    /// Waits before another try; returns whether one makes sense.
    fn pause(&self, span: Duration, deadline: Moment) -> bool {
        if self.parts.clock.now() + span >= deadline {
            return false;
        }
        let waiting = self.waiters.fetch_add(1, Ordering::SeqCst);
        let room = waiting < (self.parts.workers / WAITERS_ONE_IN).max(1);
        if room {
            thread::sleep(span);
        }
        self.waiters.fetch_sub(1, Ordering::SeqCst);
        room
    }

    fn may_retry(&self, name: &ServiceName, service: &Service) -> bool {
        let allowed = self.with_budgets(name, service, |b| b.retry.withdraw());
        if allowed {
            self.parts.metrics.record_retry();
        }
        allowed
    }

    fn with_budgets<R>(
        &self,
        name: &ServiceName,
        service: &Service,
        f: impl FnOnce(&mut Budgets) -> R,
    ) -> R {
        let mut all = sync::lock(&self.budgets);
        let budgets = all.entry(name.clone()).or_insert_with(|| Budgets {
            retry: RetryBudget::new(service.retry_percent),
            hedge: RetryBudget::new(service.hedge_percent),
        });
        budgets.retry.set_percent(service.retry_percent);
        budgets.hedge.set_percent(service.hedge_percent);
        f(budgets)
    }
}

/// Runs recorded requests of a shared service on the upstream that the owner of the record
/// chooses.
struct SharedRunner {
    router: Arc<Router>,
}

impl Runner for SharedRunner {
    fn run(
        &self,
        envelope: &Arc<Envelope>,
        serving: &ServePermit,
        deadline: Moment,
    ) -> DispatchResult {
        let router = &self.router;
        let active = router.parts.membership.active_configuration();
        let Some(service) = active.document.services.get(&envelope.service) else {
            return DispatchResult::Response(ServiceResponse::not_run(Refusal::NoSuchService));
        };
        let members = router
            .parts
            .membership
            .members_taking_work(&envelope.service);
        let mut tried = Vec::new();
        let mut last =
            ServiceResponse::not_run(Refusal::NoOwner("no upstream is known".to_owned()));
        while let Some(member) = router.choice.select(&members, &tried, service.policy) {
            let right = router.parts.membership.with_ownership(|o, now| {
                o.permit_for_slice(now, &envelope.service, serving.slice)
                    .map(|s| s.until)
            });
            let until = match right {
                Ok(until) => until.min(deadline),
                Err(e) => return DispatchResult::NotServing(e.to_string()),
            };
            let remaining = until.since(router.parts.clock.now());
            if remaining.is_zero() {
                break;
            }
            tried.push(member.info.session.instance);
            let one = Envelope {
                remaining,
                fresh_until: None,
                ..(**envelope).clone()
            };
            match router.run_on(member, &one) {
                Try::Answered(answer, repeated) => {
                    let answer = truthful(answer, repeated);
                    if answer.outcome != Outcome::NotRun {
                        return DispatchResult::Response(answer);
                    }
                    last = answer;
                }
                Try::Elsewhere(why, false) | Try::NotSent(why) => {
                    last = ServiceResponse::not_run(Refusal::NoOwner(why));
                }
                Try::Elsewhere(why, true) | Try::MaybeSent(why) => {
                    return DispatchResult::Response(ServiceResponse::unknown(
                        Refusal::OwnerFailed(why),
                    ));
                }
            }
        }
        DispatchResult::Response(last)
    }
}

/// Turns "not run" into "unknown" where an earlier call may have been run.
fn truthful(answer: ServiceResponse, maybe_run: bool) -> ServiceResponse {
    match answer.refusal {
        Some(refusal) if maybe_run && answer.outcome == Outcome::NotRun => {
            ServiceResponse::unknown(refusal)
        }
        refusal => ServiceResponse { refusal, ..answer },
    }
}
