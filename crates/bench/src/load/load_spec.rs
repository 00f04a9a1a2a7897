//! Configuration of a load.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Configuration of the callers.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// The name of the service that is called.
    pub service: &'static str,
    /// The daemons' addresses for callers.
    pub entries: Vec<SocketAddr>,
    /// The number of callers, each a thread.
    pub callers: usize,
    /// The number of keys of each caller. With one key, the caller measures its unavailable time.
    pub keys: usize,
    /// The share of requests that change state, in percent.
    pub mutation_percent: u32,
    /// The pause of a caller between two tasks.
    pub pause: Duration,
    /// The timeout that a request states, at least 1 s for one that changes state.
    pub timeout: Duration,
    /// Whether a caller retries after a response that says that the request did not run or may have
    /// run. Without a response it always retries.
    pub retry_until_run: bool,
    /// Whether the requests have a key header.
    pub sends_key: bool,
    /// Keys to which half of the requests go, if given; they may be changed while callers run.
    pub hot_keys: Option<Arc<Mutex<Vec<String>>>>,
    /// The seed of the callers' random choices.
    pub seed: u64,
}
