//! Decides whether the local upstream may get a request now: whether it serves the request, takes work and
//! has the request's key.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::process::clock::Clock;
use crate::process::host::dispatcher_state::DispatcherState;
use crate::process::host::owned_range::OwnedRange;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::process::sync;
use crate::request::shard_key::ShardKey;
use crate::request::upstream_outcome::NotRunCause;
use crate::request::upstream_request::UpstreamRequest;
use crate::version::key_hash::KeyHash;
use crate::version::upstream::UpstreamBoot;

/// How long before the drain timeout the dispatcher stops sending requests.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);
/// Conditions under which the local upstream may get a request.
pub(super) struct SendingConditions {
    clock: Arc<dyn Clock>,
    membership: Arc<Membership>,
    drain_timeout: Duration,
}

impl SendingConditions {
    /// Creates the conditions for an upstream that gets no more requests `drain_timeout` after it
    /// announced that it leaves.
    pub(super) fn new(
        clock: Arc<dyn Clock>,
        membership: Arc<Membership>,
        drain_timeout: Duration,
    ) -> Self {
        Self {
            clock,
            membership,
            drain_timeout,
        }
    }

    /// Returns the process of the upstream that may run the request now, or an error if there is
    /// none.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be sent.
    pub(super) fn check(
        &self,
        state: &Mutex<DispatcherState>,
        request: &UpstreamRequest,
    ) -> Result<UpstreamBoot, NotRunCause> {
        let now = self.clock.now();
        let active = self.membership.active_configuration();
        let locked = sync::lock(state);
        let process = locked.upstream.running().ok_or(NotRunCause::Down)?;
        if process.service != request.service {
            return Err(NotRunCause::Down);
        }
        if !active.document.accepts_work(&process.domain) {
            return Err(NotRunCause::Evacuated);
        }
        let close_after = self.drain_timeout.saturating_sub(DRAIN_MARGIN);
        if process
            .leaving_since
            .is_some_and(|at| now.since(at) >= close_after)
        {
            return Err(NotRunCause::Draining);
        }
        let boot = process.boot();
        drop(locked);
        if let Some(key) = request.key {
            self.check_key_granted(state, request, key)?;
        }
        Ok(boot)
    }

    /// Returns an error unless the daemon may serve the key now and it is granted to the upstream.
    fn check_key_granted(
        &self,
        state: &Mutex<DispatcherState>,
        request: &UpstreamRequest,
        key: ShardKey,
    ) -> Result<(), NotRunCause> {
        let hash = KeyHash(key.0.into());
        let may_serve = self
            .membership
            .with_ownership(|o, now| o.permit_for_key(now, &request.service, hash).is_ok());
        let now = self.clock.now();
        let locked = sync::lock(state);
        let is_granted =
            |(range, until): &(OwnedRange, Moment)| range.contains(key.0) && *until > now;
        match may_serve && locked.granted.iter().any(is_granted) {
            true => Ok(()),
            false => Err(NotRunCause::NotOwner),
        }
    }
}
