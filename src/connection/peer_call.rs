//! A call to another daemon that waits for its reply.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Instant;

use crate::connection::peer_message::PeerReply;
use crate::connection::recipient::Recipient;
use crate::process::sync;

/// What happened to one attempt of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEvent {
    /// The other daemon replied.
    Replied(PeerReply),
    /// The link of the attempt with this index was closed.
    LinkClosed(usize),
}

/// A call, each attempt of which is sent on another link; the first reply counts.
#[derive(Debug, Default)]
pub struct PeerCall {
    events: Mutex<VecDeque<CallEvent>>,
    changed: Condvar,
}

impl PeerCall {
    /// Records an event and wakes the waiting thread.
    pub fn record(&self, event: CallEvent) {
        sync::lock(&self.events).push_back(event);
        self.changed.notify_all();
    }

    /// Wakes the waiting thread, so that it checks whether its recipient disconnected.
    pub fn wake(&self) {
        // The lock makes sure that the thread either waits already or has not checked yet.
        let _events = sync::lock(&self.events);
        self.changed.notify_all();
    }

    /// Waits until `until` for the next event; returns `None` earlier if `recipient` disconnects.
    pub fn wait(&self, until: Instant, recipient: &Recipient) -> Option<CallEvent> {
        let mut events = sync::lock(&self.events);
        loop {
            if let Some(event) = events.pop_front() {
                return Some(event);
            }
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() || recipient.has_disconnected() {
                return None;
            }
            let waited = self.changed.wait_timeout(events, remaining);
            events = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
