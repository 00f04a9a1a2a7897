//! State of the dispatcher to the local upstream: the queue with the threads that wait in it, and the
//! requests at the upstream.

use std::collections::{BTreeMap, HashMap};
use std::sync::mpsc::SyncSender;

use crate::process::host::admission::Admission;
use crate::process::host::admission_queue::Ticket;
use crate::process::host::local_upstream::LocalUpstream;
use crate::process::host::owned_range::OwnedRange;
use crate::process::moment::Moment;
use crate::request::fingerprint::Fingerprint;
use crate::request::quarantine::{CrashSuspect, Quarantine};
use crate::request::request_kind::RequestKind;
use crate::version::upstream::UpstreamBoot;

/// Why a request leaves the queue.
pub(super) enum Turn {
    /// It may be sent.
    Admitted,
    /// It can't end before its deadline any more.
    Expired,
}

/// Request at the upstream.
pub(super) struct InFlight {
    pub(super) fingerprint: Fingerprint,
    pub(super) kind: RequestKind,
}

/// State of the dispatcher, which one lock guards.
#[derive(Default)]
pub(super) struct DispatcherState {
    pub(super) upstream: LocalUpstream,
    pub(super) admission: Admission,
    /// Channels that wake the threads of queued requests.
    pub(super) waiting: HashMap<Ticket, SyncSender<Turn>>,
    /// Requests at the upstream, by dispatch number.
    pub(super) in_flight: HashMap<u64, InFlight>,
    pub(super) last_dispatch: u64,
    pub(super) quarantine: Quarantine,
    /// Ranges that are certainly granted to the upstream, each with the end of its grant.
    pub(super) granted: Vec<(OwnedRange, Moment)>,
    /// Requests for each granted key since the last load report, including those refused for lack
    /// of capacity.
    pub(super) arrivals: BTreeMap<u16, u32>,
}

impl DispatcherState {
    /// Admits queued requests and wakes their threads.
    pub(super) fn wake_admitted(&mut self, now: Moment) {
        let turns = self.admission.admit_waiting(now);
        for ticket in turns.admitted {
            self.wake(ticket, Turn::Admitted);
        }
        for ticket in turns.expired {
            self.wake(ticket, Turn::Expired);
        }
    }

    fn wake(&mut self, ticket: Ticket, turn: Turn) {
        if let Some(tx) = self.waiting.remove(&ticket) {
            // If the thread no longer waits, it ends its dispatch itself.
            let _ = tx.try_send(turn);
        }
    }

    /// Records all requests in flight as suspects of the crash of the upstream process `boot`.
    pub(super) fn suspect_in_flight(
        &mut self,
        now: Moment,
        boot: UpstreamBoot,
    ) -> Vec<CrashSuspect> {
        self.quarantine
            .record_crash(now, boot, self.in_flight.values().map(|r| r.fingerprint))
    }
}
