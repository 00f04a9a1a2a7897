//! The links to other daemons: one to each daemon in use, with many calls on it, and a second one
//! for large requests, which would delay the others.
//!
//! If a reply is late and nothing arrives on the link, the pool sends a ping. Without a response to
//! it the link is presumed dead, and a new one takes its place. The request is then sent again, and
//! the other daemon recognizes the duplicate by its id; of a dispatched request only the outcome is
//! fetched. A reply that still arrives on the earlier link counts too.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use crate::connection::buffered_connection::BufferedConnection;
use crate::connection::calling_link::CallingLink;
use crate::connection::frame::FrameError;
use crate::connection::memory_budget::MemoryBudget;
use crate::connection::peer_call::{CallEvent, PeerCall};
use crate::connection::peer_error::PeerError;
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::reactor::Reactor;
use crate::connection::recipient::Recipient;
use crate::connection::traffic::Traffic;
use crate::process::sync;
use crate::request::envelope::Envelope;
use crate::request::upstream_load::UpstreamLoad;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The retry delay that a caller receives if a later process has replaced the addressed one.
const REPLACED_PROCESS_RETRY: Duration = Duration::from_millis(300);

/// How long a pool waits for another daemon before it sends a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerTimeouts {
    /// How long the response to a ping may take; also how long the reply to a request may take that
    /// waits for no upstream. The time doubles with each new link, up to `reply`.
    pub acknowledge: Duration,
    /// How long the reply to a request that waits for an upstream may take before a ping is sent,
    /// if nothing else arrives on the link.
    pub reply: Duration,
    /// How long nothing may arrive from the other daemon before a call to it can be found pointless. Its
    /// work may go on behind a link that is slow.
    pub silence: Duration,
}

impl Default for PeerTimeouts {
    fn default() -> Self {
        Self {
            acknowledge: Duration::from_millis(30),
            reply: Duration::from_millis(200),
            silence: Duration::ZERO,
        }
    }
}

/// Which requests a link carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LinkKind {
    /// Requests without a large body.
    Small,
    /// Requests with a large body.
    Large,
}

impl LinkKind {
    fn of(request: &PeerRequest) -> Self {
        match request.has_large_body() {
            true => Self::Large,
            false => Self::Small,
        }
    }
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerCallReply {
    /// The message that the other daemon sent.
    pub reply: PeerReply,
    /// Whether the request was sent more than once, so that an earlier copy may still arrive.
    pub resent: bool,
}

impl PeerCallReply {
    /// Returns the outcome of an upstream request that was dispatched by the call, and the load
    /// that the reply reports.
    ///
    /// With [`PeerReply::NotServing`], another process than the addressed one replies that it did
    /// not run the request. If the request was sent before, the addressed process may have run it,
    /// so the outcome is unknown.
    pub fn into_outcome(self) -> (UpstreamOutcome, Option<UpstreamLoad>) {
        match self.reply {
            PeerReply::Completed { outcome, load } => (*outcome, Some(load)),
            PeerReply::NotServing(reason) if self.resent => {
                (UpstreamOutcome::unknown(reason), None)
            }
            PeerReply::NotServing(_) => (
                UpstreamOutcome::not_run(NotRunCause::NotOwner, REPLACED_PROCESS_RETRY),
                None,
            ),
            _ => (
                UpstreamOutcome::unknown("a reply that does not fit the call"),
                None,
            ),
        }
    }
}

/// How an attempt of a call ended without a reply.
enum Failure {
    /// The link is silent, or the call's time is over.
    TimedOut,
    /// The link was closed.
    LinkClosed,
}

/// An attempt of a call that was sent.
struct SentAttempt {
    link: Arc<CallingLink>,
    /// The number of the call on the link.
    number: u64,
    /// When bytes had last been received on the link before.
    received_before: Instant,
}

impl SentAttempt {
    /// Returns when bytes were last received on the link since the attempt.
    fn received_at(&self) -> Option<Instant> {
        let received_at = self.link.received_at();
        (received_at > self.received_before).then_some(received_at)
    }
}

/// The attempts of a call, each on its own link; dropping it cancels those without a reply.
struct Attempts {
    call: Arc<PeerCall>,
    started: Instant,
    sent: Vec<SentAttempt>,
}

impl Attempts {
    /// Sends `request` on `link`; returns whether that succeeded.
    fn send(&mut self, link: &Arc<CallingLink>, request: &PeerRequest) -> Result<(), FrameError> {
        let index = self.sent.len();
        let received_before = link.received_at();
        let number = link.start_call(&self.call, index, request)?;
        self.sent.push(SentAttempt {
            link: Arc::clone(link),
            number,
            received_before,
        });
        Ok(())
    }

    /// Returns whether nothing has arrived on any link for `time`.
    fn are_silent(&self, time: Duration) -> bool {
        let received = self.sent.iter().filter_map(SentAttempt::received_at);
        let heard_at = received.fold(self.started, Instant::max);
        heard_at.elapsed() >= time
    }

    /// Returns whether the reply may still arrive.
    fn any_open(&self) -> bool {
        self.sent.iter().any(|a| !a.link.is_closed())
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        for attempt in &self.sent {
            attempt.link.abandon(attempt.number);
        }
    }
}

/// The links of one daemon to the others.
pub struct PeerPool {
    reactor: Arc<Reactor>,
    source: IpAddr,
    timeouts: PeerTimeouts,
    /// The links that new calls use.
    links: Mutex<HashMap<(SocketAddr, LinkKind), Arc<CallingLink>>>,
    /// All open links, also those that are presumed dead, or that two calls established at the same time.
    all_links: Mutex<Vec<Weak<CallingLink>>>,
    traffic: Arc<Traffic>,
}

impl PeerPool {
    /// Creates a pool that connects from the address `source`.
    pub fn new(reactor: &Arc<Reactor>, source: IpAddr, timeouts: PeerTimeouts) -> Self {
        Self {
            reactor: Arc::clone(reactor),
            source,
            timeouts,
            links: Mutex::default(),
            all_links: Mutex::default(),
            traffic: Arc::default(),
        }
    }

    /// Returns the counts of what this daemon sends.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Returns the number of open links.
    pub fn open_links(&self) -> usize {
        let links = sync::lock(&self.links);
        links.values().filter(|l| !l.is_closed()).count()
    }

    /// Returns the memory that the connections take.
    pub fn budget(&self) -> &Arc<MemoryBudget> {
        self.reactor.budget()
    }

    /// Closes all links; calls in progress fail.
    pub fn close(&self) {
        let links = std::mem::take(&mut *sync::lock(&self.links));
        for link in links.values() {
            link.close();
        }
    }

    /// Asks the other daemons to begin no work of the calls in progress any more; those whose work has not
    /// begun get their replies soon. Calls that are just being sent are left out, so this must be called
    /// again while there are any.
    pub fn withdraw_calls(&self) {
        let all_links = sync::lock(&self.all_links).clone();
        for link in all_links.iter().filter_map(Weak::upgrade) {
            link.withdraw_calls();
        }
    }

    /// Sends a request to the daemon at `to` and waits for its reply.
    ///
    /// The wait ends after `timeout`, when `recipient` disconnects, or when `is_pointless` returns
    /// true, which is called after each timeout on a link if the other daemon has been silent for
    /// [`PeerTimeouts::silence`]. A call that ends without its reply is
    /// cancelled at the other daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if no reply arrives; it says whether the request may have been received.
    pub fn call(
        &self,
        to: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
        recipient: &Recipient,
        is_pointless: impl Fn() -> bool,
    ) -> Result<PeerCallReply, PeerError> {
        let started = Instant::now();
        let deadline = started + timeout;
        let silence = self.timeouts.silence;
        let kind = LinkKind::of(request);
        let call = Arc::new(PeerCall::default());
        let for_waker = Arc::clone(&call);
        let _watch = recipient.on_disconnect(move || for_waker.abandon());
        let mut attempts = Attempts {
            call,
            started,
            sent: Vec::new(),
        };
        let mut message = Cow::Borrowed(request);
        let mut acknowledge = self.timeouts.acknowledge;
        loop {
            if recipient.has_disconnected() {
                return Err(PeerError::RecipientDisconnected);
            }
            let resent = !attempts.sent.is_empty();
            let (link, is_reused) = match self.link(to, kind, deadline) {
                Ok(link) => link,
                Err(e) if !resent => return Err(PeerError::NotSent(e)),
                // The reply may still arrive on an earlier link.
                Err(e) if !attempts.any_open() => {
                    return Err(PeerError::MaybeSent(FrameError::Io(e)));
                }
                Err(_) => {
                    return self.await_late_reply(&attempts, deadline, recipient, is_pointless);
                }
            };
            let failure = match attempts.send(&link, &message) {
                Ok(()) => {
                    match self.await_reply(&attempts, request, acknowledge, deadline, recipient) {
                        Ok(PeerReply::UnknownRequest) => {
                            // The earlier link lost the request.
                            message = Cow::Borrowed(request);
                            continue;
                        }
                        Ok(reply) => return Ok(PeerCallReply { reply, resent }),
                        Err(failure) => failure,
                    }
                }
                // The link was closed before the request was sent.
                Err(FrameError::Io(_)) if Instant::now() < deadline => continue,
                Err(e) if !resent => {
                    return Err(PeerError::NotSent(io::Error::other(e)));
                }
                Err(e) => return Err(e.into()),
            };
            if recipient.has_disconnected() {
                return Err(PeerError::RecipientDisconnected);
            }
            let expired = Instant::now() >= deadline;
            match failure {
                Failure::TimedOut if expired => return Err(timed_out()),
                Failure::TimedOut if attempts.are_silent(silence) && is_pointless() => {
                    return Err(timed_out());
                }
                Failure::LinkClosed if expired || (!is_reused && resent) => {
                    return Err(link_closed());
                }
                Failure::TimedOut => {
                    self.retire(to, kind, &link);
                    let remaining = deadline.saturating_duration_since(Instant::now());
                    let outcome = request.outcome_request(remaining);
                    message = Cow::Owned(outcome.unwrap_or_else(|| without_fresh_until(request)));
                }
                Failure::LinkClosed => message = Cow::Owned(without_fresh_until(request)),
            }
            acknowledge = (acknowledge * 2).min(self.timeouts.reply);
        }
    }

    /// Waits for the reply to the last attempt, as long as its link is alive.
    fn await_reply(
        &self,
        attempts: &Attempts,
        request: &PeerRequest,
        acknowledge: Duration,
        deadline: Instant,
        recipient: &Recipient,
    ) -> Result<PeerReply, Failure> {
        let last = attempts.sent.len() - 1;
        let link = &attempts.sent[last].link;
        let mut patience = match request.waits_for_upstream() {
            true => self.timeouts.reply,
            false => acknowledge,
        };
        let mut pinged = false;
        let mut since = Instant::now();
        loop {
            match attempts.call.wait(deadline.min(since + patience)) {
                Some(CallEvent::Replied(reply)) => return Ok(reply),
                Some(CallEvent::LinkClosed(index)) if index == last => {
                    return Err(Failure::LinkClosed);
                }
                Some(CallEvent::LinkClosed(_)) => continue,
                None => {}
            }
            let now = Instant::now();
            if recipient.has_disconnected() || now >= deadline {
                return Err(Failure::TimedOut);
            }
            if link.received_at() > since {
                // The link is alive, so the work takes long.
                pinged = false;
                patience = self.timeouts.reply;
            } else if pinged {
                return Err(Failure::TimedOut);
            } else {
                link.ping();
                pinged = true;
                patience = acknowledge;
            }
            since = now;
        }
    }

    /// Waits for a reply on the links of earlier attempts, when no further link can be established.
    fn await_late_reply(
        &self,
        attempts: &Attempts,
        deadline: Instant,
        recipient: &Recipient,
        is_pointless: impl Fn() -> bool,
    ) -> Result<PeerCallReply, PeerError> {
        loop {
            let until = deadline.min(Instant::now() + self.timeouts.reply);
            match attempts.call.wait(until) {
                Some(CallEvent::Replied(reply)) => {
                    return Ok(PeerCallReply {
                        reply,
                        resent: true,
                    });
                }
                Some(CallEvent::LinkClosed(_)) if !attempts.any_open() => {
                    return Err(link_closed());
                }
                Some(CallEvent::LinkClosed(_)) => continue,
                None => {}
            }
            if recipient.has_disconnected() {
                return Err(PeerError::RecipientDisconnected);
            }
            let is_silent = attempts.are_silent(self.timeouts.silence);
            if Instant::now() >= deadline || (is_silent && is_pointless()) {
                return Err(timed_out());
            }
        }
    }

    /// Returns the link to `to`, and whether it was established before.
    fn link(
        &self,
        to: SocketAddr,
        kind: LinkKind,
        deadline: Instant,
    ) -> io::Result<(Arc<CallingLink>, bool)> {
        if let Some(link) = self.open_link(to, kind) {
            return Ok((link, true));
        }
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let conn = BufferedConnection::connect(to, Some(self.source), connect_deadline)?;
        let link = CallingLink::start(&self.reactor, conn, &self.traffic)?;
        let mut all_links = sync::lock(&self.all_links);
        all_links.retain(|l| l.upgrade().is_some_and(|l| !l.is_closed()));
        all_links.push(Arc::downgrade(&link));
        drop(all_links);
        let mut links = sync::lock(&self.links);
        links.retain(|_, l| !l.is_closed());
        // Another thread may have connected meanwhile; this link then ends once it is idle.
        links.entry((to, kind)).or_insert(Arc::clone(&link));
        Ok((link, false))
    }

    fn open_link(&self, to: SocketAddr, kind: LinkKind) -> Option<Arc<CallingLink>> {
        let links = sync::lock(&self.links);
        links
            .get(&(to, kind))
            .filter(|l| !l.is_closed())
            .map(Arc::clone)
    }

    /// Removes a link that is presumed dead. It stays open for the calls in progress on it: the
    /// other daemon would take its close for a disconnect of the recipient and cancel them.
    fn retire(&self, to: SocketAddr, kind: LinkKind, link: &Arc<CallingLink>) {
        let mut links = sync::lock(&self.links);
        if links.get(&(to, kind)).is_some_and(|l| Arc::ptr_eq(l, link)) {
            links.remove(&(to, kind));
        }
    }
}

fn timed_out() -> PeerError {
    PeerError::MaybeSent(FrameError::Io(io::ErrorKind::TimedOut.into()))
}

fn link_closed() -> PeerError {
    PeerError::MaybeSent(FrameError::Io(io::ErrorKind::UnexpectedEof.into()))
}

/// Returns the request as it is sent again: without `fresh_until`, since an earlier copy may exist.
fn without_fresh_until(request: &PeerRequest) -> PeerRequest {
    match request {
        PeerRequest::Forward(e) => PeerRequest::Forward(Envelope {
            fresh_until: None,
            ..e.clone()
        }),
        other => other.clone(),
    }
}
