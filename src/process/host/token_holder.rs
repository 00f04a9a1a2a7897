//! Which process of the upstream has the present fencing tokens.

use crate::connection::connection_group::ConnectionGroup;

/// Which process of the upstream has the present fencing tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TokenHolder {
    /// None: no grant was sent with them.
    #[default]
    Nobody,
    /// The one to which the connections of this group lead.
    Group(ConnectionGroup),
    /// It is not known, or there are several.
    Unclear,
}

impl TokenHolder {
    /// Returns the holder after grants that were the first with these tokens were sent on a connection
    /// of `group`.
    pub fn with(self, group: ConnectionGroup) -> Self {
        match self {
            Self::Nobody => Self::Group(group),
            Self::Group(own) if own == group => self,
            _ => Self::Unclear,
        }
    }
}
