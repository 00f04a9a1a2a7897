//! What the upstream beside the daemon was granted, and what is being taken back: time and outcomes
//! of calls in, decisions out.

use std::time::Duration;

use crate::connection::peer_message::KeyHandover;
use crate::process::host::owned_range::OwnedRange;
use crate::process::moment::Moment;
use crate::version::epoch::Epoch;
use crate::version::service_name::ServiceName;
use crate::version::upstream::UpstreamBoot;

/// What must be left of a hold at the least before it is renewed.
const RENEW_BELOW: Duration = Duration::from_millis(1000);
/// How long grants may fail before no more are tried.
const FAILING_MAX: Duration = Duration::from_millis(900);
/// How long a handover waits for the table that gives its keys.
const HANDOVER_KEEP: Duration = Duration::from_secs(8);

/// A range of keys that was granted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// The service.
    pub service: ServiceName,
    /// The keys, with the token that they were granted under.
    pub run: OwnedRange,
    /// Until when the upstream surely holds the keys.
    pub sure: Moment,
    /// Until when it may hold them.
    pub maybe: Moment,
    /// Until when a grant without an answer may still take effect.
    pub doubt: Moment,
}

impl KeyGrant {
    /// Returns the same grant for other keys.
    pub fn with(&self, run: OwnedRange) -> Self {
        Self {
            run,
            ..self.clone()
        }
    }
}

/// What the upstream was granted.
#[derive(Debug, Default)]
pub struct KeyGrants {
    boot: Option<UpstreamBoot>,
    held: Vec<KeyGrant>,
    handovers: Vec<(KeyHandover, Moment)>,
    failing_since: Option<Moment>,
    /// How many releases are under way.
    releases: usize,
    /// Whether all keys are being given to others.
    giving_up: bool,
    /// The newest epoch for which the lost keys were taken out.
    released_for: Epoch,
}

impl KeyGrants {
    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Forgets all: the upstream's process is gone.
    pub fn clear(&mut self) {
        self.held.clear();
    }

    /// Forgets what has surely run out.
    pub fn forget_ended(&mut self, now: Moment) {
        self.held.retain(|h| h.maybe > now);
    }

    /// Notes the present run of the upstream, which holds nothing if it is new; returns whether it
    /// follows another.
    pub fn begin_life(&mut self, boot: UpstreamBoot) -> bool {
        if self.boot == Some(boot) {
            return false;
        }
        let follows = self.boot.replace(boot).is_some();
        self.held.clear();
        self.failing_since = None;
        follows
    }

    /// Notes that the upstream took a grant.
    pub fn note_success(&mut self) {
        self.failing_since = None;
    }

    /// Notes that the upstream did not take a grant that was sent at `sent`.
    pub fn note_failure(&mut self, sent: Moment) {
        self.failing_since.get_or_insert(sent);
    }

    /// Returns whether grants fail for so long that no more are tried until all holds have ended.
    pub fn fail_too_long(&mut self, now: Moment) -> bool {
        let since = self.failing_since;
        let too_long = since.is_some_and(|since| now.since(since) > FAILING_MAX);
        if too_long && self.held.is_empty() {
            self.failing_since = None;
        }
        too_long
    }

    /// Takes in what upstreams handed over with keys that come here.
    pub fn take_handovers(&mut self, now: Moment, handovers: Vec<KeyHandover>) {
        self.handovers
            .retain(|(_, at)| now.since(*at) < HANDOVER_KEEP);
        let usable = handovers.into_iter().filter(|h| h.handover.is_some());
        self.handovers.extend(usable.map(|h| (h, now)));
    }

    /// Begins to release what the table of `epoch` took away.
    pub fn begin_release(&mut self, epoch: Epoch) {
        self.releases += 1;
        self.released_for = self.released_for.max(epoch);
    }

    /// Ends one release; returns the epoch to let go for, where no other release is under way.
    pub fn end_release(&mut self) -> Option<Epoch> {
        self.releases -= 1;
        (self.releases == 0).then_some(self.released_for)
    }

    /// Takes out what is held and not `served` any more.
    pub fn take_lost(&mut self, served: &[OwnedRange]) -> Vec<KeyGrant> {
        let mut kept = Vec::new();
        let mut lost = Vec::new();
        for held in std::mem::take(&mut self.held) {
            let gone = held.run.without(served);
            kept.extend(
                held.run
                    .without(&gone)
                    .into_iter()
                    .map(|run| held.with(run)),
            );
            lost.extend(gone.into_iter().map(|run| held.with(run)));
        }
        self.held = kept;
        lost
    }

    /// Takes all out, to be given to others; nothing is granted until that has ended, and it counts
    /// as a release: a table that comes meanwhile is not let go for before.
    pub fn give_up(&mut self) -> Vec<KeyGrant> {
        self.giving_up = true;
        self.releases += 1;
        std::mem::take(&mut self.held)
    }

    /// Notes that all was given to others; returns the epoch to let go for, where no release is
    /// under way.
    pub fn end_give_up(&mut self) -> Option<Epoch> {
        self.giving_up = false;
        self.end_release()
    }

    /// Returns how many releases are under way.
    pub fn releases(&self) -> usize {
        self.releases
    }

    /// Returns whether all is being given to others.
    pub fn is_given_up(&self) -> bool {
        self.giving_up
    }

    /// Returns the parts of `run` whose grants are due, with the handovers that go with them.
    pub fn parts_due(
        &self,
        now: Moment,
        service: &ServiceName,
        run: &OwnedRange,
    ) -> Vec<(OwnedRange, Option<String>)> {
        let own = |h: &&KeyGrant| h.service == *service && h.run.token == run.token;
        let held: Vec<&KeyGrant> = self.held.iter().filter(own).collect();
        let due = held.iter().filter(|h| h.sure <= now + RENEW_BELOW);
        let due = due.filter_map(|h| h.run.shared(run));
        let mut parts: Vec<(OwnedRange, Option<String>)> = due.map(|part| (part, None)).collect();
        let known: Vec<OwnedRange> = held.iter().map(|h| h.run).collect();
        for fresh in run.without(&known) {
            let mut handed = Vec::new();
            for (handover, _) in self.handovers.iter().filter(|(h, _)| h.service == *service) {
                let range = OwnedRange {
                    first: handover.keys.first.0,
                    last: handover.keys.last.0,
                    token: run.token,
                };
                let shared = range.shared(&fresh);
                let new: Vec<OwnedRange> = shared.iter().flat_map(|r| r.without(&handed)).collect();
                for part in new {
                    handed.push(part);
                    parts.push((part, handover.handover.clone()));
                }
            }
            let rest = fresh.without(&handed).into_iter();
            parts.extend(rest.map(|part| (part, None)));
        }
        parts
    }

    /// Notes that a handover was used for the keys of `run`.
    pub fn use_handover(&mut self, handover: &str, run: &OwnedRange) {
        let mut left = Vec::new();
        for (known, at) in std::mem::take(&mut self.handovers) {
            if known.handover.as_deref() != Some(handover) {
                left.push((known, at));
                continue;
            }
            let range = OwnedRange {
                first: known.keys.first.0,
                last: known.keys.last.0,
                token: run.token,
            };
            for part in range.without(&[*run]) {
                let keys = part.keys();
                left.push((
                    KeyHandover {
                        keys,
                        ..known.clone()
                    },
                    at,
                ));
            }
        }
        self.handovers = left;
    }

    /// Notes a grant; returns whether its keys were not held before.
    pub fn note(
        &mut self,
        service: &ServiceName,
        run: OwnedRange,
        sure: Moment,
        maybe: Moment,
        doubt: Moment,
    ) -> bool {
        let same = |h: &&mut KeyGrant| h.service == *service && h.run == run;
        if let Some(held) = self.held.iter_mut().find(same) {
            held.sure = held.sure.max(sure);
            held.maybe = held.maybe.max(maybe);
            held.doubt = held.doubt.max(doubt);
            return false;
        }
        let overlaps = |h: &&KeyGrant| h.service == *service && h.run.shared(&run).is_some();
        let doubts = self.held.iter().filter(overlaps).map(|h| h.doubt);
        let doubt = doubts.fold(doubt, Moment::max);
        let mut left = Vec::new();
        for held in std::mem::take(&mut self.held) {
            match held.service == *service {
                true => left.extend(held.run.without(&[run]).into_iter().map(|r| held.with(r))),
                false => left.push(held),
            }
        }
        self.held = left;
        self.held.push(KeyGrant {
            service: service.clone(),
            run,
            sure,
            maybe,
            doubt,
        });
        true
    }

    /// Returns which of the keys `served` the upstream surely holds, and until when.
    pub fn granted(&self, served: &[OwnedRange]) -> Vec<(OwnedRange, Moment)> {
        let mut granted = Vec::new();
        for held in &self.held {
            let same = served.iter().filter(|run| run.token == held.run.token);
            let shared = same.filter_map(|run| run.shared(&held.run));
            granted.extend(shared.map(|run| (run, held.sure)));
        }
        granted
    }
}
