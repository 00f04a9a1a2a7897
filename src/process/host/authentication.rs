//! Decides which team a request belongs to, and whether it may run.

use crate::connection::protocol::CallerProtocol;
use crate::request::headers::Headers;
use crate::version::api_key::ApiKeyDigest;
use crate::version::routing_config::{RouteRule, RoutingConfig};
use crate::version::team::Team;

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationRefusal {
    /// The request has no API key, and its route is not public.
    NoKey,
    /// The routing has no team with the key.
    UnknownKey,
    /// The routing may be so old that the key was revoked.
    StaleRouting,
}

impl AuthenticationRefusal {
    /// Returns the name of the cause in logs, metrics and responses.
    pub fn as_str(self) -> &'static str {
        match self {
            AuthenticationRefusal::NoKey => "no-key",
            AuthenticationRefusal::UnknownKey => "unknown-key",
            AuthenticationRefusal::StaleRouting => "stale-routing",
        }
    }
}

/// Returns the team of a request, or `None` for a request without one. `is_recent` says whether
/// `routing` is known to be recent enough for keys.
///
/// On a public route, an old routing costs a request its team only.
///
/// # Errors
///
/// Returns why the request may not run.
pub fn identify<'r>(
    routing: &'r RoutingConfig,
    rule: &RouteRule,
    key: Option<&ApiKeyDigest>,
    is_recent: bool,
) -> Result<Option<&'r Team>, AuthenticationRefusal> {
    let Some(teams) = &routing.teams else {
        return Ok(None);
    };
    let Some(key) = key else {
        return match rule.public {
            true => Ok(None),
            false => Err(AuthenticationRefusal::NoKey),
        };
    };
    match teams.of_key(key) {
        None => Err(AuthenticationRefusal::UnknownKey),
        Some(team) if is_recent => Ok(Some(team)),
        Some(_) if rule.public => Ok(None),
        Some(_) => Err(AuthenticationRefusal::StaleRouting),
    }
}

/// Returns the headers of a request that are forwarded. Where teams are configured, these do not
/// contain what callers state about their identity.
pub fn forwarded_headers(
    routing: &RoutingConfig,
    protocol: &dyn CallerProtocol,
    headers: &Headers,
) -> Headers {
    let mut forwarded = headers.end_to_end();
    if routing.teams.is_some() {
        for name in protocol.identity_headers() {
            forwarded.remove(name);
        }
    }
    forwarded
}
