//! Chooses the quota owner of each team, and how its fixed shares are divided. Performs no I/O.
//!
//! Handles hundreds to thousands of members: a member that joins or leaves moves only the teams that
//! it owns.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::process::host::team_limit::TeamLimit;
use crate::version::key_hash::KeyHash;
use crate::version::member::WEIGHT_FULL;
use crate::version::rendezvous;
use crate::version::session_id::SessionId;
use crate::version::table::Table;
use crate::version::team_name::TeamName;

/// Spreads the tenures of one daemon process over the hash space.
const TENURE_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// A member as far as the choice of quota owners needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaMember {
    /// Session of the daemon.
    pub session: SessionId,
    /// Address for datagrams.
    pub peer: SocketAddr,
    /// Whether the daemon is about to stop; it then owns no team, unless all are.
    pub leaving: bool,
    /// CPU share of the host, in per mille of a core. Only daemons on the hosts with the highest share
    /// own teams: the owner of a busy team answers hundreds of asks a second, beside its other work.
    pub cpu_share: u32,
}

impl QuotaMember {
    /// Returns the members of a table.
    pub fn all_of(table: &Table) -> Vec<Self> {
        let members = table.members.iter().map(|(&session, member)| Self {
            session,
            peer: member.info.peer,
            leaving: member.info.leaving,
            cpu_share: member.info.cpu_share,
        });
        members.collect()
    }
}

/// Who decides on the tokens of a team, and this daemon's place in its fixed shares.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TeamPlacement {
    /// The team's quota owner; `None` without members.
    pub owner: Option<QuotaMember>,
    /// Number of members.
    pub members: u64,
    /// Number of members before this daemon in the order of the team; `None` if this daemon is no
    /// member.
    pub rank: Option<u64>,
}

impl TeamPlacement {
    /// Returns the placement of `team` for the daemon with the session `own`.
    pub fn new(team: &TeamName, members: &[QuotaMember], own: SessionId) -> Self {
        let team = KeyHash::of(team.as_str().as_bytes()).0;
        let score = |session: SessionId| {
            let tenure = u64::from(session.tenure).wrapping_mul(TENURE_FACTOR);
            rendezvous::score(team, session.instance.0 ^ tenure, WEIGHT_FULL)
        };
        let own_score = members.iter().any(|m| m.session == own).then(|| score(own));
        let mut before = 0;
        let mut first: Option<((bool, u32, f64), QuotaMember)> = None;
        for member in members {
            let member_score = score(member.session);
            before += u64::from(own_score.is_some_and(|own| member_score > own));
            let rank = (!member.leaving, member.cpu_share, member_score);
            if first.is_none_or(|(best, _)| rank > best) {
                first = Some((rank, *member));
            }
        }
        Self {
            owner: first.map(|(_, member)| member),
            members: members.len() as u64,
            rank: own_score.map(|_| before),
        }
    }

    /// Returns the placements of all teams with a limit.
    pub fn all(
        limits: &BTreeMap<TeamName, TeamLimit>,
        members: &[QuotaMember],
        own: SessionId,
    ) -> BTreeMap<TeamName, Self> {
        let placements = limits
            .keys()
            .map(|team| (team.clone(), Self::new(team, members, own)));
        placements.collect()
    }

    /// Returns this daemon's share of `total` requests: the shares of all members add up to it, also
    /// when there are fewer requests than members.
    pub fn share_of(&self, total: u64) -> u64 {
        let Some(rank) = self.rank.filter(|_| self.members > 0) else {
            return 0;
        };
        total / self.members + u64::from(rank < total % self.members)
    }
}
