//! The daemon beside an upstream of a platform: its decisions, each on its own.

mod admission;
mod give_up;
mod key_grants;
mod load_meter;
mod local_upstream;
mod ranges;
mod recent_requests;
mod retry_budget_share;
mod settings;
mod upstream_selector;
