//! State that lasts as long as a process: settings, session, witness, planner, platform client, and
//! the threads that drive them.
//!
//! The decisions are pure functions: [`ownership`] and [`planner`] take the time and messages as
//! input and return actions. [`membership`] and [`platform_sync`] connect them to the network, and
//! [`daemon`] starts all parts.
//!
//! ```
//! use std::time::Duration;
//!
//! use foxtaildrift::process::lease_times::LeaseTimes;
//!
//! // A witness declares a session ended a little later than the session's lease expires.
//! let times = LeaseTimes::default();
//! assert!(times.expiry_delay() > times.lease);
//! assert!(times.renewal_interval * 3 <= times.lease + Duration::from_millis(500));
//! ```

pub mod admin;
pub mod burn;
pub mod burn_plot;
pub mod clock;
pub mod daemon;
pub mod datagram;
pub mod era_knowledge;
pub mod host;
pub mod http_platform;
pub mod join_request;
pub mod join_requests;
mod join_schedule;
pub mod key_owner;
pub mod lease_times;
pub mod load_report;
pub mod log_buffer;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod moment;
pub mod node;
pub mod not_serving;
pub mod operations;
pub mod own_session;
pub mod ownership;
pub mod ownership_action;
mod ownership_rules;
pub mod periodic_tasks;
pub mod planner;
mod planner_priority;
mod planning_order;
pub mod platform;
pub mod platform_sync;
pub mod quota_message;
pub mod recent_shared_requests;
pub mod release_tracker;
pub mod router;
pub mod serve_permit;
pub mod session_facts;
pub mod settings;
pub mod settings_error;
mod settings_file;
pub mod shared_upstream_selector;
pub mod status;
pub mod stop_flag;
pub mod store;
pub mod store_position;
pub mod sync;
pub mod table_history;
pub mod thread_pool;
pub mod unreadable_entry;
pub mod upstream_dispatcher;
pub mod wall_time;
pub mod witness;
