//! The caller or daemon that waits for a result, and what its disconnect cancels.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use rustix::event::{PollFd, PollFlags, Timespec, poll};

use crate::connection::waiters::Waiters;
use crate::process::sync;

/// Called when a recipient disconnects.
type Waker = Box<dyn Fn() + Send>;

#[derive(Default)]
struct State {
    disconnected: bool,
    /// Whether work for the recipient must not begin any more.
    withdrawn: bool,
    /// Those that wait for the same work, while this recipient is one of them.
    waiters: Option<Arc<Waiters>>,
    /// The registered wakers, by number.
    wakers: Vec<(u64, Waker)>,
    last_waker: u64,
}

/// The caller or daemon that waits for a result; when it disconnects, the work for it is cancelled.
#[derive(Clone, Default)]
pub struct Recipient {
    /// `None` for a recipient that never disconnects.
    state: Option<Arc<Mutex<State>>>,
    /// The connection whose close by the peer is the disconnect, if there is one.
    stream: Option<Arc<TcpStream>>,
}

impl Recipient {
    /// Returns a recipient that never disconnects.
    pub fn none() -> Self {
        Self::default()
    }

    /// Creates a recipient that is connected.
    pub fn connected() -> Self {
        Self {
            state: Some(Arc::default()),
            stream: None,
        }
    }

    /// Creates a recipient that waits for the result on `stream`.
    pub fn on_connection(stream: &Arc<TcpStream>) -> Self {
        Self {
            state: Some(Arc::default()),
            stream: Some(Arc::clone(stream)),
        }
    }

    /// Lets the recipient wait for the work of `waiters`.
    pub fn join(&self, waiters: &Arc<Waiters>) {
        waiters.add();
        let Some(state) = &self.state else {
            return;
        };
        let mut state = sync::lock(state);
        if state.disconnected {
            drop(state);
            waiters.remove();
            return;
        }
        if state.withdrawn {
            waiters.withdraw();
        }
        state.waiters = Some(Arc::clone(waiters));
    }

    /// Ends the wait for the work that the recipient has joined.
    pub fn leave(&self) {
        if let Some(waiters) = self.take_waiters() {
            waiters.remove();
        }
    }

    /// Returns whether the recipient has disconnected.
    ///
    /// The connection itself is asked too: in a process that is short of processor time, its close
    /// may not have been handled yet.
    pub fn has_disconnected(&self) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|s| sync::lock(s).disconnected)
            || self.stream.as_ref().is_some_and(|s| is_hung_up(s))
    }

    /// Records that work for the recipient must not begin any more; work that has begun goes on.
    pub fn withdraw(&self) {
        let Some(state) = &self.state else {
            return;
        };
        let mut state = sync::lock(state);
        state.withdrawn = true;
        if let Some(waiters) = &state.waiters {
            waiters.withdraw();
        }
    }

    /// Returns whether work for the recipient must not begin any more.
    pub fn is_withdrawn(&self) -> bool {
        let state = self.state.as_ref();
        state.is_some_and(|s| sync::lock(s).withdrawn)
    }

    /// Records that the recipient no longer wants the result, and cancels the work for it.
    pub fn disconnect(&self) {
        self.wake_all();
        if let Some(waiters) = self.take_waiters() {
            waiters.cancel();
        }
    }

    /// Records that the recipient's connection broke, and cancels the work for it unless others wait
    /// for the same work: the recipient may have asked for it again on another connection.
    pub fn cut_off(&self) {
        self.wake_all();
        self.leave();
    }

    /// Sets the recipient to disconnected and calls its wakers.
    fn wake_all(&self) {
        let Some(state) = &self.state else {
            return;
        };
        let mut state = sync::lock(state);
        state.disconnected = true;
        for (_, waker) in &state.wakers {
            waker();
        }
    }

    fn take_waiters(&self) -> Option<Arc<Waiters>> {
        let state = self.state.as_ref()?;
        sync::lock(state).waiters.take()
    }

    /// Calls `waker` when the recipient disconnects, or at once if it has, until the returned value
    /// is dropped. The waker must not block, and must take no lock under which any thread calls the
    /// recipient.
    pub fn on_disconnect(&self, waker: impl Fn() + Send + 'static) -> DisconnectWatch {
        let Some(state) = &self.state else {
            return DisconnectWatch { registered: None };
        };
        let mut locked = sync::lock(state);
        if locked.disconnected {
            waker();
        }
        locked.last_waker += 1;
        let number = locked.last_waker;
        locked.wakers.push((number, Box::new(waker)));
        DisconnectWatch {
            registered: Some((Arc::clone(state), number)),
        }
    }
}

/// Returns whether the peer of `stream` has closed it, or the connection failed.
fn is_hung_up(stream: &TcpStream) -> bool {
    let hung_up = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    let polled = poll(&mut fds, Some(&Timespec::default()));
    polled.is_ok() && fds[0].revents().intersects(hung_up)
}

/// A registered waker of a [`Recipient`]; dropping it removes the waker.
#[must_use = "the waker is removed when this is dropped"]
pub struct DisconnectWatch {
    registered: Option<(Arc<Mutex<State>>, u64)>,
}

impl Drop for DisconnectWatch {
    fn drop(&mut self) {
        if let Some((state, number)) = &self.registered {
            sync::lock(state).wakers.retain(|(n, _)| n != number);
        }
    }
}
