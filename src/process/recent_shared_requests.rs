//! Recent requests of shared services, remembered so that a resent request does not run again.

use std::collections::HashMap;
use std::time::Duration;

use crate::connection::peer_message::PeerReply;
use crate::process::moment::Moment;
use crate::request::request_id::RequestId;

/// How long a finished request that is not idempotent is remembered after its deadline.
const RETENTION: Duration = Duration::from_secs(5);
/// How long an idempotent request is remembered after its end, for resent copies that wait for its
/// reply.
const IDEMPOTENT_RETENTION: Duration = Duration::from_millis(500);
/// The interval at which expired requests are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A request, with its reply once it has finished.
#[derive(Debug)]
struct RecentRequest {
    until: Moment,
    reply: Option<PeerReply>,
}

/// The requests of shared services that are running or finished recently.
#[derive(Debug, Default)]
pub struct RecentSharedRequests {
    requests: HashMap<RequestId, RecentRequest>,
    last_sweep: Moment,
}

impl RecentSharedRequests {
    /// Records the start of a request; returns `false` if one with the same id is running or still
    /// remembered.
    pub fn begin(&mut self, now: Moment, id: RequestId, deadline: Moment) -> bool {
        if now.since(self.last_sweep) > SWEEP_INTERVAL {
            self.last_sweep = now;
            self.requests
                .retain(|_, r| r.until > now || r.reply.is_none());
        }
        let known = self.requests.get(&id);
        if known.is_some_and(|r| r.until > now || r.reply.is_none()) {
            return false;
        }
        self.requests.insert(
            id,
            RecentRequest {
                until: deadline + RETENTION,
                reply: None,
            },
        );
        true
    }

    /// Records the reply to a request; that of an idempotent one is remembered only briefly.
    pub fn finish(&mut self, now: Moment, id: RequestId, reply: &PeerReply, idempotent: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.reply = Some(reply.clone());
        if idempotent {
            request.until = now + IDEMPOTENT_RETENTION;
        }
    }

    /// Returns whether a request is running.
    pub fn is_running(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| r.reply.is_none())
    }

    /// Returns the reply to a request, if it has finished and is still remembered.
    pub fn reply(&self, id: RequestId) -> Option<PeerReply> {
        self.requests.get(&id)?.reply.clone()
    }
}
