//! What a daemon tells operators of itself.

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

/// The state of a daemon, and the cell as it sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The environment.
    pub environment: String,
    /// The daemon's session.
    pub session: SessionId,
    /// How long its lease still holds, in milliseconds, where it is live.
    pub lease_ms: Option<u64>,
    /// The epoch of the table in force.
    pub epoch: Epoch,
    /// The version of the configuration in force.
    pub configuration: DocumentVersion,
    /// The digest of the document in force.
    pub digest: Option<Digest>,
    /// The members of the cell.
    pub members: Vec<MemberStatus>,
    /// The number of slices that each session owns, by service.
    pub owners: BTreeMap<ServiceName, BTreeMap<String, u32>>,
    /// The load of the upstream beside the daemon.
    pub upstream: UpstreamStatus,
    /// The use of the objectives' budgets by this daemon's callers.
    pub burn: Vec<BurnReport>,
}

/// A member of the cell as a daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its session.
    pub session: SessionId,
    /// Where other daemons reach it.
    pub peer: SocketAddr,
    /// Where callers reach it.
    pub entry: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The service and address of the upstream beside it.
    pub upstream: Option<(ServiceName, SocketAddr)>,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Whether its session is known to have ended.
    pub ended: bool,
    /// The epoch that it is known to have adopted.
    pub adopted: Epoch,
    /// Whether enough witnesses watch its session for its loss to be noticed.
    pub watched: bool,
}

/// The load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Whether it has announced itself.
    pub up: bool,
    /// Orders in flight.
    pub in_flight: u32,
    /// Orders that may be in flight.
    pub limit: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// The mean time in the upstream, in microseconds.
    pub mean_micros: u64,
}

/// Returns the members as a daemon sees them.
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

/// Returns whether a majority of others can notice the loss of a member.
fn is_watched(member: &Member) -> bool {
    member.witnesses.iter().all(|set| {
        let own = usize::from(set.contains(member.info.session.instance));
        set.0.len() - own >= set.majority()
    })
}

/// Returns how many slices each session owns, by service, as a daemon sees it.
pub fn slice_counts(ownership: &Ownership) -> BTreeMap<ServiceName, BTreeMap<String, u32>> {
    let mut owners = BTreeMap::new();
    for (service, _, assignment) in ownership.table().assignments() {
        let by_session: &mut BTreeMap<String, u32> = owners.entry(service.clone()).or_default();
        let certified = ownership.end_certificates();
        let owner = assignment
            .candidates
            .iter()
            .find(|s| !certified.contains_key(s));
        let name = owner.map_or_else(|| "nobody".to_owned(), ToString::to_string);
        *by_session.entry(name).or_default() += 1;
    }
    owners
}
