//! The ownership state machine of one daemon: takes time and messages, returns actions.
//!
//! A daemon serves a slice while its own session is live, it has an end certificate for each
//! candidate ranked before it, and each former candidate has released the slice. `docs/DESIGN.md`
//! argues why two daemons never serve one slice.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::process::datagram::{Datagram, Message};
use crate::process::era_knowledge::EraKnowledge;
use crate::process::host::routing_freshness::RoutingFreshness;
use crate::process::join_request::JoinRequest;
use crate::process::join_schedule::{JoinRecipients, JoinSchedule};
use crate::process::lease_times::LeaseTimes;
use crate::process::moment::Moment;
use crate::process::not_serving::NotServing;
use crate::process::own_session::OwnSession;
use crate::process::ownership_action::OwnershipAction;
use crate::process::ownership_rules::OwnershipRules;
use crate::process::planning_order::PlanningOrder;
use crate::process::serve_permit::ServePermit;
use crate::process::session_facts::SessionFacts;
use crate::process::witness::Witness;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::fencing_token::FencingToken;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::{Member, MemberInfo};
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;
use crate::version::store_era::StoreEra;
use crate::version::table::Table;

/// How often a daemon sends all its session facts to a few random members.
const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_millis(1000);
/// How many members receive all session facts each time; each new fact is also sent at once to the
/// members that need it, so this only repairs lost datagrams.
const ANTI_ENTROPY_PEERS: usize = 1;
/// How often a daemon queries the former candidates whose release it waits for.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);
/// How many members at the front of the planning order get each join request.
const LIKELY_PLANNERS: usize = 5;
/// How many members a daemon forwards another's resignation to. The resigning daemon tells all, so
/// this only makes up for lost datagrams.
const FORWARD_PEERS: usize = 2;
/// A longer gap between two ticks or datagrams shows that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(300);

/// The ownership state of one daemon process.
#[derive(Debug)]
pub struct Ownership {
    cell_hash: u64,
    times: LeaseTimes,
    info: MemberInfo,
    session: OwnSession,
    joined: bool,
    witness: Witness,
    facts: SessionFacts,
    end_certificates: BTreeMap<SessionId, Epoch>,
    table: Arc<Table>,
    document_version: DocumentVersion,
    eras: EraKnowledge,
    routing_freshness: RoutingFreshness,
    /// The tokens of the slices that were served when the present table was adopted and still are;
    /// they stay in use until the witnesses confirm the epoch of a slice's new assignment.
    held_tokens: BTreeMap<(ServiceName, SliceId), FencingToken>,
    /// The latest epoch that assigned the present candidates to a slice of which this daemon is a
    /// candidate.
    newest_assignment_epoch: Epoch,
    renew_at: Moment,
    gossip_at: Moment,
    join_schedule: JoinSchedule,
    query_at: Moment,
    lapsed_since: Moment,
    last_active: Moment,
    rng: SmallRng,
    actions: Vec<OwnershipAction>,
}

impl Ownership {
    /// Creates the state of a process that has just started and is no member yet.
    pub fn new(
        cell_hash: u64,
        times: LeaseTimes,
        info: MemberInfo,
        now: Moment,
        seed: u64,
    ) -> Self {
        Self {
            cell_hash,
            times,
            session: OwnSession::new(info.session),
            info,
            joined: false,
            witness: Witness::default(),
            facts: SessionFacts::default(),
            end_certificates: BTreeMap::new(),
            table: Arc::default(),
            document_version: DocumentVersion::default(),
            eras: EraKnowledge::default(),
            routing_freshness: RoutingFreshness::default(),
            held_tokens: BTreeMap::new(),
            newest_assignment_epoch: Epoch::default(),
            renew_at: now,
            gossip_at: now,
            join_schedule: JoinSchedule::new(now),
            query_at: now,
            lapsed_since: now,
            last_active: now,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Sets whether, and within which time, revoked API keys must stop working.
    pub fn with_routing_freshness(mut self, freshness: RoutingFreshness) -> Self {
        self.routing_freshness = freshness;
        self
    }

    /// Returns the table that the daemon has adopted.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the rules that decide what the daemon may serve, with its present state.
    fn rules(&self) -> OwnershipRules<'_> {
        OwnershipRules {
            table: &self.table,
            session: &self.session,
            facts: &self.facts,
            end_certificates: &self.end_certificates,
            times: &self.times,
        }
    }

    /// Returns the planning order of the members not known to have ended.
    pub(crate) fn planning_order(&self) -> PlanningOrder<'_> {
        PlanningOrder::new(&self.table, &self.end_certificates)
    }

    /// Returns the session facts that the daemon knows.
    pub fn facts(&self) -> &SessionFacts {
        &self.facts
    }

    /// Returns the sessions known to have ended, each with the last epoch that it may have used.
    pub fn end_certificates(&self) -> &BTreeMap<SessionId, Epoch> {
        &self.end_certificates
    }

    /// Returns whether `session` is known to have ended or is not in the table.
    pub fn has_ended(&self, session: SessionId) -> bool {
        self.end_certificates.contains_key(&session) || !self.table.members.contains_key(&session)
    }

    /// Returns this daemon's own member info.
    pub fn info(&self) -> &MemberInfo {
        &self.info
    }

    /// Returns the version of the document that the daemon has adopted.
    pub fn document_version(&self) -> DocumentVersion {
        self.document_version
    }

    /// Records an era of the store that a response of the store or a peer's routing shows.
    pub fn observe_store_era(&mut self, now: Moment, era: StoreEra) {
        self.eras.observe(now, era);
    }

    /// Returns the newest era of the store that this daemon knows.
    pub fn store_era(&self) -> StoreEra {
        self.eras.era()
    }

    /// Returns whether routing that the store may have lost stays in force.
    pub fn is_holding_routing(&self, now: Moment) -> bool {
        self.eras.is_holding(now)
    }

    /// Returns whether no living daemon can have a newer table than this one, so that it may be
    /// written to a store that came back from an older copy.
    pub fn is_highest_table_known(&self, now: Moment) -> bool {
        let me = self.info.session.instance;
        let living = self.table.members.keys();
        let living = living.filter(|s| !self.end_certificates.contains_key(s));
        let others: BTreeSet<InstanceId> = living.map(|s| s.instance).collect();
        let others: Vec<InstanceId> = others.into_iter().filter(|&i| i != me).collect();
        self.eras
            .is_floor_known(now, &others, self.table.epoch, &self.times)
    }

    /// Asks all members for the epochs that they have adopted; each answer carries the sender's epoch.
    pub fn query_members(&mut self) {
        for peer in self.other_peers() {
            self.send(peer, Message::QueryAdopted);
        }
    }

    /// Returns when the adopted routing is known to have been the newest.
    pub fn routing_freshness(&self) -> &RoutingFreshness {
        &self.routing_freshness
    }

    /// Returns when the adopted routing is known to have been the newest, to update it.
    pub fn routing_freshness_mut(&mut self) -> &mut RoutingFreshness {
        &mut self.routing_freshness
    }

    /// Returns the time until which the daemon's session is live, or `None` if it has lapsed.
    pub fn live_until(&self, now: Moment) -> Option<Moment> {
        self.rules().live_until(now)
    }

    /// Returns the latest end of any lease that the daemon's session has had, as far as it was recorded.
    pub fn lease_end(&self) -> Moment {
        self.session.permitted_until()
    }

    /// Removes and returns the pending actions.
    pub fn take_actions(&mut self) -> Vec<OwnershipAction> {
        std::mem::take(&mut self.actions)
    }

    /// Changes this daemon's own member info and schedules a join request, which brings it to the
    /// planner.
    pub fn update_info(&mut self, now: Moment, change: impl FnOnce(&mut MemberInfo)) {
        change(&mut self.info);
        self.info.session = self.session.id;
        self.join_schedule.reset_attempts();
        self.join_schedule.advance(now);
    }

    /// Records the version of the document now in force in this process.
    pub fn adopt_document_version(&mut self, version: DocumentVersion) {
        debug_assert!(
            version >= self.document_version,
            "a document version never decreases"
        );
        if version.era > self.document_version.era {
            self.routing_freshness.begin_era();
        }
        self.document_version = version;
    }

    /// Runs the periodic work that is due at `now`.
    pub fn tick(&mut self, now: Moment) {
        self.compensate_pause(now);
        self.announce_expired_sessions(now);
        self.update_lease_state(now);
        if now >= self.renew_at {
            self.renew_at = now + self.times.renewal_interval;
            self.renew(now);
        }
        self.renew_unconfirmed(now);
        if self.join_schedule.take_due(now) {
            self.send_join_request();
        }
        if now >= self.query_at {
            self.query_at = now + QUERY_INTERVAL;
            self.query_former_candidates(now);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + ANTI_ENTROPY_INTERVAL;
            self.gossip_facts();
        }
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: Moment, datagram: Datagram) {
        if datagram.cell_hash != self.cell_hash || datagram.from == self.info.session.instance {
            return;
        }
        self.compensate_pause(now);
        if self.table.has_instance(datagram.from) {
            self.eras.record_heard(now, datagram.from, datagram.epoch);
        }
        if datagram.epoch > self.table.epoch {
            self.actions.push(OwnershipAction::FetchTable {
                from: datagram.peer,
                epoch: datagram.epoch,
            });
        }
        if datagram.document_version > self.document_version {
            let (from, version) = (datagram.peer, datagram.document_version);
            self.actions
                .push(OwnershipAction::FetchConfiguration { from, version });
        }
        match datagram.message {
            Message::Renew {
                session,
                sent,
                epoch,
            } => {
                self.handle_renewal(now, datagram.peer, session, sent, epoch);
            }
            Message::Grant {
                session,
                sent,
                epoch,
                routing_age,
            } => {
                if let Some(age) = routing_age.filter(|_| sent <= now) {
                    let (witness, own) = (datagram.document_version, self.document_version);
                    self.routing_freshness.record_grant(sent, age, witness, own);
                }
                self.handle_grant(now, datagram.from, session, sent, epoch);
            }
            Message::Facts(facts) => self.merge_received_facts(now, facts),
            Message::QueryAdopted => self.send_adopted_epoch(datagram.peer),
            Message::Join(_) | Message::Load(_) | Message::Suspects(_) | Message::Cleared(_) => {}
            Message::QuotaAsk { .. } | Message::QuotaGrant { .. } | Message::QuotaHandover(_) => {}
        }
    }

    /// Adopts `table` if it is newer than the present one.
    pub fn adopt_table(&mut self, now: Moment, table: Arc<Table>) {
        if table.epoch <= self.table.epoch {
            return;
        }
        let before = self.served_slices(now);
        self.record_lease_end(now);
        self.table = table;
        let members = &self.table.members;
        self.facts.retain(|s| members.contains_key(&s));
        self.end_certificates.retain(|s, _| members.contains_key(s));
        let instances: BTreeSet<InstanceId> = members.keys().map(|s| s.instance).collect();
        self.eras.retain_heard(|from| instances.contains(&from));
        self.witness
            .adopt_table(now, &self.table, self.info.session.instance);
        self.update_end_certificates(now);
        self.update_membership(now);
        self.held_tokens = self.keep_uninterrupted(now, before);
        self.newest_assignment_epoch = self.rules().newest_assignment_epoch();
        self.actions
            .push(OwnershipAction::TableAdopted(self.table.epoch));
        self.renew_unconfirmed(now);
    }

    /// Announces that all work on the slices that `epoch` and earlier ones took from this daemon is
    /// finished or cancelled; does nothing if this daemon has not adopted `epoch`.
    pub fn announce_release(&mut self, now: Moment, epoch: Epoch) {
        if epoch > self.table.epoch {
            return;
        }
        self.merge_facts(now, SessionFacts::from_adopted(self.session.id, epoch));
    }

    /// Raises the fencing tokens of all slices that this daemon serves from now on, after the
    /// upstream restarted or has seen a higher token.
    pub fn raise_incarnation(&mut self) {
        self.session.incarnation += 1;
        for token in self.held_tokens.values_mut() {
            token.incarnation = self.session.incarnation;
        }
    }

    /// Returns the sessions of former processes at this daemon's address that are not known to have
    /// ended.
    pub fn former_sessions(&self) -> Vec<SessionId> {
        let me = self.info.session.instance;
        let sessions = self.table.members.iter();
        let here = sessions.filter(|(s, m)| s.instance != me && m.info.peer == self.info.peer);
        here.map(|(&s, _)| s)
            .filter(|s| !self.end_certificates.contains_key(s))
            .collect()
    }

    /// Ends the daemon's own session and starts the next one.
    pub fn resign(&mut self, now: Moment) {
        let end = (self.session.id, self.table.epoch);
        self.merge_and_broadcast(SessionFacts::from_resigned([end]));
        self.start_next_session(now);
        self.update_end_certificates(now);
    }

    /// Announces that the sessions of former processes at this daemon's address have ended.
    ///
    /// This is safe only after the daemon has read the platform's table, so that the former process
    /// had adopted no newer one, and once this process has held the address for a lease and its drift
    /// margin, so that nothing which the former process started can still be running.
    pub fn end_former_sessions(&mut self, now: Moment) {
        let me = self.info.session.instance;
        let peer = self.info.peer;
        let former = self.table.members.keys().filter(|s| s.instance != me);
        let former = former.filter(|s| self.table.peer(**s) == Some(peer));
        let ended = former.map(|&s| (s, self.table.epoch));
        let new_facts = SessionFacts::from_resigned(ended);
        self.merge_facts(now, new_facts);
    }

    /// Returns the permit of this daemon to serve `key` now.
    ///
    /// # Errors
    ///
    /// Returns why the daemon does not serve it.
    pub fn permit_for_key(
        &self,
        now: Moment,
        service: &ServiceName,
        key: KeyHash,
    ) -> Result<ServePermit, NotServing> {
        let slices = self
            .table
            .services
            .get(service)
            .ok_or(NotServing::UnknownSlice)?;
        let slice = slices.slice_of(key).ok_or(NotServing::UnknownSlice)?;
        self.permit_for_slice(now, service, slice)
    }

    /// Returns the permit of this daemon to serve `slice` now.
    ///
    /// # Errors
    ///
    /// Returns why the daemon does not serve it.
    pub fn permit_for_slice(
        &self,
        now: Moment,
        service: &ServiceName,
        slice: SliceId,
    ) -> Result<ServePermit, NotServing> {
        let held = self.held_tokens.get(&(service.clone(), slice)).copied();
        self.rules().permit(now, service, slice, held)
    }

    /// Returns whether records handed over at `handover_epoch` are complete for a slice: each
    /// former candidate announced its release, and none ended before it did.
    pub fn is_handover_complete(
        &self,
        service: &ServiceName,
        slice: SliceId,
        handover_epoch: Epoch,
    ) -> bool {
        self.rules()
            .is_handover_complete(service, slice, handover_epoch)
    }

    /// Returns whether this daemon's session is the first candidate of a slice.
    pub fn is_first_candidate(&self, service: &ServiceName, slice: SliceId) -> bool {
        let assignment = self.table.assignment(service, slice);
        assignment.is_some_and(|a| a.candidates.first() == Some(&self.session.id))
    }

    /// Returns whether the ownership rules allow this daemon to serve a slice now, whether or not
    /// its witnesses have confirmed the epoch.
    pub fn may_serve(&self, now: Moment, service: &ServiceName, slice: SliceId) -> bool {
        self.rules().check(now, service, slice).is_ok()
    }

    /// Returns the daemon that most likely serves `key`: the first candidate not known to have
    /// ended.
    pub fn likely_owner(&self, service: &ServiceName, key: KeyHash) -> Option<&Member> {
        let slices = self.table.services.get(service)?;
        let assignment = slices.assignment(slices.slice_of(key)?)?;
        let mut candidates = assignment.candidates.iter();
        let first = candidates.find(|s| !self.end_certificates.contains_key(s))?;
        self.table.members.get(first)
    }

    /// Returns all slices that this daemon may serve now, with their fencing tokens.
    pub fn served_slices(&self, now: Moment) -> BTreeMap<(ServiceName, SliceId), FencingToken> {
        let mine = self
            .table
            .assignments()
            .filter(|(_, _, a)| a.rank(self.session.id).is_some());
        let served = mine.filter_map(|(service, slice, _)| {
            let permit = self.permit_for_slice(now, service, slice).ok()?;
            Some(((service.clone(), slice), permit.token))
        });
        served.collect()
    }

    /// Returns the entries of `before` that this daemon still serves without interruption under the
    /// present table.
    fn keep_uninterrupted(
        &self,
        now: Moment,
        before: BTreeMap<(ServiceName, SliceId), FencingToken>,
    ) -> BTreeMap<(ServiceName, SliceId), FencingToken> {
        let rules = self.rules();
        before
            .into_iter()
            .filter(|((service, slice), _)| rules.check(now, service, *slice).is_ok())
            .collect()
    }

    /// Extends the silence limit of the witnessed sessions by the time this process was paused,
    /// since their renewals could not be received.
    fn compensate_pause(&mut self, now: Moment) {
        let gap = now.since(self.last_active);
        self.last_active = now;
        if gap > PAUSE_THRESHOLD {
            self.witness.extend_deadlines(gap);
        }
    }

    fn announce_expired_sessions(&mut self, now: Moment) {
        let me = self.info.session.instance;
        let expired = self.witness.expire(now, &self.times);
        self.merge_facts(now, SessionFacts::from_ended(me, expired));
    }

    /// Records when the present lease ends, before it can be shortened.
    fn record_lease_end(&mut self, now: Moment) {
        if let Some(until) = self.live_until(now) {
            self.session.record_lease_end(until);
        }
    }

    /// Returns whether work under any permit of the session may still be running: the upstream may
    /// use a permit until its end, and its clock may be slow by the drift margin.
    fn may_have_running_work(&self, now: Moment) -> bool {
        now <= self.session.permitted_until() + self.times.drift_margin
    }

    fn update_lease_state(&mut self, now: Moment) {
        self.record_lease_end(now);
        let live = self.live_until(now).is_some();
        match self.session.set_live(live) {
            Some(true) => self.actions.push(OwnershipAction::LeaseLive),
            Some(false) => {
                self.lapsed_since = now;
                self.held_tokens.clear();
                self.actions.push(OwnershipAction::LeaseLapsed);
            }
            None => {}
        }
        let gives_up = !live && now.since(self.lapsed_since) > self.times.give_up_after;
        if self.joined && gives_up && !self.may_have_running_work(now) {
            self.resign(now);
        }
    }

    /// Sends renewals to all witnesses.
    fn renew(&mut self, now: Moment) {
        self.send_renewals(now, |_, _| true);
    }

    /// Sends renewals again to the witnesses that have not yet granted the epoch that this daemon
    /// waits for.
    fn renew_unconfirmed(&mut self, now: Moment) {
        let Some(member) = self.table.members.get(&self.session.id) else {
            return;
        };
        let wanted = match member.witnesses.len() {
            // A change of witness sets completes once both sets have confirmed it.
            2.. => self.table.epoch,
            _ => self.newest_assignment_epoch,
        };
        if self.session.confirmed(&member.witnesses) < wanted {
            self.send_renewals(now, |session, witness| {
                session.granted_epoch(witness) < wanted
            });
        }
    }

    /// Sends renewals to the witnesses for which `selected` holds; grants the renewal locally if
    /// this daemon is one of them.
    fn send_renewals(&mut self, now: Moment, selected: impl Fn(&OwnSession, InstanceId) -> bool) {
        let session = self.session.id;
        let Some(member) = self.table.members.get(&session) else {
            return;
        };
        let me = self.info.session.instance;
        let mut witnesses: Vec<_> = member
            .witnesses
            .iter()
            .flat_map(|set| set.0.clone())
            .collect();
        witnesses.retain(|w| selected(&self.session, w.instance));
        witnesses.sort_unstable();
        witnesses.dedup();
        let epoch = self.table.epoch;
        for witness in witnesses.iter().filter(|w| w.instance != me) {
            self.send(
                witness.peer,
                Message::Renew {
                    session,
                    sent: now,
                    epoch,
                },
            );
        }
        let is_own_witness = witnesses.iter().any(|w| w.instance == me);
        if is_own_witness
            && let Some(granted) = self.witness.renew(now, session, epoch, &self.times)
        {
            self.session.record_grant(me, now, granted);
            self.update_lease_state(now);
            self.announce_confirmed_epoch(now);
        }
    }

    fn handle_renewal(
        &mut self,
        now: Moment,
        from: SocketAddr,
        session: SessionId,
        sent: Moment,
        epoch: Epoch,
    ) {
        // The reply goes to the address in the table, so that a former process receives no more
        // grants once its successor has the address.
        let to = self.table.peer(session).unwrap_or(from);
        let known = epoch.min(self.table.epoch);
        if let Some(epoch) = self.witness.renew(now, session, known, &self.times) {
            let routing_age = self.routing_freshness.shared_age(now);
            self.send(
                to,
                Message::Grant {
                    session,
                    sent,
                    epoch,
                    routing_age,
                },
            );
        } else {
            // Even without end statements the reply is useful: its header announces a newer table.
            let statements = self.facts.ended.get(&session).cloned();
            let ended = statements.map(|by| (session, by)).into_iter().collect();
            self.send(
                to,
                Message::Facts(SessionFacts {
                    ended,
                    ..SessionFacts::default()
                }),
            );
        }
    }

    fn handle_grant(
        &mut self,
        now: Moment,
        from: InstanceId,
        session: SessionId,
        sent: Moment,
        epoch: Epoch,
    ) {
        if session != self.session.id || sent > now {
            return;
        }
        self.session.record_grant(from, sent, epoch);
        self.update_lease_state(now);
        self.announce_confirmed_epoch(now);
    }

    /// Announces the epoch that the witnesses have confirmed, during a change of witness sets.
    fn announce_confirmed_epoch(&mut self, now: Moment) {
        let session = self.session.id;
        let Some(member) = self.table.members.get(&session) else {
            return;
        };
        if member.witnesses.len() < 2 {
            return;
        }
        let confirmed = self.session.confirmed(&member.witnesses);
        if confirmed > self.facts.confirmed(session) {
            self.merge_facts(now, SessionFacts::from_confirmed(session, confirmed));
        }
    }

    /// Merges facts that this daemon states, sends them, and updates the end certificates.
    fn merge_facts(&mut self, now: Moment, facts: SessionFacts) {
        if facts.is_empty() {
            return;
        }
        self.merge_and_broadcast(facts);
        self.update_end_certificates(now);
    }

    /// Merges facts of another daemon, forwards new resignations to a few members, and updates the
    /// end certificates.
    fn merge_received_facts(&mut self, now: Moment, facts: SessionFacts) {
        if facts.is_empty() {
            return;
        }
        let resignations = SessionFacts::from_resigned(self.merge_known(facts).resigned);
        if !resignations.is_empty() {
            let peers = self.other_peers().into_iter();
            for peer in peers.sample(&mut self.rng, FORWARD_PEERS) {
                self.send(peer, Message::Facts(resignations.clone()));
            }
        }
        self.update_end_certificates(now);
    }

    /// Merges facts about members; returns the new ones.
    fn merge_known(&mut self, facts: SessionFacts) -> SessionFacts {
        let members = &self.table.members;
        // Before the first table no member is known; facts about any session are kept then, as they
        // are not sent again soon.
        let accept_all = self.table.epoch == Epoch::default();
        self.facts
            .merge(facts, |s| accept_all || members.contains_key(&s))
    }

    /// Merges facts that this daemon states and sends the new ones: its adopted and confirmed epochs
    /// to the peers that wait for them, end statements and resignations to all members.
    fn merge_and_broadcast(&mut self, facts: SessionFacts) {
        let me = self.info.session.instance;
        let new_facts = self.merge_known(facts);
        let progress = new_facts.progress_of(me);
        let ends = new_facts.ends_stated_by(me);
        if !progress.is_empty() {
            for peer in self.peers_awaiting_release() {
                self.send(peer, Message::Facts(progress.clone()));
            }
        }
        if !ends.is_empty() {
            for peer in self.other_peers() {
                self.send(peer, Message::Facts(ends.clone()));
            }
        }
    }

    /// Returns the addresses of the daemons that wait for this one to release slices: the planner
    /// and the candidates of those slices. Other members receive the facts later by anti-entropy.
    fn peers_awaiting_release(&self) -> Vec<SocketAddr> {
        let me = self.session.id;
        let releasing = self.table.assignments().map(|(_, _, a)| a);
        let releasing = releasing.filter(|a| a.former_candidates.contains_key(&me));
        let waiting: BTreeSet<SessionId> = releasing.flat_map(|a| &a.candidates).copied().collect();
        let mut peers: BTreeSet<SocketAddr> = self.planner_peer().into_iter().collect();
        peers.extend(waiting.into_iter().filter_map(|s| self.table.peer(s)));
        peers.remove(&self.info.peer);
        peers.into_iter().collect()
    }

    /// Adds the end certificates that the known facts prove; a certificate is never withdrawn.
    ///
    /// A process ends its session before it starts the next, so a later session of the same process
    /// is a proof too.
    fn update_end_certificates(&mut self, now: Moment) {
        let mut later: Option<SessionId> = None;
        for (&session, member) in self.table.members.iter().rev() {
            let superseded = later.is_some_and(|s| s.instance == session.instance);
            later = Some(session);
            if self.end_certificates.contains_key(&session) {
                continue;
            }
            let proven = self.facts.end_certificate(session, &member.witnesses);
            if let Some(epoch) = proven.or(superseded.then_some(self.table.epoch)) {
                self.end_certificates.insert(session, epoch);
            }
        }
        if self.end_certificates.contains_key(&self.session.id) {
            self.start_next_session(now);
        }
    }

    /// Starts a new session if the table no longer lists the present one.
    fn update_membership(&mut self, now: Moment) {
        if self.table.members.contains_key(&self.session.id) {
            if !self.joined {
                self.lapsed_since = now;
            }
            self.joined = true;
        } else if self.joined {
            self.start_next_session(now);
        }
    }

    fn start_next_session(&mut self, now: Moment) {
        let old = self.session.id;
        let next = SessionId {
            instance: old.instance,
            tenure: old.tenure + 1,
        };
        self.session = OwnSession::new(next);
        self.info.session = next;
        self.joined = false;
        self.held_tokens.clear();
        self.join_schedule.advance(now);
        self.actions.push(OwnershipAction::LeaseLapsed);
        self.actions.push(OwnershipAction::SessionEnded(old));
    }

    fn send_join_request(&mut self) {
        let listed = self.table.members.get(&self.session.id);
        if listed.is_some_and(|m| m.info == self.info) {
            self.join_schedule.reset_attempts();
            return;
        }
        let is_successor = !self.former_sessions().is_empty();
        let peers = match self.join_schedule.begin_attempt(is_successor) {
            JoinRecipients::All => self.other_peers(),
            JoinRecipients::LikelyPlanners => self
                .planning_order()
                .first_peers(LIKELY_PLANNERS, self.info.peer),
        };
        for peer in peers {
            let request = JoinRequest {
                info: self.info.clone(),
                is_member: self.joined,
            };
            self.send(peer, Message::Join(Box::new(request)));
        }
    }

    /// Returns how many live members of this daemon's failure domain come before it in the planning
    /// order, or `None` if it is no member.
    pub fn domain_position(&self) -> Option<usize> {
        self.planning_order().domain_position(self.session.id)
    }

    /// Queries the adopted epoch of the former candidates whose release this daemon waits for.
    fn query_former_candidates(&mut self, now: Moment) {
        let unreleased = self.rules().unreleased_former_candidates(now);
        let peers: Vec<_> = unreleased
            .iter()
            .filter_map(|&s| self.table.peer(s))
            .collect();
        for peer in peers {
            self.send(peer, Message::QueryAdopted);
        }
    }

    fn send_adopted_epoch(&mut self, to: SocketAddr) {
        let session = self.session.id;
        let Some(&epoch) = self.facts.adopted.get(&session) else {
            return;
        };
        let adopted = SessionFacts::from_adopted(session, epoch);
        self.send(to, Message::Facts(adopted));
    }

    fn gossip_facts(&mut self) {
        let peers = self.other_peers();
        let targets = peers.into_iter().sample(&mut self.rng, ANTI_ENTROPY_PEERS);
        let jitter = self
            .rng
            .random_range(0..ANTI_ENTROPY_INTERVAL.as_millis() as u64 / 4);
        self.gossip_at = self.gossip_at + Duration::from_millis(jitter);
        for peer in targets {
            self.send(peer, Message::Facts(self.facts.clone()));
        }
        // The planner waits for each daemon's adopted epoch; the earlier datagram may be lost.
        if let Some(planner) = self.planner_peer() {
            self.send_adopted_epoch(planner);
        }
    }

    /// Returns the address of the daemon that wrote the table, unless it is this one.
    fn planner_peer(&self) -> Option<SocketAddr> {
        let planner = self.table.member_of(self.table.planner)?;
        Some(planner.info.peer).filter(|p| *p != self.info.peer)
    }

    /// Sends the table epoch and document version of this daemon to all members.
    pub fn broadcast_versions(&mut self) {
        for peer in self.other_peers() {
            self.send(peer, Message::Facts(SessionFacts::default()));
        }
    }

    /// Returns the addresses of all members except this daemon.
    pub fn other_peers(&self) -> Vec<SocketAddr> {
        let me = self.info.session.instance;
        let others = self
            .table
            .members
            .values()
            .filter(|m| m.info.session.instance != me);
        let mut peers: Vec<SocketAddr> = others.map(|m| m.info.peer).collect();
        peers.sort_unstable();
        peers.dedup();
        peers
    }

    /// Sends `message` together with this daemon's table epoch and document version.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        let datagram = Datagram {
            cell_hash: self.cell_hash,
            from: self.info.session.instance,
            peer: self.info.peer,
            epoch: self.table.epoch,
            document_version: self.document_version,
            message,
        };
        self.actions.push(OwnershipAction::Send { to, datagram });
    }
}
