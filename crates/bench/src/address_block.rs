//! Blocks of loopback addresses for environments, so that several can run at the same time, also in
//! different processes.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

use rustix::io::FdFlags;

use crate::args::BenchError;

/// The second octet of the first block.
const FIRST_OCTET: u8 = 2;
/// The number of blocks.
const BLOCKS: u32 = 250;
/// The subnet of the address that a claim binds; environments use lower ones.
const CLAIM_SUBNET: u8 = 255;
/// The port that a claim binds. Like all fixed ports of environments it is below the range from which
/// outgoing connections get theirs, `/proc/sys/net/ipv4/ip_local_port_range`.
const CLAIM_PORT: u16 = 7399;

/// The number of blocks that this process has claimed or tried to claim.
static TRIED_BLOCKS: AtomicU32 = AtomicU32::new(0);

/// A block 127.N.0.0/16 of loopback addresses that is claimed exclusively: its claim address is bound
/// as long as the block or a process that was started meanwhile exists.
///
/// Child processes inherit the socket. The processes that a killed environment leaves running may
/// still listen on addresses of the block.
#[derive(Debug)]
pub struct AddressBlock {
    octet: u8,
    _claim: UdpSocket,
}

impl AddressBlock {
    /// Claims a block that no process has claimed.
    ///
    /// The search begins behind the block that this process claimed last, so that datagrams still on
    /// their way in an environment that has ended do not arrive in the next one.
    ///
    /// # Errors
    ///
    /// Returns an error if all blocks are claimed or a claim address can't be bound.
    pub fn claim() -> Result<Self, BenchError> {
        for _ in 0..BLOCKS {
            let number = TRIED_BLOCKS.fetch_add(1, Ordering::SeqCst);
            match Self::claim_numbered(std::process::id() + number) {
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
                claim => return claim.map_err(BenchError::with_context("can't claim addresses")),
            }
        }
        let message = format!("all {BLOCKS} blocks of loopback addresses are claimed");
        Err(BenchError(message))
    }

    fn claim_numbered(number: u32) -> io::Result<Self> {
        let octet = FIRST_OCTET + u8::try_from(number % BLOCKS).unwrap_or(0);
        let claim = UdpSocket::bind(address(octet, CLAIM_SUBNET, 1, CLAIM_PORT))?;
        rustix::io::fcntl_setfd(&claim, FdFlags::empty())?;
        Ok(Self {
            octet,
            _claim: claim,
        })
    }

    /// Returns the address 127.N.`subnet`.`host` with `port`.
    pub fn address(&self, subnet: u8, host: u8, port: u16) -> SocketAddr {
        address(self.octet, subnet, host, port)
    }
}

fn address(octet: u8, subnet: u8, host: u8, port: u16) -> SocketAddr {
    SocketAddr::from(([127, octet, subnet, host], port))
}
