//! Tests of the system under faults: randomised simulations, and real processes behind the fault
//! proxy.

mod address_block;
mod daemon;
mod daemon_stops;
mod endless_responses;
mod explain;
mod explore;
mod fault_proxy;
mod hard_clients;
mod host;
mod journal;
mod late_connections;
mod ownership_check;
mod quotas;
mod runs;
mod soak;
mod store_eras;
mod teams;
