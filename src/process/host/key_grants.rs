//! Grants of key ranges to the local upstream, and releases in progress. Performs no I/O: callers
//! pass in the time and the results of calls.

use std::time::Duration;

use crate::connection::peer_message::KeyHandover;
use crate::process::host::owned_range::OwnedRange;
use crate::process::moment::Moment;
use crate::process::release_tracker::ReleaseTracker;
use crate::version::epoch::Epoch;
use crate::version::service_name::ServiceName;
use crate::version::upstream::UpstreamBoot;

/// Remaining certain duration of a grant at which it is renewed.
const RENEW_BEFORE: Duration = Duration::from_millis(1000);
/// How long grants may fail before no more are sent.
const FAILING_TIME_MAX: Duration = Duration::from_millis(900);
/// How long a handover is kept while the table that assigns its keys has not arrived.
const HANDOVER_RETENTION: Duration = Duration::from_secs(8);

/// Grant of a key range to the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Service that the keys belong to.
    pub service: ServiceName,
    /// Keys, with the fencing token that they were granted under.
    pub range: OwnedRange,
    /// Until when the upstream certainly has the grant.
    pub certain_until: Moment,
    /// Until when the upstream may have the grant.
    pub possible_until: Moment,
    /// Until when an unanswered grant call may still take effect.
    pub unanswered_until: Moment,
}

impl KeyGrant {
    /// Returns the same grant for another range.
    pub fn with_range(&self, range: OwnedRange) -> Self {
        Self {
            range,
            ..self.clone()
        }
    }
}

/// Grants to the local upstream.
#[derive(Debug, Default)]
pub struct KeyGrants {
    /// Upstream process that the grants belong to.
    boot: Option<UpstreamBoot>,
    grants: Vec<KeyGrant>,
    /// Handovers for keys not granted yet, each with its arrival time.
    handovers: Vec<(KeyHandover, Moment)>,
    /// Time at which the first grant since the last accepted one failed.
    failing_since: Option<Moment>,
    releases: ReleaseTracker,
    /// Whether all keys are being released.
    releasing_all: bool,
}

impl KeyGrants {
    /// Returns whether there are no grants.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Removes all grants, because the upstream's process is gone.
    pub fn clear(&mut self) {
        self.grants.clear();
    }

    /// Removes the grants that have certainly expired.
    pub fn remove_expired(&mut self, now: Moment) {
        self.grants.retain(|g| g.possible_until > now);
    }

    /// Sets the current upstream process; a new process has no grants. Returns whether it replaced
    /// another.
    pub fn set_process(&mut self, boot: UpstreamBoot) -> bool {
        if self.boot == Some(boot) {
            return false;
        }
        let replaced = self.boot.replace(boot).is_some();
        self.grants.clear();
        self.failing_since = None;
        replaced
    }

    /// Records that the upstream accepted a grant.
    pub fn record_success(&mut self) {
        self.failing_since = None;
    }

    /// Records that the upstream did not accept a grant sent at `sent_at`.
    pub fn record_failure(&mut self, sent_at: Moment) {
        self.failing_since.get_or_insert(sent_at);
    }

    /// Returns whether grants have failed for so long that no more are sent until all grants have
    /// expired.
    pub fn is_failing_too_long(&mut self, now: Moment) -> bool {
        let since = self.failing_since;
        let too_long = since.is_some_and(|since| now.since(since) > FAILING_TIME_MAX);
        if too_long && self.grants.is_empty() {
            self.failing_since = None;
        }
        too_long
    }

    /// Adds the handovers of keys that move to this upstream.
    pub fn add_handovers(&mut self, now: Moment, handovers: Vec<KeyHandover>) {
        self.handovers
            .retain(|(_, at)| now.since(*at) < HANDOVER_RETENTION);
        let usable = handovers.into_iter().filter(|h| h.handover.is_some());
        self.handovers.extend(usable.map(|h| (h, now)));
    }

    /// Begins the release of the keys that the table of `epoch` assigns to others.
    pub fn begin_release(&mut self, epoch: Epoch) {
        self.releases.begin(epoch);
    }

    /// Ends the release for the table of `epoch`; returns the epoch to announce as released, if no
    /// release for an earlier one is in progress.
    pub fn end_release(&mut self, epoch: Epoch) -> Option<Epoch> {
        self.releases.end(epoch)
    }

    /// Removes and returns the granted ranges that are not in `served`.
    pub fn remove_lost(&mut self, served: &[OwnedRange]) -> Vec<KeyGrant> {
        let mut kept = Vec::new();
        let mut lost = Vec::new();
        for grant in std::mem::take(&mut self.grants) {
            let unserved = grant.range.subtract_all(served);
            kept.extend(
                grant
                    .range
                    .subtract_all(&unserved)
                    .into_iter()
                    .map(|range| grant.with_range(range)),
            );
            lost.extend(unserved.into_iter().map(|range| grant.with_range(range)));
        }
        self.grants = kept;
        lost
    }

    /// Removes and returns all grants; nothing is granted until [`KeyGrants::end_release_all`]. It
    /// counts as a release, so that a table that arrives meanwhile is not announced as released too
    /// early.
    pub fn begin_release_all(&mut self) -> Vec<KeyGrant> {
        self.releasing_all = true;
        self.releases.begin_all();
        std::mem::take(&mut self.grants)
    }

    /// Ends the release of all keys; returns the epoch to announce as released, if there is one.
    pub fn end_release_all(&mut self) -> Option<Epoch> {
        self.releasing_all = false;
        self.releases.end_all()
    }

    /// Returns the number of releases in progress.
    pub fn pending_releases(&self) -> usize {
        self.releases.in_progress()
    }

    /// Returns whether all keys are being released.
    pub fn is_releasing_all(&self) -> bool {
        self.releasing_all
    }

    /// Returns the parts of `range` whose grants are due, with the handover for each.
    pub fn due_grants(
        &self,
        now: Moment,
        service: &ServiceName,
        range: &OwnedRange,
    ) -> Vec<(OwnedRange, Option<String>)> {
        let is_own = |g: &&KeyGrant| g.service == *service && g.range.token == range.token;
        let own_grants: Vec<&KeyGrant> = self.grants.iter().filter(is_own).collect();
        let due = own_grants
            .iter()
            .filter(|g| g.certain_until <= now + RENEW_BEFORE);
        let due = due.filter_map(|g| g.range.intersection(range));
        let mut parts: Vec<(OwnedRange, Option<String>)> = due.map(|part| (part, None)).collect();
        let granted: Vec<OwnedRange> = own_grants.iter().map(|g| g.range).collect();
        for ungranted in range.subtract_all(&granted) {
            let mut handed_over = Vec::new();
            for (handover, _) in self.handovers.iter().filter(|(h, _)| h.service == *service) {
                let handover_range = OwnedRange {
                    first: handover.keys.first.0,
                    last: handover.keys.last.0,
                    token: range.token,
                };
                let common = handover_range.intersection(&ungranted);
                let parts_with_handover: Vec<OwnedRange> = common
                    .iter()
                    .flat_map(|r| r.subtract_all(&handed_over))
                    .collect();
                for part in parts_with_handover {
                    handed_over.push(part);
                    parts.push((part, handover.handover.clone()));
                }
            }
            let rest = ungranted.subtract_all(&handed_over).into_iter();
            parts.extend(rest.map(|part| (part, None)));
        }
        parts
    }

    /// Removes the keys of `consumed` from a handover that was sent with their grant.
    pub fn consume_handover(&mut self, handover: &str, consumed: &OwnedRange) {
        let mut remaining = Vec::new();
        for (entry, at) in std::mem::take(&mut self.handovers) {
            if entry.handover.as_deref() != Some(handover) {
                remaining.push((entry, at));
                continue;
            }
            let handover_range = OwnedRange {
                first: entry.keys.first.0,
                last: entry.keys.last.0,
                token: consumed.token,
            };
            for part in handover_range.subtract_all(&[*consumed]) {
                let keys = part.keys();
                remaining.push((
                    KeyHandover {
                        keys,
                        ..entry.clone()
                    },
                    at,
                ));
            }
        }
        self.handovers = remaining;
    }

    /// Records a grant; returns whether its range was not granted under the same token before.
    pub fn record_grant(
        &mut self,
        service: &ServiceName,
        range: OwnedRange,
        certain_until: Moment,
        possible_until: Moment,
        unanswered_until: Moment,
    ) -> bool {
        let is_same = |g: &&mut KeyGrant| g.service == *service && g.range == range;
        if let Some(grant) = self.grants.iter_mut().find(is_same) {
            grant.certain_until = grant.certain_until.max(certain_until);
            grant.possible_until = grant.possible_until.max(possible_until);
            grant.unanswered_until = grant.unanswered_until.max(unanswered_until);
            return false;
        }
        let overlaps =
            |g: &&KeyGrant| g.service == *service && g.range.intersection(&range).is_some();
        let unanswered = self
            .grants
            .iter()
            .filter(overlaps)
            .map(|g| g.unanswered_until);
        let unanswered_until = unanswered.fold(unanswered_until, Moment::max);
        let mut remaining = Vec::new();
        for grant in std::mem::take(&mut self.grants) {
            match grant.service == *service {
                true => remaining.extend(
                    grant
                        .range
                        .subtract_all(&[range])
                        .into_iter()
                        .map(|r| grant.with_range(r)),
                ),
                false => remaining.push(grant),
            }
        }
        self.grants = remaining;
        self.grants.push(KeyGrant {
            service: service.clone(),
            range,
            certain_until,
            possible_until,
            unanswered_until,
        });
        true
    }

    /// Returns the parts of `served` that are granted to the upstream, each with the time until
    /// which that is certain.
    pub fn granted_ranges(&self, served: &[OwnedRange]) -> Vec<(OwnedRange, Moment)> {
        let mut granted = Vec::new();
        for grant in &self.grants {
            let same_token = served
                .iter()
                .filter(|range| range.token == grant.range.token);
            let ranges = same_token.filter_map(|range| range.intersection(&grant.range));
            granted.extend(ranges.map(|range| (range, grant.certain_until)));
        }
        granted
    }
}
