//! Blocks of loopback addresses for environments, so that several can run at the same time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};

/// The second octet of the first block.
const FIRST_OCTET: u8 = 2;
/// The number of blocks.
const BLOCKS: u32 = 250;

/// The number of blocks that this process has chosen.
static CHOSEN_BLOCKS: AtomicU32 = AtomicU32::new(0);

/// A block 127.N.0.0/16 of loopback addresses.
#[derive(Debug)]
pub struct AddressBlock {
    octet: u8,
}

impl AddressBlock {
    /// Chooses the block of an environment.
    pub fn choose() -> Self {
        let number = CHOSEN_BLOCKS.fetch_add(1, Ordering::SeqCst);
        let index = (std::process::id() + number * 97) % BLOCKS;
        Self {
            octet: FIRST_OCTET + u8::try_from(index).unwrap_or(0),
        }
    }

    /// Returns the address 127.N.`subnet`.`host` with `port`.
    pub fn address(&self, subnet: u8, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.octet, subnet, host], port))
    }
}
