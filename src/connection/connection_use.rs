//! What a connection to the upstream is taken for.

/// What a connection is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse<'r> {
    /// A caller's request with this id.
    Request(&'r str),
    /// A request of the daemon itself.
    Control,
}
