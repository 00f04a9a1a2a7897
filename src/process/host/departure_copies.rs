//! Sends copies of this host's departures to other daemons, and fetches those of former processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::connection::peer_message::{PeerReply, PeerRequest};
use crate::connection::peer_pool::PeerPool;
use crate::connection::recipient::Recipient;
use crate::process::host::departure_holders::{self, ASKED, HOLDERS, HOLDERS_MIN};
use crate::process::host::departure_recovery::DepartureRecovery;
use crate::process::membership::Membership;
use crate::process::moment::Moment;
use crate::version::departed_process::DepartedProcess;
use crate::version::epoch::Epoch;

/// Timeout of a call to a holder. An announcement must be acknowledged within a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Client of the daemons that hold copies of the departures on this host.
pub struct DepartureCopies {
    membership: Arc<Membership>,
    peers: Arc<PeerPool>,
    /// Address of this daemon, which its next process has as well.
    host: SocketAddr,
}

impl DepartureCopies {
    /// Creates a client for the daemon at `host`.
    pub fn new(membership: Arc<Membership>, peers: Arc<PeerPool>, host: SocketAddr) -> Self {
        Self {
            membership,
            peers,
            host,
        }
    }

    /// Sends copies of `processes`; returns whether enough other daemons hold them.
    pub fn send(&self, processes: &[DepartedProcess]) -> bool {
        let holders = self.holders(HOLDERS);
        let request = PeerRequest::HoldDepartures {
            host: self.host,
            processes: processes.to_vec(),
        };
        let replies = self.call_all(&holders, &request);
        let held = replies
            .into_iter()
            .filter(|(_, r)| *r == PeerReply::Accepted);
        let held = held.count();
        tracing::info!(
            event = "departures-copied",
            count = processes.len(),
            holders = held
        );
        held > 0 && held >= HOLDERS_MIN.min(holders.len())
    }

    /// Asks the holders that have not answered; returns the departures that they hold. Does nothing
    /// until the members are known.
    pub fn fetch(&self, now: Moment, recovery: &mut DepartureRecovery) -> Vec<DepartedProcess> {
        if !recovery.is_asking() {
            let is_known =
                self.membership.has_read_platform() || self.membership.table().epoch > Epoch(0);
            if !is_known {
                return Vec::new();
            }
            recovery.begin_asking(now, self.holders(ASKED));
        }
        let request = PeerRequest::FetchDepartures { host: self.host };
        let mut departures = Vec::new();
        for (holder, reply) in self.call_all(&recovery.silent_holders(), &request) {
            if let PeerReply::Departures(held) = reply {
                recovery.record_answer(holder);
                departures.extend(held);
            }
        }
        departures
    }

    fn holders(&self, count: usize) -> Vec<SocketAddr> {
        departure_holders::choose(&self.membership.table(), self.host, count)
    }

    /// Sends `request` to all `holders` at once; returns the replies.
    fn call_all(
        &self,
        holders: &[SocketAddr],
        request: &PeerRequest,
    ) -> Vec<(SocketAddr, PeerReply)> {
        let call = |holder: SocketAddr| {
            let recipient = Recipient::none();
            let called = self
                .peers
                .call(holder, request, CALL_TIMEOUT, &recipient, || false);
            match called {
                Ok(called) => Some((holder, called.reply)),
                Err(e) => {
                    tracing::debug!(event = "holder-silent", %holder, error = %e);
                    None
                }
            }
        };
        thread::scope(|scope| {
            let calls: Vec<_> = holders
                .iter()
                .map(|&holder| scope.spawn(move || call(holder)))
                .collect();
            let replies = calls.into_iter().filter_map(|c| c.join().ok().flatten());
            replies.collect()
        })
    }
}
