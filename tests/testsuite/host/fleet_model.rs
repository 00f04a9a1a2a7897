//! Model of a fleet without a network: daemons that choose among the upstreams of one service, and
//! learn of their load from replies only. Admission is that of the daemons beside the upstreams.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use foxtaildrift::process::host::admission::Decision;
use foxtaildrift::process::host::admission_queue::{Arrival, Ticket};
use foxtaildrift::process::host::upstream_selector::AttemptOutcome;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::request_kind::RequestKind;
use foxtaildrift::request::upstream_load::UpstreamLoad;
use foxtaildrift::version::domain_name::DomainName;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::Member;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::host::model_upstream::{self, ModelUpstream};

/// Time before the measurements begin: the selectors have had reports by then.
const WARM_UP_MICROS: u64 = 2_000_000;
/// Time between two measurements of the loads.
const SAMPLE_MICROS: u64 = 10_000;
/// When the last upstream joins, if it does not run from the start.
const JOIN_MICROS: u64 = 5_000_000;
/// Time after the join in which overruns at the upstream that joined are counted.
const JOIN_WINDOW_MICROS: u64 = 1_000_000;
/// Largest number of upstreams that a request is sent to.
const ATTEMPTS_MAX: usize = 3;

/// A daemon's choice of upstreams.
pub trait Selection {
    /// Returns the upstream for a request of a caller in `domain`.
    fn select<'m>(
        &self,
        now: Moment,
        members: &'m [Member],
        tried: &[InstanceId],
        domain: &DomainName,
    ) -> Option<&'m Member>;
    /// Records that a request is sent.
    fn call_started(&self, now: Moment, instance: InstanceId);
    /// Records the reply to a request.
    fn call_ended(&self, now: Moment, instance: InstanceId, outcome: AttemptOutcome);
}

/// The deployment and the traffic.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub daemons: usize,
    pub upstreams: usize,
    pub domains: usize,
    /// Requests in progress at the upstreams, as a share of what they can run on average.
    pub utilization: f64,
    /// Mean run time at an upstream of speed 1, in milliseconds.
    pub run_ms: f64,
    pub seconds: u64,
    pub seed: u64,
    /// Whether the last upstream joins late, without requests in progress.
    pub late_join: bool,
}

/// What a run of the model showed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Findings {
    /// Load per slot of the busiest upstream divided by the mean one, averaged over time.
    pub busiest_to_mean: f64,
    /// Refusals, and responses that were late because they were queued, while another upstream had
    /// free slots; per 1,000 requests.
    pub overruns: f64,
    /// Requests without a response within the objective, per 1,000.
    pub late: f64,
    /// Requests that no attempt got served, per 1,000.
    pub lost: f64,
    /// Mean time to the response, in milliseconds.
    pub mean_ms: f64,
    /// Requests that run in another failure domain than the caller's, per 1,000.
    pub remote: f64,
    /// Refusals by the upstream that joined late, in the second after it joined.
    pub refused_by_joined: f64,
}

impl Findings {
    /// Adds one of `runs` runs to their mean.
    pub fn add(&mut self, run: &Findings, runs: f64) {
        self.busiest_to_mean += run.busiest_to_mean / runs;
        self.overruns += run.overruns / runs;
        self.late += run.late / runs;
        self.lost += run.lost / runs;
        self.mean_ms += run.mean_ms / runs;
        self.remote += run.remote / runs;
        self.refused_by_joined += run.refused_by_joined / runs;
    }
}

struct Request {
    daemon: usize,
    upstream: usize,
    tried: Vec<InstanceId>,
    arrived: u64,
    sent: u64,
    queued_at: u64,
    admitted_at: u64,
    /// Whether another upstream had free slots when the request was queued.
    avoidable: bool,
    work_micros: f64,
    load: UpstreamLoad,
    refused: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    AtUpstream(usize),
    RunEnd(usize),
    Reply(usize),
    Sample,
}

/// The state of a run.
pub struct Fleet<'s> {
    deployment: Deployment,
    selections: &'s [Box<dyn Selection>],
    members: Vec<Member>,
    domains: Vec<DomainName>,
    upstreams: Vec<ModelUpstream>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    rng: SmallRng,
    interval_micros: f64,
    counted: f64,
    samples: f64,
    findings: Findings,
}

/// Runs the model with one selection for each daemon.
pub fn run(deployment: Deployment, selections: &[Box<dyn Selection>]) -> Findings {
    let mut fleet = Fleet::new(deployment, selections);
    fleet.schedule(0, Event::Arrival);
    fleet.schedule(WARM_UP_MICROS, Event::Sample);
    let end = deployment.seconds * 1_000_000;
    while let Some(Reverse((time, _, event))) = fleet.events.pop() {
        if time > end {
            break;
        }
        fleet.now = time;
        fleet.handle(event);
    }
    fleet.findings()
}

impl<'s> Fleet<'s> {
    fn new(deployment: Deployment, selections: &'s [Box<dyn Selection>]) -> Self {
        let mut rng = SmallRng::seed_from_u64(deployment.seed);
        let slots: Vec<u32> = (0..deployment.upstreams)
            .map(|_| rng.random_range(8..=18))
            .collect();
        let upstreams: Vec<_> = slots
            .iter()
            .map(|&s| ModelUpstream::new(s, deployment.seconds, &mut rng))
            .collect();
        let speeds = upstreams.iter().zip(&slots);
        let capacity: f64 = speeds.map(|(u, &s)| u.speed * f64::from(s)).sum();
        let available = model_upstream::MEAN_AVAILABILITY;
        let members = slots.iter().enumerate();
        Self {
            deployment,
            selections,
            members: members
                .map(|(n, &s)| model_upstream::member(n, deployment.domains, s))
                .collect(),
            domains: (0..deployment.domains)
                .map(model_upstream::domain_name)
                .collect(),
            upstreams,
            requests: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            rng,
            interval_micros: deployment.run_ms * 1000.0
                / (capacity * available * deployment.utilization),
            counted: 0.0,
            samples: 0.0,
            findings: Findings::default(),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::AtUpstream(r) => self.reach_upstream(r),
            Event::RunEnd(r) => self.end_run(r),
            Event::Reply(r) => self.receive_reply(r),
            Event::Sample => self.sample(),
        }
    }

    fn arrive(&mut self) {
        let pause = -self.rng.random_range(1e-9..1.0f64).ln() * self.interval_micros;
        self.schedule(self.now + pause.ceil() as u64, Event::Arrival);
        let work = self.rng.random_range(0.4..1.6) * self.deployment.run_ms * 1000.0;
        self.requests.push(Request {
            daemon: self.rng.random_range(0..self.selections.len()),
            upstream: 0,
            tried: Vec::new(),
            arrived: self.now,
            sent: self.now,
            queued_at: 0,
            admitted_at: 0,
            avoidable: false,
            work_micros: work,
            load: UpstreamLoad::default(),
            refused: false,
        });
        self.counted += if self.now >= WARM_UP_MICROS { 1.0 } else { 0.0 };
        self.send(self.requests.len() - 1);
    }

    fn send(&mut self, r: usize) {
        let request = &mut self.requests[r];
        let selection = &self.selections[request.daemon];
        let domain = &self.domains[request.daemon % self.domains.len()];
        let now = Moment(self.now);
        let is_joined = !self.deployment.late_join || self.now >= JOIN_MICROS;
        let present = self.members.len() - usize::from(!is_joined);
        let selected = selection.select(now, &self.members[..present], &request.tried, domain);
        let instance = selected
            .expect("more upstreams than attempts")
            .info
            .session
            .instance;
        selection.call_started(now, instance);
        request.tried.push(instance);
        request.upstream = instance.0 as usize;
        request.sent = self.now;
        request.refused = false;
        let delay = self.hop_micros(r);
        self.schedule(self.now + delay, Event::AtUpstream(r));
    }

    fn hop_micros(&self, r: usize) -> u64 {
        let request = &self.requests[r];
        let domains = self.domains.len();
        match request.daemon % domains == request.upstream % domains {
            true => 500,
            false => 2_000,
        }
    }

    fn objective_micros(&self) -> u64 {
        (self.deployment.run_ms * 6000.0) as u64
    }

    fn reach_upstream(&mut self, r: usize) {
        let u = self.requests[r].upstream;
        let objective = Moment(self.requests[r].arrived + self.objective_micros());
        let deadline = objective + Duration::from_secs(5);
        let others_free = self.upstreams.iter().any(ModelUpstream::has_free_slots);
        let is_counted = self.requests[r].arrived >= WARM_UP_MICROS;
        self.requests[r].queued_at = self.now;
        self.requests[r].avoidable = false;
        let arrival = Arrival {
            priority: 1,
            team: None,
            kind: RequestKind::default(),
            key: None,
            deadline,
            objective,
        };
        let admission = &mut self.upstreams[u].admission;
        match admission.admit(Moment(self.now), &arrival) {
            Decision::Admitted => self.start(r),
            Decision::Queued(ticket) => {
                self.upstreams[u].queued.insert(ticket, r);
                self.requests[r].avoidable = others_free;
            }
            Decision::Refused { .. } => {
                self.findings.overruns += f64::from(u8::from(others_free && is_counted));
                let joined_for = self.now.saturating_sub(JOIN_MICROS);
                let is_new = u + 1 == self.members.len() && joined_for < JOIN_WINDOW_MICROS;
                self.findings.refused_by_joined +=
                    f64::from(u8::from(self.deployment.late_join && is_new));
                self.refuse(r);
            }
        }
    }

    /// Replies that the upstream's daemon refuses a request.
    fn refuse(&mut self, r: usize) {
        self.requests[r].refused = true;
        self.requests[r].load = self.upstreams[self.requests[r].upstream].load();
        let delay = self.hop_micros(r);
        self.schedule(self.now + delay, Event::Reply(r));
    }

    fn start(&mut self, r: usize) {
        let request = &mut self.requests[r];
        request.admitted_at = self.now;
        let end = self.upstreams[request.upstream].end_of(self.now, request.work_micros);
        self.schedule(end, Event::RunEnd(r));
    }

    fn end_run(&mut self, r: usize) {
        let (u, ran) = (
            self.requests[r].upstream,
            self.now - self.requests[r].admitted_at,
        );
        let now = Moment(self.now);
        let upstream = &mut self.upstreams[u];
        upstream.admission.complete(
            now,
            Some((RequestKind::default(), Duration::from_micros(ran))),
        );
        let turns = upstream.admission.admit_waiting(now);
        let mut take = |tickets: Vec<Ticket>| -> Vec<usize> {
            let queued = tickets.iter().filter_map(|t| upstream.queued.remove(t));
            queued.collect()
        };
        let (next, expired) = (take(turns.admitted), take(turns.expired));
        let waited = self.requests[r].admitted_at - self.requests[r].queued_at;
        self.requests[r].load = UpstreamLoad {
            waited_ms: (waited / 1000) as u32,
            ran_ms: (ran / 1000) as u32,
            ..upstream.load()
        };
        let delay = self.hop_micros(r);
        self.schedule(self.now + delay, Event::Reply(r));
        for r in next {
            self.start(r);
        }
        for r in expired {
            self.refuse(r);
        }
    }

    fn receive_reply(&mut self, r: usize) {
        let request = &self.requests[r];
        let outcome = AttemptOutcome {
            failed: request.refused,
            duration: Duration::from_micros(self.now - request.sent),
            load: Some(request.load),
        };
        let instance = InstanceId(request.upstream as u64);
        self.selections[request.daemon].call_ended(Moment(self.now), instance, outcome);
        if request.refused && request.tried.len() < ATTEMPTS_MAX {
            self.send(r);
        } else if request.arrived >= WARM_UP_MICROS {
            self.record(r);
        }
    }

    fn record(&mut self, r: usize) {
        let request = &self.requests[r];
        let elapsed = self.now - request.arrived;
        let is_late = elapsed > self.objective_micros();
        let is_remote = self.hop_micros(r) > 500;
        let queued_late = is_late && request.avoidable && request.queued_at < request.admitted_at;
        let count = |yes: bool| f64::from(u8::from(yes));
        self.findings.overruns += count(queued_late && !request.refused);
        self.findings.late += count(is_late || request.refused);
        self.findings.lost += count(request.refused);
        self.findings.remote += count(is_remote);
        self.findings.mean_ms += elapsed as f64 / 1000.0;
    }

    fn sample(&mut self) {
        self.schedule(self.now + SAMPLE_MICROS, Event::Sample);
        let loads = self.upstreams.iter().map(ModelUpstream::load_per_slot);
        let (sum, most) = loads.fold((0.0, 0.0f64), |(s, m), l| (s + l, m.max(l)));
        self.findings.busiest_to_mean += most * self.upstreams.len() as f64 / sum.max(1e-9);
        self.samples += 1.0;
    }

    fn findings(self) -> Findings {
        let per_mille = 1000.0 / self.counted;
        Findings {
            busiest_to_mean: self.findings.busiest_to_mean / self.samples,
            overruns: self.findings.overruns * per_mille,
            late: self.findings.late * per_mille,
            lost: self.findings.lost * per_mille,
            mean_ms: self.findings.mean_ms / self.counted,
            remote: self.findings.remote * per_mille,
            refused_by_joined: self.findings.refused_by_joined,
        }
    }
}
