//! Daemon that runs next to one upstream of a platform. It accepts callers' requests, routes each
//! to the right upstream, and is the only sender of requests to the upstream on its own host.
//!
//! | module | responsibility |
//! |---|---|
//! | [`host_router`] | where a request is sent, its retries, and the response to its caller |
//! | `request_forwarder` | requests to the daemons beside other upstreams |
//! | `request_progress` | how long a request waits, and whether it may have run |
//! | `request_log` | log lines of finished requests |
//! | `response_builder` | responses to callers |
//! | `target_selector` | which of a route's weighted targets gets a request |
//! | [`upstream_selector`] | which of several equivalent upstreams gets a request |
//! | [`host_dispatcher`] | whether and when a request is sent to the local upstream |
//! | [`admission`] | concurrency limit, queue order and pacing of the local upstream |
//! | [`local_upstream`] | current process of the local upstream, and its state |
//! | [`departures`] | which processes of the local upstream have announced that they will stop |
//! | `departure_store` | the departures in the store, for the next process of the daemon |
//! | [`grant_manager`] | which keys are granted to the local upstream, and when they are released |
//! | [`key_grants`] | which grants the local upstream has, and when a release is complete |
//! | `grant_sender`, `grant_target`, `grant_attempt` | calls that grant keys, for which process, and what each of them means |
//! | [`token_holder`] | which process of the local upstream has the present fencing tokens |
//! | `key_releaser` | calls that release keys, and their handover to the next owner |
//! | [`owned_range`] | arithmetic on key ranges, and the fencing tokens of grants |
//! | [`load_meter`] | load that each key range puts on the local upstream |
//! | [`store_sync`] | routing and table in force, and which daemons watch the store |
//! | `store_watch` | reads and watches of the keys with one prefix |
//! | `routing_values` | operators' routing values in the store |
//! | `stored_cell`, `stored_table` | table and join requests in the store, and who plans |
//! | `table_planner` | writes of the next table and of join requests |
//! | `store_health` | log lines when the store fails and when it works again |
//! | [`body_reservations`] | how many large bodies may be on their way to this host |
//! | [`grant_wait`] | how long a request waits for a moving key |
//! | [`recent_requests`] | duplicates of requests from other daemons |
//! | [`retry_budget_share`], `retry_budgets` | how many retries this daemon may send, of one service and of all |
//! | [`metered_store`] | metrics of store calls |
//! | [`endpoints`] | HTTP endpoints for readiness, metrics and upstream reports |
//! | [`host_context`] | state that the threads share, and requests of other daemons |
//! | [`host_settings`] | settings file |
//! | [`service`] | startup, threads and graceful shutdown |
//! | [`stop_schedule`] | times of a graceful stop |

pub mod admission;
pub mod body_reservations;
mod departure_store;
pub mod departures;
pub mod descriptors;
pub mod endpoints;
mod grant_attempt;
pub mod grant_manager;
mod grant_sender;
mod grant_target;
pub mod grant_wait;
pub mod host_context;
pub mod host_dispatcher;
pub mod host_router;
pub mod host_settings;
pub mod key_grants;
mod key_releaser;
pub mod load_meter;
pub mod local_upstream;
pub mod metered_store;
pub mod owned_range;
pub mod recent_requests;
mod request_forwarder;
mod request_log;
mod request_progress;
mod response_builder;
pub mod retry_budget_share;
mod retry_budgets;
mod routing_values;
pub mod service;
pub mod stop_schedule;
mod store_health;
pub mod store_sync;
mod store_watch;
mod stored_cell;
mod stored_table;
mod table_planner;
mod target_selector;
pub mod token_holder;
pub mod upstream_selector;
