//! One thread that waits for the events of many sockets.
//!
//! A [`Source`] is a socket with a handler. The reactor calls the handler when the socket is ready,
//! and at regular intervals so that the handler can act on timeouts. Handlers must not block.

use std::collections::HashMap;
use std::io;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::buffer::spare_capacity;
use rustix::event::epoll::{self, EventData, EventFlags};
use rustix::event::{EventfdFlags, Timespec, eventfd};

use crate::connection::memory_budget::MemoryBudget;
use crate::process::sync;

/// The interval at which the handlers are called to act on timeouts.
pub const SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// The most events that one wait returns.
const EVENTS_MAX: usize = 64;
/// The stack size of the thread, in bytes.
const STACK_BYTES: usize = 512 * 1024;
/// How long to pause after a wait that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);
/// From which delay on a late wake-up or a slow round of handlers is logged.
const LATE_MIN: Duration = Duration::from_millis(250);
/// The number of the descriptor that wakes the thread; sources have higher numbers.
const WAKER_NUMBER: u64 = 0;

/// What a source waits for, or what has occurred on it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Whether the socket can be read, or accepts a connection.
    pub readable: bool,
    /// Whether the socket can be written.
    pub writable: bool,
    /// Whether the peer has closed its side, or the connection failed. Always reported.
    pub hung_up: bool,
}

impl Readiness {
    /// Waits for bytes to read, and for the close by the peer.
    pub const READ: Self = Self {
        readable: true,
        writable: false,
        hung_up: true,
    };
    /// Waits for the close by the peer only.
    pub const HANG_UP: Self = Self {
        readable: false,
        writable: false,
        hung_up: true,
    };

    fn flags(self) -> EventFlags {
        let mut flags = EventFlags::RDHUP;
        flags.set(EventFlags::IN, self.readable);
        flags.set(EventFlags::OUT, self.writable);
        flags
    }

    fn from_flags(flags: EventFlags) -> Self {
        Self {
            readable: flags.contains(EventFlags::IN),
            writable: flags.contains(EventFlags::OUT),
            hung_up: flags.intersects(EventFlags::RDHUP | EventFlags::HUP | EventFlags::ERR),
        }
    }
}

/// A socket whose events a reactor handles.
pub trait Source: Send + Sync {
    /// Returns the socket, which must stay open until the source is removed.
    fn fd(&self) -> BorrowedFd<'_>;

    /// Handles events of the socket. A source that was added with [`Reactor::add_once`] gets no
    /// further events until it is rearmed.
    fn handle(&self, ready: Readiness);

    /// Acts on timeouts that have passed at `now`; called every [`SWEEP_INTERVAL`].
    fn sweep(&self, now: Instant);
}

/// The number under which a source was added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SourceNumber(u64);

struct Shared {
    epoll: OwnedFd,
    waker: OwnedFd,
    sources: Mutex<HashMap<u64, Arc<dyn Source>>>,
    last_number: AtomicU64,
    stopping: AtomicBool,
}

/// The thread with its sources; [`Reactor::stop`] joins the thread.
pub struct Reactor {
    shared: Arc<Shared>,
    budget: Arc<MemoryBudget>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Reactor {
    /// Starts a reactor without sources.
    ///
    /// # Errors
    ///
    /// Returns an error if the descriptors can't be created or the thread can't be started.
    pub fn start() -> io::Result<Arc<Self>> {
        Self::start_with_budget(MemoryBudget::unlimited())
    }

    /// Starts a reactor without sources, whose connections take their memory from `budget`.
    ///
    /// # Errors
    ///
    /// Returns an error if the descriptors can't be created or the thread can't be started.
    pub fn start_with_budget(budget: Arc<MemoryBudget>) -> io::Result<Arc<Self>> {
        let shared = Arc::new(Shared {
            epoll: epoll::create(epoll::CreateFlags::CLOEXEC)?,
            waker: eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?,
            sources: Mutex::default(),
            last_number: AtomicU64::new(WAKER_NUMBER),
            stopping: AtomicBool::new(false),
        });
        let waker = EventData::new_u64(WAKER_NUMBER);
        epoll::add(&shared.epoll, &shared.waker, waker, EventFlags::IN)?;
        let thread_shared = Arc::clone(&shared);
        let thread = thread::Builder::new()
            .name("reactor".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || run(&thread_shared))?;
        Ok(Arc::new(Self {
            shared,
            budget,
            thread: Mutex::new(Some(thread)),
        }))
    }

    /// Returns the memory that the connections take.
    pub fn budget(&self) -> &Arc<MemoryBudget> {
        &self.budget
    }

    /// Adds a source that gets events until it is removed. `assign` receives its number before the
    /// first event.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be watched.
    pub fn add(
        &self,
        source: Arc<dyn Source>,
        interest: Readiness,
        assign: impl FnOnce(SourceNumber),
    ) -> io::Result<()> {
        self.insert(source, interest.flags(), assign)
    }

    /// Adds a source that gets one event, and another one each time it is rearmed. `assign`
    /// receives its number before the first event.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be watched.
    pub fn add_once(
        &self,
        source: Arc<dyn Source>,
        interest: Readiness,
        assign: impl FnOnce(SourceNumber),
    ) -> io::Result<()> {
        self.insert(source, interest.flags() | EventFlags::ONESHOT, assign)
    }

    /// Sets what a source of [`Reactor::add`] waits for from now on.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be watched.
    pub fn modify(
        &self,
        number: SourceNumber,
        source: &dyn Source,
        interest: Readiness,
    ) -> io::Result<()> {
        self.set_flags(number, source, interest.flags())
    }

    /// Lets a source of [`Reactor::add_once`] get one more event.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be watched.
    pub fn rearm(
        &self,
        number: SourceNumber,
        source: &dyn Source,
        interest: Readiness,
    ) -> io::Result<()> {
        self.set_flags(number, source, interest.flags() | EventFlags::ONESHOT)
    }

    /// Removes a source; an event that is being handled meanwhile is still handled.
    pub fn remove(&self, number: SourceNumber) {
        let removed = sync::lock(&self.shared.sources).remove(&number.0);
        if let Some(source) = removed {
            // Fails if the reactor could not watch the socket.
            let _ = epoll::delete(&self.shared.epoll, source.fd());
        }
    }

    /// Ends the thread and drops all sources.
    pub fn stop(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        // Fails only if the counter is at its maximum, and then the thread wakes anyway.
        let _ = rustix::io::write(&self.shared.waker, &1u64.to_ne_bytes());
        let thread = sync::lock(&self.thread).take();
        if let Some(thread) = thread {
            let _ = thread.join();
        }
        let sources = std::mem::take(&mut *sync::lock(&self.shared.sources));
        drop(sources);
    }

    fn insert(
        &self,
        source: Arc<dyn Source>,
        flags: EventFlags,
        assign: impl FnOnce(SourceNumber),
    ) -> io::Result<()> {
        let number = self.shared.last_number.fetch_add(1, Ordering::SeqCst) + 1;
        assign(SourceNumber(number));
        sync::lock(&self.shared.sources).insert(number, Arc::clone(&source));
        let data = EventData::new_u64(number);
        let added = epoll::add(&self.shared.epoll, source.fd(), data, flags);
        if added.is_err() {
            sync::lock(&self.shared.sources).remove(&number);
        }
        Ok(added?)
    }

    fn set_flags(
        &self,
        number: SourceNumber,
        source: &dyn Source,
        flags: EventFlags,
    ) -> io::Result<()> {
        let data = EventData::new_u64(number.0);
        Ok(epoll::modify(&self.shared.epoll, source.fd(), data, flags)?)
    }
}

impl Drop for Reactor {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Handles events until the reactor stops.
fn run(shared: &Shared) {
    let mut events = Vec::with_capacity(EVENTS_MAX);
    let mut sweep_at = Instant::now() + SWEEP_INTERVAL;
    while !shared.stopping.load(Ordering::SeqCst) {
        let asleep_at = Instant::now();
        let sweep_due = sweep_at;
        let timeout = Timespec::try_from(sweep_at.saturating_duration_since(asleep_at));
        let timeout = timeout.ok();
        let waited = epoll::wait(&shared.epoll, spare_capacity(&mut events), timeout.as_ref());
        match waited {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => {
                tracing::error!(event = "wait-failed", error = %io::Error::from(e));
                thread::sleep(FAILURE_PAUSE);
            }
        }
        let awake_at = Instant::now();
        for event in events.drain(..) {
            let source = sync::lock(&shared.sources).get(&event.data.u64()).cloned();
            if let Some(source) = source {
                source.handle(Readiness::from_flags(event.flags));
            }
        }
        let now = Instant::now();
        if now >= sweep_at {
            sweep_at = now + SWEEP_INTERVAL;
            let sources: Vec<_> = sync::lock(&shared.sources).values().cloned().collect();
            for source in sources {
                source.sweep(now);
            }
        }
        log_delay(sweep_due.max(asleep_at), awake_at);
    }
}

/// Logs a round of the reactor that took long: `late` tells how long after `due` the thread got to
/// run, `handling` how long its handlers took. A late thread means that the process is short of
/// processor time or was paused.
fn log_delay(due: Instant, awake_at: Instant) {
    let late = awake_at.saturating_duration_since(due);
    let handling = awake_at.elapsed();
    if late.max(handling) < LATE_MIN {
        return;
    }
    tracing::info!(
        event = "reactor-late",
        late_ms = late.as_millis() as u64,
        handling_ms = handling.as_millis() as u64,
    );
}
