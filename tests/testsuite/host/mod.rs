//! Tests of the decision logic of the host daemon.

mod admission;
mod body_reservations;
mod even_load;
mod explanation;
mod fleet_model;
mod give_up;
mod grant_wait;
mod grants;
mod key_grants;
mod load_estimate;
mod load_meter;
mod local_upstream;
mod model_upstream;
mod ranges;
mod recent_requests;
mod retry_budget_share;
mod settings;
mod stop_schedule;
mod store_sync;
mod token_holder;
mod upstream_selector;
