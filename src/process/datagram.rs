//! The datagrams that daemons exchange.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::process::load_report::LoadReport;
use crate::process::moment::Moment;
use crate::process::session_facts::SessionFacts;
use crate::request::fingerprint::Fingerprint;
use crate::request::quarantine::Suspicion;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::member::MemberInfo;
use crate::version::session_id::SessionId;

/// The largest datagram, in bytes; more facts than fit go in several.
pub const DATAGRAM_BYTES_MAX: usize = 60_000;

/// A datagram that could not be read.
#[derive(Debug, Error)]
#[error("malformed datagram: {0}")]
pub struct DatagramError(#[from] postcard::Error);

/// What one daemon tells another, with the newest versions that the sender holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The hash of the environment and cell, so that no message strays between two.
    pub cell: u64,
    /// The process that sends.
    pub from: InstanceId,
    /// Where the sender takes datagrams and connections.
    pub peer: SocketAddr,
    /// The epoch of the table that the sender works by.
    pub epoch: Epoch,
    /// The version of the document that the sender works by.
    pub document: DocumentVersion,
    /// What is said.
    pub message: Message,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A holder asks a witness for its lease.
    Renew {
        /// The session to be granted.
        session: SessionId,
        /// When the holder sent this, by its own clock.
        sent: Moment,
        /// The epoch that the holder wants to use.
        epoch: Epoch,
    },
    /// A witness grants a lease.
    Grant {
        /// The session granted.
        session: SessionId,
        /// The time from the renewal that this answers.
        sent: Moment,
        /// The highest epoch granted.
        epoch: Epoch,
    },
    /// Statements on sessions.
    Facts(SessionFacts),
    /// A daemon waits for the receiver to let go: the receiver says what it has adopted.
    Ask,
    /// A daemon wants to be a member with these particulars.
    Join(Box<MemberInfo>),
    /// A daemon tells the planner what its upstream and slices carry.
    Load(Box<LoadReport>),
    /// Requests that were in flight when an upstream crashed.
    Suspects(Vec<Suspicion>),
    /// A suspect that an upstream ran without a crash.
    Cleared(Fingerprint),
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error where the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error where `bytes` is no whole datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
