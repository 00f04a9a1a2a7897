//! A caller: sends requests with retries, checks the responses and records the reported outcomes.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::process::sync;
use foxtaildrift::request::idempotency_key::IdempotencyKey;
use foxtaildrift::request::outcome::Outcome;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::load::load_spec::LoadSpec;
use crate::load::load_stats::LoadStats;

/// How long a caller waits for a response beyond the timeout that it states in the request.
const RESPONSE_GRACE: Duration = Duration::from_millis(200);
/// After this time a caller stops retrying a task.
const TASK_TIMEOUT: Duration = Duration::from_secs(8);
/// The pause before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(20);
/// The least timeout of a request that changes state.
const MUTATION_TIMEOUT_MIN: Duration = Duration::from_secs(1);
/// How many unknown outcomes or missing responses of a task a caller retries.
const UNKNOWN_RETRIES_MAX: u32 = 2;
/// How long a caller avoids a daemon that did not respond.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(5);
/// The least time between two served requests of a key that counts as unavailable time.
const GAP_MIN: Duration = Duration::from_millis(100);

/// A caller with its random choices and statistics.
pub(super) struct Caller {
    spec: LoadSpec,
    number: usize,
    agent: ureq::Agent,
    /// The index of the daemon to which requests are sent.
    entry: usize,
    rng: SmallRng,
    /// When daemons failed to respond, by index.
    unresponsive: BTreeMap<usize, Instant>,
    /// When each key was last served.
    last_ran: BTreeMap<String, Instant>,
    stats: LoadStats,
}

/// The response to one attempt; without an outcome `text` is the error.
struct AttemptResult {
    outcome: Option<Outcome>,
    text: String,
}

impl Caller {
    /// Creates caller `number` of the load.
    pub(super) fn new(spec: LoadSpec, number: usize) -> Self {
        let mut rng = SmallRng::seed_from_u64(spec.seed ^ (number as u64) << 20);
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(
                MUTATION_TIMEOUT_MIN.max(spec.timeout) + RESPONSE_GRACE,
            ))
            .proxy(None);
        let entry = rng.random_range(0..spec.entries.len());
        let agent = config.build().new_agent();
        let (unresponsive, last_ran, stats) =
            (BTreeMap::new(), BTreeMap::new(), LoadStats::default());
        Self {
            spec,
            number,
            agent,
            entry,
            rng,
            unresponsive,
            last_ran,
            stats,
        }
    }

    /// Runs one task: a request with its retries.
    pub(super) fn run_task(&mut self) {
        let key = self.choose_key();
        let changes = self.rng.random_range(0..100) < self.spec.mutation_percent;
        let mut id = changes.then(IdempotencyKey::generate);
        let started = Instant::now();
        let mut sent = Instant::now();
        let mut first = true;
        let mut unknown = 0;
        let ran = loop {
            let result = self.send_attempt(&key, id, first);
            first = false;
            match result.outcome {
                Some(Outcome::Ran) => {
                    self.check_response(&result.text, &key, id);
                    break true;
                }
                Some(Outcome::NotRun) if unknown == 0 => {
                    // A request that surely did not run is sent as a new one, under a new
                    // idempotency key.
                    self.stats
                        .reported
                        .not_run
                        .extend(id.map(|i| i.to_string()));
                    id = changes.then(IdempotencyKey::generate);
                    (first, sent) = (true, Instant::now());
                }
                Some(Outcome::NotRun) => {}
                Some(Outcome::Unknown) | None => {
                    unknown += 1;
                    if result.outcome.is_none() && changes {
                        // The first attempt may still be in transit until its timeout has passed.
                        thread::sleep(self.timeout(changes).saturating_sub(sent.elapsed()));
                    }
                }
            }
            let may_retry = self.spec.retry_until_run || result.outcome.is_none();
            if !may_retry || unknown > UNKNOWN_RETRIES_MAX || started.elapsed() > TASK_TIMEOUT {
                break false;
            }
            thread::sleep(RETRY_PAUSE);
        };
        if ran {
            self.stats.ran += 1;
            self.record_served(&key);
        } else {
            self.stats.failed += 1;
        }
        if let Some(id) = id.filter(|_| ran) {
            self.stats.reported.ran.insert(id.to_string());
        }
    }

    /// Returns one of the caller's own keys or one of the hot keys, at random.
    fn choose_key(&mut self) -> String {
        if let Some(hot) = &self.spec.hot_keys
            && self.rng.random_ratio(1, 2)
            && let Some(key) = sync::lock(hot).choose(&mut self.rng)
        {
            return key.clone();
        }
        format!(
            "member-{}-{}",
            self.number,
            self.rng.random_range(0..self.spec.keys)
        )
    }

    /// Returns the timeout that a request states.
    fn timeout(&self, changes: bool) -> Duration {
        if changes {
            MUTATION_TIMEOUT_MIN.max(self.spec.timeout)
        } else {
            self.spec.timeout
        }
    }

    fn send_attempt(
        &mut self,
        key: &str,
        id: Option<IdempotencyKey>,
        first: bool,
    ) -> AttemptResult {
        let started = Instant::now();
        let entry = self.spec.entries[self.entry];
        let path = if id.is_some() { "bookings" } else { "stock" };
        let url = format!("http://{entry}/{}/{path}", self.spec.service);
        let timeout = self.timeout(id.is_some()).as_millis().to_string();
        let mut request = ureq::http::Request::builder()
            .method(if id.is_some() { "POST" } else { "GET" })
            .uri(url)
            .header("foxtaildrift-timeout-ms", timeout);
        if self.spec.sends_key {
            request = request.header("foxtaildrift-key", key);
        }
        if let Some(id) = id {
            request = request.header("idempotency-key", id.to_string());
        }
        if first {
            request = request.header("foxtaildrift-attempt", "first");
        }
        let body = if id.is_some() {
            format!("work {key}").into_bytes()
        } else {
            Vec::new()
        };
        let result = self.send(request, body);
        self.stats.attempts += 1;
        let name = result
            .outcome
            .map_or_else(|| "none".to_owned(), |o| o.to_string());
        *self.stats.outcomes.entry(name).or_default() += 1;
        match result.outcome {
            Some(Outcome::Ran) => {
                let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
                // It can't fail: the histogram resizes itself.
                let _ = self.stats.latency.record(micros);
            }
            _ => {
                let reason = result.text.trim().to_owned();
                *self.stats.reasons.entry(reason).or_default() += 1;
                self.switch_entry(result.outcome.is_some());
            }
        }
        result
    }

    /// Switches to another daemon, except those that lately failed to respond; any daemon serves
    /// any key.
    fn switch_entry(&mut self, has_responded: bool) {
        if !has_responded {
            self.unresponsive.insert(self.entry, Instant::now());
        }
        self.unresponsive
            .retain(|_, at| at.elapsed() < UNRESPONSIVE_TIME);
        let entries = 0..self.spec.entries.len();
        let others: Vec<usize> = entries
            .filter(|e| *e != self.entry && !self.unresponsive.contains_key(e))
            .collect();
        self.entry = others.choose(&mut self.rng).copied().unwrap_or(self.entry);
    }

    fn send(&self, request: ureq::http::request::Builder, body: Vec<u8>) -> AttemptResult {
        let failed = |text: String| AttemptResult {
            outcome: None,
            text,
        };
        let sent = match body.is_empty() {
            true => match request.body(()) {
                Ok(request) => self.agent.run(request),
                Err(e) => return failed(e.to_string()),
            },
            false => match request.body(body) {
                Ok(request) => self.agent.run(request),
                Err(e) => return failed(e.to_string()),
            },
        };
        let response = match sent {
            Ok(response) => response,
            Err(e) => return failed(e.to_string()),
        };
        let outcome = response.headers().get("foxtaildrift-outcome");
        let outcome = outcome.and_then(|o| o.to_str().ok()?.parse().ok());
        match response.into_body().read_to_string() {
            Ok(text) => AttemptResult { outcome, text },
            Err(e) => failed(e.to_string()),
        }
    }

    /// Counts a response that does not belong to the request sent.
    fn check_response(&mut self, text: &str, key: &str, id: Option<IdempotencyKey>) {
        let id = id.map(|i| i.to_string()).unwrap_or_default();
        let key = if self.spec.sends_key { key } else { "" };
        let matches = text.contains(&format!(" {key} {id} ")) && text.ends_with('\n');
        if !matches {
            self.stats.wrong += 1;
        }
    }

    /// Records that a key was served now, and how long it was unavailable before.
    fn record_served(&mut self, key: &str) {
        let now = Instant::now();
        let last = self.last_ran.insert(key.to_owned(), now);
        self.record_gap(key, last, now);
    }

    /// Records the time since a key was last served as unavailable if it is longer than [`GAP_MIN`].
    fn record_gap(&mut self, key: &str, last: Option<Instant>, now: Instant) {
        let gap = last
            .map(|last| (now - last).saturating_sub(self.spec.pause))
            .unwrap_or_default();
        if self.spec.keys == 1 && gap > GAP_MIN {
            let millis = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            let longest = self.stats.unavailable.entry(key.to_owned()).or_default();
            *longest = (*longest).max(millis);
            *self
                .stats
                .unavailable_total
                .entry(key.to_owned())
                .or_default() += millis;
        } else {
            self.stats.unavailable.entry(key.to_owned()).or_default();
        }
    }

    /// Returns the pause between two tasks.
    pub(super) fn pause(&self) -> Duration {
        self.spec.pause
    }

    /// Returns the statistics, with the time since each key was last served, at the end of the load.
    pub(super) fn finish(mut self) -> LoadStats {
        self.record_final_gaps();
        self.stats
    }

    fn record_final_gaps(&mut self) {
        let now = Instant::now();
        for (key, last) in self.last_ran.clone() {
            self.record_gap(&key, Some(last), now);
        }
    }
}
