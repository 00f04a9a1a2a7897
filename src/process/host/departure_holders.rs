//! Chooses the daemons that hold copies of the departures on a host. Performs no I/O.
//!
//! A process and the next one on its host choose from tables that may differ a little, so the choice
//! depends on addresses only, and the next process asks more daemons than hold copies.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::version::domain_name::DomainName;
use crate::version::key_hash::KeyHash;
use crate::version::member::WEIGHT_FULL;
use crate::version::rendezvous;
use crate::version::table::Table;

/// The number of daemons that copies are sent to.
pub const HOLDERS: usize = 3;
/// The number of daemons that must hold copies, if there are as many: they may be lost as well.
pub const HOLDERS_MIN: usize = 2;
/// The number of daemons that the next process asks.
pub const ASKED: usize = 5;

/// Returns the first `count` holders of the departures on the host whose daemon is at `host`, in order.
/// Daemons of different failure domains come first.
pub fn choose(table: &Table, host: SocketAddr, count: usize) -> Vec<SocketAddr> {
    let members = table.members.values().map(|m| &m.info);
    let mut candidates: Vec<(&DomainName, SocketAddr)> = members
        .filter(|info| info.peer != host)
        .map(|info| (&info.domain, info.peer))
        .collect();
    let score = |peer: SocketAddr| rendezvous::score(node(host), node(peer), WEIGHT_FULL);
    candidates.sort_by(|(_, a), (_, b)| score(*b).total_cmp(&score(*a)));
    // Sessions of former processes have the address of their successor.
    let mut seen = BTreeSet::new();
    candidates.retain(|(_, peer)| seen.insert(*peer));
    let mut in_domain: BTreeMap<&DomainName, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, SocketAddr)> = Vec::new();
    for (domain, peer) in candidates {
        let rank = in_domain.entry(domain).or_default();
        ranked.push((*rank, peer));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, p)| p).take(count).collect()
}

/// Returns the hash of a daemon's address, which outlasts its process.
fn node(peer: SocketAddr) -> u64 {
    KeyHash::of(peer.to_string().as_bytes()).0
}
