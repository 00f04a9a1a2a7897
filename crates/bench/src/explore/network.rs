//! The network between the daemons of a simulation.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::explore::node::Node;

/// The links between the daemons, and their faults.
pub struct Network {
    /// The links, as (sender, receiver), that drop all datagrams.
    pub cut_links: HashSet<(usize, usize)>,
    /// One in this number of datagrams is lost; none if zero.
    pub datagram_loss_one_in: u32,
    node_by_peer: BTreeMap<SocketAddr, usize>,
}

impl Network {
    /// Creates a network without faults between `nodes`.
    pub fn new(nodes: &[Node]) -> Self {
        let peers = nodes.iter().enumerate();
        Self {
            cut_links: HashSet::new(),
            datagram_loss_one_in: 0,
            node_by_peer: peers.map(|(n, node)| (node.peer, n)).collect(),
        }
    }

    /// Returns the number of the host at `peer`.
    pub fn node_at(&self, peer: SocketAddr) -> Option<usize> {
        self.node_by_peer.get(&peer).copied()
    }

    /// Returns whether the link `from` one host `to` another drops all datagrams.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut_links.contains(&(from, to))
    }

    /// Chooses whether the next datagram is lost.
    pub fn loses_datagram(&self, rng: &mut ChaCha8Rng) -> bool {
        self.datagram_loss_one_in > 0 && rng.random_ratio(1, self.datagram_loss_one_in)
    }
}
