//! The virtual time, network and platform of a randomised run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
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
use foxtaildrift::process::session_facts::SessionFacts;
use foxtaildrift::version::document::Document;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::slice_id::SliceId;
use foxtaildrift::version::table::Table;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::explore::chaos::Chaos;
use crate::explore::node::{HostClock, Node};
use crate::explore::tamper::Tamper;
use crate::explore::watch::Watch;

/// Virtual time, in microseconds.
pub type Time = u64;

/// The service of the run.
pub const SERVICE: &str = "order-desk";
/// How many daemons there are, at the least and at the most.
const NODES: (usize, usize) = (3, 9);
/// How many failure domains there are.
const DOMAINS: usize = 3;
/// How many slices there are.
const SLICES: u64 = 6;
/// A millisecond of virtual time.
pub const MILLI: Time = 1000;
/// How often each daemon ticks.
const TICK: Time = 50 * MILLI;
/// How often a daemon looks for something to plan.
const PLAN: Time = 300 * MILLI;
/// How long things have to come right at the end.
const HEAL_TIME: Time = 30_000 * MILLI;
/// How long the planner must be at rest then.
const QUIET_TIME: Time = 5_000 * MILLI;
/// The longest drift of a clock, in parts per million.
const DRIFT_PPM: i64 = 5000;

/// What a run starts from.
#[derive(Clone, Copy, Debug)]
pub struct WorldSpec {
    /// The seed of all choices.
    pub seed: u64,
    /// The rule that is taken out.
    pub tamper: Tamper,
}

/// Something that happens.
#[derive(Clone, Debug)]
enum Event {
    Tick(usize),
    Plan(usize),
    Write {
        node: usize,
        instance: InstanceId,
        base: Revision,
        table: Arc<Table>,
        lost: bool,
    },
    Deliver {
        to: usize,
        datagram: Box<Datagram>,
    },
    Table {
        to: usize,
        table: Arc<Table>,
    },
    Document {
        to: usize,
        version: DocumentVersion,
    },
    LetGo {
        node: usize,
        instance: InstanceId,
        epoch: Epoch,
    },
    Chaos,
}

/// The network, platform and daemons of a run.
pub struct World {
    /// The time.
    pub now: Time,
    /// The daemons.
    pub nodes: Vec<Node>,
    /// The links that pass nothing on.
    pub cuts: HashSet<(usize, usize)>,
    /// The part of datagrams that is lost: one in so many, or none where zero.
    pub lose_one_in: u32,
    /// Whether the platform answers.
    pub platform_up: bool,
    /// Whether answers of the platform are lost now and then.
    pub lose_answers: bool,
    /// The document in force and its version.
    pub document: (DocumentVersion, Document),
    /// The source of all choices.
    pub rng: ChaCha8Rng,
    /// Whether faults still happen.
    pub faults: bool,
    /// The rule that is taken out.
    pub tamper: Tamper,
    /// Where the aimed schedule is.
    pub aim_step: u32,
    /// The daemon that the aimed schedule cuts off.
    pub aim_node: usize,
    service: ServiceName,
    stored: (Revision, Arc<Table>),
    planner: Option<usize>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    next: u64,
    steps: u64,
    watch: Watch,
    by_peer: BTreeMap<SocketAddr, usize>,
}

impl World {
    /// Creates a world in which all daemons start at once.
    ///
    /// # Panics
    ///
    /// Panics where the fixed document is malformed.
    pub fn new(spec: &WorldSpec) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(spec.seed);
        let count = rng.random_range(NODES.0..=NODES.1);
        let nodes: Vec<Node> = (0..count)
            .map(|number| {
                let offset = Duration::from_millis(rng.random_range(0..100_000));
                let drift_ppm = rng.random_range(-DRIFT_PPM..=DRIFT_PPM);
                Node::new(number, number % DOMAINS, HostClock { offset, drift_ppm })
            })
            .collect();
        let text = format!("services: {{{SERVICE}: {{slices: {SLICES}}}}}");
        let document = Document::parse(&text).expect("the document is valid");
        let by_peer = nodes
            .iter()
            .enumerate()
            .map(|(n, node)| (node.peer, n))
            .collect();
        let mut world = Self {
            now: 0,
            nodes,
            cuts: HashSet::new(),
            lose_one_in: 0,
            platform_up: true,
            lose_answers: false,
            document: (DocumentVersion(1), document),
            rng,
            faults: true,
            tamper: spec.tamper,
            aim_step: 0,
            aim_node: 0,
            service: SERVICE.parse().expect("a name"),
            stored: (Revision::default(), Arc::default()),
            planner: None,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next: 0,
            steps: 0,
            watch: Watch::default(),
            by_peer,
        };
        for node in 0..count {
            world.start_node(node);
            world.schedule(TICK, Event::Tick(node));
            world.schedule(PLAN, Event::Plan(node));
        }
        world.schedule(0, Event::Chaos);
        world
    }

    /// Returns how many events were processed.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the epoch that the platform holds.
    pub fn epoch(&self) -> u64 {
        self.stored.1.epoch.0
    }

    /// Returns how many times a slice changed hands.
    pub fn takeovers(&self) -> u64 {
        self.watch.takeovers
    }

    /// Runs for `length`, then heals all faults and checks that each slice is served.
    ///
    /// # Errors
    ///
    /// Returns the invariant that was broken.
    pub fn run(&mut self, length: Duration) -> Result<(), String> {
        let end = u64::try_from(length.as_micros()).unwrap_or(u64::MAX);
        self.run_until(end)?;
        self.faults = false;
        Chaos::heal_all(self);
        self.run_until(end + HEAL_TIME)?;
        let settled = self.epoch();
        self.run_until(end + HEAL_TIME + QUIET_TIME)?;
        if self.epoch() != settled {
            return Err(format!(
                "the planner is not at rest: {settled} to {}",
                self.epoch()
            ));
        }
        self.check_served()
    }

    fn run_until(&mut self, end: Time) -> Result<(), String> {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            let Some(event) = self.events.remove(&number) else {
                continue;
            };
            self.now = at;
            self.steps += 1;
            self.process(event);
            self.watch
                .check(at, &mut self.nodes, &self.service, SLICES)?;
            if at > end {
                break;
            }
        }
        Ok(())
    }

    fn check_served(&self) -> Result<(), String> {
        for slice in (0..SLICES).map(SliceId) {
            let serves = |node: &Node| {
                let now = node.clock.read(self.now);
                let ownership = node.ownership.as_ref();
                ownership.is_some_and(|o| o.permit_for_slice(now, &self.service, slice).is_ok())
            };
            if !self.nodes.iter().any(serves) {
                let whys = self.nodes.iter().map(|node| {
                    let now = node.clock.read(self.now);
                    let ownership = node.ownership.as_ref();
                    ownership.map(|o| o.permit_for_slice(now, &self.service, slice).err())
                });
                let whys: Vec<_> = whys.collect();
                let assignment = self.stored.1.assignment(&self.service, slice);
                return Err(format!(
                    "slice {slice} is not served: {whys:?} {assignment:?}"
                ));
            }
        }
        Ok(())
    }

    /// Starts a new process on a host.
    pub fn start_node(&mut self, number: usize) {
        let instance = InstanceId(self.rng.random());
        let seed = self.rng.random();
        self.nodes[number].start(
            self.now,
            SessionId {
                instance,
                tenure: 1,
            },
            seed,
        );
    }

    /// Ends the process on a host.
    pub fn stop_node(&mut self, number: usize) {
        self.nodes[number].ownership = None;
    }

    /// Lets the process on a host forget all that it promised, without a new instance.
    fn forget(&mut self, number: usize) {
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
            seed,
        );
    }

    /// Restarts the process on a host; a tampered one keeps its identity.
    pub fn restart_node(&mut self, number: usize) {
        if self.tamper == Tamper::ForgetfulWitness {
            self.forget(number);
        } else {
            self.start_node(number);
        }
    }

    /// Lets something happen after `delay`.
    fn schedule(&mut self, delay: Time, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((self.now + delay, self.next)));
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Tick(node) => {
                let jitter = self.rng.random_range(0..5 * MILLI);
                self.schedule(TICK + jitter, Event::Tick(node));
                self.tick(node);
            }
            Event::Plan(node) => {
                let jitter = self.rng.random_range(0..PLAN);
                self.schedule(PLAN + jitter, Event::Plan(node));
                self.plan(node);
            }
            Event::Write {
                node,
                instance,
                base,
                table,
                lost,
            } => {
                self.write(node, instance, base, table, lost);
            }
            Event::Deliver { to, datagram } => self.deliver(to, datagram),
            Event::Table { to, table } => {
                if self.when_running(to, |w| w.nodes[to].base = None) {
                    self.with(to, |o, now| o.adopt_table(now, table));
                }
            }
            Event::Document { to, version } => self.with(to, |o, _| {
                if version > o.document_version() {
                    o.adopt_document_version(version);
                    o.broadcast_versions();
                }
            }),
            Event::LetGo {
                node,
                instance,
                epoch,
            } => self.let_go(node, instance, epoch),
            Event::Chaos => {
                if self.faults {
                    let delay = Chaos::strike(self);
                    self.schedule(delay, Event::Chaos);
                }
            }
        }
    }

    /// Runs `f` where the process runs now; an event for a paused one is lost.
    fn when_running(&mut self, node: usize, f: impl FnOnce(&mut Self)) -> bool {
        let running = self.nodes[node].is_running(self.now);
        if running {
            f(self);
        }
        running
    }

    /// Runs `f` on a running daemon's rules, and does what they ask for.
    pub fn with(&mut self, number: usize, f: impl FnOnce(&mut Ownership, Moment)) {
        if !self.nodes[number].is_running(self.now) {
            return;
        }
        let now = self.nodes[number].clock.read(self.now);
        let before = self.serving(number);
        let Some(ownership) = &mut self.nodes[number].ownership else {
            return;
        };
        f(ownership, now);
        let outputs = ownership.take_actions();
        for output in outputs {
            self.perform(number, output, &before);
        }
    }

    /// Returns the slices that a daemon serves, and until when its lease holds.
    fn serving(&self, number: usize) -> BTreeMap<SliceId, Moment> {
        let node = &self.nodes[number];
        let now = node.clock.read(self.now);
        let Some(ownership) = &node.ownership else {
            return BTreeMap::new();
        };
        let slices = (0..SLICES).map(SliceId);
        let served = slices.filter_map(|s| {
            let serving = ownership.permit_for_slice(now, &self.service, s).ok()?;
            Some((s, serving.until))
        });
        served.collect()
    }

    fn perform(
        &mut self,
        number: usize,
        output: OwnershipAction,
        before: &BTreeMap<SliceId, Moment>,
    ) {
        match output {
            OwnershipAction::Send { to, datagram } => self.send(number, to, datagram),
            OwnershipAction::FetchTable { from, .. } => self.fetch_table(number, from),
            OwnershipAction::FetchDocument { from, .. } => self.fetch_document(number, from),
            OwnershipAction::TableAdopted(epoch) => self.adopted(number, epoch, before),
            OwnershipAction::LeaseLapsed => self.nodes[number].working.clear(),
            OwnershipAction::LeaseLive | OwnershipAction::SessionEnded(_) => {}
        }
    }

    /// Lets work on released slices go on for a while before the daemon lets go.
    fn adopted(&mut self, number: usize, epoch: Epoch, before: &BTreeMap<SliceId, Moment>) {
        let after = self.serving(number);
        let released = before.iter().filter(|(s, _)| !after.contains_key(s));
        let released: Vec<_> = released.map(|(&s, &until)| (s, until)).collect();
        let node = &mut self.nodes[number];
        node.working.extend(released);
        node.letting_go = Some(epoch);
        let Some(ownership) = &node.ownership else {
            return;
        };
        let instance = ownership.info().session.instance;
        let delay = self.rng.random_range(MILLI..400 * MILLI);
        let early = self.tamper == Tamper::EarlyLetGo;
        let event = Event::LetGo {
            node: number,
            instance,
            epoch,
        };
        self.schedule(if early { MILLI } else { delay }, event);
    }

    fn let_go(&mut self, number: usize, instance: InstanceId, epoch: Epoch) {
        let node = &mut self.nodes[number];
        let same = node
            .ownership
            .as_ref()
            .is_some_and(|o| o.info().session.instance == instance);
        if !same || node.letting_go != Some(epoch) {
            return;
        }
        if !node.is_running(self.now) {
            let event = Event::LetGo {
                node: number,
                instance,
                epoch,
            };
            self.schedule(TICK, event);
            return;
        }
        if self.tamper != Tamper::EarlyLetGo {
            node.working.clear();
        }
        self.with(number, |o, now| o.announce_release(now, epoch));
    }

    fn tick(&mut self, number: usize) {
        if !self.nodes[number].is_running(self.now) {
            return;
        }
        self.with(number, |o, now| o.tick(now));
        let times = LeaseTimes::default();
        let silence = times.expiry_delay() + times.renewal_interval;
        let wait = u64::try_from(silence.as_micros()).unwrap_or(u64::MAX);
        let node = &self.nodes[number];
        if node.read_platform && self.now > node.started + wait * 11 / 10 {
            self.with(number, |o, now| o.end_former_sessions(now));
        }
    }

    fn plan(&mut self, number: usize) {
        if !self.nodes[number].is_running(self.now) || !self.reaches_platform(number) {
            return;
        }
        let table = Arc::clone(&self.stored.1);
        let version = self.document.0;
        self.nodes[number].base = Some(self.stored.0);
        self.nodes[number].read_platform = true;
        self.with(number, |o, now| {
            o.adopt_table(now, table);
            if version > o.document_version() {
                o.adopt_document_version(version);
            }
        });
        // The lease on planning is not always honoured, so that planners race.
        let races = self.rng.random_ratio(1, 8);
        let free = self
            .planner
            .is_none_or(|p| !self.nodes[p].is_running(self.now));
        if free {
            self.planner = Some(number);
        }
        if self.planner != Some(number) && !races {
            return;
        }
        let now = self.nodes[number].clock.read(self.now);
        let mut joins = self.nodes[number].joins.current(now);
        let node = &self.nodes[number];
        let (Some(base), Some(ownership)) = (node.base, &node.ownership) else {
            return;
        };
        if ownership.table().epoch != self.stored.1.epoch {
            return;
        }
        let own = ownership.info().clone();
        let instance = own.session.instance;
        joins.insert(instance, own);
        let input = PlanInput {
            table: ownership.table(),
            document: &self.document.1,
            document_version: self.document.0,
            join_requests: &joins,
            facts: ownership.facts(),
            end_certificates: ownership.end_certificates(),
            load_reports: &BTreeMap::new(),
            planner: instance,
        };
        let Some(next) = planner::plan(&input) else {
            return;
        };
        let next = self.tamper.table(ownership.table(), next);
        let lost = self.lose_answers && self.rng.random_ratio(1, 4);
        let delay = self.rng.random_range(MILLI..20 * MILLI);
        let delay = if self.rng.random_ratio(1, 20) {
            delay * 100
        } else {
            delay
        };
        let table = Arc::new(next);
        self.schedule(
            delay,
            Event::Write {
                node: number,
                instance,
                base,
                table,
                lost,
            },
        );
    }

    /// A compare-and-swap arrives at the platform.
    fn write(
        &mut self,
        number: usize,
        instance: InstanceId,
        base: Revision,
        table: Arc<Table>,
        lost: bool,
    ) {
        if !self.platform_up || self.stored.0 != base {
            return;
        }
        self.stored = (Revision(base.0 + 1), Arc::clone(&table));
        let same = self.nodes[number].ownership.as_ref();
        let same = same.is_some_and(|o| o.info().session.instance == instance);
        if same && !lost && self.nodes[number].sees_platform {
            self.with(number, |o, now| {
                o.adopt_table(now, table);
                o.broadcast_versions();
            });
        }
    }

    fn reaches_platform(&self, number: usize) -> bool {
        self.platform_up && self.nodes[number].sees_platform
    }

    fn deliver(&mut self, to: usize, datagram: Box<Datagram>) {
        if !self.nodes[to].is_running(self.now) {
            // What arrives at a paused process waits in its socket.
            if self.nodes[to].ownership.is_some() {
                let wait = self.nodes[to].paused_until - self.now + MILLI;
                self.schedule(wait, Event::Deliver { to, datagram });
            }
            return;
        }
        if let Message::Join(info) = &datagram.message {
            let now = self.nodes[to].clock.read(self.now);
            self.nodes[to].joins.record(now, (**info).clone());
        }
        self.with(to, |o, now| o.receive(now, *datagram));
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Datagram) {
        let Some(&to) = self.by_peer.get(&to) else {
            return;
        };
        let lost = self.lose_one_in > 0 && self.rng.random_ratio(1, self.lose_one_in);
        if self.tamper == Tamper::GrantAfterEnd {
            self.forge_grant(to, &datagram);
        }
        if self.tamper == Tamper::SkippedProof && self.rng.random_ratio(1, 200) {
            self.forge_proof(to);
        }
        if lost || self.cuts.contains(&(from, to)) {
            return;
        }
        let delay = self.rng.random_range(200..2 * MILLI);
        let delay = if self.rng.random_ratio(1, 50) {
            delay * 50
        } else {
            delay
        };
        self.schedule(
            delay,
            Event::Deliver {
                to,
                datagram: Box::new(datagram),
            },
        );
    }

    /// Answers a renewal as a witness would that forgot that it stated the session's end.
    fn forge_grant(&mut self, witness: usize, renewal: &Datagram) {
        let Message::Renew {
            session,
            sent,
            epoch,
        } = renewal.message
        else {
            return;
        };
        let Some(&holder) = self.by_peer.get(&renewal.peer) else {
            return;
        };
        let Some(ownership) = &self.nodes[witness].ownership else {
            return;
        };
        let from = ownership.info().session.instance;
        let message = Message::Grant {
            session,
            sent,
            epoch,
        };
        let grant = Datagram {
            from,
            peer: self.nodes[witness].peer,
            message,
            ..renewal.clone()
        };
        self.schedule(
            MILLI,
            Event::Deliver {
                to: holder,
                datagram: Box::new(grant),
            },
        );
    }

    /// Lets a daemon believe that some first candidate has ended.
    fn forge_proof(&mut self, to: usize) {
        let Some(assignment) = self.stored.1.assignment(&self.service, SliceId(0)) else {
            return;
        };
        let Some(&first) = assignment.candidates.first() else {
            return;
        };
        let Some(ownership) = &self.nodes[to].ownership else {
            return;
        };
        let own = ownership.info();
        if own.session == first {
            return;
        }
        let resigned = BTreeMap::from([(first, Epoch(1))]);
        let datagram = Datagram {
            cell_hash: 1,
            from: InstanceId(u64::MAX),
            peer: own.peer,
            epoch: Epoch::default(),
            document_version: DocumentVersion::default(),
            message: Message::Facts(SessionFacts {
                resigned,
                ..SessionFacts::default()
            }),
        };
        self.schedule(
            MILLI,
            Event::Deliver {
                to,
                datagram: Box::new(datagram),
            },
        );
    }

    /// Returns the rules of the daemon at `from` where a call from `to` reaches it now.
    fn reachable(&self, to: usize, from: SocketAddr) -> Option<&Ownership> {
        let from = *self.by_peer.get(&from)?;
        let cut = self.cuts.contains(&(from, to)) || self.cuts.contains(&(to, from));
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
        self.schedule(delay, Event::Table { to, table });
    }

    fn fetch_document(&mut self, to: usize, from: SocketAddr) {
        let Some(ownership) = self.reachable(to, from) else {
            return;
        };
        let version = ownership.document_version();
        let delay = self.rng.random_range(MILLI..10 * MILLI);
        self.schedule(delay, Event::Document { to, version });
    }
}
