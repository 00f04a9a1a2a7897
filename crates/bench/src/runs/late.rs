//! `late`: the first attempt of a request is delayed in the network. Its caller retries through
//! another daemon, the request runs, and the host of the owner is killed, so that the record of the
//! request is lost. When the first attempt arrives afterwards, the request must not run again.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use foxtaildrift::request::idempotency_key::IdempotencyKey;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::journal;
use crate::runs::environment;
use crate::runs::report::Report;

/// The caller's timeout for each attempt.
const TIMEOUT: Duration = Duration::from_secs(1);
/// How long the takeover of the lost owner's slices may take.
const TAKEOVER_TIME: Duration = Duration::from_secs(4);

/// Executes the retry, the loss and the late attempt.
///
/// # Errors
///
/// Returns an error if the request did not run exactly once.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let (entry, other) = (cluster.hosts[6].entry, cluster.hosts[7].entry);
    let id = IdempotencyKey::generate();
    thread::sleep(TIMEOUT);
    let second = send_booking(other, id, false);
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::with_context("journals"))?;
    let owner = runs
        .iter()
        .find(|r| r.id == id.to_string())
        .map(|r| r.upstream.clone());
    let owner = owner.and_then(|o| {
        cluster
            .hosts
            .iter()
            .position(|h| h.upstream.to_string() == o)
    });
    let owner = owner.ok_or_else(|| BenchError("no upstream ran the request".to_owned()))?;
    cluster.kill_host(owner);
    thread::sleep(TAKEOVER_TIME);
    let first = send_booking(entry, id, true);
    let runs = journal::read_all(&cluster.folder).map_err(BenchError::with_context("journals"))?;
    let times = runs.iter().filter(|r| r.id == id.to_string()).count();
    let mut report = Report::new("late");
    report.add_figure("first", first);
    report.add_figure("second", second);
    report.add_target("times_run", times, times == 1);
    report.finish()
}

/// Sends a booking and returns the outcome header of the response, or `none`.
fn send_booking(entry: SocketAddr, id: IdempotencyKey, first: bool) -> String {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT));
    let mut request = config
        .build()
        .new_agent()
        .post(format!("http://{entry}/order-desk/bookings"))
        .header("foxtaildrift-key", "member-1")
        .header("foxtaildrift-timeout-ms", TIMEOUT.as_millis().to_string())
        .header("idempotency-key", id.to_string());
    if first {
        request = request.header("foxtaildrift-attempt", "first");
    }
    let outcome = request.send("a booking").ok().and_then(|r| {
        Some(
            r.headers()
                .get("foxtaildrift-outcome")?
                .to_str()
                .ok()?
                .to_owned(),
        )
    });
    outcome.unwrap_or_else(|| "none".to_owned())
}
