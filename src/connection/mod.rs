//! Connections to callers, other daemons and upstreams: transport, wire formats and protocols.
//!
//! ```
//! use foxtaildrift::connection::frame;
//! use foxtaildrift::connection::peer_message::PeerRequest;
//!
//! let mut bytes = Vec::new();
//! frame::write(&mut bytes, &PeerRequest::FetchRoutingConfig)?;
//! let request: PeerRequest = frame::read(&mut bytes.as_slice())?;
//! assert_eq!(request, PeerRequest::FetchRoutingConfig);
//! # Ok::<(), frame::FrameError>(())
//! ```

pub mod acceptor;
pub mod body_buffer;
pub mod buffered_connection;
pub mod caller_connection;
pub mod caller_http;
pub mod calling_link;
pub mod connection_group;
pub mod control_pool;
pub mod frame;
pub mod frame_assembler;
pub mod http1;
pub mod http_client;
pub mod http_listener;
pub mod http_server;
pub mod idle_connection;
pub mod load_shedding;
pub mod memory_budget;
pub mod memory_reservation;
pub mod peer_call;
pub mod peer_error;
pub mod peer_frame;
pub mod peer_link;
pub mod peer_message;
pub mod peer_pool;
pub mod peer_server;
pub mod protocol;
pub mod reactor;
pub mod recipient;
pub mod response_writer;
pub mod traffic;
pub mod transfer;
pub mod upstream_client;
pub mod upstream_connection;
pub mod upstream_connector;
pub mod upstream_error;
pub mod upstream_pool;
pub mod upstream_request_failure;
pub mod waiters;
