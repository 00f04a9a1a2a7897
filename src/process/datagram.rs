//! The UDP datagrams that daemons exchange.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::process::join_request::JoinRequest;
use crate::process::load_report::LoadReport;
use crate::process::moment::Moment;
use crate::process::quota_message::{TeamGrant, TeamTokens};
use crate::process::session_facts::SessionFacts;
use crate::request::fingerprint::Fingerprint;
use crate::request::quarantine::CrashSuspect;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::session_id::SessionId;

/// The size limit of a datagram, in bytes; a larger one is not sent.
pub const DATAGRAM_BYTES_MAX: usize = 60_000;

/// An error in encoding or decoding a datagram.
#[derive(Debug, Error)]
#[error("malformed datagram: {0}")]
pub struct DatagramError(#[from] postcard::Error);

/// A message of one daemon to another, with the versions that the sender has adopted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The hash of the environment and cell; daemons of other cells discard the datagram.
    pub cell_hash: u64,
    /// The process of the sender.
    pub from: InstanceId,
    /// The address on which the sender receives datagrams and peer connections.
    pub peer: SocketAddr,
    /// The epoch of the table that the sender has adopted.
    pub epoch: Epoch,
    /// The version of the document that the sender has adopted.
    pub document_version: DocumentVersion,
    /// The content.
    pub message: Message,
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A lease holder asks a witness to renew its lease.
    Renew {
        /// The session to renew.
        session: SessionId,
        /// When the lease holder sent this, by its own clock.
        sent: Moment,
        /// The epoch that the lease holder wants to use.
        epoch: Epoch,
    },
    /// A witness grants a lease.
    Grant {
        /// The renewed session.
        session: SessionId,
        /// The `sent` time of the renewal that this replies to.
        sent: Moment,
        /// The highest epoch granted.
        epoch: Epoch,
        /// How long before this was sent the witness's document version is known to have been the
        /// newest; `None` if nothing depends on that.
        routing_age: Option<Duration>,
    },
    /// Facts about sessions.
    Facts(SessionFacts),
    /// A daemon waits for the receiver to release slices and asks which epoch it has adopted.
    QueryAdopted,
    /// A daemon asks to be a member, or to update its member info.
    Join(Box<JoinRequest>),
    /// A daemon reports the load of its upstream and slices to the planner.
    Load(Box<LoadReport>),
    /// Requests that were in flight when an upstream crashed.
    Suspects(Vec<CrashSuspect>),
    /// A suspected request that an upstream completed without a crash.
    Cleared(Fingerprint),
    /// A daemon asks the quota owner of some teams for tokens.
    QuotaAsk {
        /// When the daemon sent this, by its own clock.
        sent: Moment,
        /// The numbers of tokens that it asks for.
        teams: Vec<TeamTokens>,
    },
    /// A quota owner issues tokens.
    QuotaGrant {
        /// The `sent` time of the ask that this replies to.
        sent: Moment,
        /// The tokens of each team that the sender is the quota owner of.
        teams: Vec<TeamGrant>,
    },
    /// A former quota owner issues no more tokens of some teams; the receiver is the next owner.
    /// Contains the tokens that the former owner had left.
    QuotaHandover(Vec<TeamTokens>),
}

impl Message {
    /// Returns the kind of the message, for counts.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Renew { .. } => "renew",
            Message::Grant { .. } => "grant",
            Message::Facts(facts) if facts.is_empty() => "versions",
            Message::Facts(_) => "facts",
            Message::QueryAdopted => "query-adopted",
            Message::Join(_) => "join",
            Message::Load(_) => "load",
            Message::Suspects(_) => "suspects",
            Message::Cleared(_) => "cleared",
            Message::QuotaAsk { .. } => "quota-ask",
            Message::QuotaGrant { .. } => "quota-grant",
            Message::QuotaHandover(_) => "quota-handover",
        }
    }
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the codec fails.
    pub fn encode(&self) -> Result<Vec<u8>, DatagramError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is not a complete datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, DatagramError> {
        Ok(postcard::from_bytes(bytes)?)
    }
}
