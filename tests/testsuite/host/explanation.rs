//! The text that explains where a request would go.

use std::time::Duration;

use foxtaildrift::cmd::explain;
use foxtaildrift::process::host::explanation::{
    CandidateExplanation, Choice, DaemonDescription, DescribedRequest, RouteExplanation,
    TargetExplanation,
};
use foxtaildrift::process::host::upstream_selector::{AttemptOutcome, UpstreamSelector};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::request::upstream_load::UpstreamLoad;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::Member;

use crate::host::fleet_model;

const NOW: Moment = Moment(1_000_000);

/// Returns the candidates of a selector that has a report of each of four upstreams but the last.
fn candidates() -> Vec<CandidateExplanation> {
    let members: Vec<Member> = (0..4).map(|n| fleet_model::member(n, 2, 10)).collect();
    let selector = UpstreamSelector::with_seed(1);
    for (n, in_flight) in [2, 9, 8].into_iter().enumerate() {
        let instance = InstanceId(n as u64);
        selector.call_started(Moment::from_millis(0), instance);
        let load = UpstreamLoad {
            in_flight,
            slots: 10,
            mean_micros: 40_000,
            ran_ms: 40,
            ..UpstreamLoad::default()
        };
        let outcome = AttemptOutcome {
            failed: n == 2,
            duration: Duration::from_millis(42),
            load: Some(load),
        };
        selector.call_ended(NOW, instance, outcome);
    }
    let domain = "domain-0".parse().unwrap();
    let now = NOW + Duration::from_millis(120);
    CandidateExplanation::of_all(&selector.candidates(now, &members, &domain, 1000))
}

fn explanation(choices: Vec<Choice>) -> RouteExplanation {
    let target = |choice| TargetExplanation {
        service: "desk".parse().unwrap(),
        weight: 3,
        choice,
    };
    RouteExplanation {
        daemon: InstanceId(7),
        version: DocumentVersion::from(12_u64),
        route: "look".into(),
        prefix: "/look/".into(),
        priority: 2,
        repeatable: true,
        domain: "domain-0".parse().unwrap(),
        targets: choices.into_iter().map(target).collect(),
    }
}

#[test]
fn the_text_names_route_owner_and_candidates() {
    let owner = DaemonDescription {
        daemon: InstanceId(8),
        peer: "127.0.0.1:7400".parse().unwrap(),
        domain: "domain-1".parse().unwrap(),
        upstream: None,
    };
    let choices = vec![
        Choice::Owner(owner),
        Choice::NoKey,
        Choice::NoOwner,
        Choice::Candidates(Vec::new()),
        Choice::Candidates(candidates()),
    ];
    insta::assert_snapshot!(explain::format_explanation(&explanation(choices)));
}

#[test]
fn the_shares_of_each_group_add_up_and_its_likeliest_come_first() {
    let candidates = candidates();
    let remote: Vec<bool> = candidates.iter().map(|c| c.remote).collect();
    assert_eq!(remote, [false, false, true, true]);
    for group in candidates.chunks(2) {
        assert!((group[0].share + group[1].share - 1.0).abs() < 1e-9);
        assert!(group[0].share >= group[1].share);
    }
}

#[test]
fn a_described_request_has_no_headers() {
    // Guards against API keys of callers in explanations, and in their logs.
    let text = r#"{"host":"a","path":"/","authorization":"Bearer secret"}"#;
    assert!(serde_json::from_str::<DescribedRequest>(text).is_err());
    let text = r#"{"host":"a","path":"/"}"#;
    assert!(serde_json::from_str::<DescribedRequest>(text).is_ok());
}
