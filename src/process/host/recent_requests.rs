//! The orders that came from other daemons, so that one that is sent again joins the first.

use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::connection::buffered_connection::Reconnects;
use crate::connection::peer_message::PeerReply;
use crate::process::moment::Moment;
use crate::process::sync;

/// How long the outcome of an order is kept.
const KEEP_REPLY: Duration = Duration::from_secs(3);
/// How long an order's id is known, so that a copy that a network held up never runs.
const KEEP_ID: Duration = Duration::from_secs(60);
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
    pub fn wait(&self, span: Duration) -> Option<PeerReply> {
        let reply = sync::lock(&self.reply);
        let waited = self.done.wait_timeout_while(reply, span, |r| r.is_none());
        waited.unwrap_or_else(PoisonError::into_inner).0.clone()
    }
}

/// One try of an order: its id, and the number of the try.
type TryId = (String, u32);

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
    runs: HashMap<TryId, Arc<Execution>>,
    ended: BTreeSet<(Moment, TryId)>,
    ids: HashMap<TryId, Moment>,
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
        state.forget(now);
        if let Some(run) = state.runs.get(&id) {
            run.reconnects.record();
            return RequestStatus::Duplicate(Arc::clone(run));
        }
        if state.ids.contains_key(&id) {
            return RequestStatus::Expired;
        }
        let run = Arc::new(Execution::default());
        state.runs.insert(id.clone(), Arc::clone(&run));
        state.ids.insert(id, now);
        RequestStatus::New(run)
    }

    /// Returns the standing of a try that came before, or `None` where none came.
    pub fn find(&self, id: &str, attempt: u32) -> Option<RequestStatus> {
        let id = (id.to_owned(), attempt);
        let state = sync::lock(&self.state);
        if let Some(run) = state.runs.get(&id) {
            run.reconnects.record();
            return Some(RequestStatus::Duplicate(Arc::clone(run)));
        }
        state
            .ids
            .contains_key(&id)
            .then_some(RequestStatus::Expired)
    }

    /// Takes in the outcome of a try.
    pub fn end(&self, now: Moment, id: &str, attempt: u32, run: &Execution, reply: &PeerReply) {
        *sync::lock(&run.reply) = Some(reply.clone());
        run.done.notify_all();
        let mut state = sync::lock(&self.state);
        state.ended.insert((now, (id.to_owned(), attempt)));
    }
}

impl State {
    fn forget(&mut self, now: Moment) {
        while self
            .ended
            .first()
            .is_some_and(|(at, _)| now.since(*at) >= KEEP_REPLY)
        {
            if let Some((_, id)) = self.ended.pop_first() {
                self.runs.remove(&id);
            }
        }
        if self.ids.len() > IDS_MAX {
            self.ids.retain(|_, at| now.since(*at) < KEEP_ID);
        }
    }
}
