//! HTTP requests to daemons and stand-ins.

use std::time::Duration;

use crate::args::BenchError;

/// The timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder().timeout_global(Some(REQUEST_TIMEOUT));
    config.proxy(None).build().new_agent()
}

/// Returns the body of a GET response.
///
/// # Errors
///
/// Returns an error if there was no successful response.
pub(super) fn get(url: &str) -> Result<String, BenchError> {
    let with_context = BenchError::with_context(url);
    let response = agent().get(url).call().map_err(&with_context)?;
    response.into_body().read_to_string().map_err(&with_context)
}

/// Sends a PUT request and returns the body of the response.
///
/// # Errors
///
/// Returns an error if there was no successful response.
pub(super) fn put(url: &str, value: &str) -> Result<String, BenchError> {
    let with_context = BenchError::with_context(url);
    let response = agent().put(url).send(value).map_err(&with_context)?;
    response.into_body().read_to_string().map_err(&with_context)
}
