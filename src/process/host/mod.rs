//! The daemon beside an upstream of a platform: it takes callers' requests, brings each to the
//! right upstream, and decides alone what reaches the upstream on its own host.
//!
//! | module | decides |
//! |---|---|
//! | [`host_router`] | where a request goes, how often, and what its caller is told |
//! | `request_progress` | how long a request waits, and whether it may have run |
//! | [`upstream_selector`] | which of equal upstreams gets a request |
//! | [`host_dispatcher`] | whether and when an order reaches the upstream here |
//! | [`admission`] | how many orders at once, in which order, at what pace |
//! | [`local_upstream`] | which run of the upstream is the present one, and in what state |
//! | [`grant_manager`] | which keys the upstream is granted, and when they are taken back |
//! | [`load_meter`] | how busy each range of keys keeps the upstream |
//! | [`key_grants`] | what the upstream holds, and when a successor may be told |
//! | `planner_priority` | in which order processes step in to plan |
//! | [`store_sync`] | which routing and table are in force, and who plans |
//! | [`retry_budget_share`] | how many repeats this daemon may send |
//! | [`metered_store`] | nothing: it counts the calls to the store |
//! | [`service`] | start, signals and the planned stop |

pub mod admission;
pub mod endpoints;
pub mod grant_manager;
pub mod host_context;
pub mod host_dispatcher;
pub mod host_router;
pub mod host_settings;
pub mod key_grants;
pub mod load_meter;
pub mod local_upstream;
pub mod metered_store;
pub mod owned_range;
mod planner_priority;
pub mod recent_requests;
mod request_progress;
pub mod retry_budget_share;
pub mod service;
mod store_health;
pub mod store_sync;
pub mod upstream_selector;
