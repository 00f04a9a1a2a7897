//! `poison`: a request crashes every upstream that runs it, and its caller keeps sending it.

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

/// How long the requests are sent, in seconds.
const RUN_SECONDS: u64 = 12;
/// The interval between two checks for crashed upstreams, and between two requests of a caller.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How many upstreams one such request may crash: it is quarantined after the second crash.
const CRASHES_MAX: usize = 2;

/// Sends a poisonous request to a keyed and a shared service, whose crashed upstreams are
/// restarted.
///
/// # Errors
///
/// Returns an error if a promise was broken.
pub fn run(_args: &[String]) -> Result<(), BenchError> {
    let mut cluster = Cluster::start(&environment::cooperative())?;
    let load = Load::start(&environment::booking_load(&cluster, 24));
    thread::sleep(Duration::from_secs(1));
    let stop = Arc::new(AtomicBool::new(false));
    let keyed = send_poison(&cluster, "order-desk", &stop);
    let shared = send_poison(&cluster, "export-office", &stop);
    let mut crashes = [0, 0];
    for _ in 0..RUN_SECONDS * 10 {
        thread::sleep(POLL_INTERVAL);
        for number in 0..cluster.hosts.len() {
            if cluster.upstream_has_ended(number) {
                crashes[usize::from(cluster.hosts[number].service != "order-desk")] += 1;
                cluster.start_upstream(number)?;
            }
        }
    }
    stop.store(true, Ordering::SeqCst);
    let quarantined = keyed.join().unwrap_or(0) + shared.join().unwrap_or(0);
    let stats = load.stop();
    println!("{:?}", stats.outcomes);
    Report::print_reasons(&stats);
    let mut report = Report::new("poison");
    report.check_journals(&cluster, &[&stats])?;
    report.add_target("keyed_crashes", crashes[0], crashes[0] <= CRASHES_MAX);
    report.add_target("shared_crashes", crashes[1], crashes[1] <= CRASHES_MAX);
    report.add_target("quarantined", quarantined, quarantined > 0);
    let others_ran = stats.outcome_count("ran");
    report.add_target("innocent_ran", others_ran, others_ran > 1000);
    report.add_figure("max_unavailable_ms", stats.max_unavailable_ms());
    report.finish()
}

/// Sends the same poisonous request repeatedly, to each daemon in turn, and counts the responses
/// that refuse it as quarantined (status 422).
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
        let mut quarantined = 0;
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
                quarantined += usize::from(response.status() == 422);
            }
            thread::sleep(POLL_INTERVAL);
        }
        quarantined
    })
}
