//! Which process of the local upstream grants are for.

use crate::connection::connection_group::ConnectionGroup;
use crate::process::host::token_holder::TokenHolder;

/// Which process grants are for.
#[derive(Debug)]
pub struct GrantTarget {
    /// Name of the process.
    pub instance: String,
    /// Which process has the tokens of the grants.
    pub holder: TokenHolder,
    /// Whether no process has had these tokens, so that any may get them.
    pub is_first: bool,
}

impl GrantTarget {
    /// Returns whether a grant may be sent on a connection of `group`, and records that connection.
    pub fn admits(&mut self, group: ConnectionGroup) -> bool {
        self.holder = self.holder.with(group);
        self.is_first || self.holder == TokenHolder::Group(group)
    }
}
