//! Serves the calls of other daemons: a thread for each call in progress, none for an idle link.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use crate::connection::acceptor::{Acceptor, ConnectionHandler};
use crate::connection::buffered_connection::BufferedConnection;
use crate::connection::frame::FrameError;
use crate::connection::memory_budget::{MemoryBudget, ShedReason};
use crate::connection::memory_reservation::MemoryReservation;
use crate::connection::peer_frame::PeerFrame;
use crate::connection::peer_link::{LinkHandler, PeerLink};
use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::reactor::Reactor;
use crate::connection::recipient::Recipient;
use crate::connection::traffic::Traffic;
use crate::process::sync;
use crate::process::thread_pool::ThreadPool;

/// The most links at a time, unless the process has too few descriptors. The one without a whole frame
/// for the longest time is closed for a new one.
pub const LINKS_MAX: usize = 4096;
/// How long a link without a whole frame is not closed for a new one.
const LINK_TIME_MIN: Duration = Duration::from_secs(1);
/// The most control requests that are processed or queued; further ones are refused.
const CONTROL_JOBS_MAX: usize = 1024;
/// The memory of a link, in bytes: its state, the reactor's and the kernel's.
const LINK_BYTES: usize = 8 * 1024;
/// The most requests that are processed at a time; further ones are refused.
const REQUESTS_MAX: usize = 512;
/// The most control requests that are processed at a time.
const CONTROL_THREADS_MAX: usize = 4;
/// The stack size of a thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;
/// How long a daemon whose link broke may take to ask for the result on another one.
const RECONNECT_TIME: Duration = Duration::from_millis(120);

/// Handles the requests of other daemons.
pub trait PeerHandler: Send + Sync {
    /// Returns the reply to a request; `recipient` is the daemon that sent it.
    fn handle(&self, request: PeerRequest, recipient: &Recipient) -> PeerReply;

    /// Counts a frame that could not be decoded.
    fn count_malformed_frame(&self);
}

struct Shared {
    handler: Arc<dyn PeerHandler>,
    reactor: Weak<Reactor>,
    /// Itself, for its links.
    this: Weak<Shared>,
    stopping: AtomicBool,
    links: Mutex<Vec<Weak<PeerLink>>>,
    links_max: usize,
    requests: ThreadPool,
    control: ThreadPool,
    /// The recipients of calls whose link broke, with the time of that.
    cut_off: Mutex<Vec<(Instant, Recipient)>>,
    traffic: Arc<Traffic>,
}

/// Handles the frames of a calling daemon.
struct CallHandler {
    shared: Arc<Shared>,
    /// The recipients of the calls in progress, by number.
    running: Arc<Mutex<HashMap<u64, Recipient>>>,
    _reservation: MemoryReservation,
}

/// The listener and its links; [`PeerServer::stop`] joins all threads.
pub struct PeerServer {
    shared: Arc<Shared>,
    acceptor: Mutex<Option<Acceptor>>,
}

impl PeerServer {
    /// Starts accepting links on `listener`; `traffic` counts the replies.
    ///
    /// # Errors
    ///
    /// Returns an error if the reactor can't watch the listener.
    pub fn start(
        reactor: &Arc<Reactor>,
        listener: TcpListener,
        handler: Arc<dyn PeerHandler>,
        traffic: &Arc<Traffic>,
    ) -> io::Result<Self> {
        Self::start_with_limit(reactor, listener, handler, traffic, LINKS_MAX)
    }

    /// Starts accepting at most `links_max` links at a time on `listener`; `traffic` counts the replies.
    ///
    /// # Errors
    ///
    /// Returns an error if the reactor can't watch the listener.
    pub fn start_with_limit(
        reactor: &Arc<Reactor>,
        listener: TcpListener,
        handler: Arc<dyn PeerHandler>,
        traffic: &Arc<Traffic>,
        links_max: usize,
    ) -> io::Result<Self> {
        let shared = Arc::new_cyclic(|this| Shared {
            handler,
            reactor: Arc::downgrade(reactor),
            this: Weak::clone(this),
            stopping: AtomicBool::new(false),
            links: Mutex::default(),
            links_max,
            requests: ThreadPool::with_stack("peer", REQUESTS_MAX, STACK_BYTES),
            control: ThreadPool::with_stack("control", CONTROL_THREADS_MAX, STACK_BYTES),
            cut_off: Mutex::default(),
            traffic: Arc::clone(traffic),
        });
        let for_links = Arc::clone(&shared) as Arc<dyn ConnectionHandler>;
        let acceptor = Acceptor::start(reactor, listener, for_links)?;
        Ok(Self {
            shared,
            acceptor: Mutex::new(Some(acceptor)),
        })
    }

    /// Returns the number of requests that wait for the upstream or whose reply is being written.
    pub fn requests_in_progress(&self) -> usize {
        self.shared.requests.jobs()
    }

    /// Returns the number of threads that handle such requests or wait for one.
    pub fn request_threads(&self) -> usize {
        self.shared.requests.threads()
    }

    /// Closes the listener and all links, cancels the calls in progress and joins all threads.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        if let Some(acceptor) = sync::lock(&self.acceptor).take() {
            acceptor.stop();
        }
        let links = std::mem::take(&mut *sync::lock(&self.shared.links));
        for link in links.iter().filter_map(Weak::upgrade) {
            link.close();
        }
        self.shared.cancel_cut_off(None);
        self.shared.requests.join();
        self.shared.control.join();
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Shared {
    /// Starts a link on an accepted connection, unless there are too many.
    fn accept(&self, stream: TcpStream) -> io::Result<()> {
        let (Some(reactor), Some(this)) = (self.reactor.upgrade(), self.this.upgrade()) else {
            return Ok(());
        };
        let mut links = sync::lock(&self.links);
        links.retain(|l| l.upgrade().is_some_and(|l| !l.is_closed()));
        if self.stopping.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut reservation = MemoryReservation::new(reactor.budget());
        if !reservation.raise_to(LINK_BYTES) || !self.make_room(&mut links, reactor.budget()) {
            reactor.budget().record(ShedReason::Connections);
            return Ok(());
        }
        let conn = BufferedConnection::from_accepted(stream)?;
        let handler = Box::new(CallHandler {
            shared: this,
            running: Arc::default(),
            _reservation: reservation,
        });
        let link = PeerLink::start(&reactor, conn, handler)?;
        links.push(Arc::downgrade(&link));
        Ok(())
    }

    /// Returns whether one more link can be open, after closing one if that is necessary.
    fn make_room(&self, links: &mut Vec<Weak<PeerLink>>, budget: &MemoryBudget) -> bool {
        if links.len() < self.links_max {
            return true;
        }
        let open = links.iter().filter_map(Weak::upgrade);
        let oldest = open.min_by_key(|link| link.framed_at());
        let Some(link) = oldest.filter(|l| l.framed_at().elapsed() >= LINK_TIME_MIN) else {
            return false;
        };
        budget.record(ShedReason::Connections);
        link.close();
        links.retain(|l| l.upgrade().is_some_and(|l| !l.is_closed()));
        true
    }

    /// Cancels the calls whose link broke more than [`RECONNECT_TIME`] before `now`, or all if that
    /// is `None`.
    fn cancel_cut_off(&self, now: Option<Instant>) {
        let is_due = |cut_at: Instant| {
            now.is_none_or(|n| n.saturating_duration_since(cut_at) >= RECONNECT_TIME)
        };
        let mut cut_off = sync::lock(&self.cut_off);
        let due: Vec<_> = cut_off.extract_if(.., |(at, _)| is_due(*at)).collect();
        drop(cut_off);
        for (_, recipient) in due {
            match now {
                Some(_) => recipient.cut_off(),
                None => recipient.disconnect(),
            }
        }
    }
}

impl ConnectionHandler for Shared {
    fn handle_connection(&self, stream: TcpStream) {
        if let Err(e) = self.accept(stream) {
            tracing::warn!(event = "link-not-started", error = %e);
        }
    }

    fn sweep(&self, now: Instant) {
        self.cancel_cut_off(Some(now));
    }
}

impl CallHandler {
    fn start_call(&self, link: &Arc<PeerLink>, number: u64, request: PeerRequest) {
        let is_control = request.is_control();
        let is_full = match is_control {
            true => self.shared.control.jobs() >= CONTROL_JOBS_MAX,
            false => self.shared.requests.jobs() >= REQUESTS_MAX,
        };
        if is_full {
            // Not "not run": an earlier copy of a request that was sent again may be running.
            let reason = "too many requests are in progress".to_owned();
            send_reply(link, number, PeerReply::NotServing(reason));
            return;
        }
        let recipient = Recipient::connected();
        sync::lock(&self.running).insert(number, recipient.clone());
        let handler = Arc::clone(&self.shared.handler);
        let (link, running) = (Arc::clone(link), Arc::clone(&self.running));
        let arrived_at = Instant::now();
        let pool = match is_control {
            true => &self.shared.control,
            false => &self.shared.requests,
        };
        pool.submit(move || {
            let request = request.after_waiting(arrived_at.elapsed());
            let reply = handler.handle(request, &recipient);
            sync::lock(&running).remove(&number);
            send_reply(&link, number, reply);
        });
    }
}

impl LinkHandler for CallHandler {
    fn handle_frame(&self, link: &Arc<PeerLink>, frame: PeerFrame<'static>) {
        match frame {
            PeerFrame::Call { number, request } => {
                self.start_call(link, number, request.into_owned());
            }
            PeerFrame::Cancel { number } => {
                let recipient = sync::lock(&self.running).get(&number).cloned();
                if let Some(recipient) = recipient {
                    recipient.disconnect();
                }
            }
            PeerFrame::Withdraw { number } => {
                if let Some(recipient) = sync::lock(&self.running).get(&number) {
                    recipient.withdraw();
                }
            }
            PeerFrame::Reply { .. } | PeerFrame::Ping | PeerFrame::Pong => {}
        }
    }

    fn handle_malformed(&self, error: &FrameError) {
        tracing::warn!(event = "malformed-frame", error = %error);
        self.shared.handler.count_malformed_frame();
    }

    fn handle_close(&self, _link: &PeerLink) {
        let running = std::mem::take(&mut *sync::lock(&self.running));
        let now = Instant::now();
        let cut = running.into_values().map(|recipient| (now, recipient));
        sync::lock(&self.shared.cut_off).extend(cut);
    }

    fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    fn sweep(&self, _link: &PeerLink, _now: Instant) {}
}

fn send_reply(link: &PeerLink, number: u64, reply: PeerReply) {
    let reply = Cow::Owned(reply);
    match link.send(&PeerFrame::Reply { number, reply }) {
        Ok(()) => {}
        Err(FrameError::Io(e)) => tracing::debug!(event = "reply-not-sent", error = %e),
        Err(e) => {
            // Without a reply the caller would wait until its deadline.
            tracing::error!(event = "reply-not-encoded", error = %e);
            link.close();
        }
    }
}
