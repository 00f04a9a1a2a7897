//! Which of the equal upstreams of a service gets a request, from what this daemon saw of them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use rand::seq::IteratorRandom;

use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::upstream_load::UpstreamLoad;
use crate::version::domain_name::DomainName;
use crate::version::instance_id::InstanceId;
use crate::version::member::Member;

/// The mean time of an order at an upstream that was not tried yet, in microseconds.
const MEAN_UNKNOWN_MICROS: f64 = 100_000.0;
/// How fast a load note loses its weight.
const NOTE_AGE: Duration = Duration::from_millis(400);
/// What a request to another failure domain counts for, in microseconds.
const FAR_MICROS: f64 = 15_000.0;
/// What each byte of its body adds to that, in microseconds.
const FAR_MICROS_PER_BYTE: f64 = 1.5;
/// The weight of a new outcome in the failing part.
const FAILING_WEIGHT: f64 = 0.1;
/// How fast the failing part is forgotten.
const FAILING_AGE: Duration = Duration::from_secs(4);
/// How many times its cost an upstream counts for that fails always.
const FAILING_FACTOR: f64 = 8.0;
/// The weight of a new time of the way to an upstream in the running mean.
const WAY_WEIGHT: f64 = 0.3;
/// How fast the time of the way is forgotten.
const WAY_AGE: Duration = Duration::from_secs(2);
/// The number of upstreams up to which all are compared.
const ALL_MAX: usize = 8;
/// How many of more upstreams in the caller's failure domain are compared, drawn at random: with
/// old notes, all daemons would choose the same one.
const NEAR_DRAWN: usize = 2;
/// How many of those in other failure domains.
const FAR_DRAWN: usize = 1;

/// What a daemon saw of one request at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// Whether it failed.
    pub failed: bool,
    /// How long it took in all.
    pub took: Duration,
    /// The load that was told with it.
    pub note: Option<UpstreamLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    note: UpstreamLoad,
    noted: Moment,
    mine: u32,
    failing: f64,
    ended: Moment,
    way_micros: f64,
}

/// What this daemon saw of the upstreams of all services.
#[derive(Debug, Default)]
pub struct UpstreamSelector {
    seen: Mutex<HashMap<InstanceId, Seen>>,
}

impl UpstreamSelector {
    /// Chooses the upstream with the least expected time for a request with a body of `bytes`
    /// that begins in `home`, of those of `members` that `tried` does not name.
    pub fn pick<'m>(
        &self,
        now: Moment,
        members: &'m [Member],
        tried: &[InstanceId],
        home: &DomainName,
        bytes: usize,
    ) -> Option<&'m Member> {
        let seen = sync::lock(&self.seen);
        let free = members
            .iter()
            .filter(|m| !tried.contains(&m.info.session.instance));
        let costed = drawn(free.collect(), home).into_iter().map(|m| {
            let known = seen.get(&m.info.session.instance).copied();
            let mut cost = known.unwrap_or_default().cost(now, m);
            if m.info.domain != *home {
                cost += FAR_MICROS + FAR_MICROS_PER_BYTE * bytes as f64;
            }
            // Equal costs are told apart at random, so that not all daemons choose alike.
            (cost + rand::random::<f64>() * FAR_MICROS / 4.0, m)
        });
        costed.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, m)| m)
    }

    /// Notes that a request goes to an upstream.
    pub fn start(&self, instance: InstanceId) {
        sync::lock(&self.seen).entry(instance).or_default().mine += 1;
    }

    /// Notes that a request came back.
    pub fn end(&self, now: Moment, instance: InstanceId, trip: AttemptOutcome) {
        let mut all = sync::lock(&self.seen);
        let seen = all.entry(instance).or_default();
        seen.mine = seen.mine.saturating_sub(1);
        let present = seen.failing(now);
        let failed = if trip.failed { 1.0 } else { 0.0 };
        seen.failing = present + (failed - present) * FAILING_WEIGHT;
        let told = trip.note.unwrap_or_default();
        let there = Duration::from_millis(u64::from(told.waited_ms) + u64::from(told.ran_ms));
        let way = trip.took.saturating_sub(there).as_micros() as f64;
        let before = seen.way(now);
        seen.way_micros = before + (way - before) * WAY_WEIGHT;
        seen.ended = now;
        if let Some(note) = trip.note {
            seen.note = note;
            seen.noted = now;
        }
    }

    /// Forgets processes that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(InstanceId) -> bool) {
        sync::lock(&self.seen).retain(|&i, _| keep(i));
    }
}

/// Returns the upstreams to compare: all where there are few, else some of each kind.
fn drawn<'m>(free: Vec<&'m Member>, home: &DomainName) -> Vec<&'m Member> {
    if free.len() <= ALL_MAX {
        return free;
    }
    let (near, far): (Vec<_>, Vec<_>) = free.into_iter().partition(|m| m.info.domain == *home);
    let mut rng = rand::rng();
    let from_far = FAR_DRAWN + NEAR_DRAWN.saturating_sub(near.len());
    let mut drawn = near.into_iter().sample(&mut rng, NEAR_DRAWN);
    drawn.extend(far.into_iter().sample(&mut rng, from_far));
    drawn
}

impl Seen {
    /// Returns the expected time of one more order, in microseconds.
    fn cost(&self, now: Moment, member: &Member) -> f64 {
        let slots = member.info.upstream.as_ref().map_or(1, |u| u.slots);
        let mean = match self.note.mean_micros {
            0 => MEAN_UNKNOWN_MICROS,
            micros => f64::from(micros),
        };
        let age = now.since(self.noted).as_secs_f64() / NOTE_AGE.as_secs_f64();
        let told = f64::from(self.note.in_flight + self.note.waiting) * (-age).exp();
        let busy = told.max(f64::from(self.mine));
        let over = (busy + 1.0 - f64::from(slots)).max(0.0);
        let work = mean * (1.0 + busy / f64::from(slots) * 0.25);
        let failing = 1.0 + self.failing(now) * FAILING_FACTOR;
        (work + mean * over / f64::from(slots)) * failing + self.way(now)
    }

    /// Returns how long the way to the upstream and back takes, in microseconds.
    fn way(&self, now: Moment) -> f64 {
        let age = now.since(self.ended).as_secs_f64() / WAY_AGE.as_secs_f64();
        self.way_micros * (-age).exp()
    }

    fn failing(&self, now: Moment) -> f64 {
        let age = now.since(self.ended).as_secs_f64() / FAILING_AGE.as_secs_f64();
        self.failing * (-age).exp()
    }
}
