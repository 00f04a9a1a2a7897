//! Groups of connections that certainly lead to the same process.

use std::net::TcpStream;
use std::sync::{Arc, Mutex, Weak};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::net::{RecvFlags, recv};

use crate::process::sync;

/// The number of a group of connections to one address that lead to the same process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionGroup(pub u64);

#[derive(Debug, Default)]
struct State {
    newest: ConnectionGroup,
    /// The connections of the newest group.
    members: Vec<Weak<TcpStream>>,
}

/// Assigns the connections to one address to groups.
///
/// The end of a process closes its connections. So a new connection leads to the same process as
/// an earlier one if that is still open.
#[derive(Debug, Default)]
pub struct ConnectionGroups(Mutex<State>);

impl ConnectionGroups {
    /// Adds a connection that has just been established; returns its group.
    pub fn add(&self, stream: &Arc<TcpStream>) -> ConnectionGroup {
        let mut state = sync::lock(&self.0);
        state.members.retain(|m| m.strong_count() > 0);
        let mut earlier = state.members.iter().filter_map(Weak::upgrade);
        if !earlier.any(|stream| is_open(&stream)) {
            state.newest.0 += 1;
            state.members.clear();
        }
        state.members.push(Arc::downgrade(stream));
        state.newest
    }
}

/// Returns whether the peer has not closed the connection. A close may stand behind what it has sent.
fn is_open(stream: &TcpStream) -> bool {
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    match recv(stream, &mut [0u8; 1], flags) {
        Err(rustix::io::Errno::AGAIN) => true,
        Ok((1.., _)) => !has_hung_up(stream),
        _ => false,
    }
}

fn has_hung_up(stream: &TcpStream) -> bool {
    let hang_ups = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut fds = [PollFd::new(stream, hang_ups)];
    let polled = poll(&mut fds, Some(&Timespec::default()));
    polled.is_err() || fds[0].revents().intersects(hang_ups)
}
