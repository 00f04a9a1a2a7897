//! The end of a link that makes calls.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::BufferedConnection;
use crate::connection::frame::FrameError;
use crate::connection::peer_call::{CallEvent, PeerCall};
use crate::connection::peer_frame::PeerFrame;
use crate::connection::peer_link::{LinkHandler, PeerLink};
use crate::connection::peer_message::PeerRequest;
use crate::connection::reactor::Reactor;
use crate::connection::traffic::Traffic;
use crate::process::sync;

/// How long a link without calls stays open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);

/// An attempt of a call that waits for its reply.
struct WaitingAttempt {
    call: Arc<PeerCall>,
    /// The index of the attempt among those of the call.
    index: usize,
    progress: Progress,
}

/// What the other daemon has been sent of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// The call is being sent. Nothing that concerns it may be sent before it.
    Sending,
    /// The call was sent.
    Sent,
    /// The other daemon was asked not to begin the work any more.
    Withdrawn,
}

/// The calls of a link.
struct Calls {
    waiting: HashMap<u64, WaitingAttempt>,
    last_number: u64,
    idle_since: Instant,
    /// Whether no more calls may start.
    closed: bool,
}

/// Handles the frames of the called daemon.
struct ReplyHandler {
    calls: Arc<Mutex<Calls>>,
    traffic: Arc<Traffic>,
}

/// The end of a link that makes calls.
pub struct CallingLink {
    link: Arc<PeerLink>,
    calls: Arc<Mutex<Calls>>,
}

impl CallingLink {
    /// Starts a link on `conn`, without calls.
    ///
    /// # Errors
    ///
    /// Returns an error if the reactor can't watch the socket.
    pub fn start(
        reactor: &Arc<Reactor>,
        conn: BufferedConnection,
        traffic: &Arc<Traffic>,
    ) -> io::Result<Arc<Self>> {
        let calls = Arc::new(Mutex::new(Calls {
            waiting: HashMap::new(),
            last_number: 0,
            idle_since: Instant::now(),
            closed: false,
        }));
        let handler = Box::new(ReplyHandler {
            calls: Arc::clone(&calls),
            traffic: Arc::clone(traffic),
        });
        let link = PeerLink::start(reactor, conn, handler)?;
        Ok(Arc::new(Self { link, calls }))
    }

    /// Sends the attempt with `index` of a call; returns its number on this link.
    ///
    /// # Errors
    ///
    /// Returns an error if the link is closed, or the request can't be encoded.
    pub fn start_call(
        &self,
        call: &Arc<PeerCall>,
        index: usize,
        request: &PeerRequest,
    ) -> Result<u64, FrameError> {
        let mut calls = sync::lock(&self.calls);
        if calls.closed {
            return Err(io::Error::from(ErrorKind::NotConnected).into());
        }
        calls.last_number += 1;
        let number = calls.last_number;
        let call = Arc::clone(call);
        let attempt = WaitingAttempt {
            call,
            index,
            progress: Progress::Sending,
        };
        calls.waiting.insert(number, attempt);
        drop(calls);
        let request = Cow::Borrowed(request);
        match self.link.send(&PeerFrame::Call { number, request }) {
            // The close of the link was recorded as an event of the call.
            Ok(()) | Err(FrameError::Io(_)) => {
                if let Some(attempt) = sync::lock(&self.calls).waiting.get_mut(&number) {
                    attempt.progress = Progress::Sent;
                }
                Ok(number)
            }
            Err(e) => {
                self.forget(number);
                Err(e)
            }
        }
    }

    /// Discards the reply to a call and, if it has not arrived yet, asks the other daemon to cancel
    /// the call.
    pub fn abandon(&self, number: u64) {
        if self.forget(number) {
            // If the link fails, the other daemon cancels its calls.
            let _ = self.link.send(&PeerFrame::Cancel { number });
        }
    }

    /// Asks the other daemon to begin no work of the calls in progress any more. It replies to those whose
    /// work has not begun. A call that is just being sent is left out, so this must be called again.
    pub fn withdraw_calls(&self) {
        let mut numbers = Vec::new();
        for (&number, attempt) in &mut sync::lock(&self.calls).waiting {
            if attempt.progress == Progress::Sent {
                attempt.progress = Progress::Withdrawn;
                numbers.push(number);
            }
        }
        for number in numbers {
            // A failure closes the link, which is an event of its calls.
            let _ = self.link.send(&PeerFrame::Withdraw { number });
        }
    }

    /// Discards the reply to a call, should it still arrive; returns whether it was awaited.
    fn forget(&self, number: u64) -> bool {
        let mut calls = sync::lock(&self.calls);
        let was_waiting = calls.waiting.remove(&number).is_some();
        if was_waiting {
            calls.idle_since = Instant::now();
        }
        was_waiting
    }

    /// Asks the other daemon for a sign of life.
    pub fn ping(&self) {
        // A failure closes the link, which is an event of its calls.
        let _ = self.link.send(&PeerFrame::Ping);
    }

    /// Returns when bytes were last received.
    pub fn received_at(&self) -> Instant {
        self.link.received_at()
    }

    /// Returns whether the link takes no more calls.
    pub fn is_closed(&self) -> bool {
        sync::lock(&self.calls).closed
    }

    /// Closes the link.
    pub fn close(&self) {
        self.link.close();
    }
}

impl LinkHandler for ReplyHandler {
    fn handle_frame(&self, _link: &Arc<PeerLink>, frame: PeerFrame<'static>) {
        let PeerFrame::Reply { number, reply } = frame else {
            return;
        };
        let mut calls = sync::lock(&self.calls);
        if let Some(attempt) = calls.waiting.remove(&number) {
            calls.idle_since = Instant::now();
            drop(calls);
            let event = CallEvent::Replied(reply.into_owned());
            attempt.call.record(event);
        }
    }

    fn handle_malformed(&self, error: &FrameError) {
        tracing::warn!(event = "malformed-frame", error = %error);
    }

    fn handle_close(&self, _link: &PeerLink) {
        let mut calls = sync::lock(&self.calls);
        calls.closed = true;
        let waiting = std::mem::take(&mut calls.waiting);
        drop(calls);
        for attempt in waiting.into_values() {
            let event = CallEvent::LinkClosed(attempt.index);
            attempt.call.record(event);
        }
    }

    fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn sweep(&self, link: &PeerLink, now: Instant) {
        let mut calls = sync::lock(&self.calls);
        let idle = now.saturating_duration_since(calls.idle_since);
        if calls.waiting.is_empty() && idle >= IDLE_TIMEOUT {
            // From now on no call can start on the link.
            calls.closed = true;
            drop(calls);
            link.close();
        }
    }
}
