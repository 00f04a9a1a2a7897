//! A call to another daemon that waits for its reply.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Instant;

use crate::connection::peer_message::PeerReply;
use crate::process::sync;

/// What happened to one attempt of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// The other daemon replied.
    Replied(PeerReply),
    /// The link of the attempt with this index was closed.
    LinkClosed(usize),
}

#[derive(Debug, Default)]
struct State {
    events: VecDeque<CallEvent>,
    /// Whether the reply is not wanted any more.
    abandoned: bool,
}

/// A call, each attempt of which is sent on another link; the first reply counts.
#[derive(Debug, Default)]
pub struct PeerCall {
    state: Mutex<State>,
    changed: Condvar,
}

impl PeerCall {
    /// Records an event and wakes the waiting thread.
    pub fn record(&self, event: CallEvent) {
        sync::lock(&self.state).events.push_back(event);
        self.changed.notify_all();
    }

    /// Ends the wait, and each later one, because the reply is not wanted any more.
    pub fn abandon(&self) {
        sync::lock(&self.state).abandoned = true;
        self.changed.notify_all();
    }

    /// Waits until `until` for the next event; returns `None` earlier if the call is abandoned.
    pub fn wait(&self, until: Instant) -> Option<CallEvent> {
        let mut state = sync::lock(&self.state);
        loop {
            if let Some(event) = state.events.pop_front() {
                return Some(event);
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() || state.abandoned {
                return None;
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
