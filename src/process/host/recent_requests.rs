//! Requests that other daemons sent recently, so that a resent copy joins the execution of the
//! first.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::connection::peer_message::PeerReply;
use crate::connection::waiters::Waiters;
use crate::process::moment::Moment;
use crate::process::sync;

/// How long the reply to a finished request is kept.
const REPLY_RETENTION: Duration = Duration::from_secs(3);
/// How long a request id is remembered, so that a copy that the network delayed never runs.
const ID_RETENTION: Duration = Duration::from_secs(60);
/// Number of ids above which expired ids are removed.
const IDS_MAX: usize = 50_000;

/// Execution of a request attempt, in progress or finished.
#[derive(Default)]
pub struct Execution {
    reply: Mutex<Option<PeerReply>>,
    done: Condvar,
    /// Those that wait for its outcome.
    pub waiters: Arc<Waiters>,
}

impl Execution {
    /// Waits up to `timeout` for the reply.
    pub fn wait(&self, timeout: Duration) -> Option<PeerReply> {
        let reply = sync::lock(&self.reply);
        let waited = self
            .done
            .wait_timeout_while(reply, timeout, |r| r.is_none());
        waited.unwrap_or_else(PoisonError::into_inner).0.clone()
    }
}

/// Request id and attempt number.
type AttemptId = (String, u32);

/// Whether a request attempt was received before.
pub enum RequestStatus {
    /// The attempt was not received before.
    New(Arc<Execution>),
    /// The attempt is running, or its reply is still kept.
    Duplicate(Arc<Execution>),
    /// The attempt was received before, and its reply is no longer kept.
    Expired,
}

#[derive(Default)]
struct State {
    /// Running attempts, and finished ones whose reply is kept.
    executions: HashMap<AttemptId, Arc<Execution>>,
    /// Finished attempts by the time at which they ended.
    finished: BTreeSet<(Moment, AttemptId)>,
    first_seen: HashMap<AttemptId, Moment>,
}

/// Requests received in the last minute.
#[derive(Default)]
pub struct RecentRequests {
    state: Mutex<State>,
}

impl RecentRequests {
    /// Records an attempt received at `now`, and returns whether it is a duplicate.
    pub fn begin(&self, now: Moment, id: &str, attempt: u32) -> RequestStatus {
        let id = (id.to_owned(), attempt);
        let mut state = sync::lock(&self.state);
        state.expire(now);
        if let Some(execution) = state.executions.get(&id) {
            return RequestStatus::Duplicate(Arc::clone(execution));
        }
        if state.first_seen.contains_key(&id) {
            return RequestStatus::Expired;
        }
        let execution = Arc::new(Execution::default());
        state.executions.insert(id.clone(), Arc::clone(&execution));
        state.first_seen.insert(id, now);
        RequestStatus::New(execution)
    }

    /// Returns the status of an attempt without recording it, or `None` if it was never received.
    pub fn status(&self, id: &str, attempt: u32) -> Option<RequestStatus> {
        let id = (id.to_owned(), attempt);
        let state = sync::lock(&self.state);
        if let Some(execution) = state.executions.get(&id) {
            return Some(RequestStatus::Duplicate(Arc::clone(execution)));
        }
        state
            .first_seen
            .contains_key(&id)
            .then_some(RequestStatus::Expired)
    }

    /// Records the reply to an attempt.
    pub fn finish(
        &self,
        now: Moment,
        id: &str,
        attempt: u32,
        execution: &Execution,
        reply: &PeerReply,
    ) {
        *sync::lock(&execution.reply) = Some(reply.clone());
        execution.done.notify_all();
        let mut state = sync::lock(&self.state);
        state.finished.insert((now, (id.to_owned(), attempt)));
    }
}

impl State {
    fn expire(&mut self, now: Moment) {
        while self
            .finished
            .first()
            .is_some_and(|(at, _)| now.since(*at) >= REPLY_RETENTION)
        {
            if let Some((_, id)) = self.finished.pop_first() {
                self.executions.remove(&id);
            }
        }
        if self.first_seen.len() > IDS_MAX {
            self.first_seen
                .retain(|_, at| now.since(*at) < ID_RETENTION);
        }
    }
}
