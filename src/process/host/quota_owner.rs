//! Token buckets of the teams whose quota owner this daemon is. Performs no I/O: callers pass in
//! the time.
//!
//! Handles teams whose requests come to one daemon or to all of them, and owners that change: a
//! bucket begins empty, one lease time after this daemon adopted the table that makes it the owner,
//! when the session of an owner that doesn't know that table has lapsed. A former owner that knows
//! it hands its bucket over, which ends the wait.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::process::host::quota_config::QuotaConfig;
use crate::process::host::team_limit::{self, TeamLimit};
use crate::process::moment::Moment;
use crate::version::team_name::TeamName;

/// Part of a token that may be missing when one is issued: times are rounded to microseconds.
const ROUNDING: f64 = 1e-6;
/// Most handovers that are kept until this daemon adopts the table that makes it the owner.
const EARLY_HANDOVERS_MAX: usize = 1024;

/// Answer to a daemon that asked for tokens of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IssuedTokens {
    /// Number of tokens; at most as many as were asked for.
    pub tokens: u32,
    /// How long until the bucket has another token.
    pub next_token_in: Duration,
}

/// Token bucket of one team.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Tokens per second.
    refill: f64,
    capacity: f64,
    level: f64,
    /// Time of `level`; the bucket issues nothing before it.
    as_of: Moment,
}

impl Bucket {
    fn advance(&mut self, now: Moment) {
        let accrued = self.refill * now.since(self.as_of).as_secs_f64();
        self.level = (self.level + accrued).min(self.capacity);
        self.as_of = self.as_of.max(now);
    }

    fn set_limit(&mut self, now: Moment, refill: f64, capacity: f64) {
        if self.as_of <= now {
            self.advance(now);
        }
        self.refill = refill;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }
}

/// Token buckets of the teams whose quota owner this daemon is.
#[derive(Debug)]
pub struct QuotaOwner {
    config: QuotaConfig,
    lease: Duration,
    buckets: HashMap<TeamName, Bucket>,
    /// When the set of members last changed.
    members_since: Moment,
    /// Handovers for teams that this daemon doesn't own yet, with the time of their arrival.
    early_handovers: HashMap<TeamName, (Moment, u32)>,
}

impl QuotaOwner {
    /// Creates the state of a daemon that owns no team. Former owners stop at the latest one `lease`
    /// after this daemon adopted the table.
    pub fn new(config: QuotaConfig, lease: Duration) -> Self {
        Self {
            config,
            lease,
            buckets: HashMap::new(),
            members_since: Moment::default(),
            early_handovers: HashMap::new(),
        }
    }

    /// Sets which teams this daemon owns after the set of members changed; returns the tokens of
    /// teams that it owned until now, for their next owners.
    pub fn adopt_members(
        &mut self,
        now: Moment,
        owned: &BTreeMap<TeamName, TeamLimit>,
    ) -> BTreeMap<TeamName, u32> {
        self.members_since = now;
        let lost = self.buckets.extract_if(|team, _| !owned.contains_key(team));
        let mut handovers = BTreeMap::new();
        for (team, mut bucket) in lost {
            // A bucket that has not begun may have another owner still.
            if bucket.as_of <= now {
                bucket.advance(now);
                handovers.insert(team, bucket.level as u32);
            }
        }
        self.adopt_limits(now, owned);
        handovers
    }

    /// Sets which teams with a limit this daemon owns after the limits changed; a lower one applies
    /// at once.
    pub fn adopt_limits(&mut self, now: Moment, owned: &BTreeMap<TeamName, TeamLimit>) {
        self.buckets.retain(|team, _| owned.contains_key(team));
        let begin = self.members_since + self.lease;
        for (team, limit) in owned {
            let capacity = self.config.capacity(limit);
            let refill = self.config.refill_rate(limit);
            let new_bucket = Bucket {
                refill,
                capacity,
                level: 0.0,
                as_of: begin,
            };
            let bucket = self.buckets.entry(team.clone()).or_insert(new_bucket);
            bucket.set_limit(now, refill, capacity);
        }
        let lease = self.lease;
        self.early_handovers
            .retain(|_, (at, _)| now.since(*at) <= lease);
        let arrived = self.early_handovers.clone();
        for (team, (at, tokens)) in arrived {
            if self.buckets.contains_key(&team) {
                self.early_handovers.remove(&team);
                self.accept_handover(at, &team, tokens);
            }
        }
    }

    /// Takes over the tokens that the former owner of a team had left: that owner issues no more.
    pub fn accept_handover(&mut self, now: Moment, team: &TeamName, tokens: u32) {
        match self.buckets.get_mut(team) {
            Some(bucket) if bucket.as_of > now => {
                bucket.as_of = now;
                bucket.level = f64::from(tokens).min(bucket.capacity);
            }
            Some(_) => {}
            None if self.early_handovers.len() < EARLY_HANDOVERS_MAX => {
                self.early_handovers.insert(team.clone(), (now, tokens));
            }
            None => {}
        }
    }

    /// Empties all buckets, while this daemon's session is not live.
    pub fn empty(&mut self, now: Moment) {
        for bucket in self.buckets.values_mut() {
            bucket.level = 0.0;
            bucket.as_of = bucket.as_of.max(now);
        }
    }

    /// Issues up to `tokens` tokens of a team; returns `None` if this daemon is not its owner, or
    /// not yet. The caller makes sure that the daemon's session is live.
    pub fn issue(&mut self, now: Moment, team: &TeamName, tokens: u32) -> Option<IssuedTokens> {
        let bucket = self.buckets.get_mut(team)?;
        if bucket.as_of > now {
            return None;
        }
        bucket.advance(now);
        let issued = tokens.min((bucket.level + ROUNDING) as u32);
        bucket.level -= f64::from(issued);
        let delay = (1.0 - bucket.level).max(0.0) / bucket.refill;
        Some(IssuedTokens {
            tokens: issued,
            next_token_in: Duration::from_secs_f64(delay.min(team_limit::TOKEN_DELAY_MAX_S))
                + Duration::from_micros(1),
        })
    }

    /// Returns the number of teams with a bucket.
    pub fn teams(&self) -> usize {
        self.buckets.len()
    }
}
