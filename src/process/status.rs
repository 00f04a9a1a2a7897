//! The status that a daemon reports to operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::process::burn::BurnReport;
use crate::process::ownership::Ownership;
use crate::version::digest::Digest;
use crate::version::document_version::DocumentVersion;
use crate::version::domain_name::DomainName;
use crate::version::epoch::Epoch;
use crate::version::member::Member;
use crate::version::service_name::ServiceName;
use crate::version::session_id::SessionId;

/// The state of a daemon, and its view of the cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the environment.
    pub environment: String,
    /// The daemon's current session.
    pub session: SessionId,
    /// The time until the daemon's lease expires, in milliseconds; `None` if the lease has lapsed.
    pub lease_ms: Option<u64>,
    /// The epoch of the table in force.
    pub epoch: Epoch,
    /// The version of the configuration in force.
    pub configuration: DocumentVersion,
    /// The digest of the document in force.
    pub digest: Option<Digest>,
    /// The members of the cell.
    pub members: Vec<MemberStatus>,
    /// The number of slices that each session owns, by service; "nobody" if no owner is left.
    pub owners: BTreeMap<ServiceName, BTreeMap<String, u32>>,
    /// The load of the local upstream.
    pub upstream: UpstreamStatus,
    /// The counts of this daemon's callers against the objectives' error budgets.
    pub burn: Vec<BurnReport>,
}

/// A member of the cell, as known to one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The session of the member.
    pub session: SessionId,
    /// The address at which other daemons reach it.
    pub peer: SocketAddr,
    /// The address at which callers reach it.
    pub entry: SocketAddr,
    /// The failure domain of its host.
    pub domain: DomainName,
    /// The service and address of its local upstream.
    pub upstream: Option<(ServiceName, SocketAddr)>,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Whether its session is known to have ended.
    pub ended: bool,
    /// The latest epoch that it is known to have adopted.
    pub adopted: Epoch,
    /// Whether enough other witnesses watch its session to detect its end.
    pub watched: bool,
}

/// The load of an upstream, as its daemon measures it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Whether the daemon is connected to it.
    pub up: bool,
    /// The number of requests in flight to it.
    pub in_flight: u32,
    /// The maximum number of requests in flight.
    pub limit: u32,
    /// The number of requests that wait for it.
    pub waiting: usize,
    /// The mean duration of a request at the upstream, in microseconds.
    pub mean_micros: u64,
}

/// Returns the status of all members, as known to the daemon of `ownership`.
pub fn member_statuses(ownership: &Ownership) -> Vec<MemberStatus> {
    let members = ownership.table().members.values();
    let status = members.map(|m| MemberStatus {
        session: m.info.session,
        peer: m.info.peer,
        entry: m.info.entry,
        domain: m.info.domain.clone(),
        upstream: m
            .info
            .upstream
            .as_ref()
            .map(|u| (u.service.clone(), u.address)),
        leaving: m.info.leaving,
        ended: ownership.end_certificates().contains_key(&m.info.session),
        adopted: ownership.facts().adopted(m.info.session),
        watched: is_watched(m),
    });
    status.collect()
}

/// Returns whether, in each of the member's witness sets, the witnesses of other daemons alone form
/// a majority.
fn is_watched(member: &Member) -> bool {
    member.witnesses.iter().all(|set| {
        let own = usize::from(set.contains(member.info.session.instance));
        set.0.len() - own >= set.majority()
    })
}

/// Returns the number of slices that each session owns, by service, as known to the daemon of
/// `ownership`.
pub fn slice_counts(ownership: &Ownership) -> BTreeMap<ServiceName, BTreeMap<String, u32>> {
    let mut owners = BTreeMap::new();
    for (service, _, assignment) in ownership.table().assignments() {
        let by_session: &mut BTreeMap<String, u32> = owners.entry(service.clone()).or_default();
        let end_certificates = ownership.end_certificates();
        let owner = assignment
            .candidates
            .iter()
            .find(|s| !end_certificates.contains_key(s));
        let name = owner.map_or_else(|| "nobody".to_owned(), ToString::to_string);
        *by_session.entry(name).or_default() += 1;
    }
    owners
}
