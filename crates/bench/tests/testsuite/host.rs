//! The host daemon of the users' platform under losses, stops and store failures, tested on real
//! processes.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::connection::http_client::HttpClient;
use foxtaildrift::connection::protocol::OutgoingRequest;
use foxtaildrift::request::headers::Headers;
use foxtaildrift_bench::args::BenchError;
use foxtaildrift_bench::host_cluster::{HostCluster, HostProcess};
use foxtaildrift_bench::host_run::HostRun;
use foxtaildrift_bench::ownership_check::OwnershipCheck;
use foxtaildrift_bench::upstream_options::UpstreamOptions;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rustix::process::Signal;

use crate::daemon_stops::DaemonStops;

/// How long an environment may take to start.
const START_TIME: Duration = Duration::from_secs(15);
/// The required time until a key is served again after a loss: 4 s, plus 100 ms for polling.
const RECOVERY_TIME_MAX: Duration = Duration::from_millis(4100);
/// How long a daemon may take to stop before it would be killed.
const STOP_TIME_MAX: Duration = Duration::from_millis(6000);
/// How long a change of the routing may take until all daemons apply it.
const APPLY_TIME_MAX: Duration = Duration::from_millis(2000);
/// After this time an evacuated failure domain must get no requests.
const EVACUATION_TIME: Duration = Duration::from_millis(5000);
/// After this time an upstream that leaves must get no requests.
const DRAIN_TIME: Duration = Duration::from_millis(2000);
/// How long after its start a daemon must know what former processes of it acknowledged.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// The tested keys: one in each sixteenth of the key space.
const KEYS: [u16; 16] = [
    0, 4096, 8192, 12288, 16384, 20480, 24576, 28672, 32768, 36864, 40960, 45056, 49152, 53248,
    57344, 61440,
];

/// How long callers send requests for hot keys while grants are late.
const HOT_KEYS_TIME: Duration = Duration::from_secs(26);
/// How long the same keys are hot.
const HOT_PERIOD: Duration = Duration::from_secs(2);
/// The number of adjacent keys that are hot at a time.
const HOT_KEYS: u16 = 60;
/// The first of the hot keys is below this key.
const FIRST_HOT_KEY_END: u16 = u16::MAX - HOT_KEYS;
/// The fraction of the requests that are for hot keys.
const HOT_SHARE: f64 = 0.8;
/// The number of callers of hot keys.
const HOT_CALLERS: u64 = 60;
/// The pause of a caller of hot keys after each response.
const HOT_CALL_PAUSE: Duration = Duration::from_millis(5);
/// The time between two restarts of daemons while grants are late.
const RESTART_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the operators' routing with `more_rules`, a JSON fragment that begins with a comma.
pub(crate) fn config(version: u32, more_rules: &str) -> String {
    format!(
        r#"{{"Version":"{version:08x}","Listeners":[{{"Host":"a.example","Rules":[
        {{"Name":"look","Kind":"safe","TargetLatencyMs":400,"Priority":2,"Match":{{"PathPrefix":"/look/"}},
        "Action":{{"Service":"desk","TimeoutMs":1200,"MaxAttempts":2}}}},
        {{"Name":"book","Kind":"non_idempotent","TargetLatencyMs":500,"Priority":1,"Match":{{"PathPrefix":"/book/"}},
        "Action":{{"Service":"desk","TimeoutMs":1500,"MaxAttempts":2}}}},
        {{"Name":"pay","Kind":"non_idempotent","TargetLatencyMs":300,"Priority":1,"Match":{{"PathPrefix":"/pay/"}},
        "Action":{{"Service":"office","TimeoutMs":1000,"MaxAttempts":2}}}}{more_rules}]}}],
        "Clusters":[{{"Name":"desk","Sharded":true,"WarmupPerS":1000.0}},{{"Name":"office","WarmupPerS":1000.0}}]}}"#
    )
}

/// Starts six hosts and waits until they serve all keys.
fn start_cluster() -> HostCluster {
    let services = ["desk", "desk", "desk", "desk", "office", "office"];
    let cluster = start_ready_cluster(&services, UpstreamOptions::default());
    cluster
        .wait_until("all keys are served", START_TIME, |c| serves_all_keys(c, 4))
        .unwrap();
    cluster
}

/// Starts a host for each element of `services` and waits until their daemons are ready.
pub(crate) fn start_ready_cluster(
    services: &[&'static str],
    options: UpstreamOptions,
) -> HostCluster {
    let program = env!("CARGO_BIN_EXE_foxtaildrift-bench");
    let cluster = HostCluster::start_with_options(options, program.as_ref(), services, &["desk"]);
    let cluster = cluster.expect("the processes start");
    let store_responds = |c: &HostCluster| c.control_store("put/op/config", &config(1, "")).is_ok();
    cluster
        .wait_until("the store responds", START_TIME, store_responds)
        .unwrap();
    let all_ready = |c: &HostCluster| (0..services.len()).all(|n| c.is_ready(n));
    cluster
        .wait_until("all daemons are ready", START_TIME, all_ready)
        .unwrap();
    cluster
}

/// Returns whether the daemon of host `entry` serves all keys.
pub(crate) fn serves_all_keys(cluster: &HostCluster, entry: usize) -> bool {
    KEYS.iter().all(|&key| {
        let response = cluster.request(entry, "POST", "/book/x", Some(key));
        response.is_ok_and(|r| r.status == 200)
    })
}

/// Asserts that no request that changes state was run twice.
fn assert_none_ran_twice(cluster: &HostCluster) {
    let mut runs: BTreeMap<(String, String), u32> = BTreeMap::new();
    for number in 0..cluster.hosts.len() {
        for run in HostRun::read_all(&cluster.journal(number)) {
            *runs.entry((run.id, run.method)).or_default() += 1;
        }
    }
    assert!(runs.len() > 50, "{}", runs.len());
    let twice = runs
        .iter()
        .find(|((_, method), n)| method == "POST" && **n > 1);
    assert_eq!(twice, None);
}

#[test]
fn requests_are_served_during_losses_stops_and_a_store_outage() {
    let _lock = crate::daemon::lock_environment();
    let mut cluster = start_cluster();
    responses_are_complete_and_refusals_have_their_status(&cluster);
    a_changed_routing_is_applied_in_time(&cluster);
    an_evacuated_domain_gets_no_requests_until_it_returns(&cluster);
    keys_of_a_killed_daemon_are_served_again(&mut cluster);
    a_stopping_daemon_hands_over_its_keys_without_the_store(&mut cluster);
    all_keys_are_served_after_all_daemons_are_killed(&mut cluster);
    assert_none_ran_twice(&cluster);
}

fn responses_are_complete_and_refusals_have_their_status(cluster: &HostCluster) {
    let response = cluster.request(0, "GET", "/look/a?b=c", Some(7)).unwrap();
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "GET /look/a?b=c")
    );
    assert!(response.headers.get("Response-Signature").is_some());
    let response = cluster.request(5, "POST", "/pay/a", None).unwrap();
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "POST /pay/a")
    );
    assert_eq!(
        cluster.request(1, "GET", "/other/", None).unwrap().status,
        404
    );
    let keyless = cluster.request(1, "GET", "/look/", None).unwrap();
    assert_eq!(keyless.status, 503);
    assert!(keyless.headers.get("Retry-After").is_some());
}

fn a_changed_routing_is_applied_in_time(cluster: &HostCluster) {
    // The store discards its history, so that the watches must start again.
    cluster.control_store("forget", "").unwrap();
    let more_rules = r#",{"Name":"new","Kind":"safe","Match":{"PathPrefix":"/new/"},"Action":{"Service":"office"}}"#;
    cluster
        .control_store("put/op/config", &config(2, more_rules))
        .unwrap();
    let is_applied = |c: &HostCluster| {
        let hosts = 0..c.hosts.len();
        hosts.into_iter().all(|n| {
            c.request(n, "GET", "/new/a", None)
                .is_ok_and(|r| r.status == 200)
        })
    };
    cluster
        .wait_until("the new route is served", APPLY_TIME_MAX, is_applied)
        .unwrap();
    // An invalid routing is refused, and the previous one stays in force.
    cluster
        .control_store("put/op/config", "{\"Version\":7}")
        .unwrap();
    std::thread::sleep(Duration::from_millis(300));
    assert!(is_applied(cluster));
    assert!(
        cluster.log(0).contains("routing-refused"),
        "the refusal is logged"
    );
    cluster
        .control_store("put/op/config", &config(3, more_rules))
        .unwrap();
}

/// Returns how many requests the upstreams of the first failure domain have run.
fn runs_in_first_domain(cluster: &HostCluster) -> usize {
    let journals = (0..cluster.hosts.len())
        .step_by(3)
        .map(|n| cluster.journal(n));
    journals.map(|j| HostRun::read_all(&j).len()).sum()
}

fn an_evacuated_domain_gets_no_requests_until_it_returns(cluster: &HostCluster) {
    cluster
        .control_store("put/op/evacuate/domain-0", "{}")
        .unwrap();
    std::thread::sleep(EVACUATION_TIME);
    let before = runs_in_first_domain(cluster);
    for entry in 0..cluster.hosts.len() {
        assert!(serves_all_keys(cluster, entry), "entry {entry}");
        assert_eq!(
            cluster
                .request(entry, "POST", "/pay/x", None)
                .unwrap()
                .status,
            200
        );
    }
    assert_eq!(
        runs_in_first_domain(cluster),
        before,
        "an evacuated domain gets no requests"
    );
    cluster
        .control_store("remove/op/evacuate/domain-0", "")
        .unwrap();
    let serves_again = |c: &HostCluster| serves_all_keys(c, 0) && runs_in_first_domain(c) > before;
    cluster
        .wait_until("the domain gets requests again", START_TIME, serves_again)
        .unwrap();
}

fn keys_of_a_killed_daemon_are_served_again(cluster: &mut HostCluster) {
    cluster.kill_daemon(1);
    let served = cluster.wait_until("its keys are served again", RECOVERY_TIME_MAX, |c| {
        serves_all_keys(c, 4)
    });
    served.unwrap();
    cluster.start_daemon(1).unwrap();
    cluster
        .wait_until("the restarted daemon serves all keys", START_TIME, |c| {
            c.is_ready(1) && serves_all_keys(c, 1)
        })
        .unwrap();
}

fn a_stopping_daemon_hands_over_its_keys_without_the_store(cluster: &mut HostCluster) {
    // Found by trouble-3 1083219441083 (LOST): without the store the planner could move no keys,
    // and the daemon exited while it still owned some.
    cluster.control_store("down", "").unwrap();
    cluster.stop_daemon(2, STOP_TIME_MAX).unwrap();
    let served = cluster.wait_until(
        "its keys are served again",
        Duration::from_millis(500),
        |c| serves_all_keys(c, 4),
    );
    served.unwrap();
    cluster.control_store("up", "").unwrap();
    assert!(cluster.log(2).contains("session-resigned"));
    cluster.start_daemon(2).unwrap();
    cluster
        .wait_until("the restarted daemon serves all keys", START_TIME, |c| {
            c.is_ready(2) && serves_all_keys(c, 2)
        })
        .unwrap();
}

/// Guards against work for callers that left (GONE on golobnik-mesh): a daemon that had been short
/// of processor time handled requests whose callers had closed long before.
#[test]
fn a_paused_daemon_sends_nothing_for_callers_that_left_meanwhile() {
    let _lock = crate::daemon::lock_environment();
    let mut cluster = start_cluster();
    let entry = 3;
    cluster
        .signal(entry, HostProcess::Daemon, Signal::STOP)
        .unwrap();
    for key in KEYS {
        let mut stream = TcpStream::connect(cluster.hosts[entry].caller_address).unwrap();
        let request = format!(
            "GET /look/left HTTP/1.1\r\nHost: a.example\r\nRequest-Id: left-{key}\r\n\
             Deadline-Ms: 1000\r\nShard-Key: {key}\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
    }
    std::thread::sleep(Duration::from_millis(600));
    cluster
        .signal(entry, HostProcess::Daemon, Signal::CONT)
        .unwrap();
    cluster
        .wait_until("the daemon serves all keys", START_TIME, |c| {
            serves_all_keys(c, entry)
        })
        .unwrap();
    let journals = (0..cluster.hosts.len()).map(|n| cluster.journal(n));
    let runs: Vec<_> = journals.flat_map(|j| HostRun::read_all(&j)).collect();
    let late = runs.iter().filter(|r| r.id.starts_with("left-")).count();
    assert_eq!(late, 0, "requests of callers that had left were sent");
}

/// Guards against requests that are taken late in a stop and cut off at its end (seen at another
/// operator's system: LOST).
#[test]
fn a_request_that_comes_late_in_a_stop_is_refused_rather_than_cut_off() {
    let _lock = crate::daemon::lock_environment();
    let mut cluster = start_cluster();
    let rule = r#",{"Name":"long","Kind":"non_idempotent","Match":{"PathPrefix":"/long/"},"Action":{"Service":"office","TimeoutMs":8000}}"#;
    cluster
        .control_store("put/op/config", &config(2, rule))
        .unwrap();
    let is_applied = |c: &HostCluster| {
        let response = c.request(0, "POST", "/long/a", None);
        response.is_ok_and(|r| r.status == 200)
    };
    cluster
        .wait_until("the new route is served", APPLY_TIME_MAX, is_applied)
        .unwrap();
    // No upstream of the service answers any more.
    for number in [4, 5] {
        let upstream = HostProcess::Upstream;
        cluster.signal(number, upstream, Signal::STOP).unwrap();
    }
    let entry = 0;
    let connect = || TcpStream::connect(cluster.hosts[entry].caller_address).unwrap();
    let (mut early, mut late) = (connect(), connect());
    late.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let request = |id: &str| {
        format!(
            "POST /long/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 8000\r\nContent-Length: 0\r\n\r\n"
        )
    };
    early.write_all(request("early").as_bytes()).unwrap();
    cluster
        .signal(entry, HostProcess::Daemon, Signal::TERM)
        .unwrap();
    std::thread::sleep(Duration::from_millis(3100));
    late.write_all(request("late").as_bytes()).unwrap();
    let mut response = String::new();
    late.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    assert!(response.contains("Connection: close"), "{response:?}");
}

/// Guards against requests to an upstream that left, after late reports of it or a restart of the
/// daemon that acknowledged it (DRAIN).
#[test]
fn an_upstream_that_left_gets_no_requests_from_any_process_of_its_daemon() {
    let _lock = crate::daemon::lock_environment();
    let mut cluster = start_cluster();
    let leaving = 4;
    let instance = await_use(&cluster, leaving);
    assert_eq!(deregister(&cluster, leaving, &instance), 200);
    thread::sleep(DRAIN_TIME);
    // The upstream goes on reporting that it is ready, as late reports would.
    let before = count_runs(&cluster, leaving);
    assert_gets_no_requests(&cluster, leaving, before, "after it left");
    cluster.kill_daemon(leaving);
    cluster.start_daemon(leaving).unwrap();
    thread::sleep(CONTACT_TIME);
    cluster
        .wait_until("the restarted daemon is ready", START_TIME, |c| {
            c.is_ready(leaving)
        })
        .unwrap();
    assert_gets_no_requests(&cluster, leaving, before, "after a restart of its daemon");
}

/// Guards against a departure that is acknowledged while the store does not answer, and lost with the
/// process of the daemon (DRAIN).
#[test]
fn a_departure_acknowledged_without_the_store_outlives_the_daemon() {
    let _lock = crate::daemon::lock_environment();
    let mut cluster = start_cluster();
    let leaving = 4;
    let instance = await_use(&cluster, leaving);
    cluster.control_store("down", "").unwrap();
    assert_eq!(deregister(&cluster, leaving, &instance), 200);
    cluster.kill_daemon(leaving);
    cluster.start_daemon(leaving).unwrap();
    thread::sleep(DRAIN_TIME);
    // The upstream goes on reporting that it is ready, as late reports would.
    cluster.control_store("up", "").unwrap();
    thread::sleep(CONTACT_TIME);
    let before = count_runs(&cluster, leaving);
    assert_gets_no_requests(&cluster, leaving, before, "after it left");
}

/// Guards against the acknowledgement of a departure that only one process knows, and against an upstream
/// whose repeated announcement is not acknowledged once it is stored.
#[test]
fn a_departure_that_nothing_outlives_is_not_acknowledged() {
    let _lock = crate::daemon::lock_environment();
    let cluster = start_ready_cluster(&["office"], UpstreamOptions::default());
    let instance = await_use(&cluster, 0);
    cluster.control_store("down", "").unwrap();
    assert_eq!(deregister(&cluster, 0, &instance), 503);
    cluster.control_store("up", "").unwrap();
    cluster
        .wait_until("the departure is acknowledged", START_TIME, |c| {
            deregister(c, 0, &instance) == 200
        })
        .unwrap();
}

/// Returns how many requests the upstream of a host has run.
fn count_runs(cluster: &HostCluster, number: usize) -> usize {
    HostRun::read_all(&cluster.journal(number)).len()
}

/// Asserts that of further requests of the shared service none reaches the upstream of a host, which has
/// run `before` requests.
fn assert_gets_no_requests(cluster: &HostCluster, number: usize, before: usize, when: &str) {
    send_shared_requests(cluster, 60);
    assert_eq!(count_runs(cluster, number), before, "requests {when}");
}

/// Waits until the upstream of a host runs requests of the shared service; returns its name.
fn await_use(cluster: &HostCluster, number: usize) -> String {
    cluster
        .wait_until("the upstream is in use", START_TIME, |c| {
            send_shared_requests(c, 10);
            !HostRun::read_all(&c.journal(number)).is_empty()
        })
        .unwrap();
    HostRun::read_all(&cluster.journal(number))
        .remove(0)
        .upstream
}

/// Announces in the name of the upstream `instance` that it will stop; returns the status of the response.
fn deregister(cluster: &HostCluster, number: usize, instance: &str) -> u16 {
    let started = instance.split('-').nth(1).unwrap();
    let started_ms = u64::from_str_radix(started, 16).unwrap();
    let target = format!("/Instances.Deregister/{instance}");
    let body = format!("{{\"born\":{started_ms}}}");
    cluster.report(number, &target, &body).unwrap().status
}

/// Sends `count` requests of the shared service to each host.
fn send_shared_requests(cluster: &HostCluster, count: usize) {
    for entry in 0..cluster.hosts.len() {
        for _ in 0..count {
            let response = cluster.request(entry, "POST", "/pay/x", None).unwrap();
            assert!(matches!(response.status, 200 | 503), "{response:?}");
        }
    }
}

fn all_keys_are_served_after_all_daemons_are_killed(cluster: &mut HostCluster) {
    // Found by scale-1: the new daemons waited until the leases of the killed ones had expired, and
    // the planner waited for their join requests.
    for number in 0..cluster.hosts.len() {
        cluster.kill_daemon(number);
    }
    for number in 0..cluster.hosts.len() {
        cluster.start_daemon(number).unwrap();
    }
    cluster
        .wait_until("all keys are served", RECOVERY_TIME_MAX, |c| {
            serves_all_keys(c, 5)
        })
        .unwrap();
    assert!(cluster.log(0).contains("former-released"));
}

/// Guards against an upstream that carries out a late grant with an older fencing token after another
/// upstream had the key with a newer one.
#[test]
fn keys_pass_on_only_once_their_last_upstream_can_no_longer_take_them() {
    let _lock = crate::daemon::lock_environment();
    let seed = 67;
    let options = UpstreamOptions {
        work_ms: 100,
        late_grants: 0.5,
        seed,
        ..UpstreamOptions::default()
    };
    let mut cluster = start_ready_cluster(&["desk"; 9], options);
    let addresses: Vec<SocketAddr> = cluster.hosts.iter().map(|h| h.caller_address).collect();
    let stopping = AtomicBool::new(false);
    let restarted = thread::scope(|scope| {
        for caller in 0..HOT_CALLERS {
            let (addresses, stopping) = (&addresses, &stopping);
            scope.spawn(move || call_hot_keys(addresses, seed, caller, stopping));
        }
        let restarted = restart_daemons(&mut cluster);
        stopping.store(true, Ordering::SeqCst);
        restarted
    });
    restarted.unwrap();
    let journals = (0..cluster.hosts.len()).map(|n| cluster.journal(n));
    let check = OwnershipCheck::read(journals).expect("the journals can be read");
    assert!(check.transfers() > 0, "no keys passed on");
    let violations: Vec<String> = check.violations().iter().map(|v| v.to_string()).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Guards against grants that the upstream takes up late while their daemon is stopped (OWNER).
#[test]
fn a_stopped_daemon_leaves_no_grant_that_outlasts_its_lease() {
    let _lock = crate::daemon::lock_environment();
    let seed = 71;
    let options = UpstreamOptions {
        work_ms: 100,
        late_connections: 0.25,
        seed,
        ..UpstreamOptions::default()
    };
    let mut cluster = start_ready_cluster(&["desk"; 9], options);
    let addresses: Vec<SocketAddr> = cluster.hosts.iter().map(|h| h.caller_address).collect();
    let stopping = AtomicBool::new(false);
    let mut stops = DaemonStops::new(seed, cluster.hosts.len());
    let stopped = thread::scope(|scope| {
        for caller in 0..HOT_CALLERS {
            let (addresses, stopping) = (&addresses, &stopping);
            scope.spawn(move || call_hot_keys(addresses, seed, caller, stopping));
        }
        let stopped = stops.run(&mut cluster, HOT_KEYS_TIME);
        stopping.store(true, Ordering::SeqCst);
        stopped
    });
    stopped.unwrap();
    let check = stops.check_ownership(&cluster);
    assert!(check.transfers() > 0, "no keys passed on");
    let violations: Vec<String> = check.violations().iter().map(|v| v.to_string()).collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

/// Kills a daemon and starts it again, one after the other, for the time of the hot keys.
fn restart_daemons(cluster: &mut HostCluster) -> Result<(), BenchError> {
    let started = Instant::now();
    for number in (0..cluster.hosts.len()).cycle() {
        thread::sleep(RESTART_INTERVAL);
        if started.elapsed() > HOT_KEYS_TIME {
            break;
        }
        cluster.kill_daemon(number);
        cluster.start_daemon(number)?;
    }
    Ok(())
}

/// Sends requests to random hosts until `stopping` is set, most of them for keys that are hot for
/// some time, so that the planner moves their ranges.
fn call_hot_keys(addresses: &[SocketAddr], seed: u64, caller: u64, stopping: &AtomicBool) {
    let mut rng = SmallRng::seed_from_u64(seed * 1000 + caller);
    let started = Instant::now();
    for count in 0u32.. {
        if stopping.load(Ordering::SeqCst) {
            return;
        }
        let period = started.elapsed().as_secs() / HOT_PERIOD.as_secs();
        let mut period_rng = SmallRng::seed_from_u64(seed * 1000 + period);
        let first_hot = period_rng.random_range(0..FIRST_HOT_KEY_END);
        let key = match rng.random_bool(HOT_SHARE) {
            true => first_hot + rng.random_range(0..HOT_KEYS),
            false => rng.random(),
        };
        let mut headers = Headers::default();
        headers.push("Host", "a.example");
        headers.push("Request-Id", format!("hot-{caller}-{count}"));
        headers.push("Deadline-Ms", "1000");
        headers.push("Shard-Key", key.to_string());
        let request = OutgoingRequest {
            method: "GET",
            target: "/look/hot".to_owned(),
            headers,
            body: Vec::new(),
        };
        let client = HttpClient::new(addresses[rng.random_range(0..addresses.len())], None);
        // Whether the request is served does not matter here.
        let _ = client.call(&request, Duration::from_secs(2));
        thread::sleep(HOT_CALL_PAUSE);
    }
}
