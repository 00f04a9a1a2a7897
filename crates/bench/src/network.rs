//! The simulated network between daemons: its delays and its current faults.

use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use foxtaildrift::process::sync;

/// The current faults of the network between the daemons.
#[derive(Default)]
pub struct Network {
    delays: Mutex<HashMap<(IpAddr, IpAddr), Duration>>,
    blocked: Mutex<HashSet<(IpAddr, IpAddr)>>,
    drop_datagram_one_in: AtomicU64,
    truncate_chunk_one_in: AtomicU64,
    /// Connections with a lower number are stalled.
    stalled_before: AtomicU64,
    /// The number of connections accepted so far; a connection is identified by the count before
    /// it.
    connections: AtomicU64,
    /// The number of datagrams received so far.
    datagrams: AtomicU64,
    closed: AtomicBool,
}

impl Network {
    /// Sets the one-way delay from `from` to `to`.
    pub fn set_delay(&self, from: IpAddr, to: IpAddr, delay: Duration) {
        sync::lock(&self.delays).insert((from, to), delay);
    }

    /// Blocks the link from `from` to `to` in this direction, without an error at either end.
    pub fn block(&self, from: IpAddr, to: IpAddr) {
        sync::lock(&self.blocked).insert((from, to));
    }

    /// Blocks the links between `host` and `others` in both directions.
    pub fn isolate(&self, host: IpAddr, others: &[IpAddr]) {
        for &other in others.iter().filter(|&&o| o != host) {
            self.block(host, other);
            self.block(other, host);
        }
    }

    /// Unblocks all links.
    pub fn heal(&self) {
        sync::lock(&self.blocked).clear();
    }

    /// Drops one in `one_in` datagrams; with zero none.
    pub fn drop_datagrams(&self, one_in: u64) {
        self.drop_datagram_one_in.store(one_in, Ordering::SeqCst);
    }

    /// Stalls all connections that are open now for good; new ones work.
    pub fn stall_open_connections(&self) {
        self.stalled_before
            .store(self.connections.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Forwards only half of one in `one_in` chunks and closes the connection; with zero none.
    pub fn truncate_chunks(&self, one_in: u64) {
        self.truncate_chunk_one_in.store(one_in, Ordering::SeqCst);
    }

    /// Signals all threads of the proxy to end.
    pub fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns the one-way delay from `from` to `to`.
    pub(crate) fn delay(&self, from: IpAddr, to: IpAddr) -> Duration {
        sync::lock(&self.delays)
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    /// Returns whether the link from `from` to `to` is blocked in this direction.
    pub(crate) fn is_blocked(&self, from: IpAddr, to: IpAddr) -> bool {
        sync::lock(&self.blocked).contains(&(from, to))
    }

    /// Returns the number of a new connection.
    pub(crate) fn next_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::SeqCst)
    }

    /// Returns whether a connection is stalled.
    pub(crate) fn is_stalled(&self, connection: u64) -> bool {
        connection < self.stalled_before.load(Ordering::SeqCst)
    }

    /// Returns whether the threads of the proxy are to end.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Counts a datagram, and returns whether it is to be dropped.
    pub(crate) fn drops_datagram(&self) -> bool {
        let number = self.datagrams.fetch_add(1, Ordering::SeqCst);
        let one_in = self.drop_datagram_one_in.load(Ordering::SeqCst);
        one_in > 0 && number.is_multiple_of(one_in)
    }

    /// Returns whether the next chunk is to be truncated.
    pub(crate) fn truncates_chunk(&self) -> bool {
        let one_in = self.truncate_chunk_one_in.load(Ordering::SeqCst);
        one_in > 0 && rand::random::<u64>().is_multiple_of(one_in)
    }
}
