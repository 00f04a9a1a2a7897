//! The request of a daemon to become a member, or to change its member info.

use serde::{Deserialize, Serialize};

use crate::version::member::MemberInfo;

/// A request to join, or to change the member info.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRequest {
    /// The daemon and its session.
    pub info: MemberInfo,
    /// Whether the session is a member already, as far as the daemon knows. If it no longer is, it has
    /// ended, and must not become a member again: what was stated about it still holds.
    pub is_member: bool,
}
