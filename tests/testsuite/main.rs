//! Integration tests of the library, one module per topic.

mod assignment;
mod burn;
mod codec;
mod command;
mod configuration;
mod host;
mod http1;
mod http_listener;
mod limiter;
mod log_buffer;
mod log_events;
mod names;
mod operations;
mod ownership_messages;
mod pages;
mod peer_pool;
mod planner;
mod quarantine;
mod recent_shared_requests;
mod records;
mod settings;
mod store;
mod table;
mod table_delta;
mod upstream_client;
mod upstream_pool;
