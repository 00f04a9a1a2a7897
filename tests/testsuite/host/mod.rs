//! Tests of the decision logic of the host daemon.

mod admission;
mod authentication;
mod body_reservations;
mod even_load;
mod fair_queue;
mod fleet_model;
mod give_up;
mod grant_wait;
mod grants;
mod key_grants;
mod load_estimate;
mod load_meter;
mod local_upstream;
mod quotas;
mod ranges;
mod recent_requests;
mod retry_budget_share;
mod returning_callers;
mod routing_freshness;
mod run_times;
mod settings;
mod stop_schedule;
mod store_sync;
mod token_holder;
mod upstream_selector;
