//! Quotas of all teams at one daemon: its tokens, the buckets that it owns, and the messages to
//! other daemons. Performs no I/O: callers pass in the time, and send the messages that are returned.
//!
//! Handles the load of many teams: teams with the same quota owner share one datagram.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::process::datagram::Message;
use crate::process::host::quota_config::QuotaConfig;
use crate::process::host::quota_owner::QuotaOwner;
use crate::process::host::quota_placement::{QuotaMember, TeamPlacement};
use crate::process::host::quota_terms::QuotaTerms;
use crate::process::host::team_limit::TeamLimit;
use crate::process::host::team_quota::{QuotaDecision, QuotaPermit, TeamQuota};
use crate::process::moment::Moment;
use crate::process::quota_message::{TeamGrant, TeamTokens};
use crate::version::session_id::SessionId;
use crate::version::team_name::TeamName;

/// Messages to other daemons.
pub type Outgoing = Vec<(SocketAddr, Message)>;

/// Quotas of all teams at one daemon.
#[derive(Debug)]
pub struct QuotaState {
    config: QuotaConfig,
    own: SessionId,
    members: Vec<QuotaMember>,
    limits: BTreeMap<TeamName, TeamLimit>,
    placements: BTreeMap<TeamName, TeamPlacement>,
    owner: QuotaOwner,
    quotas: HashMap<TeamName, TeamQuota>,
    /// Until when this daemon's session is live.
    live_until: Moment,
}

impl QuotaState {
    /// Creates the state of a daemon that knows no members and no limits. `lease` is the duration of
    /// a lease with its drift margin.
    pub fn new(config: QuotaConfig, lease: Duration, own: SessionId) -> Self {
        Self {
            config,
            own,
            members: Vec::new(),
            limits: BTreeMap::new(),
            placements: BTreeMap::new(),
            owner: QuotaOwner::new(config, lease),
            quotas: HashMap::new(),
            live_until: Moment::default(),
        }
    }

    /// Sets until when this daemon's session is live; `None` if it has lapsed, which empties the
    /// buckets that it owns.
    pub fn set_live(&mut self, now: Moment, live_until: Option<Moment>) {
        self.live_until = live_until.unwrap_or_default();
        if live_until.is_none() {
            self.owner.empty(now);
        }
    }

    /// Adopts the members of a table and this daemon's session; returns the handovers to the next
    /// owners of teams.
    pub fn adopt_members(
        &mut self,
        now: Moment,
        own: SessionId,
        members: Vec<QuotaMember>,
    ) -> Outgoing {
        if own == self.own && members == self.members {
            return Outgoing::new();
        }
        if own != self.own {
            // A new session begins like one of another daemon.
            self.owner.adopt_members(now, &BTreeMap::new());
        }
        self.own = own;
        self.members = members;
        self.place_teams();
        let lost = self.owner.adopt_members(now, &self.owned());
        let mut handovers: BTreeMap<SocketAddr, Vec<TeamTokens>> = BTreeMap::new();
        for (team, tokens) in lost {
            if let Some(next) = self.placements.get(&team).and_then(|p| p.owner) {
                let tokens = TeamTokens { team, tokens };
                handovers.entry(next.peer).or_default().push(tokens);
            }
        }
        let messages = handovers.into_iter();
        messages
            .map(|(peer, teams)| (peer, Message::QuotaHandover(teams)))
            .collect()
    }

    /// Adopts the limits of all teams that have one.
    pub fn adopt_limits(&mut self, now: Moment, limits: BTreeMap<TeamName, TeamLimit>) {
        if limits == self.limits {
            return;
        }
        self.limits = limits;
        self.place_teams();
        self.owner.adopt_limits(now, &self.owned());
    }

    /// Drops the state of teams that send nothing.
    pub fn forget_idle(&mut self, now: Moment) {
        let idle: Vec<TeamName> = self.quotas.keys().cloned().collect();
        for team in idle {
            let is_idle = match (self.terms(&team), self.quotas.get(&team)) {
                (Some(terms), Some(quota)) => quota.is_idle(now, &terms),
                _ => true,
            };
            if is_idle {
                self.quotas.remove(&team);
            }
        }
    }

    /// Records the arrival of a request of `team`.
    pub fn record_arrival(&mut self, now: Moment, team: &TeamName) {
        if self.limits.contains_key(team) {
            let quota = self.quotas.entry(team.clone()).or_default();
            quota.record_arrival(now);
        }
    }

    /// Decides on a request that arrived at `arrived`; `is_late` says that it can't wait any longer.
    /// Returns `None` if its team has no limit.
    pub fn admit(
        &mut self,
        now: Moment,
        arrived: Moment,
        team: &TeamName,
        is_late: bool,
    ) -> Option<QuotaDecision> {
        let terms = self.terms(team)?;
        let quota = self.quotas.entry(team.clone()).or_default();
        Some(match is_late {
            true => quota.admit_late(now, arrived, &terms),
            false => quota.admit(now, arrived, &terms),
        })
    }

    /// Records that a request of `team` begins to wait for a token.
    pub fn begin_wait(&mut self, team: &TeamName) {
        self.quotas.entry(team.clone()).or_default().begin_wait();
    }

    /// Records that a request of `team` waits no longer.
    pub fn end_wait(&mut self, team: &TeamName) {
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.end_wait();
        }
    }

    /// Returns when a request of `team` that waits can cause the next ask.
    pub fn next_ask(&self, now: Moment, team: &TeamName) -> Option<Moment> {
        let quota = self.quotas.get(team)?;
        Some(quota.next_waiting_ask(now, &self.terms(team)?))
    }

    /// Takes back the permit of a request that no upstream got.
    pub fn give_back(&mut self, now: Moment, team: &TeamName, permit: QuotaPermit) {
        if let Some(quota) = self.quotas.get_mut(team) {
            quota.give_back(now, permit);
        }
    }

    /// Returns the ask for tokens of `team`, if one is due, and of the other teams with the same
    /// owner. Where this daemon is the owner, it adds the tokens at once.
    pub fn ask(&mut self, now: Moment, team: &TeamName) -> Option<(SocketAddr, Message)> {
        self.due_ask(now, team)?;
        let owner = self.placements.get(team)?.owner?;
        let mut teams = Vec::new();
        for (team, placement) in &self.placements {
            if placement.owner.is_some_and(|o| o.session == owner.session)
                && let Some(tokens) = self.due_ask(now, team)
            {
                let team = team.clone();
                teams.push(TeamTokens { team, tokens });
            }
        }
        for ask in &teams {
            if let Some(quota) = self.quotas.get_mut(&ask.team) {
                quota.record_ask(now, ask.tokens);
            }
        }
        if owner.session == self.own {
            let grants = self.issue(now, &teams);
            self.receive(now, now, &grants);
            return None;
        }
        Some((owner.peer, Message::QuotaAsk { sent: now, teams }))
    }

    /// Issues tokens of the teams that this daemon owns.
    pub fn issue(&mut self, now: Moment, asks: &[TeamTokens]) -> Vec<TeamGrant> {
        if now >= self.live_until {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for ask in asks {
            if let Some(issued) = self.owner.issue(now, &ask.team, ask.tokens) {
                grants.push(TeamGrant {
                    team: ask.team.clone(),
                    tokens: issued.tokens,
                    next_token_in: issued.next_token_in,
                });
            }
        }
        grants
    }

    /// Adds the tokens of an answer to the ask sent at `sent`; returns how many are valid.
    pub fn receive(&mut self, now: Moment, sent: Moment, grants: &[TeamGrant]) -> u32 {
        let mut received = 0;
        for grant in grants {
            let Some(terms) = self.terms(&grant.team) else {
                continue;
            };
            if let Some(quota) = self.quotas.get_mut(&grant.team) {
                received += quota.receive(now, &terms, sent, grant.tokens, grant.next_token_in);
            }
        }
        received
    }

    /// Takes over the buckets of a former owner.
    pub fn accept_handovers(&mut self, now: Moment, teams: &[TeamTokens]) {
        for handover in teams {
            self.owner
                .accept_handover(now, &handover.team, handover.tokens);
        }
    }

    /// Returns the number of teams whose quota owner this daemon is.
    pub fn teams_owned(&self) -> usize {
        self.owner.teams()
    }

    /// Returns the quota owner of `team`.
    pub fn owner_of(&self, team: &TeamName) -> Option<QuotaMember> {
        self.placements.get(team)?.owner
    }

    fn due_ask(&self, now: Moment, team: &TeamName) -> Option<u32> {
        self.quotas.get(team)?.due_ask(now, &self.terms(team)?)
    }

    fn terms(&self, team: &TeamName) -> Option<QuotaTerms> {
        let limit = self.limits.get(team)?;
        let placement = self.placements.get(team)?;
        Some(QuotaTerms::new(&self.config, *limit, placement))
    }

    fn place_teams(&mut self) {
        let placements = TeamPlacement::all(&self.limits, &self.members, self.own);
        for (team, quota) in &mut self.quotas {
            let owner = |p: &BTreeMap<TeamName, TeamPlacement>| {
                p.get(team).and_then(|p| p.owner).map(|o| o.session)
            };
            if owner(&placements) != owner(&self.placements) {
                quota.change_owner();
            }
        }
        self.placements = placements;
    }

    /// Returns the limits of the teams whose owner this daemon is.
    fn owned(&self) -> BTreeMap<TeamName, TeamLimit> {
        let is_owned = |team: &TeamName| {
            let owner = self.placements.get(team).and_then(|p| p.owner);
            owner.is_some_and(|o| o.session == self.own)
        };
        let owned = self.limits.iter().filter(|(team, _)| is_owned(team));
        owned.map(|(team, limit)| (team.clone(), *limit)).collect()
    }
}
