//! Quotas of several teams at one daemon.

use std::collections::BTreeMap;
use std::time::Duration;

use foxtaildrift::process::datagram::Message;
use foxtaildrift::process::host::quota_placement::QuotaMember;
use foxtaildrift::process::host::quota_state::QuotaState;
use foxtaildrift::process::host::team_limit::TeamLimit;
use foxtaildrift::process::host::team_quota::QuotaDecision;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::quota_message::TeamTokens;
use foxtaildrift::version::team_name::TeamName;

use super::fleet::{self, CONFIG, LEASE};
use super::{LARGE, SMALL};

/// When the former owners' leases have ended.
const BEGIN: Moment = Moment(2_100_000);

fn names() -> [TeamName; 2] {
    ["hule930", "dele69a"].map(|n| n.parse().expect("a name"))
}

fn limits() -> BTreeMap<TeamName, TeamLimit> {
    names().into_iter().zip([LARGE, SMALL]).collect()
}

/// Returns the state of a daemon with these members, live for a long time.
fn state(index: usize, members: &[QuotaMember]) -> QuotaState {
    let own = fleet::member(index).session;
    let mut state = QuotaState::new(CONFIG, LEASE, own);
    state.set_live(BEGIN, Some(BEGIN + Duration::from_secs(1000)));
    state.adopt_limits(Moment::default(), limits());
    let handovers = state.adopt_members(Moment::default(), own, members.to_vec());
    assert!(handovers.is_empty());
    state
}

fn wait_for_both(state: &mut QuotaState, now: Moment) {
    for team in names() {
        state.record_arrival(now, &team);
        let decision = state.admit(now, now, &team, false);
        assert_eq!(decision, Some(QuotaDecision::Wait));
        state.begin_wait(&team);
    }
}

#[test]
fn teams_with_one_owner_share_a_datagram() {
    let members = [fleet::member(0)];
    let mut owner = state(0, &members);
    let mut asker = state(1, &members);
    wait_for_both(&mut asker, BEGIN);
    let (peer, ask) = asker.ask(BEGIN, &names()[0]).expect("an ask is due");
    assert_eq!(peer, members[0].peer);
    assert_eq!(asker.ask(BEGIN, &names()[1]), None, "both were asked for");
    let Message::QuotaAsk { sent, teams } = ask else {
        panic!("{ask:?}");
    };
    let later = BEGIN + Duration::from_secs(2);
    let grants = owner.issue(later, &teams);
    assert_eq!(grants.iter().map(|g| g.tokens).collect::<Vec<_>>(), [1, 1]);
    // The answer took too long: its tokens have expired.
    assert_eq!(asker.receive(later, sent, &grants), 0);
}

#[test]
fn an_owner_admits_its_own_requests_without_a_datagram() {
    let mut owner = state(0, &[fleet::member(0)]);
    let now = BEGIN + Duration::from_secs(1);
    wait_for_both(&mut owner, now);
    for team in names() {
        assert_eq!(owner.ask(now, &team), None);
        let decision = owner.admit(now, now, &team, false);
        assert!(matches!(decision, Some(QuotaDecision::Admitted(_))));
    }
}

#[test]
fn an_owner_whose_session_has_lapsed_issues_nothing() {
    let mut owner = state(0, &[fleet::member(0)]);
    let asks = names().map(|team| TeamTokens { team, tokens: 1 });
    let now = BEGIN + Duration::from_secs(10);
    assert_eq!(owner.issue(now, &asks).len(), 2);
    // The process was paused past the end of its lease, and nothing has noticed that yet.
    owner.set_live(now, Some(now + LEASE));
    assert!(owner.issue(now + LEASE, &asks).is_empty());
    owner.set_live(now + LEASE, None);
    let again = now + LEASE + Duration::from_millis(100);
    owner.set_live(again, Some(again + LEASE));
    let issued = owner.issue(
        again,
        &names().map(|team| TeamTokens { team, tokens: 9999 }),
    );
    assert!(issued[0].tokens <= 40, "{issued:?}");
}

#[test]
fn a_new_session_of_the_owner_begins_anew() {
    let mut owner = state(0, &[fleet::member(0)]);
    let now = BEGIN + Duration::from_secs(10);
    let mut next = fleet::member(0);
    next.session.tenure = 2;
    assert!(
        owner
            .adopt_members(now, next.session, vec![next])
            .is_empty()
    );
    let asks = names().map(|team| TeamTokens { team, tokens: 1 });
    assert!(owner.issue(now, &asks).is_empty());
}

#[test]
fn state_of_teams_is_dropped_with_their_limit_or_when_idle() {
    let mut owner = state(0, &[fleet::member(0)]);
    wait_for_both(&mut owner, BEGIN);
    let [first, second] = names();
    owner.adopt_limits(BEGIN, BTreeMap::from([(first.clone(), LARGE)]));
    assert_eq!(owner.teams_owned(), 1);
    assert_eq!(owner.admit(BEGIN, BEGIN, &second, false), None, "no limit");
    owner.end_wait(&first);
    assert!(owner.next_ask(BEGIN, &first).is_some());
    owner.forget_idle(BEGIN + Duration::from_secs(60));
    assert!(owner.next_ask(BEGIN, &first).is_none());
}
