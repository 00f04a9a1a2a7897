//! `poison`: a request crashes each upstream that runs it, and its caller sends it again and
//! again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use foxtaildrift::request::idempotency_key::IdempotencyKey;

use crate::args::BenchError;
use crate::cluster::Cluster;
use crate::load::Load;
use crate::runs::environment;
use crate::runs::report::Report;
use crate::upstream_stand_in::POISON;

/// How long the caller goes on.
const SECONDS: u64 = 12;
/// How often ended upstreams are looked for.
const STEP: Duration = Duration::from_millis(100);
/// How many upstreams one such request may take down: it is convicted at the second crash.
const CRASHES_MAX: usize = 2;

/// Runs the caller against upstreams that are restarted when they crash.
///
/// # Errors
///
/// Returns an error where a promise did not hold.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let load = Load::start(&environment::bookings(&cluster, 24));
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let keyed = send_poison(&cluster, "order-desk", &stop);
    let shared = send_poison(&cluster, "export-office", &stop);
    let mut crashes = [0, 0];
    for _ in 0..SECONDS * 10 {
        thread::sleep(STEP);
        for number in 0..cluster.hosts.len() {
            if cluster.upstream_has_ended(number) {
                crashes[usize::from(cluster.hosts[number].service != "order-desk")] += 1;
                cluster.start_upstream(number)?;
            }
        }
    }
    stop.store(true, Ordering::SeqCst);
    let refused = keyed.join().unwrap_or(0) + shared.join().unwrap_or(0);
    let seen = load.stop();
    println!("{:?}", seen.outcomes);
    Report::print_reasons(&seen);
    let mut report = Report::new("poison");
    report.judge(&cluster, &[&seen])?;
    report.target("keyed_crashes", crashes[0], crashes[0] <= CRASHES_MAX);
    report.target("shared_crashes", crashes[1], crashes[1] <= CRASHES_MAX);
    report.target("quarantined", refused, refused > 0);
    let innocent = seen.outcome("ran");
    report.target("innocent_ran", innocent, innocent > 1000);
    report.figure("max_unavailable_ms", seen.max_unavailable_ms());
    report.end()
}

/// Sends the same poisonous request again and again, each time to another daemon; counts the
/// refusals that say that it is quarantined.
fn send_poison(
    cluster: &Cluster,
    service: &'static str,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<usize> {
    let entries = cluster.entries();
    let stop = Arc::clone(stop);
    thread::spawn(move || {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(1)));
        let agent = config.build().new_agent();
        let mut refused = 0;
        for number in 0.. {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            let url = format!(
                "http://{}/{service}/bookings",
                entries[number % entries.len()]
            );
            let request = agent
                .post(url)
                .header("foxtaildrift-key", "poisoned")
                .header("foxtaildrift-attempt", "first")
                .header("idempotency-key", IdempotencyKey::generate().to_string());
            if let Ok(response) = request.send(POISON) {
                refused += usize::from(response.status() == 422);
            }
            thread::sleep(STEP);
        }
        refused
    })
}
