//! Admits callers' requests under the quotas of their teams, and exchanges the datagrams for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::process::clock::Clock;
use crate::process::datagram::Message;
use crate::process::host::quota_config::QuotaConfig;
use crate::process::host::quota_placement::QuotaMember;
use crate::process::host::quota_state::{Outgoing, QuotaState};
use crate::process::host::team_limit::TeamLimit;
use crate::process::host::team_quota::{QUOTA_WAIT_DIVISOR, QuotaDecision, QuotaPermit};
use crate::process::lease_times::LeaseTimes;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::quota_message::{TeamGrant, TeamTokens};
use crate::process::sync;
use crate::request::upstream_outcome::{NotRunCause, UpstreamOutcome};
use crate::request::upstream_request::UpstreamRequest;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::routing_config::RoutingConfig;
use crate::version::session_id::SessionId;
use crate::version::team_name::TeamName;

/// Shortest wait before the conditions are checked again.
const WAIT_MIN: Duration = Duration::from_millis(1);
/// Least time by which a wait ends late that shows that this process was paused. Answers may have arrived
/// meanwhile, so that time does not count.
const PAUSE_MIN: Duration = Duration::from_millis(5);
/// Interval of the log lines about quota owners that don't answer.
const SILENCE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// State with the versions that it was computed from.
struct Versioned {
    quotas: QuotaState,
    epoch: Epoch,
    session: SessionId,
    routing: DocumentVersion,
    silence_logged: Option<Moment>,
}

/// How long a request waits for an answer of the quota owner.
#[derive(Clone, Copy, Debug)]
struct QuotaWait {
    until: Moment,
    /// Limit of extensions.
    latest: Moment,
}

impl QuotaWait {
    /// Extends the wait by the time by which a sleep ended late, if the process was paused.
    fn extend_by_pause(&mut self, late_by: Duration) {
        if late_by >= PAUSE_MIN {
            self.until = (self.until + late_by).min(self.latest.max(self.until));
        }
    }
}

/// Quotas of teams at this daemon.
pub struct QuotaGate {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    state: Mutex<Versioned>,
    /// Notified when tokens arrive.
    answered: Condvar,
}

impl QuotaGate {
    /// Creates the quotas of a process that has just started.
    pub fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        config: QuotaConfig,
        times: LeaseTimes,
    ) -> Self {
        let session = membership.with_ownership(|o, _| o.info().session);
        let state = Versioned {
            quotas: QuotaState::new(config, times.expiry_delay(), session),
            epoch: Epoch::default(),
            session,
            routing: DocumentVersion::default(),
            silence_logged: None,
        };
        Self {
            clock,
            membership,
            state: Mutex::new(state),
            answered: Condvar::new(),
        }
    }

    /// Admits a request, which may wait for an answer of the quota owner; returns its permit, or
    /// `None` if its team has no limit.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the team has used its quota.
    pub fn admit(
        &self,
        routing: &RoutingConfig,
        request: &UpstreamRequest,
    ) -> Result<Option<QuotaPermit>, UpstreamOutcome> {
        let team = request.team.as_ref().and_then(|name| routing.team(name));
        let Some(team) = team.filter(|t| TeamLimit::of(t).is_some()) else {
            return Ok(None);
        };
        if sync::lock(&self.state).routing != routing.version {
            self.refresh();
        }
        let arrived = self.clock.now();
        let wait = QuotaWait {
            until: arrived + request.objective / QUOTA_WAIT_DIVISOR,
            latest: arrived + request.remaining / 2,
        };
        sync::lock(&self.state)
            .quotas
            .record_arrival(arrived, &team.name);
        let decision = self.await_decision(&team.name, arrived, wait);
        self.record(&team.name, decision);
        match decision {
            Some(QuotaDecision::Refused { retry_after, .. }) => {
                Err(UpstreamOutcome::not_run(NotRunCause::Quota, retry_after))
            }
            Some(QuotaDecision::Admitted(permit)) => Ok(Some(permit)),
            Some(QuotaDecision::Wait) | None => Ok(None),
        }
    }

    /// Takes back the permit of a request that no upstream got.
    pub fn settle(
        &self,
        request: &UpstreamRequest,
        permit: Option<QuotaPermit>,
        outcome: &UpstreamOutcome,
    ) {
        if let (Some(team), Some(permit), UpstreamOutcome::NotRun { .. }) =
            (&request.team, permit, outcome)
        {
            let now = self.clock.now();
            sync::lock(&self.state).quotas.give_back(now, team, permit);
        }
    }

    /// Does what is due periodically.
    pub fn tick(&self) {
        self.refresh();
        let now = self.clock.now();
        sync::lock(&self.state).quotas.forget_idle(now);
    }

    /// Applies the table and the routing in force.
    pub fn refresh(&self) {
        let active = self.membership.active_configuration();
        let (table, session, live_until) = self
            .membership
            .with_ownership(|o, now| (Arc::clone(o.table()), o.info().session, o.live_until(now)));
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        state.quotas.set_live(now, live_until);
        if state.routing != active.version {
            let limits = active.routing_config.as_ref();
            let limits = limits.map(|r| limits_of(r)).unwrap_or_default();
            state.quotas.adopt_limits(now, limits);
            state.routing = active.version;
        }
        let mut outgoing = Outgoing::new();
        if table.epoch > state.epoch || session != state.session {
            let owned = state.quotas.teams_owned();
            let members = QuotaMember::all_of(&table);
            outgoing = state.quotas.adopt_members(now, session, members);
            (state.epoch, state.session) = (table.epoch, session);
            if state.quotas.teams_owned() != owned {
                let teams = state.quotas.teams_owned();
                tracing::info!(event = "quotas-owned", teams, epoch = %table.epoch);
            }
        }
        drop(state);
        self.send(outgoing);
    }

    /// Answers an ask for tokens. The sender may have adopted a newer table: as it asks this daemon, that
    /// table names no other owner. Tables change several times a second while keys move, so asks
    /// left unanswered until the tables agree would be a good part of all.
    pub fn answer(&self, from: SocketAddr, sent: Moment, asks: &[TeamTokens]) {
        self.refresh();
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let teams = state.quotas.issue(now, asks);
        drop(state);
        if teams.is_empty() {
            return;
        }
        let tokens = teams.iter().map(|g| u64::from(g.tokens)).sum();
        self.membership.metrics().record_quota_tokens(tokens);
        self.send(vec![(from, Message::QuotaGrant { sent, teams })]);
    }

    /// Adds the tokens of an answer to the ask sent at `sent`.
    pub fn receive(&self, sent: Moment, grants: &[TeamGrant]) {
        let now = self.clock.now();
        sync::lock(&self.state).quotas.receive(now, sent, grants);
        self.answered.notify_all();
    }

    /// Takes over the buckets of a former quota owner.
    pub fn accept_handovers(&self, teams: &[TeamTokens]) {
        self.refresh();
        let now = self.clock.now();
        sync::lock(&self.state).quotas.accept_handovers(now, teams);
    }

    /// Waits until a request is admitted or refused; returns `None` if its team has no limit any more.
    fn await_decision(
        &self,
        team: &TeamName,
        arrived: Moment,
        mut wait: QuotaWait,
    ) -> Option<QuotaDecision> {
        let mut state = sync::lock(&self.state);
        state.quotas.begin_wait(team);
        loop {
            let now = self.clock.now();
            let is_late = now >= wait.until;
            let mut decision = state.quotas.admit(now, arrived, team, is_late);
            if decision != Some(QuotaDecision::Wait) {
                state.quotas.end_wait(team);
            }
            let ask = state.quotas.ask(now, team);
            if decision == Some(QuotaDecision::Wait) && ask.is_none() {
                // This daemon may own the team, and have issued the token at once.
                decision = state.quotas.admit(now, arrived, team, is_late);
                if decision != Some(QuotaDecision::Wait) {
                    state.quotas.end_wait(team);
                }
            }
            if decision != Some(QuotaDecision::Wait) {
                drop(state);
                self.send(ask.into_iter().collect());
                return decision;
            }
            if let Some(ask) = ask {
                drop(state);
                self.send(vec![ask]);
                // An answer may arrive before the wait begins.
                state = sync::lock(&self.state);
                continue;
            }
            let next_ask = state.quotas.next_ask(now, team).unwrap_or(wait.until);
            let timeout = next_ask.min(wait.until).since(now).max(WAIT_MIN);
            let waited = self.answered.wait_timeout(state, timeout);
            (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
            wait.extend_by_pause(self.clock.now().since(now + timeout));
        }
    }

    /// Records the metrics of a decision, and logs that a quota owner doesn't answer.
    fn record(&self, team: &TeamName, decision: Option<QuotaDecision>) {
        let metrics = self.membership.metrics();
        let answered = match decision {
            Some(QuotaDecision::Admitted(QuotaPermit::FixedShare { .. })) => {
                metrics.record_quota_share();
                false
            }
            Some(QuotaDecision::Refused { answered, .. }) => {
                let cause = if answered { "limit" } else { "no-answer" };
                metrics.record_quota_refusal(cause);
                answered
            }
            _ => true,
        };
        if !answered {
            self.log_silence(team);
        }
    }

    fn log_silence(&self, team: &TeamName) {
        let now = self.clock.now();
        let mut state = sync::lock(&self.state);
        let logged = state.silence_logged;
        if logged.is_some_and(|at| now.since(at) < SILENCE_LOG_INTERVAL) {
            return;
        }
        state.silence_logged = Some(now);
        let owner = state.quotas.owner_of(team).map(|o| o.session.to_string());
        drop(state);
        tracing::warn!(event = "quota-owner-silent", %team, owner);
    }

    fn send(&self, outgoing: Outgoing) {
        if outgoing.is_empty() {
            return;
        }
        self.membership.with_ownership(|o, _| {
            for (peer, message) in outgoing {
                o.send(peer, message);
            }
        });
    }
}

/// Returns the limits of all teams that have one.
fn limits_of(routing: &RoutingConfig) -> BTreeMap<TeamName, TeamLimit> {
    let teams = routing.teams.iter().flat_map(|t| t.iter());
    let limits = teams.filter_map(|t| Some((t.name.clone(), TeamLimit::of(t)?)));
    limits.collect()
}
