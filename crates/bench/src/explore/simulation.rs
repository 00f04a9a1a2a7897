//! A simulated cell in virtual time: processes its events and checks the invariants after each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foxtaildrift::process::datagram::{Datagram, Message};
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::ownership_action::OwnershipAction;
use foxtaildrift::process::planner::{self, PlanInput};
use foxtaildrift::process::platform::Revision;
use foxtaildrift::process::release_tracker::ReleaseId;
use foxtaildrift::version::document::Document;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::slice_id::SliceId;
use foxtaildrift::version::table::Table;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::explore::event::Event;
use crate::explore::event_queue::EventQueue;
use crate::explore::fault_injector::FaultInjector;
use crate::explore::forged_datagram;
use crate::explore::invariant_checker::InvariantChecker;
use crate::explore::network::Network;
use crate::explore::node::{HostClock, Node, UnfinishedWork};
use crate::explore::platform::Platform;
use crate::explore::release::Release;
use crate::explore::tamper::Tamper;

/// Virtual time, in microseconds.
pub type Time = u64;

/// The name of the simulated service.
pub const SERVICE: &str = "order-desk";
/// The smallest and the largest number of daemons.
const NODE_COUNT: (usize, usize) = (3, 9);
/// The number of failure domains.
const DOMAINS: usize = 3;
/// The number of slices of the service.
const SLICES: u64 = 6;
/// One millisecond of virtual time.
pub const MILLI: Time = 1000;
/// The interval between two ticks of a daemon, without jitter.
const TICK_INTERVAL: Time = 50 * MILLI;
/// The shortest interval between two planner passes of a daemon.
const PLAN_INTERVAL: Time = 300 * MILLI;
/// How long the cell may take to recover after all faults are repaired.
const RECOVERY_TIME: Time = 30_000 * MILLI;
/// How long after recovery the planner must write no new table.
const PLANNER_IDLE_TIME: Time = 5_000 * MILLI;
/// The longest time until a release begins after its table was adopted.
const RELEASE_DELAY_MAX: Time = 400 * MILLI;
/// The longest time until the work on a lost slice ends, unless a call goes without an answer.
const WORK_TIME_MAX: Time = 400 * MILLI;
/// One in this number of lost slices has a call without an answer, which may be carried out until
/// its permit ends.
const UNANSWERED_ONE_IN: u32 = 8;
/// The interval at which a release checks whether its work has ended.
const RELEASE_POLL_INTERVAL: Time = 5 * MILLI;
/// The times after which a lapsed session is ended, one of which applies to all daemons.
const GIVE_UP_TIMES: [Duration; 2] = [Duration::from_millis(1200), Duration::from_secs(10)];
/// The largest drift of a clock, in parts per million.
const DRIFT_PPM_MAX: i64 = 5000;

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationSpec {
    /// The seed of the random number generator.
    pub seed: u64,
    /// The safety rule that is disabled.
    pub tamper: Tamper,
}

/// A simulated cell: daemons, network and platform.
pub struct Simulation {
    /// The current virtual time.
    pub now: Time,
    /// The hosts with their daemons.
    pub nodes: Vec<Node>,
    /// The network between the daemons.
    pub network: Network,
    /// The platform.
    pub platform: Platform,
    /// The random number generator of all choices.
    pub rng: ChaCha8Rng,
    /// Whether further faults are injected.
    pub faults_enabled: bool,
    /// The safety rule that is disabled.
    pub tamper: Tamper,
    /// The current step of the witness schedule.
    pub witness_schedule_step: u32,
    /// The daemon that the witness schedule isolates.
    pub isolated_owner: usize,
    service: ServiceName,
    queue: EventQueue,
    steps: u64,
    checker: InvariantChecker,
    times: LeaseTimes,
    /// A release that was announced while work on one of its slices continued.
    early_announcement: Option<String>,
}

impl Simulation {
    /// Creates a simulation whose daemons all start at time zero.
    ///
    /// # Panics
    ///
    /// Panics if the constant document or service name is invalid.
    pub fn new(spec: &SimulationSpec) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let count = rng.random_range(NODE_COUNT.0..=NODE_COUNT.1);
        let nodes: Vec<Node> = (0..count)
            .map(|number| {
                let offset = Duration::from_millis(rng.random_range(0..100_000));
                let drift_ppm = rng.random_range(-DRIFT_PPM_MAX..=DRIFT_PPM_MAX);
                Node::new(number, number % DOMAINS, HostClock { offset, drift_ppm })
            })
            .collect();
        let give_up_after = GIVE_UP_TIMES[rng.random_range(0..GIVE_UP_TIMES.len())];
        let times = LeaseTimes {
            give_up_after,
            ..LeaseTimes::default()
        };
        let text = format!("services: {{{SERVICE}: {{slices: {SLICES}}}}}");
        let document = Document::parse(&text).expect("the document is valid");
        let mut simulation = Self {
            now: 0,
            network: Network::new(&nodes),
            nodes,
            platform: Platform::new(document),
            rng,
            faults_enabled: true,
            tamper: spec.tamper,
            witness_schedule_step: 0,
            isolated_owner: 0,
            service: SERVICE.parse().expect("valid name"),
            queue: EventQueue::default(),
            steps: 0,
            checker: InvariantChecker::default(),
            times,
            early_announcement: None,
        };
        for node in 0..count {
            simulation.start_node(node);
            simulation.schedule(TICK_INTERVAL, Event::Tick(node));
            simulation.schedule(PLAN_INTERVAL, Event::Plan(node));
        }
        simulation.schedule(0, Event::InjectFault);
        simulation
    }

    /// Returns the number of processed events.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the epoch of the table that the platform stores.
    pub fn epoch(&self) -> u64 {
        self.platform.table.epoch.0
    }

    /// Returns how many times a slice got a new owner.
    pub fn takeovers(&self) -> u64 {
        self.checker.takeovers
    }

    /// Injects faults for `length`, then repairs them and checks that the planner becomes idle and
    /// each slice is served.
    ///
    /// # Errors
    ///
    /// Returns a description of the broken invariant.
    pub fn run(&mut self, length: Duration) -> Result<(), String> {
        let end = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        self.run_until(end)?;
        self.faults_enabled = false;
        FaultInjector::repair_all(self);
        self.run_until(end + RECOVERY_TIME)?;
        let recovered = self.epoch();
        self.run_until(end + RECOVERY_TIME + PLANNER_IDLE_TIME)?;
        if self.epoch() != recovered {
            return Err(format!(
                "the planner is not at rest: {recovered} to {}",
                self.epoch()
            ));
        }
        self.check_served()
    }

    /// Processes events up to and including the first one after `end`.
    fn run_until(&mut self, end: Time) -> Result<(), String> {
        while let Some((at, event)) = self.queue.pop() {
            self.now = at;
            self.steps += 1;
            self.process_event(event);
            if let Some(violation) = self.early_announcement.take() {
                return Err(violation);
            }
            self.checker
                .check(at, &mut self.nodes, &self.service, SLICES)?;
            if at > end {
                break;
            }
        }
        Ok(())
    }

    /// Checks that each slice is served by some daemon.
    fn check_served(&self) -> Result<(), String> {
        for slice in (0..SLICES).map(SliceId) {
            let serves = |node: &Node| {
                let now = node.clock.read(self.now);
                let ownership = node.ownership.as_ref();
                ownership.is_some_and(|o| o.permit_for_slice(now, &self.service, slice).is_ok())
            };
            if !self.nodes.iter().any(serves) {
                let refusals = self.nodes.iter().map(|node| {
                    let now = node.clock.read(self.now);
                    let ownership = node.ownership.as_ref();
                    ownership.map(|o| o.permit_for_slice(now, &self.service, slice).err())
                });
                let refusals: Vec<_> = refusals.collect();
                let assignment = self.platform.table.assignment(&self.service, slice);
                return Err(format!(
                    "slice {slice} is not served: {refusals:?} {assignment:?}"
                ));
            }
        }
        Ok(())
    }

    /// Starts a new daemon process on a host.
    pub fn start_node(&mut self, number: usize) {
        let instance = InstanceId(self.rng.random());
        let seed = self.rng.random();
        self.nodes[number].start(
            self.now,
            SessionId {
                instance,
                tenure: 1,
            },
            self.times,
            seed,
        );
    }

    /// Kills the daemon process on a host.
    pub fn stop_node(&mut self, number: usize) {
        self.nodes[number].ownership = None;
    }

    /// Restarts the process on a host with its instance id but without its state.
    fn restart_with_same_instance(&mut self, number: usize) {
        let Some(ownership) = &self.nodes[number].ownership else {
            return;
        };
        let SessionId { instance, tenure } = ownership.info().session;
        let seed = self.rng.random();
        self.nodes[number].start(
            self.now,
            SessionId {
                instance,
                tenure: tenure + 1,
            },
            self.times,
            seed,
        );
    }

    /// Restarts the process on a host; under `Tamper::ForgetfulWitness` it keeps its identity.
    pub fn restart_node(&mut self, number: usize) {
        if self.tamper == Tamper::ForgetfulWitness {
            self.restart_with_same_instance(number);
        } else {
            self.start_node(number);
        }
    }

    /// Schedules `event` after `delay`.
    fn schedule(&mut self, delay: Time, event: Event) {
        self.queue.push(self.now + delay, event);
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Tick(node) => {
                let jitter = self.rng.random_range(0..5 * MILLI);
                self.schedule(TICK_INTERVAL + jitter, Event::Tick(node));
                self.tick(node);
            }
            Event::Plan(node) => {
                let jitter = self.rng.random_range(0..PLAN_INTERVAL);
                self.schedule(PLAN_INTERVAL + jitter, Event::Plan(node));
                self.plan(node);
            }
            Event::WriteTable {
                node,
                instance,
                base,
                table,
                reply_lost,
            } => {
                self.write_table(node, instance, base, table, reply_lost);
            }
            Event::Deliver { to, datagram } => self.deliver(to, datagram),
            Event::ReceiveTable { to, table } => {
                if self.when_running(to, |s| s.nodes[to].base_revision = None) {
                    self.with_ownership(to, |o, now| o.adopt_table(now, table));
                }
            }
            Event::ReceiveDocumentVersion { to, version } => self.with_ownership(to, |o, _| {
                if version > o.document_version() {
                    o.adopt_document_version(version);
                    o.broadcast_versions();
                }
            }),
            Event::BeginRelease(release) => self.begin_release(release),
            Event::EndRelease(release, id) => self.end_release(release, id),
            Event::InjectFault => {
                if self.faults_enabled {
                    let delay = FaultInjector::inject_fault(self);
                    self.schedule(delay, Event::InjectFault);
                }
            }
        }
    }

    /// Calls `f` if the process is running, and returns whether it was; events for a paused process
    /// are lost.
    fn when_running(&mut self, node: usize, f: impl FnOnce(&mut Self)) -> bool {
        let running = self.nodes[node].is_running(self.now);
        if running {
            f(self);
        }
        running
    }

    /// Calls `f` with the ownership state of a running daemon and performs the resulting actions.
    pub fn with_ownership(&mut self, number: usize, f: impl FnOnce(&mut Ownership, Moment)) {
        if !self.nodes[number].is_running(self.now) {
            return;
        }
        let now = self.nodes[number].clock.read(self.now);
        self.nodes[number].record_permits(self.now, &self.service, SLICES);
        let Some(ownership) = &mut self.nodes[number].ownership else {
            return;
        };
        let epoch_before = ownership.table().epoch;
        f(ownership, now);
        let actions = ownership.take_actions();
        let epoch = ownership.table().epoch;
        let taken_by = (epoch > epoch_before).then_some(epoch);
        self.begin_work_on_lost_slices(number, taken_by);
        for action in actions {
            self.perform_action(number, action);
        }
    }

    /// Lets the work on the slices that a daemon does not serve any more continue for a while, at
    /// most until its permits end; `taken_by` is the epoch that took them away, if one did.
    fn begin_work_on_lost_slices(&mut self, number: usize, taken_by: Option<Epoch>) {
        let now = self.nodes[number].clock.read(self.now);
        let lost = self.nodes[number].take_lost_permits(self.now, &self.service, SLICES);
        for (slice, permitted_until) in lost {
            let unanswered = self.rng.random_ratio(1, UNANSWERED_ONE_IN);
            let work_time = Duration::from_micros(self.rng.random_range(0..WORK_TIME_MAX));
            let ends_at = match unanswered {
                true => permitted_until,
                false => permitted_until.min(now + work_time),
            };
            self.nodes[number].unfinished_work.push(UnfinishedWork {
                slice,
                taken_by,
                released_by: None,
                ends_at,
            });
        }
    }

    fn perform_action(&mut self, number: usize, action: OwnershipAction) {
        match action {
            OwnershipAction::Send { to, datagram } => self.send(number, to, datagram),
            OwnershipAction::FetchTable { from, .. } => self.fetch_table(number, from),
            OwnershipAction::FetchConfiguration { from, .. } => {
                self.fetch_document_version(number, from)
            }
            OwnershipAction::TableAdopted(epoch) => self.schedule_release(number, epoch),
            OwnershipAction::LeaseLapsed
            | OwnershipAction::LeaseLive
            | OwnershipAction::SessionEnded(_) => {}
        }
    }

    /// Schedules the begin of the release of the slices that the daemon lost. Releases overlap, and
    /// begin in another order than their tables came.
    fn schedule_release(&mut self, number: usize, epoch: Epoch) {
        let delay = self.rng.random_range(0..RELEASE_DELAY_MAX);
        let Some(ownership) = &self.nodes[number].ownership else {
            return;
        };
        let release = Release {
            node: number,
            instance: ownership.info().session.instance,
            epoch,
        };
        self.schedule(delay, Event::BeginRelease(release));
    }

    /// Returns whether the process that began `release` exists and runs; schedules `event` again if
    /// it is paused.
    fn is_releasing(&mut self, release: Release, event: Event) -> bool {
        let node = &self.nodes[release.node];
        let ownership = node.ownership.as_ref();
        let instance = ownership.map(|o| o.info().session.instance);
        if instance != Some(release.instance) {
            return false;
        }
        let running = node.is_running(self.now);
        if !running {
            let wait = node.paused_until - self.now;
            self.schedule(wait, event);
        }
        running
    }

    /// Begins a release, which waits for the work that no other one waits for.
    fn begin_release(&mut self, release: Release) {
        if !self.is_releasing(release, Event::BeginRelease(release)) {
            return;
        }
        let id = self.nodes[release.node].begin_release();
        self.schedule(MILLI, Event::EndRelease(release, id));
    }

    /// Ends a release and announces it, once its work has ended.
    fn end_release(&mut self, release: Release, id: ReleaseId) {
        if !self.is_releasing(release, Event::EndRelease(release, id)) {
            return;
        }
        let node = &mut self.nodes[release.node];
        let is_early = self.tamper == Tamper::EarlyRelease;
        if !is_early && node.is_release_busy(self.now, id) {
            self.schedule(RELEASE_POLL_INTERVAL, Event::EndRelease(release, id));
            return;
        }
        node.releases.end_at(id, Moment::default());
        let released = match self.tamper {
            Tamper::ReleaseAnnouncedByNumber => release.epoch,
            _ => node.releases.released_epoch(node.clock.read(self.now)),
        };
        self.announce_release(release.node, released);
    }

    /// Announces a release, and checks that no work on its slices continues.
    fn announce_release(&mut self, number: usize, epoch: Epoch) {
        if let Some(slice) = self.nodes[number].unreleased_slice(self.now, epoch) {
            self.early_announcement = Some(format!(
                "slice {slice} at {}: node {number} announces {epoch} while its work continues",
                self.now
            ));
        }
        self.with_ownership(number, |o, now| o.announce_release(now, epoch));
    }

    /// Lets a daemon serve nothing more, and resign its session once its work has ended.
    pub fn begin_resignation(&mut self, number: usize) {
        if !self.nodes[number].is_running(self.now) {
            return;
        }
        self.nodes[number].record_permits(self.now, &self.service, SLICES);
        self.nodes[number].is_resigning = true;
        self.begin_work_on_lost_slices(number, None);
        self.resign_if_idle(number);
    }

    /// Resigns the session of a daemon that has begun to resign, once its work has ended.
    fn resign_if_idle(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let is_early = self.tamper == Tamper::EarlyResignation;
        if !node.is_resigning || (!is_early && node.has_unfinished_work(self.now)) {
            return;
        }
        self.with_ownership(number, |o, now| o.resign(now));
        self.nodes[number].is_resigning = false;
    }

    /// Runs a daemon's periodic work.
    fn tick(&mut self, number: usize) {
        if !self.nodes[number].is_running(self.now) {
            return;
        }
        self.with_ownership(number, |o, now| o.tick(now));
        self.resign_if_idle(number);
        let times = self.times;
        let former_lease_time =
            u64::try_from(times.former_process_delay().as_micros()).unwrap_or(u64::MAX);
        let node = &self.nodes[number];
        // A tenth more covers the drift of the clocks.
        if node.has_read_platform && self.now > node.started_at + former_lease_time * 11 / 10 {
            self.with_ownership(number, |o, now| o.end_former_sessions(now));
        }
    }

    /// Reads the platform's table and, if the daemon is to plan, schedules the write of the next
    /// table.
    fn plan(&mut self, number: usize) {
        if !self.nodes[number].is_running(self.now) || !self.reaches_platform(number) {
            return;
        }
        let table = Arc::clone(&self.platform.table);
        let version = self.platform.document_version;
        self.nodes[number].base_revision = Some(self.platform.revision);
        self.nodes[number].has_read_platform = true;
        self.with_ownership(number, |o, now| {
            o.adopt_table(now, table);
            if version > o.document_version() {
                o.adopt_document_version(version);
            }
        });
        // The planner lease is sometimes ignored, so that planners race.
        let ignores_lease = self.rng.random_ratio(1, 8);
        let is_running = |n: usize| self.nodes[n].is_running(self.now);
        let has_lease = self.platform.acquire_planner_lease(number, is_running);
        if !has_lease && !ignores_lease {
            return;
        }
        let now = self.nodes[number].clock.read(self.now);
        let node = &mut self.nodes[number];
        let (Some(base), Some(ownership)) = (node.base_revision, &node.ownership) else {
            return;
        };
        let mut join_requests = node.join_requests.current(now, ownership.table());
        if ownership.table().epoch != self.platform.table.epoch {
            return;
        }
        let own = ownership.info().clone();
        let instance = own.session.instance;
        join_requests.insert(instance, own);
        let input = PlanInput {
            table: ownership.table(),
            document: &self.platform.document,
            document_version: self.platform.document_version,
            join_requests: &join_requests,
            facts: ownership.facts(),
            end_certificates: ownership.end_certificates(),
            load_reports: &BTreeMap::new(),
            planner: instance,
        };
        let Some(next) = planner::plan(&input) else {
            return;
        };
        let next = self.tamper.modify_table(ownership.table(), next);
        let reply_lost = self.platform.loses_replies && self.rng.random_ratio(1, 4);
        let delay = self.rng.random_range(MILLI..20 * MILLI);
        let delay = if self.rng.random_ratio(1, 20) {
            delay * 100
        } else {
            delay
        };
        let table = Arc::new(next);
        self.schedule(
            delay,
            Event::WriteTable {
                node: number,
                instance,
                base,
                table,
                reply_lost,
            },
        );
    }

    /// Executes a compare-and-swap of the table that has reached the platform.
    fn write_table(
        &mut self,
        number: usize,
        instance: InstanceId,
        base: Revision,
        table: Arc<Table>,
        reply_lost: bool,
    ) {
        if !self.platform.compare_and_swap(base, Arc::clone(&table)) {
            return;
        }
        let same_instance = self.nodes[number].ownership.as_ref();
        let same_instance = same_instance.is_some_and(|o| o.info().session.instance == instance);
        if same_instance && !reply_lost && self.nodes[number].platform_link_up {
            self.with_ownership(number, |o, now| {
                o.adopt_table(now, table);
                o.broadcast_versions();
            });
        }
    }

    fn reaches_platform(&self, number: usize) -> bool {
        self.platform.is_up && self.nodes[number].platform_link_up
    }

    fn deliver(&mut self, to: usize, datagram: Box<Datagram>) {
        if !self.nodes[to].is_running(self.now) {
            // A datagram for a paused process waits in its socket buffer.
            if self.nodes[to].ownership.is_some() {
                let wait = self.nodes[to].paused_until - self.now + MILLI;
                self.schedule(wait, Event::Deliver { to, datagram });
            }
            return;
        }
        if let Message::Join(request) = &datagram.message {
            let now = self.nodes[to].clock.read(self.now);
            self.nodes[to]
                .join_requests
                .record(now, (**request).clone());
        }
        self.with_ownership(to, |o, now| o.receive(now, *datagram));
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let Some(to) = self.network.node_at(to) else {
            return;
        };
        let lost = self.network.loses_datagram(&mut self.rng);
        if self.tamper == Tamper::GrantAfterEnd {
            self.send_forged_grant(to, &datagram);
        }
        if self.tamper == Tamper::SkippedProof && self.rng.random_ratio(1, 200) {
            self.send_forged_resignation(to);
        }
        if lost || self.network.is_cut(from, to) {
            return;
        }
        let delay = self.rng.random_range(200..2 * MILLI);
        let delay = if self.rng.random_ratio(1, 50) {
            delay * 50
        } else {
            delay
        };
        self.schedule_delivery(delay, to, datagram);
    }

    /// Sends the grant of a witness that has lost its end statement for the session.
    fn send_forged_grant(&mut self, witness: usize, renewal: &Datagram) {
        let Some(to) = self.network.node_at(renewal.peer) else {
            return;
        };
        let Some(ownership) = &self.nodes[witness].ownership else {
            return;
        };
        if let Some(grant) = forged_datagram::grant(ownership.info(), renewal) {
            self.schedule_delivery(MILLI, to, grant);
        }
    }

    /// Sends a daemon a forged resignation of the first candidate of slice 0.
    fn send_forged_resignation(&mut self, to: usize) {
        let assignment = self.platform.table.assignment(&self.service, SliceId(0));
        let Some(&first) = assignment.and_then(|a| a.candidates.first()) else {
            return;
        };
        let Some(ownership) = &self.nodes[to].ownership else {
            return;
        };
        let own = ownership.info();
        if own.session != first {
            let resignation = forged_datagram::resignation(first, own);
            self.schedule_delivery(MILLI, to, resignation);
        }
    }

    fn schedule_delivery(&mut self, delay: Time, to: usize, datagram: Datagram) {
        let datagram = Box::new(datagram);
        self.schedule(delay, Event::Deliver { to, datagram });
    }

    /// Returns the ownership state of the daemon at `from` if it can reply to a call from `to`.
    fn reachable(&self, to: usize, from: SocketAddr) -> Option<&Ownership> {
        let from = self.network.node_at(from)?;
        let cut = self.network.is_cut(from, to) || self.network.is_cut(to, from);
        let node = &self.nodes[from];
        let running = !cut && node.is_running(self.now);
        node.ownership.as_ref().filter(|_| running)
    }

    fn fetch_table(&mut self, to: usize, from: SocketAddr) {
        let Some(ownership) = self.reachable(to, from) else {
            return;
        };
        let table = Arc::clone(ownership.table());
        let delay = self.rng.random_range(MILLI..10 * MILLI);
        self.schedule(delay, Event::ReceiveTable { to, table });
    }

    fn fetch_document_version(&mut self, to: usize, from: SocketAddr) {
        let Some(ownership) = self.reachable(to, from) else {
            return;
        };
        let version = ownership.document_version();
        let delay = self.rng.random_range(MILLI..10 * MILLI);
        self.schedule(delay, Event::ReceiveDocumentVersion { to, version });
    }
}
