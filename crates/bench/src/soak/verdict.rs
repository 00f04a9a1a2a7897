//! Checks the promises by comparing what callers received with what upstreams ran.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Instant;

use crate::host_cluster::HostCluster;
use crate::host_run::HostRun;
use crate::ownership_check::OwnershipCheck;
use crate::soak::callers::{CallOutcome, CallRecord};

/// The statuses that promise that a request did not run and never will.
const NOT_RUN: [u16; 4] = [408, 421, 429, 503];
/// The statuses that leave open whether a request ran.
const UNKNOWN: [u16; 2] = [502, 504];

/// The counts and violations of a soak.
#[derive(Debug, Default)]
pub struct SoakVerdict {
    /// The number of requests with a successful response.
    pub ran: usize,
    /// The number of requests refused as not run.
    pub refused: usize,
    /// The number of requests whose response leaves open whether they ran.
    pub unknown: usize,
    /// The number of requests without a response.
    pub unanswered: usize,
    /// How often a range of keys passed from one upstream to another.
    pub transfers: usize,
    /// The descriptions of the broken promises.
    pub violations: Vec<String>,
}

impl SoakVerdict {
    /// Checks a soak; from `planned_stops_from` on, planned stops were the only disturbance.
    pub fn of(cluster: &HostCluster, calls: &[CallRecord], planned_stops_from: Instant) -> Self {
        let runs: Vec<HostRun> = (0..cluster.hosts.len())
            .flat_map(|n| HostRun::read_all(&cluster.journal(n)))
            .collect();
        let mut verdict = Self::default();
        verdict.check_single_execution(&runs);
        verdict.check_owners(&runs);
        verdict.check_grants(cluster);
        verdict.check_responses(calls, &runs, planned_stops_from);
        verdict.check_routes(calls);
        for number in 0..cluster.hosts.len() {
            if cluster.log(number).contains("panicked") {
                verdict.violations.push(format!("daemon {number} panicked"));
            }
        }
        verdict
    }

    /// Checks that no request that is not idempotent (`POST`) ran twice.
    fn check_single_execution(&mut self, runs: &[HostRun]) {
        let mut counts: HashMap<&str, u32> = HashMap::new();
        for run in runs.iter().filter(|r| r.method == "POST") {
            *counts.entry(&run.id).or_default() += 1;
        }
        let twice = counts.iter().filter(|(_, n)| **n > 1);
        let twice = twice.map(|(id, n)| format!("{id} ran {n} times"));
        self.violations.extend(twice);
    }

    /// Checks that the fencing tokens of each key never fall, and that each token belongs to a
    /// single upstream process.
    fn check_owners(&mut self, runs: &[HostRun]) {
        let mut by_key: BTreeMap<u64, Vec<&HostRun>> = BTreeMap::new();
        for run in runs {
            if let Some(key) = run.key {
                by_key.entry(key).or_default().push(run);
            }
        }
        for (key, mut runs) in by_key {
            runs.sort_by_key(|r| r.started_at_micros);
            for pair in runs.windows(2) {
                let (before, after) = (pair[0], pair[1]);
                let same_upstream = before.upstream == after.upstream;
                let token_rises = after.fencing_token > before.fencing_token;
                let continues = same_upstream && after.fencing_token == before.fencing_token;
                if !token_rises && !continues {
                    let violation = format!("key {key} has two owners: {before} | {after}");
                    self.violations.push(violation);
                }
            }
        }
    }

    /// Checks the grants that upstreams carried out: a key passes on only with a higher token, and no
    /// two upstreams hold it together.
    fn check_grants(&mut self, cluster: &HostCluster) {
        let journals = (0..cluster.hosts.len()).map(|n| cluster.journal(n));
        match OwnershipCheck::read(journals) {
            Ok(check) => {
                self.transfers = check.transfers();
                let violations = check.violations();
                self.violations
                    .extend(violations.iter().map(|v| format!("two owners: {v}")));
            }
            Err(e) => self
                .violations
                .push(format!("the journals can't be read: {e}")),
        }
    }

    /// Checks that responses are complete, that requests refused as not run did not run, and that
    /// planned stops interrupted no request that ran.
    fn check_responses(
        &mut self,
        calls: &[CallRecord],
        runs: &[HostRun],
        planned_stops_from: Instant,
    ) {
        let ran: HashSet<&str> = runs.iter().map(|r| r.id.as_str()).collect();
        for call in calls {
            let (id, has_run) = (&call.id, ran.contains(call.id.as_str()));
            match &call.outcome {
                CallOutcome::Response(status, false) => {
                    self.violations
                        .push(format!("{id}: a false answer of {status}"));
                }
                CallOutcome::Response(200..300, true) if has_run => self.ran += 1,
                CallOutcome::Response(200..300, true) => {
                    self.violations
                        .push(format!("{id} was answered and never ran"));
                }
                CallOutcome::Response(status, true) if NOT_RUN.contains(status) => {
                    self.refused += 1;
                    if has_run {
                        self.violations.push(format!("{id}: {status}, but it ran"));
                    }
                }
                CallOutcome::Response(404, true) if call.route.is_some() => self.refused += 1,
                CallOutcome::Response(status, true) if UNKNOWN.contains(status) => {
                    self.unknown += 1
                }
                CallOutcome::Response(status, true) => {
                    self.violations
                        .push(format!("{id}: a proper request got {status}"));
                }
                CallOutcome::Failed(reason) => {
                    self.unanswered += 1;
                    if has_run && call.sent >= planned_stops_from {
                        let violation = format!("{id}: a planned stop cut it: {reason}");
                        self.violations.push(violation);
                    }
                }
            }
        }
    }

    /// Checks that a host that served a route does not refuse it later. This also applies after a
    /// restart of its daemon, which reads the newest routing before it becomes ready.
    fn check_routes(&mut self, calls: &[CallRecord]) {
        let mut served: HashMap<usize, (u32, Instant)> = HashMap::new();
        let mut routed: Vec<(&CallRecord, u32)> = calls
            .iter()
            .filter_map(|c| c.route.map(|r| (c, r)))
            .collect();
        routed.sort_by_key(|(c, _)| c.ended);
        for (call, route) in routed {
            match &call.outcome {
                CallOutcome::Response(200, true) => {
                    let newest_served = served.entry(call.host).or_insert((route, call.ended));
                    if route > newest_served.0 {
                        *newest_served = (route, call.ended);
                    }
                }
                CallOutcome::Response(404, true) => {
                    let newest_served = served.get(&call.host);
                    if newest_served.is_some_and(|(r, at)| route <= *r && call.sent > *at) {
                        let violation = format!("{}: route {route} was served before", call.id);
                        self.violations.push(violation);
                    }
                }
                _ => {}
            }
        }
    }
}
