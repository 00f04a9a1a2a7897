//! Authenticates callers by their API keys, and builds the responses to those that it refuses.

use std::sync::Arc;

use crate::connection::http_listener::HttpResponse;
use crate::connection::protocol::CallMetadata;
use crate::process::host::authentication::{self, AuthenticationRefusal};
use crate::process::host::response_builder::ResponseBuilder;
use crate::process::membership::Membership;
use crate::version::routing_config::{RouteRule, RoutingConfig};
use crate::version::team::Team;

/// Authenticator of the callers of one host.
pub(super) struct CallerAuthenticator {
    membership: Arc<Membership>,
    /// Whether the age of the routing matters.
    is_strict: bool,
}

impl CallerAuthenticator {
    /// Creates the authenticator of the daemon with this membership.
    pub(super) fn new(membership: Arc<Membership>) -> Self {
        let is_strict = membership.with_ownership(|o, _| o.routing_freshness().is_strict());
        Self {
            membership,
            is_strict,
        }
    }

    /// Returns whether the routing in force is known to be recent enough for keys. It must be called
    /// before the routing is read: the answer then holds for that one, or for a newer one.
    pub(super) fn is_routing_recent(&self) -> bool {
        !self.is_strict
            || self
                .membership
                .with_ownership(|o, now| o.routing_freshness().is_recent(now))
    }

    /// Returns the team of a request, or `None` for a request without one.
    ///
    /// # Errors
    ///
    /// Returns the response to a request that may not run.
    pub(super) fn authenticate<'r>(
        &self,
        routing: &'r RoutingConfig,
        rule: &RouteRule,
        metadata: &CallMetadata,
        is_recent: bool,
        responses: &ResponseBuilder,
    ) -> Result<Option<&'r Team>, HttpResponse> {
        let key = metadata.api_key.as_ref();
        let refusal = match authentication::identify(routing, rule, key, is_recent) {
            Ok(team) => return Ok(team),
            Err(refusal) => refusal,
        };
        let id = metadata.id.as_deref().unwrap_or_default();
        let response = match refusal {
            AuthenticationRefusal::StaleRouting => responses.routing_stale(id),
            AuthenticationRefusal::NoKey | AuthenticationRefusal::UnknownKey => {
                responses.unauthorized(id, refusal)
            }
        };
        let cause = refusal.as_str();
        self.membership.metrics().record_refusal(cause);
        tracing::info!(event = "request", request = id, route = rule.name, status = response.status, version = %routing.version, cause);
        Err(response)
    }
}
