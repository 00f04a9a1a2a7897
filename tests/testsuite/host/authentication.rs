//! Which team a request belongs to, which requests are refused, and which headers are forwarded.

use std::time::Duration;

use foxtaildrift::connection::http1::RequestHead;
use foxtaildrift::connection::protocol::{CallMetadata, CallerProtocol};
use foxtaildrift::process::host::authentication::{
    AuthenticationRefusal, forwarded_headers, identify,
};
use foxtaildrift::request::headers::Headers;
use foxtaildrift::version::api_key::ApiKeyDigest;
use foxtaildrift::version::burst::Burst;
use foxtaildrift::version::routing_config::{RouteRule, RoutingConfig};
use foxtaildrift::version::team::Team;
use foxtaildrift::version::teams::Teams;

struct PlainCallers;

impl CallerProtocol for PlainCallers {
    fn parse_head(&self, _: &RequestHead) -> CallMetadata {
        CallMetadata::default()
    }

    fn identity_headers(&self) -> &'static [&'static str] {
        &["Key", "Team"]
    }

    fn challenge_header(&self) -> (&'static str, &'static str) {
        ("Challenge", "Key")
    }

    fn retry_after_header(&self, _: Duration) -> (&'static str, String) {
        ("Retry-After", String::new())
    }

    fn request_id_header(&self, id: &str) -> (&'static str, String) {
        ("Id", id.to_owned())
    }
}

fn routing(has_teams: bool) -> RoutingConfig {
    let team = Team {
        name: "hule930".parse().unwrap(),
        priority: None,
        rate: None,
        burst: Burst::default(),
    };
    let teams = Teams::new([(team, vec![ApiKeyDigest::of(b"right")])]);
    RoutingConfig {
        teams: has_teams.then_some(teams),
        ..RoutingConfig::default()
    }
}

/// Returns the team's name, or the refusal, of a request with `key`.
fn outcome(
    routing: &RoutingConfig,
    public: bool,
    key: Option<&str>,
    is_recent: bool,
) -> Result<Option<String>, AuthenticationRefusal> {
    let rule = RouteRule {
        public,
        ..RouteRule::default()
    };
    let key = key.map(|k| ApiKeyDigest::of(k.as_bytes()));
    let team = identify(routing, &rule, key.as_ref(), is_recent);
    team.map(|t| t.map(|t| t.name.to_string()))
}

#[test]
fn requests_are_authenticated_only_where_teams_are_configured() {
    let (open, closed) = (routing(false), routing(true));
    for key in [None, Some("right"), Some("wrong")] {
        assert_eq!(outcome(&open, false, key, false), Ok(None));
    }
    let team = Ok(Some("hule930".to_owned()));
    assert_eq!(outcome(&closed, false, Some("right"), true), team);
    assert_eq!(outcome(&closed, true, Some("right"), true), team);
    assert_eq!(outcome(&closed, true, None, true), Ok(None));
    let no_key = Err(AuthenticationRefusal::NoKey);
    assert_eq!(outcome(&closed, false, None, true), no_key);
    let unknown = Err(AuthenticationRefusal::UnknownKey);
    for key in ["wrong", "righ", "right ", ""] {
        assert_eq!(outcome(&closed, false, Some(key), true), unknown, "{key}");
        assert_eq!(outcome(&closed, true, Some(key), true), unknown, "{key}");
    }
}

/// A key that may have been revoked must not run a request that needs it, nor give one a team.
#[test]
fn an_old_routing_refuses_keys_and_leaves_public_routes_alone() {
    let closed = routing(true);
    let stale = Err(AuthenticationRefusal::StaleRouting);
    assert_eq!(outcome(&closed, false, Some("right"), false), stale);
    assert_eq!(outcome(&closed, true, Some("right"), false), Ok(None));
    assert_eq!(outcome(&closed, true, None, false), Ok(None));
    let no_key = Err(AuthenticationRefusal::NoKey);
    assert_eq!(outcome(&closed, false, None, false), no_key);
}

/// Debug output ends up in logs and test reports.
#[test]
fn the_debug_output_of_headers_shows_no_key() {
    let mut headers = Headers::default();
    headers.push("AUTHORIZATION", "Bearer right");
    headers.push("Host", "a.example");
    let shown = format!("{headers:?}");
    assert!(
        !shown.contains("right") && shown.contains("a.example"),
        "{shown}"
    );
}

/// An upstream trusts the header with the team, so a caller must not set it.
#[test]
fn identity_headers_are_dropped_only_where_teams_are_configured() {
    let mut headers = Headers::default();
    for (name, value) in [
        ("key", "right"),
        ("team", "forged"),
        ("TEAM", "2"),
        ("x", "y"),
    ] {
        headers.push(name, value);
    }
    let names = |routing: &RoutingConfig| {
        let forwarded = forwarded_headers(routing, &PlainCallers, &headers);
        forwarded
            .iter()
            .map(|(n, _)| n.to_owned())
            .collect::<Vec<_>>()
    };
    assert_eq!(names(&routing(true)), ["x"]);
    assert_eq!(names(&routing(false)), ["key", "team", "TEAM", "x"]);
}
