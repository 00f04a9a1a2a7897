//! Releases keys at the upstream, and sends their handovers to the next owner. Keeps no state: which
//! releases are in progress is recorded by the caller.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;

use crate::connection::peer_message::{KeyHandover, PeerReply, PeerRequest};
use crate::connection::peer_pool::PeerPool;
use crate::connection::protocol::{KeyRange, UpstreamProtocol};
use crate::connection::recipient::Recipient;
use crate::connection::upstream_request_failure::{self, UpstreamRequestFailure};
use crate::process::clock::Clock;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::key_grants::KeyGrant;
use crate::process::host::local_upstream::UpstreamLoss;
use crate::process::host::owned_range;
use crate::process::moment::Moment;
use crate::request::shard_key::ShardKey;

/// Timeout of a release call: the upstream finishes the requests for its keys first.
pub const RELEASE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Timeout of the call that sends handovers to the next owner.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(600);
/// The lowest fencing token: an upstream that counts the tokens of releases refuses no grant because
/// of it.
const FENCING_TOKEN_MIN: u64 = 0;
/// HTTP status of an upstream whose service is not sharded by key.
const STATUS_NOT_SHARDED: u16 = 400;
/// All keys.
pub const ALL_KEYS: KeyRange = KeyRange {
    first: ShardKey(0),
    last: ShardKey(u16::MAX),
};

/// The upstream did not answer that it has released keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the upstream did not answer that it has released the keys")]
pub struct NotReleased;

/// Releases keys at the local upstream.
pub struct KeyReleaser {
    clock: Arc<dyn Clock>,
    dispatcher: Arc<HostDispatcher>,
    peers: Arc<PeerPool>,
    protocol: Arc<dyn UpstreamProtocol>,
}

impl KeyReleaser {
    /// Creates a releaser that sends handovers by `peers`.
    pub fn new(
        clock: Arc<dyn Clock>,
        dispatcher: Arc<HostDispatcher>,
        peers: Arc<PeerPool>,
        protocol: Arc<dyn UpstreamProtocol>,
    ) -> Self {
        Self {
            clock,
            dispatcher,
            peers,
            protocol,
        }
    }

    /// Releases a range at the upstream; returns until when the upstream may use it, and the
    /// upstream's handover.
    pub fn release_range(&self, grant: &KeyGrant) -> (Moment, Option<String>) {
        let keys = grant.range.keys();
        let fencing_token = owned_range::pack_fencing_token(grant.range.token);
        let request = self.protocol.release_request(keys, fencing_token);
        let started = self.clock.now();
        let result = self
            .dispatcher
            .pool()
            .control()
            .send(request, RELEASE_TIMEOUT);
        let now = self.clock.now();
        match result {
            Ok((head, metadata)) if head.status < 300 => {
                let ms = now.since(started).as_millis();
                tracing::info!(
                    event = "keys-released",
                    first = keys.first.0,
                    last = keys.last.0,
                    fence = fencing_token,
                    ms
                );
                // An unanswered grant may still take effect after the release.
                (grant.unanswered_until, metadata.handover)
            }
            Err(UpstreamRequestFailure::Refused) => {
                self.dispatcher
                    .handle_upstream_loss(UpstreamLoss::Refused { at: started });
                (now, None)
            }
            other => {
                let reason =
                    upstream_request_failure::failure_reason(other.map(|(head, _)| head.status));
                tracing::warn!(
                    event = "release-failed",
                    first = keys.first.0,
                    last = keys.last.0,
                    fence = fencing_token,
                    reason
                );
                (grant.possible_until, None)
            }
        }
    }

    /// Releases all keys, whoever granted them, with a token below all later grants; returns the
    /// upstream's handover. `sessions` is how many former sessions have not ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the upstream did not answer that it has released them.
    pub fn release_all_keys(&self, sessions: usize) -> Result<Option<String>, NotReleased> {
        let request = self.protocol.release_request(ALL_KEYS, FENCING_TOKEN_MIN);
        let result = self
            .dispatcher
            .pool()
            .control()
            .send(request, RELEASE_TIMEOUT);
        let reason = match result {
            Ok((head, metadata)) if head.status < 300 => {
                let warm = metadata.handover.is_some();
                tracing::info!(event = "former-released", sessions, warm);
                return Ok(metadata.handover);
            }
            Ok((head, _)) if head.status == STATUS_NOT_SHARDED => {
                "the service of the upstream is not sharded"
            }
            Err(UpstreamRequestFailure::Refused) => "the upstream is gone",
            other => {
                let reason =
                    upstream_request_failure::failure_reason(other.map(|(head, _)| head.status));
                tracing::warn!(event = "former-not-released", sessions, reason);
                return Err(NotReleased);
            }
        };
        tracing::info!(event = "former-released", sessions, reason);
        Ok(None)
    }

    /// Sends the handovers of keys to the daemon at `peer`.
    pub fn hand_over(&self, peer: SocketAddr, handovers: Vec<KeyHandover>) {
        let ranges = handovers.len();
        let request = PeerRequest::TransferKeys(handovers);
        let result = self
            .peers
            .call(peer, &request, HANDOVER_TIMEOUT, &Recipient::none(), || {
                false
            });
        match result {
            Ok(called) if called.reply == PeerReply::Accepted => {
                tracing::info!(event = "keys-handed-over", %peer, ranges);
            }
            Ok(called) => {
                let error = called.reply.kind();
                tracing::warn!(event = "handover-failed", %peer, ranges, error);
            }
            Err(e) => tracing::warn!(event = "handover-failed", %peer, ranges, error = %e),
        }
    }
}
