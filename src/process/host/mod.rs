//! Daemon that runs next to one upstream of a platform. It accepts callers' requests, routes each
//! to the right upstream, and is the only sender of requests to the upstream on its own host.
//!
//! | module | responsibility |
//! |---|---|
//! | [`host_router`] | where a request is sent, its retries, and the response to its caller |
//! | [`authentication`] | which team a request belongs to, and whether it may run |
//! | `caller_authenticator` | responses to callers without a valid key |
//! | [`routing_freshness`] | whether the routing is recent enough for keys that may have been revoked |
//! | `recency_monitor` | log lines and metric of the routing's age |
//! | `request_forwarder` | requests to the daemons beside other upstreams |
//! | `request_progress` | how long a request waits, and whether it may have run |
//! | `request_log` | log lines of finished requests |
//! | `response_builder` | responses to callers |
//! | `target_selector` | which of a route's weighted targets gets a request |
//! | [`upstream_selector`] | which of several equivalent upstreams gets a request |
//! | [`explanation`] | where a request would go now, and why |
//! | `selection_report` | metrics and the log line of a selected upstream |
//! | [`host_dispatcher`] | whether and when a request is sent to the local upstream |
//! | `dispatcher_state` | the waiting threads and the requests at the local upstream |
//! | [`admission`] | concurrency limit, refusals and pacing of the local upstream |
//! | [`admission_queue`] | the order in which requests wait for the local upstream |
//! | [`fair_queue`] | order of queued requests of equal priority, fair over teams |
//! | [`quota_owner`] | token buckets of the teams whose requests this daemon counts |
//! | [`team_quota`] | tokens of a team at this daemon, and which of its requests they admit |
//! | [`quota_state`], [`quota_gate`] | quotas of all teams at this daemon, and the datagrams for them |
//! | [`quota_placement`] | which daemon counts the requests of a team, and the fixed shares |
//! | [`quota_config`], [`quota_terms`], [`team_limit`] | limits of teams, and how the allowance over them is divided |
//! | [`local_upstream`] | current process of the local upstream, and its state |
//! | [`departures`] | which processes of the local upstream have announced that they will stop |
//! | [`departure_log`] | which announcements outlive the process and may be acknowledged |
//! | `departure_store` | the departures in the store, for the next process of the daemon |
//! | `departure_copies`, [`departure_holders`], [`held_departures`] | copies of them at other daemons |
//! | [`departure_recovery`] | when a process knows what former ones acknowledged |
//! | [`grant_manager`] | which keys are granted to the local upstream, and when they are released |
//! | [`key_grants`] | which grants the local upstream has, and when a release is complete |
//! | `grant_sender`, `grant_target`, `grant_attempt` | calls that grant keys, for which process, and what each of them means |
//! | [`token_holder`] | which process of the local upstream has the present fencing tokens |
//! | `key_releaser` | calls that release keys, and their handover to the next owner |
//! | [`owned_range`] | arithmetic on key ranges, and the fencing tokens of grants |
//! | [`load_estimate`] | load of one upstream, from its latest report and the age of it |
//! | [`load_meter`] | load that each key range puts on the local upstream |
//! | [`store_sync`] | routing and table in force, and which daemons watch the store |
//! | `store_watch` | reads and watches of the keys with one prefix |
//! | [`returning_callers`] | callers that return after a refusal as they were told |
//! | [`run_times`] | how long a request of each kind runs on the local upstream now |
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
//! | [`service`], `host_threads` | startup and graceful shutdown, and the threads in between |
//! | `report_processor` | what the reports of the local upstream change, and which may be acknowledged |
//! | `sending_conditions` | whether the local upstream may get a request now |
//! | [`stop_gate`] | what a stopping process still takes |
//! | [`stop_schedule`] | times of a graceful stop |

pub mod admission;
pub mod admission_queue;
pub mod authentication;
pub mod body_reservations;
mod caller_authenticator;
mod departure_copies;
pub mod departure_holders;
pub mod departure_log;
pub mod departure_recovery;
mod departure_store;
pub mod departures;
pub mod descriptors;
mod dispatcher_state;
pub mod endpoints;
pub mod explanation;
pub mod fair_queue;
mod grant_attempt;
pub mod grant_manager;
mod grant_sender;
mod grant_target;
pub mod grant_wait;
pub mod held_departures;
pub mod host_context;
pub mod host_dispatcher;
pub mod host_router;
pub mod host_settings;
mod host_threads;
pub mod key_grants;
mod key_releaser;
mod known_values;
pub mod load_estimate;
pub mod load_meter;
pub mod local_upstream;
pub mod metered_store;
pub mod owned_range;
pub mod quota_config;
pub mod quota_gate;
pub mod quota_owner;
pub mod quota_placement;
pub mod quota_state;
pub mod quota_terms;
mod recency_monitor;
pub mod recent_requests;
mod report_processor;
mod request_forwarder;
mod request_log;
mod request_progress;
mod response_builder;
pub mod retry_budget_share;
mod retry_budgets;
pub mod returning_callers;
pub mod routing_freshness;
mod routing_values;
pub mod run_times;
mod selection_report;
mod sending_conditions;
pub mod service;
pub mod stop_gate;
pub mod stop_schedule;
mod store_health;
pub mod store_sync;
mod store_watch;
mod stored_cell;
pub mod stored_table;
mod table_planner;
pub mod table_restorer;
mod target_selector;
pub mod team_limit;
pub mod team_quota;
pub mod token_holder;
pub mod upstream_selector;
