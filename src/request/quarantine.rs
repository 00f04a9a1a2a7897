//! Keeps requests that crash upstreams away from the next one.
//!
//! A request in flight when an upstream crashed is a suspect; one that was in flight at two crashes
//! is quarantined. Each daemon runs suspects one at a time, so that the second crash tells the
//! guilty one from the rest, and a suspect that runs well is cleared everywhere. To be alone at one
//! crash convicts nobody: upstreams also go down for reasons of their own.
//!
//! A crash may be noticed only after the orders that it broke have ended, when the next run of the
//! upstream listens already. So orders whose connection broke are remembered for a while.

use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::moment::Moment;
use crate::request::fingerprint::Fingerprint;
use crate::version::upstream::UpstreamBoot;

/// How long a suspicion lasts, and a conviction from the last crash on.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// The most suspects remembered.
const SUSPECTS_MAX: usize = 4096;
/// How many crashes convict a request.
const CRASHES: usize = 2;
/// How long after its connection broke an order is suspected when a crash is noticed: a new run of
/// an upstream reports within about two seconds.
const BROKEN_TIME: Duration = Duration::from_secs(5);
/// The most orders with a broken connection that are remembered.
const BROKEN_MAX: usize = 1024;

/// A request that was in flight when an upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The run of the upstream that crashed.
    pub boot: UpstreamBoot,
}

/// How far a request is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// Not at all.
    Clear,
    /// It was in flight at one crash: it runs, but not beside another suspect.
    Suspect,
    /// It crashes upstreams: it is refused.
    Quarantined,
}

#[derive(Clone, Debug)]
struct Case {
    boots: BTreeSet<UpstreamBoot>,
    until: Moment,
}

/// An order whose connection to the upstream broke before an answer came.
#[derive(Clone, Copy, Debug)]
struct Broken {
    suspicion: CrashSuspect,
    until: Moment,
}

/// The suspects that a daemon knows of.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: BTreeMap<Fingerprint, Case>,
    broken: VecDeque<Broken>,
    crashed: HashSet<UpstreamBoot>,
}

impl Quarantine {
    /// Takes in a suspicion.
    pub fn add_suspect(&mut self, now: Moment, suspicion: &CrashSuspect) {
        self.make_room(now);
        let fresh = || Case {
            boots: BTreeSet::new(),
            until: now,
        };
        let case = self
            .cases
            .entry(suspicion.fingerprint)
            .or_insert_with(fresh);
        case.boots.insert(suspicion.boot);
        case.until = now + QUARANTINE_TIME;
    }

    /// Takes in that the connection of an order broke before its answer came; the run `boot` of
    /// the upstream may have crashed.
    pub fn record_broken_connection(&mut self, now: Moment, suspicion: CrashSuspect) {
        if self.broken.len() >= BROKEN_MAX {
            self.broken.pop_front();
        }
        let until = now + BROKEN_TIME;
        self.broken.push_back(Broken { suspicion, until });
    }

    /// Takes in that the run `boot` of the upstream here ended while it had the requests `aloft`;
    /// returns all that are suspected of it, or nothing where that end was known.
    pub fn record_crash(
        &mut self,
        now: Moment,
        boot: UpstreamBoot,
        aloft: impl Iterator<Item = Fingerprint>,
    ) -> Vec<CrashSuspect> {
        if !self.crashed.insert(boot) {
            return Vec::new();
        }
        let broken = self.broken.iter().filter(|b| b.until > now);
        let broken = broken.map(|b| b.suspicion).filter(|s| s.boot == boot);
        let aloft = aloft.map(|fingerprint| CrashSuspect { fingerprint, boot });
        let suspects: Vec<CrashSuspect> = broken.chain(aloft).collect();
        self.broken
            .retain(|b| b.until > now && b.suspicion.boot != boot);
        for suspicion in &suspects {
            self.add_suspect(now, suspicion);
        }
        suspects
    }

    /// Returns whether the end of the run `boot` is known.
    pub fn has_crashed(&self, boot: UpstreamBoot) -> bool {
        self.crashed.contains(&boot)
    }

    /// Returns how far a request is suspected.
    pub fn state_of(&self, now: Moment, fingerprint: Fingerprint) -> QuarantineState {
        match self.cases.get(&fingerprint) {
            Some(case) if case.until <= now => QuarantineState::Clear,
            Some(case) if case.boots.len() >= CRASHES => QuarantineState::Quarantined,
            Some(_) => QuarantineState::Suspect,
            None => QuarantineState::Clear,
        }
    }

    /// Clears a suspect that an upstream ran without a crash; returns whether it was one.
    pub fn clear(&mut self, now: Moment, fingerprint: Fingerprint) -> bool {
        let suspect = self.state_of(now, fingerprint) == QuarantineState::Suspect;
        if suspect {
            self.cases.remove(&fingerprint);
        }
        suspect
    }

    fn make_room(&mut self, now: Moment) {
        if self.cases.len() < SUSPECTS_MAX {
            return;
        }
        self.cases.retain(|_, c| c.until > now);
        while self.cases.len() >= SUSPECTS_MAX {
            let oldest = self
                .cases
                .iter()
                .min_by_key(|(_, c)| c.until)
                .map(|(&f, _)| f);
            let Some(oldest) = oldest else { return };
            self.cases.remove(&oldest);
        }
    }
}
