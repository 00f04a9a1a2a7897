//! The ownership rules of one daemon: time and messages in, actions out.
//!
//! A daemon serves a slice while its own session is live, it holds a certificate that each
//! candidate before it has ended, and each leaving session has let go. `docs/DESIGN.md` gives the
//! argument that two daemons never serve one slice.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};

use crate::process::datagram::{Datagram, Message};
use crate::process::lease_times::LeaseTimes;
use crate::process::moment::Moment;
use crate::process::not_serving::NotServing;
use crate::process::own_session::OwnSession;
use crate::process::ownership_action::OwnershipAction;
use crate::process::serve_permit::ServePermit;
use crate::process::session_facts::SessionFacts;
use crate::process::witness::Witness;
use crate::version::assignment::Leaving;
use crate::version::document_version::DocumentVersion;
use crate::version::epoch::Epoch;
use crate::version::instance_id::InstanceId;
use crate::version::key_hash::KeyHash;
use crate::version::member::{Member, MemberInfo};
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;
use crate::version::slice_id::SliceId;
use crate::version::table::Table;
use crate::version::token::Token;

/// How often a daemon tells all that it knows to a few others.
const ANTI_ENTROPY: Duration = Duration::from_millis(1000);
/// How many others it tells then: news is pushed to all, so this is only for what was lost.
const ANTI_ENTROPY_PEERS: usize = 1;
/// How often a daemon asks those that it waits for.
const ASK_REPEAT: Duration = Duration::from_millis(100);
/// How often a daemon repeats its wish to join.
const JOIN_REPEAT: Duration = Duration::from_millis(500);
/// A gap between two ticks that shows that the process was paused.
const PAUSE_MIN: Duration = Duration::from_millis(300);

/// The ownership state of one daemon process.
#[derive(Debug)]
pub struct Ownership {
    cell: u64,
    times: LeaseTimes,
    info: MemberInfo,
    tenure: OwnSession,
    joined: bool,
    witness: Witness,
    facts: SessionFacts,
    certified: BTreeMap<SessionId, Epoch>,
    table: Arc<Table>,
    document: DocumentVersion,
    held: BTreeMap<(ServiceName, SliceId), Token>,
    /// The epoch since which this daemon is a candidate where it was not before.
    newest_gain: Epoch,
    renew_at: Moment,
    gossip_at: Moment,
    join_at: Moment,
    ask_at: Moment,
    lapsed_since: Moment,
    last_tick: Moment,
    rng: SmallRng,
    out: Vec<OwnershipAction>,
}

impl Ownership {
    /// Creates the state of a process that has just started and is no member yet.
    pub fn new(cell: u64, times: LeaseTimes, info: MemberInfo, now: Moment, seed: u64) -> Self {
        Self {
            cell,
            times,
            tenure: OwnSession::new(info.session),
            info,
            joined: false,
            witness: Witness::default(),
            facts: SessionFacts::default(),
            certified: BTreeMap::new(),
            table: Arc::default(),
            document: DocumentVersion::default(),
            held: BTreeMap::new(),
            newest_gain: Epoch::default(),
            renew_at: now,
            gossip_at: now,
            join_at: now,
            ask_at: now,
            lapsed_since: now,
            last_tick: now,
            rng: SmallRng::seed_from_u64(seed),
            out: Vec::new(),
        }
    }

    /// Returns the table that the daemon works by.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the statements that the daemon holds.
    pub fn facts(&self) -> &SessionFacts {
        &self.facts
    }

    /// Returns the sessions known to have ended, with their last epochs.
    pub fn end_certificates(&self) -> &BTreeMap<SessionId, Epoch> {
        &self.certified
    }

    /// Returns whether `session` is known to have ended.
    pub fn has_ended(&self, session: SessionId) -> bool {
        self.certified.contains_key(&session) || !self.table.members.contains_key(&session)
    }

    /// Returns what the daemon says of itself.
    pub fn info(&self) -> &MemberInfo {
        &self.info
    }

    /// Returns the version of the document that the daemon works by.
    pub fn document(&self) -> DocumentVersion {
        self.document
    }

    /// Returns until when the daemon's session is live, where it is.
    pub fn live_until(&self, now: Moment) -> Option<Moment> {
        let member = self.table.members.get(&self.tenure.id)?;
        let until = self.tenure.live_until(&member.witnesses, &self.times)?;
        (until > now).then_some(until)
    }

    /// Takes the outputs that have gathered.
    pub fn take_actions(&mut self) -> Vec<OwnershipAction> {
        std::mem::take(&mut self.out)
    }

    /// Says something new of the daemon itself; the planner hears it with the next join message.
    pub fn update_info(&mut self, now: Moment, change: impl FnOnce(&mut MemberInfo)) {
        change(&mut self.info);
        self.info.session = self.tenure.id;
        self.join_at = now;
    }

    /// Notes the version of the document now in force here.
    pub fn adopt_document(&mut self, version: DocumentVersion) {
        debug_assert!(version >= self.document, "a document version never falls");
        self.document = version;
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Moment) {
        self.forgive_pause(now);
        self.state_ends(now);
        self.observe_lease(now);
        if now >= self.renew_at {
            self.renew_at = now + self.times.renewal_interval;
            self.renew(now);
        }
        self.renew_unconfirmed(now);
        if now >= self.join_at {
            self.join_at = now + JOIN_REPEAT;
            self.ask_to_join();
        }
        if now >= self.ask_at {
            self.ask_at = now + ASK_REPEAT;
            self.ask_leaving(now);
        }
        if now >= self.gossip_at {
            self.gossip_at = now + ANTI_ENTROPY;
            self.tell_all_facts();
        }
    }

    /// Takes in a datagram.
    pub fn receive(&mut self, now: Moment, datagram: Datagram) {
        if datagram.cell != self.cell || datagram.from == self.info.session.instance {
            return;
        }
        self.forgive_pause(now);
        if datagram.epoch > self.table.epoch {
            self.out.push(OwnershipAction::FetchTable {
                from: datagram.peer,
                epoch: datagram.epoch,
            });
        }
        if datagram.document > self.document {
            let (from, version) = (datagram.peer, datagram.document);
            self.out
                .push(OwnershipAction::FetchDocument { from, version });
        }
        match datagram.message {
            Message::Renew {
                session,
                sent,
                epoch,
            } => {
                self.answer_renewal(now, datagram.peer, session, sent, epoch);
            }
            Message::Grant {
                session,
                sent,
                epoch,
            } => {
                self.take_grant(now, datagram.from, session, sent, epoch);
            }
            Message::Facts(facts) => self.learn(now, facts),
            Message::Ask => self.tell_adopted(datagram.peer),
            Message::Join(_) | Message::Load(_) | Message::Suspects(_) | Message::Cleared(_) => {}
        }
    }

    /// Adopts `table` where it is newer than the present one.
    pub fn adopt_table(&mut self, now: Moment, table: Arc<Table>) {
        if table.epoch <= self.table.epoch {
            return;
        }
        let before = self.served_slices(now);
        self.table = table;
        let members = &self.table.members;
        self.facts.retain(|s| members.contains_key(&s));
        self.certified.retain(|s, _| members.contains_key(s));
        self.witness
            .adopt_table(now, &self.table, self.info.session.instance);
        self.certify(now);
        self.check_membership(now);
        self.held = self.still_entitled(now, before);
        self.newest_gain = self.newest_gain();
        self.out
            .push(OwnershipAction::TableAdopted(self.table.epoch));
        self.renew_unconfirmed(now);
    }

    /// States that all work which `epoch` took from this daemon is done or stopped.
    pub fn announce_release(&mut self, now: Moment, epoch: Epoch) {
        if epoch != self.table.epoch {
            return;
        }
        let mut news = SessionFacts::default();
        news.adopted.insert(self.tenure.id, epoch);
        self.learn(now, news);
    }

    /// Raises the fence tokens of all that this daemon serves from now on: the upstream started
    /// anew, or has seen a higher fence.
    pub fn raise_incarnation(&mut self) {
        self.tenure.incarnation += 1;
        self.held.clear();
    }

    /// Returns the sessions of former processes on this daemon's own address that are not known to
    /// have ended.
    pub fn former_sessions(&self) -> Vec<SessionId> {
        let me = self.info.session.instance;
        let sessions = self.table.members.iter();
        let here = sessions.filter(|(s, m)| s.instance != me && m.info.peer == self.info.peer);
        here.map(|(&s, _)| s)
            .filter(|s| !self.certified.contains_key(s))
            .collect()
    }

    /// Ends the daemon's session by its own word, and starts the next.
    pub fn resign(&mut self, now: Moment) {
        let old = self.tenure.id;
        let mut news = SessionFacts::default();
        news.resigned.insert(old, self.table.epoch);
        self.push_and_merge(news);
        self.start_session(now);
        self.certify(now);
    }

    /// States the end of former processes on this daemon's own address.
    ///
    /// Sound only after it has read the platform's table, so that the former process ended under
    /// no newer one, and after nothing that the former process allowed can still be under way:
    /// either the upstream here has given all keys back, or this process has held the address for
    /// a lease and its margin.
    pub fn end_former_sessions(&mut self, now: Moment) {
        let me = self.info.session.instance;
        let peer = self.info.peer;
        let former = self.table.members.keys().filter(|s| s.instance != me);
        let former = former.filter(|s| self.table.peer(**s) == Some(peer));
        let ended = former.map(|&s| (s, self.table.epoch));
        let news = SessionFacts {
            resigned: ended.collect(),
            ..SessionFacts::default()
        };
        self.learn(now, news);
    }

    /// Returns the right of this daemon to serve `key` now.
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

    /// Returns the right of this daemon to serve `slice` now.
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
        let (rank, until) = self.entitled(now, service, slice)?;
        let assignment = self
            .table
            .assignment(service, slice)
            .ok_or(NotServing::UnknownSlice)?;
        let member = self
            .table
            .members
            .get(&self.tenure.id)
            .ok_or(NotServing::NotCandidate)?;
        let held = self.held.get(&(service.clone(), slice)).copied();
        if self.tenure.confirmed(&member.witnesses) < assignment.since {
            let token = held.ok_or(NotServing::Unconfirmed)?;
            return Ok(ServePermit {
                slice,
                token,
                until,
            });
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let incarnation = self.tenure.incarnation;
        let token = Token {
            since: assignment.since,
            rank,
            incarnation,
        };
        debug_assert!(
            held.is_none_or(|h| h <= token),
            "a slice's token never falls"
        );
        Ok(ServePermit {
            slice,
            token,
            until,
        })
    }

    /// Returns whether records handed over at `handed` are all there is of a slice: each former
    /// candidate let go by its own word, and none ended before it did.
    pub fn is_handover_complete(
        &self,
        service: &ServiceName,
        slice: SliceId,
        handed: Epoch,
    ) -> bool {
        let Some(assignment) = self.table.assignment(service, slice) else {
            return false;
        };
        let let_go = |(&s, former): (&SessionId, &Leaving)| {
            s == self.tenure.id
                || former.behind.contains(&self.tenure.id)
                || self.facts.adopted(s) >= former.since
        };
        let recent = handed == assignment.since || handed == assignment.before;
        recent && assignment.unrecorded < handed && assignment.leaving.iter().all(let_go)
    }

    /// Returns whether this daemon's session is the first candidate of a slice.
    pub fn is_first_candidate(&self, service: &ServiceName, slice: SliceId) -> bool {
        let assignment = self.table.assignment(service, slice);
        assignment.is_some_and(|a| a.candidates.first() == Some(&self.tenure.id))
    }

    /// Returns whether the serve rule lets this daemon work on a slice now.
    pub fn may_serve(&self, now: Moment, service: &ServiceName, slice: SliceId) -> bool {
        self.entitled(now, service, slice).is_ok()
    }

    /// Returns the daemon that most likely serves `key`: the first candidate not known to have
    /// ended.
    pub fn likely_owner(&self, service: &ServiceName, key: KeyHash) -> Option<&Member> {
        let slices = self.table.services.get(service)?;
        let assignment = slices.assignment(slices.slice_of(key)?)?;
        let mut candidates = assignment.candidates.iter();
        let first = candidates.find(|s| !self.certified.contains_key(s))?;
        self.table.members.get(first)
    }

    /// Returns all slices that this daemon serves now, with their tokens.
    pub fn served_slices(&self, now: Moment) -> BTreeMap<(ServiceName, SliceId), Token> {
        let mine = self
            .table
            .assignments()
            .filter(|(_, _, a)| a.rank(self.tenure.id).is_some());
        let served = mine.filter_map(|(service, slice, _)| {
            let serving = self.permit_for_slice(now, service, slice).ok()?;
            Some(((service.clone(), slice), serving.token))
        });
        served.collect()
    }

    /// Applies the serve rule; returns this daemon's rank and until when its lease holds.
    fn entitled(
        &self,
        now: Moment,
        service: &ServiceName,
        slice: SliceId,
    ) -> Result<(usize, Moment), NotServing> {
        let assignment = self
            .table
            .assignment(service, slice)
            .ok_or(NotServing::UnknownSlice)?;
        let rank = assignment
            .rank(self.tenure.id)
            .ok_or(NotServing::NotCandidate)?;
        let until = self.live_until(now).ok_or(NotServing::Lapsed)?;
        if !assignment.candidates[..rank]
            .iter()
            .all(|&s| self.has_ended_by_own_epoch(s))
        {
            return Err(NotServing::NotFirst);
        }
        if !assignment
            .leaving
            .iter()
            .all(|(&s, former)| self.has_left(s, former))
        {
            return Err(NotServing::Waiting);
        }
        Ok((rank, until))
    }

    /// Returns whether `session` is known to have ended, with no epoch that is unknown here.
    fn has_ended_by_own_epoch(&self, session: SessionId) -> bool {
        self.certified
            .get(&session)
            .is_some_and(|&epoch| epoch <= self.table.epoch)
    }

    /// Returns whether `session` has let go, or cannot serve while this daemon is live.
    fn has_left(&self, session: SessionId, former: &Leaving) -> bool {
        session == self.tenure.id
            || former.behind.contains(&self.tenure.id)
            || self.facts.adopted(session) >= former.since
            || self.has_ended_by_own_epoch(session)
    }

    /// Keeps of `before` what the present table leaves to this daemon without a break.
    fn still_entitled(
        &self,
        now: Moment,
        before: BTreeMap<(ServiceName, SliceId), Token>,
    ) -> BTreeMap<(ServiceName, SliceId), Token> {
        let entitled =
            |(service, slice): &(ServiceName, SliceId)| self.entitled(now, service, *slice).is_ok();
        before.into_iter().filter(|(at, _)| entitled(at)).collect()
    }

    /// Counts no time in which this process was paused against the sessions it watches.
    fn forgive_pause(&mut self, now: Moment) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > PAUSE_MIN {
            self.witness.postpone(gap);
        }
    }

    fn state_ends(&mut self, now: Moment) {
        let me = self.info.session.instance;
        let mut news = SessionFacts::default();
        for (session, epoch) in self.witness.expire(now, &self.times) {
            news.ended.insert(session, BTreeMap::from([(me, epoch)]));
        }
        self.learn(now, news);
    }

    fn observe_lease(&mut self, now: Moment) {
        let live = self.live_until(now).is_some();
        match self.tenure.observe(live) {
            Some(true) => self.out.push(OwnershipAction::LeaseLive),
            Some(false) => {
                self.lapsed_since = now;
                self.held.clear();
                self.out.push(OwnershipAction::LeaseLapsed);
            }
            None => {}
        }
        if self.joined && !live && now.since(self.lapsed_since) > self.times.give_up_after {
            self.resign(now);
        }
    }

    /// Asks all witnesses for the lease.
    fn renew(&mut self, now: Moment) {
        self.renew_by(now, |_, _| true);
    }

    /// Asks those witnesses again that granted before they had adopted the epoch that this daemon
    /// waits for.
    fn renew_unconfirmed(&mut self, now: Moment) {
        let Some(member) = self.table.members.get(&self.tenure.id) else {
            return;
        };
        let wanted = match member.witnesses.len() {
            // A change of witnesses ends once they have confirmed it.
            2.. => self.table.epoch,
            _ => self.newest_gain,
        };
        if self.tenure.confirmed(&member.witnesses) < wanted {
            self.renew_by(now, |tenure, witness| {
                tenure.granted_epoch(witness) < wanted
            });
        }
    }

    /// Returns the epoch that gave this daemon a place before others the last time.
    fn newest_gain(&self) -> Epoch {
        let mine = self.table.assignments().map(|(_, _, a)| a);
        let mine = mine.filter(|a| a.rank(self.tenure.id).is_some());
        mine.map(|a| a.since).max().unwrap_or_default()
    }

    /// Asks the witnesses that `asked` names for the lease.
    fn renew_by(&mut self, now: Moment, asked: impl Fn(&OwnSession, InstanceId) -> bool) {
        let session = self.tenure.id;
        let Some(member) = self.table.members.get(&session) else {
            return;
        };
        let me = self.info.session.instance;
        let mut witnesses: Vec<_> = member
            .witnesses
            .iter()
            .flat_map(|set| set.0.clone())
            .collect();
        witnesses.retain(|w| asked(&self.tenure, w.instance));
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
        let by_me = witnesses.iter().any(|w| w.instance == me);
        if by_me && let Some(granted) = self.witness.renew(now, session, epoch, &self.times) {
            self.tenure.granted(me, now, granted);
            self.observe_lease(now);
            self.state_confirmed(now);
        }
    }

    fn answer_renewal(
        &mut self,
        now: Moment,
        from: SocketAddr,
        session: SessionId,
        sent: Moment,
        epoch: Epoch,
    ) {
        // The reply goes to the address in the table, which a successor on that address relies on.
        let to = self.table.peer(session).unwrap_or(from);
        let known = epoch.min(self.table.epoch);
        if let Some(epoch) = self.witness.renew(now, session, known, &self.times) {
            self.send(
                to,
                Message::Grant {
                    session,
                    sent,
                    epoch,
                },
            );
        } else {
            // Even without a statement, the reply tells the sender of a newer table.
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

    fn take_grant(
        &mut self,
        now: Moment,
        from: InstanceId,
        session: SessionId,
        sent: Moment,
        epoch: Epoch,
    ) {
        if session != self.tenure.id || sent > now {
            return;
        }
        self.tenure.granted(from, sent, epoch);
        self.observe_lease(now);
        self.state_confirmed(now);
    }

    /// States which epoch the witnesses have confirmed, while a change of them is under way.
    fn state_confirmed(&mut self, now: Moment) {
        let session = self.tenure.id;
        let Some(member) = self.table.members.get(&session) else {
            return;
        };
        if member.witnesses.len() < 2 {
            return;
        }
        let confirmed = self.tenure.confirmed(&member.witnesses);
        if confirmed > self.facts.confirmed(session) {
            let confirmed = BTreeMap::from([(session, confirmed)]);
            self.learn(
                now,
                SessionFacts {
                    confirmed,
                    ..SessionFacts::default()
                },
            );
        }
    }

    /// Takes in statements, and passes this daemon's own news on to all.
    fn learn(&mut self, now: Moment, facts: SessionFacts) {
        if facts.is_empty() {
            return;
        }
        self.push_and_merge(facts);
        self.certify(now);
    }

    fn push_and_merge(&mut self, facts: SessionFacts) {
        let members = &self.table.members;
        let me = self.info.session.instance;
        // Before the first table nobody is known, and statements are not repeated soon.
        let any = self.table.epoch == Epoch::default();
        let news = self.facts.merge(facts, |s| any || members.contains_key(&s));
        let progress = SessionFacts {
            adopted: of_instance(news.adopted, me),
            confirmed: of_instance(news.confirmed, me),
            ..SessionFacts::default()
        };
        let ends = SessionFacts {
            ended: only_of(news.ended, me),
            resigned: news.resigned,
            ..SessionFacts::default()
        };
        if !progress.is_empty() {
            for peer in self.concerned() {
                self.send(peer, Message::Facts(progress.clone()));
            }
        }
        if !ends.is_empty() {
            for peer in self.other_peers() {
                self.send(peer, Message::Facts(ends.clone()));
            }
        }
    }

    /// Returns the addresses of those that wait for this daemon to let go: the planner, and the
    /// candidates of what it leaves. Others hear of it in time with all statements.
    fn concerned(&self) -> Vec<SocketAddr> {
        let me = self.tenure.id;
        let left = self.table.assignments().map(|(_, _, a)| a);
        let left = left.filter(|a| a.leaving.contains_key(&me));
        let waiting: BTreeSet<SessionId> = left.flat_map(|a| &a.candidates).copied().collect();
        let mut peers: BTreeSet<SocketAddr> = self.planner_peer().into_iter().collect();
        peers.extend(waiting.into_iter().filter_map(|s| self.table.peer(s)));
        peers.remove(&self.info.peer);
        peers.into_iter().collect()
    }

    /// Forms the certificates that the statements allow; each is final.
    ///
    /// A process gives its session up before it starts the next, so a later session of the same
    /// process is a proof too.
    fn certify(&mut self, now: Moment) {
        let mut later: Option<SessionId> = None;
        for (&session, member) in self.table.members.iter().rev() {
            let superseded = later.is_some_and(|s| s.instance == session.instance);
            later = Some(session);
            if self.certified.contains_key(&session) {
                continue;
            }
            let stated = self.facts.certificate(session, &member.witnesses);
            if let Some(epoch) = stated.or(superseded.then_some(self.table.epoch)) {
                self.certified.insert(session, epoch);
            }
        }
        if self.certified.contains_key(&self.tenure.id) {
            self.start_session(now);
        }
    }

    /// Starts a new session where the table no longer lists the present one.
    fn check_membership(&mut self, now: Moment) {
        if self.table.members.contains_key(&self.tenure.id) {
            if !self.joined {
                self.lapsed_since = now;
            }
            self.joined = true;
        } else if self.joined {
            self.start_session(now);
        }
    }

    fn start_session(&mut self, now: Moment) {
        let old = self.tenure.id;
        let next = SessionId {
            instance: old.instance,
            tenure: old.tenure + 1,
        };
        self.tenure = OwnSession::new(next);
        self.info.session = next;
        self.joined = false;
        self.held.clear();
        self.join_at = now;
        self.out.push(OwnershipAction::LeaseLapsed);
        self.out.push(OwnershipAction::SessionEnded(old));
    }

    fn ask_to_join(&mut self) {
        let listed = self.table.members.get(&self.tenure.id);
        if listed.is_some_and(|m| m.info == self.info) {
            return;
        }
        for peer in self.other_peers() {
            self.send(peer, Message::Join(Box::new(self.info.clone())));
        }
    }

    /// Asks the former candidates that keep this daemon from serving.
    fn ask_leaving(&mut self, now: Moment) {
        let mut waited_for = BTreeSet::new();
        for (service, slice, assignment) in self.table.assignments() {
            let mine = assignment.rank(self.tenure.id).is_some();
            if mine && self.entitled(now, service, slice) == Err(NotServing::Waiting) {
                let mut leaving = assignment.leaving.iter();
                waited_for.extend(
                    leaving
                        .by_ref()
                        .filter(|(s, f)| !self.has_left(**s, f))
                        .map(|(s, _)| *s),
                );
            }
        }
        let peers: Vec<_> = waited_for
            .iter()
            .filter_map(|&s| self.table.peer(s))
            .collect();
        for peer in peers {
            self.send(peer, Message::Ask);
        }
    }

    fn tell_adopted(&mut self, to: SocketAddr) {
        let session = self.tenure.id;
        let Some(&epoch) = self.facts.adopted.get(&session) else {
            return;
        };
        let adopted = BTreeMap::from([(session, epoch)]);
        self.send(
            to,
            Message::Facts(SessionFacts {
                adopted,
                ..SessionFacts::default()
            }),
        );
    }

    fn tell_all_facts(&mut self) {
        let peers = self.other_peers();
        let some = peers.into_iter().sample(&mut self.rng, ANTI_ENTROPY_PEERS);
        let jitter = self
            .rng
            .random_range(0..ANTI_ENTROPY.as_millis() as u64 / 4);
        self.gossip_at = self.gossip_at + Duration::from_millis(jitter);
        for peer in some {
            self.send(peer, Message::Facts(self.facts.clone()));
        }
        // The planner waits for each daemon's word, which may have been lost.
        if let Some(planner) = self.planner_peer() {
            self.tell_adopted(planner);
        }
    }

    /// Returns where the process is that wrote the table, if that is another one.
    fn planner_peer(&self) -> Option<SocketAddr> {
        let planner = self.table.member_of(self.table.planner)?;
        Some(planner.info.peer).filter(|p| *p != self.info.peer)
    }

    /// Tells all members which versions this daemon holds.
    pub fn broadcast_versions(&mut self) {
        for peer in self.other_peers() {
            self.send(peer, Message::Facts(SessionFacts::default()));
        }
    }

    /// Returns the addresses of all members but this daemon.
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

    /// Sends `message` with this daemon's versions.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        let datagram = Datagram {
            cell: self.cell,
            from: self.info.session.instance,
            peer: self.info.peer,
            epoch: self.table.epoch,
            document: self.document,
            message,
        };
        self.out.push(OwnershipAction::Send { to, datagram });
    }
}

/// Keeps what concerns the sessions of `instance`.
fn of_instance(
    statements: BTreeMap<SessionId, Epoch>,
    instance: InstanceId,
) -> BTreeMap<SessionId, Epoch> {
    statements
        .into_iter()
        .filter(|(s, _)| s.instance == instance)
        .collect()
}

/// Keeps the end statements that `witness` made.
fn only_of(
    ended: BTreeMap<SessionId, BTreeMap<InstanceId, Epoch>>,
    witness: InstanceId,
) -> BTreeMap<SessionId, BTreeMap<InstanceId, Epoch>> {
    let own = |by: BTreeMap<InstanceId, Epoch>| {
        by.into_iter()
            .filter(|(i, _)| *i == witness)
            .collect::<BTreeMap<_, _>>()
    };
    let kept = ended.into_iter().map(|(s, by)| (s, own(by)));
    kept.filter(|(_, by)| !by.is_empty()).collect()
}
