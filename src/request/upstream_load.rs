//! The load at an upstream, as the outcomes of orders carry it.

use serde::{Deserialize, Serialize};

/// The load at an upstream, as answers carry it to the daemons that choose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// The orders at the upstream.
    pub in_flight: u32,
    /// The orders that wait in the daemon beside it.
    pub waiting: u32,
    /// The orders that it works on at once.
    pub slots: u32,
    /// The mean time of an order, in microseconds.
    pub mean_micros: u32,
    /// How long the order that this note goes with waited for its turn, in milliseconds.
    pub waited_ms: u32,
    /// How long it took at the upstream, in milliseconds.
    pub ran_ms: u32,
}
