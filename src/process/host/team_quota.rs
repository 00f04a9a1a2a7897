//! Tokens of one team at one daemon: when the daemon asks the quota owner for how many, and which
//! requests it admits. Performs no I/O: callers pass in the time.
//!
//! Handles teams with a few requests a second over hundreds of daemons, for which a token that is
//! not used is lost service, and teams with hundreds a second at one daemon, for which an ask each
//! would be too many messages: a request without a token causes an ask, and further tokens are asked
//! for ahead only at a rate at which they are almost certainly used.

use std::collections::VecDeque;
use std::time::Duration;

use crate::process::host::quota_terms::QuotaTerms;
use crate::process::moment::Moment;

/// A request waits its objective divided by this for the answer of the quota owner. Owners are
/// unreachable for up to 100 ms at times; a request that runs after such a wait still meets its
/// objective, while a refused one rarely does.
pub const QUOTA_WAIT_DIVISOR: u32 = 3;
/// Interval between two asks while requests wait for a token. It is short, so that several datagrams may
/// be lost before a request with a short objective is refused.
const WAITING_ASK_INTERVAL: Duration = Duration::from_millis(15);
/// Number of asks without an answer after which the quota owner counts as silent.
const SILENT_ASKS: u32 = 3;
/// How long after the first of these asks the quota owner counts as silent. Longer than the pause of a
/// process that has used up its share of a core (at most 100 ms): the answers then wait in its socket.
const SILENT_AFTER: Duration = Duration::from_millis(150);
/// How long without an ask until requests wait for the answer of a silent quota owner again.
const SILENCE_MEMORY: Duration = Duration::from_millis(1000);
/// Time over which arrivals are averaged.
const RATE_TIME: Duration = Duration::from_millis(500);
/// Number of requests that must be expected in an interval beyond those that tokens are asked for
/// ahead, so that few tokens expire unused.
const AHEAD_MARGIN: f64 = 1.0;
/// Most asks whose answers are awaited.
const ASKS_MAX: usize = 16;
/// Longest time for which requests are refused without another ask after the bucket was empty.
const EMPTY_TIME_MAX: Duration = Duration::from_millis(100);
/// Shortest retry delay returned with a refusal.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(5);
/// Retry delay returned while the quota owner is silent and the fixed share is used: about the time
/// until another daemon is the owner.
const SILENT_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// What allows a request to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaPermit {
    /// A token of the quota owner.
    Token {
        /// When the token expires.
        expires: Moment,
    },
    /// A request of the fixed share.
    FixedShare {
        /// When the share was used.
        taken: Moment,
    },
}

/// Result of [`TeamQuota::admit`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may be sent.
    Admitted(QuotaPermit),
    /// The request waits for the answer of the quota owner.
    Wait,
    /// The team has used its quota.
    Refused {
        /// When a request is expected to be within the quota.
        retry_after: Duration,
        /// Whether the quota owner has answered; else the fixed share is used up.
        answered: bool,
    },
}

/// An ask whose answer is awaited.
#[derive(Clone, Copy, Debug)]
struct Ask {
    sent: Moment,
    tokens: u32,
}

/// Tokens of one team at one daemon.
#[derive(Clone, Debug, Default)]
pub struct TeamQuota {
    /// Numbers of tokens, each with its expiry, the earliest first.
    tokens: VecDeque<(Moment, u32)>,
    /// Requests that wait for a token.
    waiting: u32,
    /// Requests per second, averaged.
    rate: f64,
    last_arrival: Moment,
    asks: VecDeque<Ask>,
    last_ask: Option<Moment>,
    /// First ask since the last answer.
    first_unanswered: Option<Moment>,
    unanswered: u32,
    /// When the quota owner has another token, as its last answer says.
    next_token_at: Moment,
    /// Until when requests are refused without another ask; at most `next_token_at`.
    empty_until: Moment,
    /// When the latest ask that got too few tokens was sent.
    short_ask: Option<Moment>,
    /// Requests refused since the answer to it.
    refused: u32,
    last_answer: Option<Moment>,
    /// Uses of the fixed share in the latest window.
    fixed_uses: VecDeque<Moment>,
}

impl TeamQuota {
    /// Records the arrival of a request.
    pub fn record_arrival(&mut self, now: Moment) {
        self.rate = self.rate_at(now) + 1.0 / RATE_TIME.as_secs_f64();
        self.last_arrival = now;
    }

    /// Admits a request that arrived at `arrived`, refuses it, or lets it wait.
    pub fn admit(&mut self, now: Moment, arrived: Moment, terms: &QuotaTerms) -> QuotaDecision {
        if let Some(permit) = self.take_token(now) {
            return QuotaDecision::Admitted(permit);
        }
        let was_asked_for = self.short_ask.is_some_and(|sent| sent >= arrived);
        if now < self.empty_until || was_asked_for {
            return self.refuse(now, terms);
        }
        match self.is_silent(now) {
            true => self.use_fixed_share(now, terms),
            false => QuotaDecision::Wait,
        }
    }

    /// Admits or refuses a request that arrived at `arrived` and can't wait any longer.
    pub fn admit_late(
        &mut self,
        now: Moment,
        arrived: Moment,
        terms: &QuotaTerms,
    ) -> QuotaDecision {
        match self.admit(now, arrived, terms) {
            QuotaDecision::Wait if self.last_answer.is_some_and(|at| at >= arrived) => {
                self.refuse(now, terms)
            }
            QuotaDecision::Wait => self.use_fixed_share(now, terms),
            decision => decision,
        }
    }

    /// Admits or refuses a request while the quota owner doesn't answer.
    fn use_fixed_share(&mut self, now: Moment, terms: &QuotaTerms) -> QuotaDecision {
        while self
            .fixed_uses
            .front()
            .is_some_and(|used| now.since(*used) > terms.window)
        {
            self.fixed_uses.pop_front();
        }
        if self.fixed_uses.len() as u64 >= terms.fixed_share {
            return QuotaDecision::Refused {
                retry_after: SILENT_RETRY_AFTER,
                answered: false,
            };
        }
        self.fixed_uses.push_back(now);
        QuotaDecision::Admitted(QuotaPermit::FixedShare { taken: now })
    }

    /// Records that a request begins to wait.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Records that a request waits no longer.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns the number of tokens to ask for now, or `None` if no ask is due.
    pub fn due_ask(&self, now: Moment, terms: &QuotaTerms) -> Option<u32> {
        let held = self.held(now);
        let interval = terms.ask_interval;
        let expected = self.rate_at(now) * interval.as_secs_f64();
        let ahead = (expected - AHEAD_MARGIN).max(0.0) as u32;
        let starved = self.waiting > held || self.needs_probe(now);
        // Asked for before the last token is used, so that no request has to wait.
        let runs_low = ahead > 0 && held < ahead && now >= self.empty_until;
        let due_at = self.next_ask(terms, starved && !self.is_silent(now));
        let wanted = (self.waiting + ahead).saturating_sub(held);
        let wanted = wanted.max(u32::from(self.needs_probe(now)));
        ((starved || runs_low) && now >= due_at && wanted > 0).then_some(wanted)
    }

    /// Returns the time before which no request that waits can cause an ask.
    pub fn next_waiting_ask(&self, now: Moment, terms: &QuotaTerms) -> Moment {
        self.next_ask(terms, !self.is_silent(now))
    }

    /// Records that the quota owner was asked for tokens.
    pub fn record_ask(&mut self, sent: Moment, tokens: u32) {
        if self.asks.len() >= ASKS_MAX {
            self.asks.pop_front();
        }
        let forgotten = self
            .last_ask
            .is_none_or(|last| sent.since(last) > SILENCE_MEMORY);
        if forgotten {
            self.unanswered = 0;
            self.first_unanswered = None;
        }
        self.asks.push_back(Ask { sent, tokens });
        self.last_ask = Some(sent);
        self.unanswered += 1;
        self.first_unanswered.get_or_insert(sent);
    }

    /// Adds the tokens of the answer to the ask sent at `sent`; returns how many of them are still
    /// valid. A second answer to the same ask has no effect.
    pub fn receive(
        &mut self,
        now: Moment,
        terms: &QuotaTerms,
        sent: Moment,
        issued: u32,
        next_token_in: Duration,
    ) -> u32 {
        let Some(index) = self.asks.iter().position(|ask| ask.sent == sent) else {
            return 0;
        };
        let Some(ask) = self.asks.remove(index) else {
            return 0;
        };
        self.unanswered = 0;
        self.first_unanswered = None;
        self.last_answer = Some(now);
        if issued < ask.tokens {
            self.next_token_at = now + next_token_in;
            self.empty_until = now + next_token_in.min(EMPTY_TIME_MAX);
            self.short_ask = Some(sent);
            self.refused = 0;
        }
        let expires = sent + terms.token_validity;
        if now >= expires || issued == 0 {
            return 0;
        }
        let tokens = issued.min(ask.tokens);
        let later = self.tokens.iter().position(|(e, _)| *e > expires);
        let at = later.unwrap_or(self.tokens.len());
        self.tokens.insert(at, (expires, tokens));
        tokens
    }

    /// Takes back the permit of a request that no upstream got. An expired token is lost: the quota
    /// owner has issued others since.
    pub fn give_back(&mut self, now: Moment, permit: QuotaPermit) {
        match permit {
            QuotaPermit::Token { expires } if now < expires => {
                let later = self.tokens.iter().position(|(e, _)| *e > expires);
                let at = later.unwrap_or(self.tokens.len());
                self.tokens.insert(at, (expires, 1));
            }
            QuotaPermit::Token { .. } => {}
            QuotaPermit::FixedShare { taken } => {
                if let Some(index) = self.fixed_uses.iter().position(|used| *used == taken) {
                    self.fixed_uses.remove(index);
                }
            }
        }
    }

    /// Forgets what the former quota owner has answered or not, but keeps the tokens.
    pub fn change_owner(&mut self) {
        self.asks.clear();
        self.unanswered = 0;
        self.first_unanswered = None;
        self.last_ask = None;
        self.next_token_at = Moment::default();
        self.empty_until = Moment::default();
        self.short_ask = None;
    }

    /// Returns whether nothing of the state matters any more.
    pub fn is_idle(&self, now: Moment, terms: &QuotaTerms) -> bool {
        self.waiting == 0
            && now.since(self.last_arrival) > terms.window.max(SILENCE_MEMORY)
            && self.held(now) == 0
    }

    fn take_token(&mut self, now: Moment) -> Option<QuotaPermit> {
        loop {
            let (expires, count) = self.tokens.front_mut()?;
            if *expires <= now || *count == 0 {
                self.tokens.pop_front();
                continue;
            }
            *count -= 1;
            return Some(QuotaPermit::Token { expires: *expires });
        }
    }

    fn refuse(&mut self, now: Moment, terms: &QuotaTerms) -> QuotaDecision {
        // Each refused request needs a token of its own.
        let others = terms.limit.seconds_for(f64::from(self.refused));
        let delay = self.next_token_at.since(now) + Duration::from_secs_f64(others);
        self.refused += 1;
        let retry_after = delay.clamp(RETRY_AFTER_MIN, terms.window.max(RETRY_AFTER_MIN));
        QuotaDecision::Refused {
            retry_after,
            answered: true,
        }
    }

    /// Returns the number of valid tokens.
    fn held(&self, now: Moment) -> u32 {
        let valid = self.tokens.iter().filter(|(expires, _)| *expires > now);
        valid.map(|(_, count)| *count).sum()
    }

    /// Returns the averaged rate of arrivals, which decays while none arrive.
    fn rate_at(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.last_arrival).as_secs_f64();
        self.rate * (-elapsed / RATE_TIME.as_secs_f64()).exp()
    }

    /// Returns whether the quota owner has left several asks unanswered, so that requests don't wait
    /// for it.
    fn is_silent(&self, now: Moment) -> bool {
        let recent = self
            .last_ask
            .is_some_and(|last| now.since(last) <= SILENCE_MEMORY);
        let first = self.first_unanswered;
        recent
            && self.unanswered >= SILENT_ASKS
            && first.is_some_and(|first| now.since(first) >= SILENT_AFTER)
    }

    /// Returns whether a silent quota owner is asked although no request waits for it.
    fn needs_probe(&self, now: Moment) -> bool {
        self.is_silent(now) && self.held(now) == 0
    }

    fn next_ask(&self, terms: &QuotaTerms, hurried: bool) -> Moment {
        let interval = match hurried {
            true => WAITING_ASK_INTERVAL.min(terms.ask_interval),
            false => terms.ask_interval,
        };
        self.last_ask
            .map_or(Moment::default(), |last| last + interval)
    }
}
