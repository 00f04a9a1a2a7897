//! Refuses requests that crash upstreams.
//!
//! A request in flight when an upstream crashed is a suspect; one that was in flight at two crashes
//! is quarantined. Each daemon runs suspects one at a time, so that a second crash identifies the
//! request that causes it, and a suspect that runs without a crash is cleared on all daemons. One
//! crash is not enough, even if only one request was in flight: upstreams also go down for
//! unrelated reasons.
//!
//! A crash may be detected only after the requests that it interrupted have failed, when the next
//! upstream process is already listening. Requests whose connection broke are therefore remembered
//! for `BROKEN_TIME`.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::moment::Moment;
use crate::request::fingerprint::Fingerprint;
use crate::version::upstream::UpstreamBoot;

/// How long a request stays suspected or quarantined after the last crash.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// The maximum number of suspects.
const SUSPECTS_MAX: usize = 4096;
/// The number of crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// How long after its connection broke a request is still blamed for a detected crash. A restarted
/// upstream reports within about two seconds.
const BROKEN_TIME: Duration = Duration::from_secs(5);
/// The maximum number of remembered requests with a broken connection.
const BROKEN_MAX: usize = 1024;

/// A request that was in flight when an upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The upstream process that crashed.
    pub boot: UpstreamBoot,
}

/// How a request is treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// The request is not suspected.
    Clear,
    /// The request was in flight at one crash: it runs, but not concurrently with another suspect.
    Suspect,
    /// The request was in flight at several crashes: it is refused.
    Quarantined,
}

/// The crashes at which a request was in flight.
#[derive(Clone, Debug)]
struct CrashHistory {
    boots: BTreeSet<UpstreamBoot>,
    until: Moment,
}

/// A request whose connection to the upstream broke before the response.
#[derive(Clone, Copy, Debug)]
struct BrokenRequest {
    suspect: CrashSuspect,
    until: Moment,
}

/// The suspected and quarantined requests that a daemon knows of.
#[derive(Debug, Default)]
pub struct Quarantine {
    histories: BTreeMap<Fingerprint, CrashHistory>,
    broken: VecDeque<BrokenRequest>,
    crashed: HashSet<UpstreamBoot>,
}

impl Quarantine {
    /// Adds a suspect.
    pub fn add_suspect(&mut self, now: Moment, suspect: &CrashSuspect) {
        self.evict(now);
        let new_history = || CrashHistory {
            boots: BTreeSet::new(),
            until: now,
        };
        let history = self
            .histories
            .entry(suspect.fingerprint)
            .or_insert_with(new_history);
        history.boots.insert(suspect.boot);
        history.until = now + QUARANTINE_TIME;
    }

    /// Records that the connection of a request broke before the response; the upstream process
    /// `suspect.boot` may have crashed.
    pub fn record_broken_connection(&mut self, now: Moment, suspect: CrashSuspect) {
        if self.broken.len() >= BROKEN_MAX {
            self.broken.pop_front();
        }
        let until = now + BROKEN_TIME;
        self.broken.push_back(BrokenRequest { suspect, until });
    }

    /// Records that the upstream process `boot` ended while the requests `in_flight` were sent to
    /// it; returns all suspects of this crash, or none if the crash is already known.
    pub fn record_crash(
        &mut self,
        now: Moment,
        boot: UpstreamBoot,
        in_flight: impl Iterator<Item = Fingerprint>,
    ) -> Vec<CrashSuspect> {
        if !self.crashed.insert(boot) {
            return Vec::new();
        }
        let broken = self.broken.iter().filter(|b| b.until > now);
        let broken = broken.map(|b| b.suspect).filter(|s| s.boot == boot);
        let in_flight = in_flight.map(|fingerprint| CrashSuspect { fingerprint, boot });
        let suspects: Vec<CrashSuspect> = broken.chain(in_flight).collect();
        self.broken
            .retain(|b| b.until > now && b.suspect.boot != boot);
        for suspect in &suspects {
            self.add_suspect(now, suspect);
        }
        suspects
    }

    /// Returns whether the upstream process `boot` is known to have crashed.
    pub fn has_crashed(&self, boot: UpstreamBoot) -> bool {
        self.crashed.contains(&boot)
    }

    /// Returns how a request is treated at present.
    pub fn state_of(&self, now: Moment, fingerprint: Fingerprint) -> QuarantineState {
        match self.histories.get(&fingerprint) {
            Some(history) if history.until <= now => QuarantineState::Clear,
            Some(history) if history.boots.len() >= QUARANTINE_CRASHES => {
                QuarantineState::Quarantined
            }
            Some(_) => QuarantineState::Suspect,
            None => QuarantineState::Clear,
        }
    }

    /// Clears a suspect that ran without a crash; returns whether the request was a suspect.
    pub fn clear(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let was_suspect = self.state_of(now, fingerprint) == QuarantineState::Suspect;
        if was_suspect {
            self.histories.remove(&fingerprint);
        }
        was_suspect
    }

    /// Removes expired histories, and then the oldest, until there is room for another suspect.
    fn evict(&mut self, now: Moment) {
        if self.histories.len() < SUSPECTS_MAX {
            return;
        }
        self.histories.retain(|_, h| h.until > now);
        while self.histories.len() >= SUSPECTS_MAX {
            let oldest = self
                .histories
                .iter()
                .min_by_key(|(_, h)| h.until)
                .map(|(&f, _)| f);
            let Some(oldest) = oldest else { return };
            self.histories.remove(&oldest);
        }
    }
}
