//! Divides the descriptors of the process.

use rustix::process::{Resource, getrlimit};

use crate::connection::http_listener;
use crate::connection::peer_server;

/// Descriptors that are kept for files.
const FILES: usize = 200;
/// Descriptors for the connections to the readiness and report addresses, to other daemons, the
/// upstream and the store.
const OTHERS: usize = 900;
/// Smallest number of links that daemons may establish, however few the descriptors.
const LINKS_MIN: usize = 64;

/// Returns how many links other daemons may establish at a time, from the process's descriptor limit.
pub fn links_max() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    links_within(limit.map_or(usize::MAX, |l| usize::try_from(l).unwrap_or(usize::MAX)))
}

/// Returns how many links other daemons may establish at a time if the process may have `descriptors`.
pub fn links_within(descriptors: usize) -> usize {
    let others = FILES + OTHERS + http_listener::CONNECTIONS_MAX;
    let left = descriptors.saturating_sub(others);
    left.clamp(LINKS_MIN, peer_server::LINKS_MAX)
}
