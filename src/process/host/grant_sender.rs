//! Sends grants to the upstream. Keeps no state: what was granted is recorded by the caller.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::connection::control_pool::{PendingControlRequest, ReadyConnection};
use crate::connection::protocol::{Grant, UpstreamProtocol};
use crate::connection::upstream_request_failure::UpstreamRequestFailure;
use crate::process::clock::Clock;
use crate::process::host::grant_attempt::{CLOCK_DRIFT, GrantAttempt, SentGrant};
use crate::process::host::grant_target::GrantTarget;
use crate::process::host::host_dispatcher::HostDispatcher;
use crate::process::host::owned_range::{self, OwnedRange};
use crate::process::moment::Moment;

/// How much earlier than the lease a grant ends, to cover the time that its bytes take to arrive on an
/// established connection of this host.
const GRANT_MARGIN: Duration = Duration::from_millis(20);
/// Shortest grant that is worth a call.
const GRANT_DURATION_MIN: Duration = Duration::from_millis(150);
/// How long to wait until the upstream serves the connections for grants.
const READY_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a grant call.
///
/// An upstream whose slots are all busy answers once one is free.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// A grant whose call is in progress.
struct BegunGrant {
    range: OwnedRange,
    began_at: Moment,
    written_at: Moment,
    sent: Option<SentGrant>,
    pending: Result<PendingControlRequest, UpstreamRequestFailure>,
}

/// Sends grants to the local upstream.
pub struct GrantSender {
    clock: Arc<dyn Clock>,
    dispatcher: Arc<HostDispatcher>,
    protocol: Arc<dyn UpstreamProtocol>,
    grant_max: Duration,
}

impl GrantSender {
    /// Creates a sender; no grant is longer than `grant_max`.
    pub fn new(
        clock: Arc<dyn Clock>,
        dispatcher: Arc<HostDispatcher>,
        protocol: Arc<dyn UpstreamProtocol>,
        grant_max: Duration,
    ) -> Self {
        Self {
            clock,
            dispatcher,
            protocol,
            grant_max,
        }
    }

    /// Sends grants, and then waits for the responses to all of them; none if their duration would be
    /// too short.
    pub fn send_grants(
        &self,
        target: &mut GrantTarget,
        due: &[(OwnedRange, Option<String>)],
        live_until: Moment,
    ) -> Vec<GrantAttempt> {
        let began_at = self.clock.now();
        if self.grant_duration(began_at, live_until).is_none() {
            return Vec::new();
        }
        let pool = self.dispatcher.pool().control();
        let connections = pool.ready_connections(due.len(), Instant::now() + READY_TIMEOUT);
        let deadline = Instant::now() + GRANT_TIMEOUT;
        let begun: Vec<BegunGrant> = due
            .iter()
            .zip(connections)
            .map(|(due, connection)| {
                let mut sent = None;
                let pending = connection.and_then(|connection| {
                    self.write_grant(connection, target, due, live_until, deadline, &mut sent)
                });
                BegunGrant {
                    range: due.0,
                    began_at,
                    written_at: self.clock.now(),
                    sent,
                    pending,
                }
            })
            .collect();
        begun
            .into_iter()
            .map(|b| self.finish_grant(b, deadline))
            .inspect(|attempt| attempt.log_if_outlasts(live_until))
            .collect()
    }

    /// Writes a grant, unless its duration would be too short. The duration is determined once the
    /// upstream serves the connection, as it counts from the arrival there; if the process stands still
    /// before the grant is written, it is withdrawn. Sets `sent` unless nothing was written.
    fn write_grant(
        &self,
        connection: ReadyConnection,
        target: &mut GrantTarget,
        (range, handover): &(OwnedRange, Option<String>),
        live_until: Moment,
        deadline: Instant,
        sent: &mut Option<SentGrant>,
    ) -> Result<PendingControlRequest, UpstreamRequestFailure> {
        let sent_at = self.clock.now();
        let build = |group| {
            let grant = Grant {
                instance: target.instance.clone(),
                keys: range.keys(),
                fencing_token: owned_range::pack_fencing_token(range.token),
                duration: self.grant_duration(sent_at, live_until)?,
                handover: handover.clone(),
            };
            if !target.admits(group) {
                return None;
            }
            let request = self.protocol.grant_request(&grant);
            *sent = Some(SentGrant { grant, sent_at });
            Some(request)
        };
        let is_current = || self.clock.now() <= sent_at + GRANT_MARGIN;
        let pool = self.dispatcher.pool().control();
        let pending = pool.begin(connection, build, is_current, deadline);
        if matches!(pending, Err(UpstreamRequestFailure::NotSent(_))) {
            *sent = None;
        }
        pending
    }

    /// Waits for the response to a grant.
    fn finish_grant(&self, begun: BegunGrant, deadline: Instant) -> GrantAttempt {
        let pool = self.dispatcher.pool().control();
        let response = begun
            .pending
            .and_then(|pending| pool.finish(pending, deadline));
        GrantAttempt {
            range: begun.range,
            began_at: begun.began_at,
            written_at: begun.written_at,
            ended_at: self.clock.now(),
            sent: begun.sent,
            result: response.map(|(head, _)| head.status),
        }
    }

    /// Returns how long a grant sent at `sent_at` may last, or `None` if that is too short.
    fn grant_duration(&self, sent_at: Moment, live_until: Moment) -> Option<Duration> {
        let max_duration = live_until
            .since(sent_at + GRANT_MARGIN)
            .mul_f64(1.0 / (1.0 + CLOCK_DRIFT));
        let duration = max_duration.min(self.grant_max);
        (duration >= GRANT_DURATION_MIN).then_some(duration)
    }
}
