//! A simulated daemon.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use foxtaildrift::process::join_requests::JoinRequests;
use foxtaildrift::process::lease_times::LeaseTimes;
use foxtaildrift::process::moment::Moment;
use foxtaildrift::process::ownership::Ownership;
use foxtaildrift::process::platform::Revision;
use foxtaildrift::process::release_tracker::{ReleaseId, ReleaseTracker};
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::epoch::Epoch;
use foxtaildrift::version::member::{CPU_SHARE_DEFAULT, MemberInfo, WEIGHT_FULL};
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::session_id::SessionId;
use foxtaildrift::version::slice_id::SliceId;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};

use crate::explore::simulation::{SERVICE, Time};

/// The reading of a host's clock with offset zero at the start of the simulation.
const CLOCK_START: Duration = Duration::from_secs(1000);

/// The clock of a host, with an arbitrary offset and a constant drift.
#[derive(Clone, Copy, Debug)]
pub struct HostClock {
    /// The reading at the start of the simulation, relative to `CLOCK_START`.
    pub offset: Duration,
    /// The drift relative to virtual time, in parts per million; positive if the clock is fast.
    pub drift_ppm: i64,
}

impl HostClock {
    /// Returns the reading of the clock at the virtual time `at`.
    pub fn read(&self, at: Time) -> Moment {
        let micros = i64::try_from(at).unwrap_or(i64::MAX);
        let drift = micros / 1_000_000 * self.drift_ppm;
        let reading = u64::try_from(micros + drift).unwrap_or(0);
        Moment(reading) + CLOCK_START + self.offset
    }
}

/// Work on a slice that the process no longer serves, under permits that it had before.
#[derive(Clone, Copy, Debug)]
pub struct UnfinishedWork {
    /// The slice.
    pub slice: SliceId,
    /// The epoch that took the slice away; `None` if the process lost it otherwise.
    pub taken_by: Option<Epoch>,
    /// The release that waits for the work, if one does.
    pub released_by: Option<ReleaseId>,
    /// When the work ends, by the host's clock.
    pub ends_at: Moment,
}

/// A host and the daemon process on it.
pub struct Node {
    /// The address for datagrams from other daemons.
    pub peer: SocketAddr,
    /// The number of the host's failure domain.
    pub domain: usize,
    /// The host's clock.
    pub clock: HostClock,
    /// The ownership state of the process; `None` if it does not run.
    pub ownership: Option<Ownership>,
    /// The time at which the process resumes if it is paused.
    pub paused_until: Time,
    /// The start time of the process.
    pub started_at: Time,
    /// Whether the process has read the platform's table since its start.
    pub has_read_platform: bool,
    /// Whether the network between the host and the platform works.
    pub platform_link_up: bool,
    /// The join requests received from other daemons.
    pub join_requests: JoinRequests,
    /// The platform's revision at the last read of the table, the base of the next write.
    pub base_revision: Option<Revision>,
    /// The latest end of the permits given for each slice that the process serves.
    pub permits: BTreeMap<SliceId, Moment>,
    /// Unfinished work on slices that the process no longer serves.
    pub unfinished_work: Vec<UnfinishedWork>,
    /// The releases in progress.
    pub releases: ReleaseTracker,
    /// Whether the process serves nothing and resigns its session once its work has ended.
    pub is_resigning: bool,
    /// The last adopted table epoch and document version, which must not fall.
    pub last_versions: (Epoch, DocumentVersion),
}

impl Node {
    /// Creates a host without a daemon process.
    pub fn new(number: usize, domain: usize, clock: HostClock) -> Self {
        let last = u8::try_from(number + 1).unwrap_or(u8::MAX);
        Self {
            peer: SocketAddr::from(([127, 0, 0, last], 7400)),
            domain,
            clock,
            ownership: None,
            paused_until: 0,
            started_at: 0,
            has_read_platform: false,
            platform_link_up: true,
            join_requests: JoinRequests::default(),
            base_revision: None,
            permits: BTreeMap::new(),
            unfinished_work: Vec::new(),
            releases: ReleaseTracker::default(),
            is_resigning: false,
            last_versions: (Epoch::default(), DocumentVersion::default()),
        }
    }

    /// Starts a new process, which has no state of an earlier one.
    ///
    /// # Panics
    ///
    /// Panics if a constant name is invalid.
    pub fn start(&mut self, at: Time, session: SessionId, times: LeaseTimes, seed: u64) {
        let upstream = Upstream {
            service: SERVICE.parse().expect("valid name"),
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
            domain: format!("domain-{}", self.domain)
                .parse()
                .expect("valid name"),
            upstream: Some(upstream),
            leaving: false,
            weight: WEIGHT_FULL,
            cpu_share: CPU_SHARE_DEFAULT,
        };
        let now = self.clock.read(at);
        self.ownership = Some(Ownership::new(1, times, info, now, seed));
        self.started_at = at;
        self.has_read_platform = false;
        self.join_requests = JoinRequests::default();
        self.base_revision = None;
        self.permits.clear();
        self.unfinished_work.clear();
        self.releases = ReleaseTracker::default();
        self.is_resigning = false;
        self.last_versions = (Epoch::default(), DocumentVersion::default());
    }

    /// Returns which of the first `slices` slices the process serves, each with the end of its
    /// permit.
    fn served_until(
        &self,
        at: Time,
        service: &ServiceName,
        slices: u64,
    ) -> BTreeMap<SliceId, Moment> {
        let now = self.clock.read(at);
        let Some(ownership) = self.ownership.as_ref().filter(|_| !self.is_resigning) else {
            return BTreeMap::new();
        };
        let served = (0..slices).map(SliceId).filter_map(|s| {
            let permit = ownership.permit_for_slice(now, service, s).ok()?;
            Some((s, permit.until))
        });
        served.collect()
    }

    /// Records the permits that the process may have given out by now. A later permit may end
    /// earlier, if the witnesses change.
    pub fn record_permits(&mut self, at: Time, service: &ServiceName, slices: u64) {
        for (slice, until) in self.served_until(at, service, slices) {
            let permitted_until = self.permits.entry(slice).or_default();
            *permitted_until = until.max(*permitted_until);
        }
    }

    /// Removes the permits of the slices that the process does not serve any more; returns those
    /// that have not ended.
    pub fn take_lost_permits(
        &mut self,
        at: Time,
        service: &ServiceName,
        slices: u64,
    ) -> Vec<(SliceId, Moment)> {
        let served = self.served_until(at, service, slices);
        let now = self.clock.read(at);
        let lost = self.permits.extract_if(.., |s, _| !served.contains_key(s));
        lost.filter(|(_, until)| *until > now).collect()
    }

    /// Returns whether work on a slice that the process no longer serves has not ended.
    pub fn has_unfinished_work(&self, at: Time) -> bool {
        let now = self.clock.read(at);
        self.unfinished_work.iter().any(|w| w.ends_at > now)
    }

    /// Returns whether a release waits for work that has not ended.
    pub fn is_release_busy(&self, at: Time, release: ReleaseId) -> bool {
        let now = self.clock.read(at);
        let mut work = self.unfinished_work.iter();
        work.any(|w| w.released_by == Some(release) && w.ends_at > now)
    }

    /// Begins a release that waits for all work that no other release waits for.
    pub fn begin_release(&mut self) -> ReleaseId {
        // The work ends with its permits at the latest, which is checked apart from the tracker.
        let id = self.releases.begin(Moment(u64::MAX));
        let epoch = self.ownership.as_ref().map(|o| o.table().epoch);
        self.releases.cover(epoch.unwrap_or_default());
        let unreleased = self.unfinished_work.iter_mut();
        for work in unreleased.filter(|w| w.released_by.is_none()) {
            work.released_by = Some(id);
        }
        id
    }

    /// Returns a slice that `epoch` or an earlier one took away, with unfinished work on it.
    pub fn unreleased_slice(&self, at: Time, epoch: Epoch) -> Option<SliceId> {
        let now = self.clock.read(at);
        let mut work = self.unfinished_work.iter();
        let is_taken = |w: &&UnfinishedWork| w.taken_by.is_some_and(|e| e <= epoch);
        work.find(|w| is_taken(w) && w.ends_at > now)
            .map(|w| w.slice)
    }

    /// Returns whether the process exists and is not paused.
    pub fn is_running(&self, at: Time) -> bool {
        self.ownership.is_some() && at >= self.paused_until
    }
}
