//! A fleet of daemons with one team's quota, without a network.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use foxtaildrift::process::host::quota_config::QuotaConfig;
use foxtaildrift::process::host::quota_owner::QuotaOwner;
use foxtaildrift::process::host::quota_placement::{QuotaMember, TeamPlacement};
use foxtaildrift::process::host::quota_terms::QuotaTerms;
use foxtaildrift::process::host::team_limit::TeamLimit;
use foxtaildrift::process::host::team_quota::{QUOTA_WAIT_DIVISOR, QuotaDecision, TeamQuota};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::team_name::TeamName;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const CONFIG: QuotaConfig = QuotaConfig {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
pub const LEASE: Duration = Duration::from_secs(2);
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Time after the adoption of the first table at which a test's load begins.
pub const START_MS: u64 = 60_000;

struct Daemon {
    session: SessionId,
    view: Vec<QuotaMember>,
    placement: TeamPlacement,
    limit: TeamLimit,
    quota: TeamQuota,
    owner: QuotaOwner,
    is_up: bool,
    /// Connected daemons have the same number.
    network: u32,
    waiting: Vec<Moment>,
}

enum Packet {
    Ask {
        from: usize,
        sent: Moment,
        tokens: u32,
    },
    Grant {
        sent: Moment,
        tokens: u32,
        next: Duration,
    },
    Handover {
        tokens: u32,
    },
}

pub struct Fleet {
    pub now_ms: u64,
    pub admitted: Vec<Moment>,
    pub refused: Vec<(Moment, Duration)>,
    pub messages: u64,
    pub loss: f64,
    /// Tokens of a caller that stays within the limit.
    pub caller_level: f64,
    pub rng: SmallRng,
    team: TeamName,
    daemons: Vec<Daemon>,
    packets: BTreeMap<(u64, u64), (usize, Packet)>,
}

pub fn member(index: usize) -> QuotaMember {
    let instance = InstanceId(1000 + index as u64);
    QuotaMember {
        session: SessionId {
            instance,
            tenure: 1,
        },
        peer: SocketAddr::from(([127, 0, 0, 1], 1 + index as u16)),
        leaving: false,
    }
}

impl Fleet {
    pub fn new(size: usize, limit: TeamLimit) -> Self {
        let team: TeamName = "hule930".parse().expect("a name");
        let view: Vec<QuotaMember> = (0..size).map(member).collect();
        let daemons = view.iter().map(|m| Daemon {
            session: m.session,
            view: Vec::new(),
            placement: TeamPlacement::new(&team, &[], m.session),
            limit,
            quota: TeamQuota::default(),
            owner: QuotaOwner::new(CONFIG, LEASE),
            is_up: true,
            network: 0,
            waiting: Vec::new(),
        });
        let mut fleet = Self {
            now_ms: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
            messages: 0,
            loss: 0.0,
            caller_level: limit.burst,
            rng: SmallRng::seed_from_u64(7),
            daemons: daemons.collect(),
            team,
            packets: BTreeMap::new(),
        };
        (0..size).for_each(|i| fleet.adopt(i, &view));
        fleet.now_ms = START_MS;
        fleet
    }

    pub fn size(&self) -> usize {
        self.daemons.len()
    }

    pub fn now(&self) -> Moment {
        Moment::from_millis(self.now_ms)
    }

    pub fn view(&self, index: usize) -> Vec<QuotaMember> {
        self.daemons[index].view.clone()
    }

    pub fn owner_of(&self, index: usize) -> usize {
        let owner = self.daemons[index].placement.owner.expect("a member");
        self.index_of(owner.session)
    }

    /// Lets a daemon adopt a table with the members of `view`.
    pub fn adopt(&mut self, index: usize, view: &[QuotaMember]) {
        let now = self.now();
        let daemon = &mut self.daemons[index];
        let former = daemon.placement.owner;
        daemon.view = view.to_vec();
        daemon.placement = TeamPlacement::new(&self.team, view, daemon.session);
        if daemon.placement.owner != former {
            daemon.quota.change_owner();
        }
        let owned = daemon.owned(&self.team);
        let handovers = daemon.owner.adopt_members(now, &owned);
        if let (Some(&tokens), Some(next)) = (handovers.get(&self.team), daemon.placement.owner) {
            let to = self.index_of(next.session);
            self.send(index, to, Packet::Handover { tokens });
        }
    }

    pub fn set_limit(&mut self, index: usize, limit: TeamLimit) {
        let now = self.now();
        let daemon = &mut self.daemons[index];
        daemon.limit = limit;
        let owned = daemon.owned(&self.team);
        daemon.owner.adopt_limits(now, &owned);
    }

    pub fn stop(&mut self, index: usize) {
        self.daemons[index].is_up = false;
    }

    pub fn set_network(&mut self, index: usize, network: u32) {
        self.daemons[index].network = network;
    }

    /// Lets a request of the team arrive at a daemon.
    pub fn request(&mut self, index: usize) {
        let now = self.now();
        let daemon = &mut self.daemons[index];
        if daemon.is_up {
            daemon.quota.record_arrival(now);
            daemon.waiting.push(now);
            daemon.quota.begin_wait();
            self.decide(index);
            self.ask(index);
        }
    }

    /// Lets a millisecond pass.
    pub fn step(&mut self) {
        self.now_ms += 1;
        while let Some(entry) = self.packets.first_entry() {
            if entry.key().0 > self.now_ms {
                break;
            }
            let (to, packet) = entry.remove();
            if self.daemons[to].is_up {
                self.deliver(to, packet);
            }
        }
        for index in 0..self.daemons.len() {
            if self.daemons[index].is_up && !self.daemons[index].waiting.is_empty() {
                self.decide(index);
                self.ask(index);
            }
        }
    }

    /// Asserts that no window has more requests than the limit allows.
    pub fn assert_within(&self, limit: &TeamLimit, from_ms: u64) {
        let allowance = CONFIG.allowance(limit);
        let from = Moment::from_millis(from_ms);
        let inside: Vec<Moment> = self
            .admitted
            .iter()
            .copied()
            .filter(|t| *t >= from)
            .collect();
        for (index, start) in inside.iter().enumerate() {
            let end = inside.partition_point(|t| *t <= *start + CONFIG.window);
            let count = (end - index) as f64;
            assert!(count <= allowance, "{count} of {allowance} from {start}");
        }
    }

    pub fn admitted_since(&self, from_ms: u64) -> usize {
        let from = Moment::from_millis(from_ms);
        self.admitted.iter().filter(|t| **t >= from).count()
    }

    fn index_of(&self, session: SessionId) -> usize {
        (session.instance.0 - 1000) as usize
    }

    fn terms(&self, index: usize) -> QuotaTerms {
        let daemon = &self.daemons[index];
        QuotaTerms::new(&CONFIG, daemon.limit, &daemon.placement)
    }

    /// Decides on the requests that wait at a daemon.
    fn decide(&mut self, index: usize) {
        let (now, terms) = (self.now(), self.terms(index));
        let daemon = &mut self.daemons[index];
        for arrived in std::mem::take(&mut daemon.waiting) {
            let late = now.since(arrived) >= OBJECTIVE / QUOTA_WAIT_DIVISOR;
            let decision = match late {
                true => daemon.quota.admit_late(now, arrived, &terms),
                false => daemon.quota.admit(now, arrived, &terms),
            };
            match decision {
                QuotaDecision::Admitted(_) => self.admitted.push(now),
                QuotaDecision::Refused { retry_after, .. } => self.refused.push((now, retry_after)),
                QuotaDecision::Wait => {
                    daemon.waiting.push(arrived);
                    continue;
                }
            }
            daemon.quota.end_wait();
        }
    }

    fn ask(&mut self, index: usize) {
        let (now, terms) = (self.now(), self.terms(index));
        let daemon = &mut self.daemons[index];
        let Some(tokens) = daemon.quota.due_ask(now, &terms) else {
            return;
        };
        daemon.quota.record_ask(now, tokens);
        let ask = Packet::Ask {
            from: index,
            sent: now,
            tokens,
        };
        let to = self.owner_of(index);
        self.send(index, to, ask);
    }

    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        self.messages += 1;
        let is_cut = self.daemons[from].network != self.daemons[to].network;
        if is_cut || self.rng.random::<f64>() < self.loss {
            return;
        }
        let at = self.now_ms + self.rng.random_range(1..4);
        self.packets.insert((at, self.messages), (to, packet));
    }

    fn deliver(&mut self, to: usize, packet: Packet) {
        let (now, terms) = (self.now(), self.terms(to));
        let daemon = &mut self.daemons[to];
        match packet {
            Packet::Ask { from, sent, tokens } => {
                if let Some(issued) = daemon.owner.issue(now, &self.team, tokens) {
                    let (tokens, next) = (issued.tokens, issued.next_token_in);
                    self.send(to, from, Packet::Grant { sent, tokens, next });
                }
            }
            Packet::Grant { sent, tokens, next } => {
                daemon.quota.receive(now, &terms, sent, tokens, next);
            }
            Packet::Handover { tokens } => daemon.owner.accept_handover(now, &self.team, tokens),
        }
    }
}

impl Daemon {
    fn owned(&self, team: &TeamName) -> BTreeMap<TeamName, TeamLimit> {
        let is_owner = self
            .placement
            .owner
            .is_some_and(|o| o.session == self.session);
        let owned = is_owner.then(|| (team.clone(), self.limit));
        owned.into_iter().collect()
    }
}
