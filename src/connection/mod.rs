//! What lives for a connection: callers, other daemons, and the upstream.

pub mod caller;
pub mod frame;
pub mod http_server;
pub mod peer_error;
pub mod peer_message;
pub mod peer_pool;
pub mod peer_server;
pub mod upstream_error;
pub mod upstream_link;
