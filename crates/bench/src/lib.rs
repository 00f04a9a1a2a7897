//! Test tools of foxtaildrift: stand-ins for the external systems, a fault proxy, a load generator
//! and experiments. They are not part of a release.

pub mod address_block;
pub mod args;
pub mod child;
pub mod cluster;
pub mod explore;
pub mod fault_proxy;
pub mod host_cluster;
pub mod host_run;
pub mod journal;
pub mod key_history;
pub mod late_connections;
pub mod late_grants;
pub mod load;
pub mod network;
pub mod ownership_check;
pub mod ownership_event;
pub mod ownership_violation;
pub mod platform_stand_in;
pub mod ranged_upstream;
pub mod runs;
pub mod soak;
pub mod store_copies;
pub mod store_return;
pub mod store_stand_in;
pub mod upstream_options;
pub mod upstream_stand_in;
