//! One attempt to grant a range of keys to the upstream.

use crate::connection::protocol::Grant;
use crate::connection::upstream_request_failure::UpstreamRequestFailure;
use crate::process::host::key_grants::KeyGrant;
use crate::process::host::owned_range::OwnedRange;
use crate::process::moment::Moment;
use crate::version::service_name::ServiceName;

/// Largest assumed drift of the upstream's clock while it measures the duration of a grant, as a
/// fraction.
pub const CLOCK_DRIFT: f64 = 0.02;

/// A grant that was sent to the upstream.
pub struct SentGrant {
    /// The grant.
    pub grant: Grant,
    /// When its duration was determined, right before it was written.
    pub sent_at: Moment,
}

/// An attempt to grant a range.
pub struct GrantAttempt {
    /// The range.
    pub range: OwnedRange,
    /// When the attempt began.
    pub began_at: Moment,
    /// When its call had been written, or had failed to be.
    pub written_at: Moment,
    /// When its call ended.
    pub ended_at: Moment,
    /// What was sent; `None` if there was no connection in time.
    pub sent: Option<SentGrant>,
    /// HTTP status of the response, or why there was none.
    pub result: Result<u16, UpstreamRequestFailure>,
}

impl GrantAttempt {
    /// Returns what the upstream may have because of this attempt, which sent `sent`.
    pub fn key_grant(&self, service: &ServiceName, sent: &SentGrant) -> KeyGrant {
        let possible_until = self.possible_until(sent);
        KeyGrant {
            service: service.clone(),
            range: self.range,
            certain_until: match self.result {
                Ok(200..300) => sent.sent_at + sent.grant.duration.mul_f64(1.0 - CLOCK_DRIFT),
                _ => sent.sent_at,
            },
            possible_until,
            unanswered_until: match self.result {
                Err(_) => possible_until,
                Ok(_) => Moment::default(),
            },
            called_until: self.ended_at,
        }
    }

    /// Returns until when the upstream may have what `sent` granted.
    fn possible_until(&self, sent: &SentGrant) -> Moment {
        self.ended_at + sent.grant.duration.mul_f64(1.0 + CLOCK_DRIFT)
    }

    /// Logs that the grant may last longer than the lease, which was live until `live_until`, because
    /// its call took long.
    pub fn log_if_outlasts(&self, live_until: Moment) {
        let Some(sent) = &self.sent else {
            return;
        };
        let possible_until = self.possible_until(sent);
        if possible_until > live_until {
            tracing::info!(
                event = "grant-may-outlast-lease",
                first = sent.grant.keys.first.0,
                fence = sent.grant.fencing_token,
                ms = possible_until.since(live_until).as_millis() as u64,
                write_ms = self.written_at.since(sent.sent_at).as_millis() as u64,
                answer_ms = self.ended_at.since(self.written_at).as_millis() as u64
            );
        }
    }
}
