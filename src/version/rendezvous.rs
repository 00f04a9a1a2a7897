//! Weighted rendezvous hashing.

use xxhash_rust::xxh3;

use crate::version::member::WEIGHT_FULL;

/// Returns the score of a node for an item; the item is placed on the node with the highest score.
///
/// A node with twice the weight gets twice as many items, and a change of one node's weight moves
/// only items to or from that node.
pub fn score(item: u64, node: u64, weight: u32) -> f64 {
    if weight == 0 {
        return f64::NEG_INFINITY;
    }
    let mut input = [0; 16];
    input[..8].copy_from_slice(&item.to_le_bytes());
    input[8..].copy_from_slice(&node.to_le_bytes());
    let hash = xxh3::xxh3_64(&input);
    let mantissa = (hash >> 11) as f64 + 0.5;
    let uniform = mantissa / (1u64 << 53) as f64;
    -(f64::from(weight) / f64::from(WEIGHT_FULL)) / uniform.ln()
}
