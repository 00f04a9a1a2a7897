//! The orders that came from other daemons, so that one that is sent again joins the first.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::connection::buffered_connection::Reconnects;
use crate::connection::peer_message::PeerReply;
use crate::process::moment::Moment;
use crate::process::sync;

/// How long the outcome of an order is kept.
const REPLY_RETENTION: Duration = Duration::from_secs(3);
/// How long an order's id is known, so that a copy that a network held up never executions.
const ID_RETENTION: Duration = Duration::from_secs(60);
/// The most ids known.
const IDS_MAX: usize = 50_000;

/// An order that is being worked on, or was.
#[derive(Debug, Default)]
pub struct Execution {
    reply: Mutex<Option<PeerReply>>,
    done: Condvar,
    /// The connections on which its outcome is waited for.
    pub reconnects: Arc<Reconnects>,
}

impl Execution {
    /// Waits up to `span` for the outcome.
    pub fn wait(&self, timeout: Duration) -> Option<PeerReply> {
        let reply = sync::lock(&self.reply);
        let waited = self
            .done
            .wait_timeout_while(reply, timeout, |r| r.is_none());
        waited.unwrap_or_else(PoisonError::into_inner).0.clone()
    }
}

/// One try of an order: its id, and the number of the try.
type AttemptId = (String, u32);

/// How an order that has just come stands to the earlier ones.
pub enum RequestStatus {
    /// It is the first with its id.
    New(Arc<Execution>),
    /// An earlier copy of it is being worked on, or was lately.
    Duplicate(Arc<Execution>),
    /// An earlier copy of it was worked on, and its outcome is forgotten.
    Expired,
}

#[derive(Default)]
struct State {
    executions: HashMap<AttemptId, Arc<Execution>>,
    finished: BTreeSet<(Moment, AttemptId)>,
    first_seen: HashMap<AttemptId, Moment>,
}

/// The orders of the last minute.
#[derive(Default)]
pub struct RecentRequests {
    state: Mutex<State>,
}

impl RecentRequests {
    /// Takes in a try of an order that came at `now`.
    pub fn begin(&self, now: Moment, id: &str, attempt: u32) -> RequestStatus {
        let id = (id.to_owned(), attempt);
        let mut state = sync::lock(&self.state);
        state.expire(now);
        if let Some(execution) = state.executions.get(&id) {
            execution.reconnects.record();
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

    /// Returns the standing of a try that came before, or `None` where none came.
    pub fn status(&self, id: &str, attempt: u32) -> Option<RequestStatus> {
        let id = (id.to_owned(), attempt);
        let state = sync::lock(&self.state);
        if let Some(execution) = state.executions.get(&id) {
            execution.reconnects.record();
            return Some(RequestStatus::Duplicate(Arc::clone(execution)));
        }
        state
            .first_seen
            .contains_key(&id)
            .then_some(RequestStatus::Expired)
    }

    /// Takes in the outcome of a try.
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
