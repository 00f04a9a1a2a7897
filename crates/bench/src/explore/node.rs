//! A daemon of a randomised run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use foxtaildrift::process::join_requests::JoinRequests;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::platform::Revision;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::slice_id::SliceId;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};

use crate::explore::world::{SERVICE, Time};

/// The virtual time at which all hosts' clocks read the most alike.
const CLOCK_START: Duration = Duration::from_secs(1000);

/// The clock of a host: it starts anywhere and drifts.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    /// What it shows at the start, on top of a common start.
    pub offset: Duration,
    /// How much faster than true time it runs, in parts per million.
    pub drift_ppm: i64,
}

impl HostClock {
    /// Returns what the clock shows at the virtual time `at`.
    pub fn read(&self, at: Time) -> Moment {
        let micros = i64::try_from(at).unwrap_or(i64::MAX);
        let drift = micros / 1_000_000 * self.drift_ppm;
        let shown = u64::try_from(micros + drift).unwrap_or(0);
        Moment(shown) + CLOCK_START + self.offset
    }
}

/// A daemon process with its host.
pub struct Node {
    /// Where it is reached.
    pub peer: SocketAddr,
    /// Its failure domain.
    pub domain: usize,
    /// Its host's clock.
    pub clock: HostClock,
    /// Its rules, while it runs.
    pub ownership: Option<Ownership>,
    /// Until when it is paused.
    pub paused_until: Time,
    /// When its process started.
    pub started: Time,
    /// Whether it has read the platform's table since its process started.
    pub read_platform: bool,
    /// Whether it reaches the platform.
    pub sees_platform: bool,
    /// What others that want to join told it.
    pub joins: JoinRequests,
    /// The revision that the platform held when it last read the table.
    pub base: Option<Revision>,
    /// Work on slices that it serves no more: until when it may go on.
    pub working: BTreeMap<SliceId, Moment>,
    /// The epoch that it must let go for, when its work is done.
    pub letting_go: Option<Epoch>,
    /// The versions that it had before, which must not fall.
    pub seen: (Epoch, DocumentVersion),
}

impl Node {
    /// Returns a host without a process.
    pub fn new(number: usize, domain: usize, clock: HostClock) -> Self {
        let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
        Self {
            peer: SocketAddr::from(([127, 0, 0, last], 7400)),
            domain,
            clock,
            ownership: None,
            paused_until: 0,
            started: 0,
            read_platform: false,
            sees_platform: true,
            joins: JoinRequests::default(),
            base: None,
            working: BTreeMap::new(),
            letting_go: None,
            seen: (Epoch::default(), DocumentVersion::default()),
        }
    }

    /// Starts a new process that remembers nothing.
    ///
    /// # Panics
    ///
    /// Panics where a fixed name is none.
    pub fn start(&mut self, at: Time, session: SessionId, seed: u64) {
        let upstream = Upstream {
            service: SERVICE.parse().expect("a name"),
            address: SocketAddr::new(self.peer.ip(), 9000),
            boot: UpstreamBoot(seed),
            slots: 8,
            cold_slots: 2,
            connections: 10,
            checks_grants: true,
        };
        let info = MemberInfo {
            session,
            peer: self.peer,
            entry: SocketAddr::new(self.peer.ip(), 8080),
            domain: format!("domain-{}", self.domain).parse().expect("a name"),
            upstream: Some(upstream),
            leaving: false,
            weight: WEIGHT_FULL,
            cpu_share: CPU_SHARE_DEFAULT,
        };
        let now = self.clock.read(at);
        self.ownership = Some(Ownership::new(1, LeaseTimes::default(), info, now, seed));
        self.started = at;
        self.read_platform = false;
        self.joins = JoinRequests::default();
        self.base = None;
        self.working.clear();
        self.letting_go = None;
        self.seen = (Epoch::default(), DocumentVersion::default());
    }

    /// Returns whether the process runs and is not paused.
    pub fn is_running(&self, at: Time) -> bool {
        self.ownership.is_some() && at >= self.paused_until
    }
}
