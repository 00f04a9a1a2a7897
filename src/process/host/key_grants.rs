//! Grants of key ranges to the local upstream, and releases in progress. Performs no I/O: callers
//! pass in the time and the results of calls.
//!
//! A grant leaves this state only when the upstream can't use it any more. Until then it is either
//! in force or being released, so nothing is announced too early.

use std::net::SocketAddr;
use std::time::Duration;

use crate::connection::peer_message::KeyHandover;
use crate::process::host::owned_range::{self, OwnedRange};
use crate::process::host::token_holder::TokenHolder;
use crate::process::moment::Moment;
use crate::process::release_tracker::{ReleaseId, ReleaseTracker};
use crate::version::epoch::Epoch;
use crate::version::service_name::ServiceName;
use crate::version::upstream::UpstreamBoot;

/// Remaining certain duration of a grant at which it is renewed.
const RENEW_BEFORE: Duration = Duration::from_millis(1000);
/// How long grants to a silent upstream may fail before no more are sent.
const FAILING_TIME_MAX: Duration = Duration::from_millis(900);
/// How long grants may fail if the upstream still answers requests or reports its state.
const FAILING_TIME_ALIVE_MAX: Duration = Duration::from_millis(3000);
/// How long an upstream that reports about once a second may be silent.
const SILENCE_MAX: Duration = Duration::from_millis(1500);
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
    /// When the last call that granted it ended.
    pub called_until: Moment,
}

impl KeyGrant {
    /// Extends the times until which the keys may be in use by those of `other`.
    fn extend_effects(&mut self, other: &KeyGrant) {
        self.possible_until = self.possible_until.max(other.possible_until);
        self.unanswered_until = self.unanswered_until.max(other.unanswered_until);
        self.called_until = self.called_until.max(other.called_until);
    }

    /// Returns the same grant for another range.
    pub fn with_range(&self, range: OwnedRange) -> Self {
        Self {
            range,
            ..self.clone()
        }
    }
}

/// A grant that is being released.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasingGrant {
    /// The release.
    pub id: ReleaseId,
    /// What was granted.
    pub grant: KeyGrant,
    /// Peer address of the daemon that owns the keys next, if there is one.
    pub next_owner: Option<SocketAddr>,
}

/// Splits a grant into parts that have the same next owner each, and names that owner's address.
pub type SplitByNextOwner<'s> = &'s dyn Fn(&KeyGrant) -> Vec<(KeyGrant, Option<SocketAddr>)>;

/// Grants to the local upstream.
#[derive(Debug, Default)]
pub struct KeyGrants {
    /// Upstream process that the grants belong to.
    boot: Option<UpstreamBoot>,
    /// Which process of the upstream has the present fencing tokens.
    holder: TokenHolder,
    grants: Vec<KeyGrant>,
    /// Handovers for keys not granted yet, each with its arrival time.
    handovers: Vec<(KeyHandover, Moment)>,
    /// Time at which the first grant since the last accepted one failed.
    failing_since: Option<Moment>,
    releases: ReleaseTracker,
    /// Grants whose release call is in progress.
    releasing: Vec<ReleasingGrant>,
    /// Number of releases of all keys in progress, during which nothing is granted.
    releases_of_all: u32,
}

impl KeyGrants {
    /// Returns whether there are no grants.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Returns whether the upstream can use no keys: it has no grants, and no release is in progress.
    pub fn is_idle(&mut self, now: Moment) -> bool {
        self.grants.is_empty() && self.releases.in_progress(now) == 0
    }

    /// Removes the grants because there is no upstream to release them at. `gone_at` is when its
    /// process was known to be gone: what was granted before that is void. The rest may be in use
    /// until it has expired.
    pub fn abandon(&mut self, gone_at: Option<Moment>) {
        let is_void = |g: &KeyGrant| gone_at.is_some_and(|at| g.called_until <= at);
        for grant in std::mem::take(&mut self.grants) {
            if !is_void(&grant) {
                self.releases.begin(grant.possible_until);
            }
        }
    }

    /// Removes the grants that have certainly expired, also those that are being released.
    pub fn remove_expired(&mut self, now: Moment) {
        self.grants.retain(|g| g.possible_until > now);
        self.releasing.retain(|r| r.grant.possible_until > now);
    }

    /// Sets the current upstream process; a new one has no grants. Returns whether it replaced
    /// another. `gone_at` is when a former process was known to be gone: the calls after that may
    /// have reached the new one.
    pub fn set_process(&mut self, boot: UpstreamBoot, gone_at: Option<Moment>) -> bool {
        if self.boot == Some(boot) {
            return false;
        }
        let replaced = self.boot.replace(boot).is_some();
        self.holder = TokenHolder::Nobody;
        self.abandon(gone_at);
        self.failing_since = None;
        replaced
    }

    /// Returns which process of the upstream has the present fencing tokens.
    pub fn holder(&self) -> TokenHolder {
        self.holder
    }

    /// Sets which process of the upstream has the present fencing tokens.
    pub fn set_holder(&mut self, holder: TokenHolder) {
        self.holder = holder;
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
    /// expired. `seen_at` is when the upstream last showed that it runs.
    pub fn is_failing_too_long(&mut self, now: Moment, seen_at: Moment) -> bool {
        let is_silent = now.since(seen_at) > SILENCE_MAX;
        let failing_time_max = match is_silent {
            true => FAILING_TIME_MAX,
            false => FAILING_TIME_ALIVE_MAX,
        };
        let since = self.failing_since;
        let too_long = since.is_some_and(|since| now.since(since) > failing_time_max);
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

    /// Begins the release of the granted ranges that are not in `served`, the ranges that this daemon
    /// serves under the table of `epoch`.
    pub fn begin_release(
        &mut self,
        served: &[OwnedRange],
        epoch: Epoch,
        split: SplitByNextOwner<'_>,
    ) -> Vec<ReleasingGrant> {
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
        let releasing = self.begin_releases(&lost, split);
        self.releases.cover(epoch);
        releasing
    }

    /// Begins the release of the grants that the upstream may have after `lease_end`.
    pub fn begin_release_outlasting(
        &mut self,
        lease_end: Moment,
        split: SplitByNextOwner<'_>,
    ) -> Vec<ReleasingGrant> {
        let outlasts = |g: &KeyGrant| g.possible_until > lease_end;
        let (outlasting, kept) = std::mem::take(&mut self.grants)
            .into_iter()
            .partition(outlasts);
        self.grants = kept;
        let outlasting: Vec<KeyGrant> = outlasting;
        self.begin_releases(&outlasting, split)
    }

    /// Begins the release of all grants; nothing is granted until [`KeyGrants::end_release_all`].
    pub fn begin_release_all(&mut self, split: SplitByNextOwner<'_>) -> Vec<ReleasingGrant> {
        self.releases_of_all += 1;
        let all = std::mem::take(&mut self.grants);
        self.begin_releases(&all, split)
    }

    fn begin_releases(
        &mut self,
        grants: &[KeyGrant],
        split: SplitByNextOwner<'_>,
    ) -> Vec<ReleasingGrant> {
        let parts = grants.iter().flat_map(split);
        let begun: Vec<ReleasingGrant> = parts
            .map(|(grant, next_owner)| ReleasingGrant {
                id: self.releases.begin(grant.possible_until),
                grant,
                next_owner,
            })
            .collect();
        self.releasing.extend(begun.iter().cloned());
        begun
    }

    /// Ends the call of a release: the keys may be granted again.
    pub fn end_release_call(&mut self, id: ReleaseId) {
        self.releasing.retain(|r| r.id != id);
    }

    /// Ends a release whose handover has been sent, if there was one; the upstream may use the keys
    /// until `over_at`.
    pub fn end_release(&mut self, id: ReleaseId, over_at: Moment) {
        self.end_release_call(id);
        self.releases.end_at(id, over_at);
    }

    /// Allows grants again after a release of all keys, unless another one is in progress.
    pub fn end_release_all(&mut self) {
        self.releases_of_all -= 1;
    }

    /// Returns the newest epoch that may be announced as released.
    pub fn released_epoch(&mut self, now: Moment) -> Epoch {
        self.releases.released_epoch(now)
    }

    /// Returns the number of releases in progress.
    pub fn releases_in_progress(&mut self, now: Moment) -> usize {
        self.releases.in_progress(now)
    }

    /// Returns whether all keys are being released.
    pub fn is_releasing_all(&self) -> bool {
        self.releases_of_all > 0
    }

    /// Returns the parts of `range` whose grants are due, with the handover for each; those whose
    /// last grant is not in force come last. Keys whose release call is in progress are left out: it would
    /// end the new grant too.
    pub fn due_grants(
        &self,
        now: Moment,
        service: &ServiceName,
        range: &OwnedRange,
    ) -> Vec<(OwnedRange, Option<String>)> {
        let is_own = |g: &&KeyGrant| g.service == *service && g.range.token == range.token;
        let (in_force, not_in_force): (Vec<&KeyGrant>, Vec<&KeyGrant>) = self
            .grants
            .iter()
            .filter(is_own)
            .partition(|g| g.certain_until > now);
        let releasing = self.releasing.iter().map(|r| &r.grant);
        let releasing = releasing.filter(|g| g.service == *service);
        let unavailable = in_force.iter().copied().chain(releasing);
        let unavailable: Vec<OwnedRange> = unavailable.map(|g| g.range).collect();
        let mut handed_over = Vec::new();
        let mut without_handover = due_renewals(now, &in_force, range);
        for ungranted in range.subtract_all(&unavailable) {
            let warm = self.handed_over_parts(service, &ungranted);
            let warm_ranges: Vec<OwnedRange> = warm.iter().map(|(r, _)| *r).collect();
            without_handover.extend(ungranted.subtract_all(&warm_ranges));
            handed_over.extend(warm.into_iter().map(|(r, h)| (r, Some(h))));
        }
        without_handover.sort_unstable_by_key(|r| r.first);
        let merged = owned_range::merge_adjacent(without_handover);
        let mut due: Vec<_> = merged.into_iter().map(|r| (r, None)).collect();
        due.extend(handed_over);
        due.sort_by_key(|(range, _)| not_in_force.iter().any(|g| g.range.overlaps(range)));
        due
    }

    /// Returns the parts of `ungranted` for which there are handovers, with these.
    fn handed_over_parts(
        &self,
        service: &ServiceName,
        ungranted: &OwnedRange,
    ) -> Vec<(OwnedRange, String)> {
        let mut parts: Vec<(OwnedRange, String)> = Vec::new();
        for (entry, _) in self.handovers.iter().filter(|(h, _)| h.service == *service) {
            let Some(handover) = &entry.handover else {
                continue;
            };
            let handover_range = OwnedRange {
                first: entry.keys.first.0,
                last: entry.keys.last.0,
                token: ungranted.token,
            };
            let taken: Vec<OwnedRange> = parts.iter().map(|(r, _)| *r).collect();
            let common = handover_range.intersection(ungranted);
            let new = common.iter().flat_map(|r| r.subtract_all(&taken));
            parts.extend(new.map(|r| (r, handover.clone())));
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

    /// Records a grant that the upstream accepted, which replaces all others of its keys; returns
    /// whether some of them were not granted under the same token before.
    pub fn record_accepted(&mut self, mut new: KeyGrant) -> bool {
        let same_token = self.grants.iter().filter(|g| {
            let is_same = g.service == new.service && g.range.token == new.range.token;
            is_same && g.certain_until > g.called_until
        });
        let before: Vec<OwnedRange> = same_token.map(|g| g.range).collect();
        let is_new = !new.range.subtract_all(&before).is_empty();
        let mut remaining = Vec::new();
        for grant in std::mem::take(&mut self.grants) {
            if grant.service != new.service || !grant.range.overlaps(&new.range) {
                remaining.push(grant);
                continue;
            }
            new.extend_effects(&grant);
            let rest = grant.range.subtract_all(&[new.range]).into_iter();
            remaining.extend(rest.map(|r| grant.with_range(r)));
        }
        self.grants = remaining;
        self.grants.push(new);
        is_new
    }

    /// Records a grant that the upstream did not accept, as far as is known. What it accepted before
    /// stays in force.
    pub fn record_not_accepted(&mut self, new: &KeyGrant) {
        let mut grants = Vec::new();
        let mut covered = Vec::new();
        for grant in std::mem::take(&mut self.grants) {
            let common = grant.range.intersection(&new.range);
            let Some(common) = common.filter(|_| grant.service == new.service) else {
                grants.push(grant);
                continue;
            };
            let rest = grant.range.subtract_all(&[common]).into_iter();
            grants.extend(rest.map(|r| grant.with_range(r)));
            let mut extended = match grant.range.token == new.range.token {
                true => grant.with_range(common),
                // A release needs the higher token.
                false => new.with_range(OwnedRange {
                    token: new.range.token.max(common.token),
                    ..common
                }),
            };
            extended.extend_effects(&grant);
            extended.extend_effects(new);
            covered.push(common);
            grants.push(extended);
        }
        let uncovered = new.range.subtract_all(&covered).into_iter();
        grants.extend(uncovered.map(|r| new.with_range(r)));
        self.grants = grants;
    }

    /// Returns the parts of `served` that are granted to the upstream, each with the time until
    /// which that is certain. A grant stays in force while one with a higher incarnation is on its
    /// way.
    pub fn granted_ranges(&self, served: &[OwnedRange]) -> Vec<(OwnedRange, Moment)> {
        let mut granted = Vec::new();
        for grant in &self.grants {
            let same_ownership = served
                .iter()
                .filter(|range| range.token.is_same_ownership(&grant.range.token));
            let ranges = same_ownership.filter_map(|range| range.intersection(&grant.range));
            granted.extend(ranges.map(|range| (range, grant.certain_until)));
        }
        granted
    }
}

/// Returns the parts of `range` to renew: all that is in force, once some of it is due. One call then
/// renews adjacent parts.
fn due_renewals(now: Moment, in_force: &[&KeyGrant], range: &OwnedRange) -> Vec<OwnedRange> {
    let in_range = in_force.iter().filter(|g| g.range.overlaps(range));
    let is_due = in_range
        .clone()
        .any(|g| g.certain_until <= now + RENEW_BEFORE);
    match is_due {
        true => in_range
            .filter_map(|g| g.range.intersection(range))
            .collect(),
        false => Vec::new(),
    }
}
