//! The store comes back from a copy that is some seconds old, tested on real processes.

use std::thread;
use std::time::Duration;

use foxtaildrift_bench::host_cluster::HostCluster;
use foxtaildrift_bench::host_run::HostRun;
use foxtaildrift_bench::ownership_check::OwnershipCheck;
use foxtaildrift_bench::upstream_options::UpstreamOptions;

use crate::host::{config, serves_all_keys, start_ready_cluster};

/// How long an environment may take to start.
const START_TIME: Duration = Duration::from_secs(15);
/// How long after the return of the store all daemons may take to apply what it then has.
const RESTORED_TIME_MAX: Duration = Duration::from_secs(12);
/// How long the store is away.
const AWAY_TIME: Duration = Duration::from_millis(1500);
/// The services of the hosts; host `n` is in failure domain `n % 3`.
const SERVICES: [&str; 6] = ["desk", "desk", "desk", "desk", "office", "office"];
/// A route that a test adds.
const RULE: &str = r#",{"Name":"peek","Kind":"safe","TargetLatencyMs":300,"Priority":1,
    "Match":{"PathPrefix":"/peek/"},"Action":{"Service":"office","TimeoutMs":1000,"MaxAttempts":2}}"#;

fn start() -> HostCluster {
    let cluster = start_ready_cluster(&SERVICES, UpstreamOptions::default());
    let all_served = |c: &HostCluster| serves_all_keys(c, 4);
    cluster
        .wait_until("all keys are served", START_TIME, all_served)
        .unwrap();
    cluster
}

fn control(cluster: &HostCluster, action: &str, body: &str) -> String {
    cluster.control_store(action, body).unwrap()
}

/// Writes `count` versions of the routing, so that the revision is high when the store comes back.
fn raise_revision(cluster: &HostCluster, count: u32) {
    for n in 0..count {
        control(cluster, "put/op/config", &config(100 + n, ""));
    }
}

/// Takes the store away and lets it come back as it was `age` before, in a new era.
fn come_back(cluster: &HostCluster, age: Duration) {
    control(cluster, "down", "");
    thread::sleep(AWAY_TIME);
    let age = age + AWAY_TIME;
    control(cluster, "restore", &age.as_millis().to_string());
    control(cluster, "up", "");
}

/// Returns the status of a request to host `entry`.
fn status(cluster: &HostCluster, entry: usize, target: &str) -> u16 {
    let response = cluster.request(entry, "GET", target, None);
    response.map(|r| r.status).unwrap_or_default()
}

fn assert_no_two_owners(cluster: &HostCluster) {
    let journals = (0..cluster.hosts.len()).map(|n| cluster.journal(n));
    let check = OwnershipCheck::read(journals).unwrap();
    assert_eq!(check.violations(), []);
}

fn await_all(cluster: &HostCluster, what: &str, condition: impl Fn(&HostCluster, usize) -> bool) {
    let on_all = |c: &HostCluster| (0..c.hosts.len()).all(|n| condition(c, n));
    cluster.wait_until(what, RESTORED_TIME_MAX, on_all).unwrap();
}

// The routing's version is the store's revision: one read before with a higher number hid what the
// operator wrote again, and the planner could not write tables.
#[test]
fn routing_written_after_the_return_is_in_force_everywhere() {
    let cluster = start();
    thread::sleep(Duration::from_secs(3));
    raise_revision(&cluster, 40);
    thread::sleep(Duration::from_millis(300));
    come_back(&cluster, Duration::from_secs(2));
    control(&cluster, "put/op/config", &config(2, RULE));
    await_all(&cluster, "the new route is served", |c, n| {
        status(c, n, "/peek/a") == 200
    });
    assert_no_two_owners(&cluster);
}

// The copy has neither the route nor the evacuation: what was adopted stays in force until the
// operator has written it again, and a later removal takes effect.
#[test]
fn a_route_and_an_evacuation_of_the_lost_seconds_stay_and_can_be_removed() {
    let cluster = start();
    thread::sleep(Duration::from_secs(3));
    raise_revision(&cluster, 40);
    control(&cluster, "put/op/config", &config(2, RULE));
    control(&cluster, "put/op/evacuate/domain-1", "{}");
    await_all(&cluster, "the route is served", |c, n| {
        status(c, n, "/peek/a") == 200
    });
    thread::sleep(Duration::from_millis(500));
    come_back(&cluster, Duration::from_secs(2));
    for _ in 0..30 {
        for entry in 0..SERVICES.len() {
            assert_eq!(status(&cluster, entry, "/peek/a"), 200, "at {entry}");
        }
        thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(control(&cluster, "rewrite", ""), "2");
    control(&cluster, "put/op/config", &config(3, ""));
    await_all(&cluster, "the route is removed", |c, n| {
        status(c, n, "/peek/a") == 404
    });
    assert!(serves_all_keys(&cluster, 4));
    assert_no_two_owners(&cluster);
}

// The copy's table is older than the daemons': a planner that took it for the newest could not write,
// or gave epochs out again. A host that is lost after the return must still be replaced and return.
#[test]
fn a_move_of_the_lost_seconds_is_kept_and_later_moves_are_planned() {
    let mut cluster = start();
    thread::sleep(Duration::from_secs(3));
    cluster.kill_daemon(0);
    thread::sleep(Duration::from_millis(2500));
    come_back(&cluster, Duration::from_secs(3));
    cluster.start_daemon(0).unwrap();
    await_all(&cluster, "all keys are served", |c, n| {
        c.is_ready(n) && serves_all_keys(c, n)
    });
    // The table in the store is of the new era, so that a host can still leave as planned.
    cluster.stop_daemon(1, Duration::from_millis(6500)).unwrap();
    cluster.start_daemon(1).unwrap();
    await_all(&cluster, "all keys are served after a stop", |c, n| {
        c.is_ready(n) && serves_all_keys(c, n)
    });
    assert_no_two_owners(&cluster);
}

// The era rises again while the daemons restore their table.
#[test]
fn an_era_that_rises_twice_starts_over() {
    let mut cluster = start();
    thread::sleep(Duration::from_secs(3));
    raise_revision(&cluster, 40);
    cluster.kill_daemon(0);
    thread::sleep(Duration::from_millis(1000));
    come_back(&cluster, Duration::from_secs(2));
    thread::sleep(Duration::from_millis(700));
    come_back(&cluster, Duration::from_millis(500));
    cluster.start_daemon(0).unwrap();
    control(&cluster, "put/op/config", &config(2, RULE));
    await_all(&cluster, "all keys are served", |c, n| {
        c.is_ready(n) && serves_all_keys(c, n) && status(c, n, "/peek/a") == 200
    });
    assert_no_two_owners(&cluster);
}

// The next process of the daemon would have sent requests to an upstream that had announced its stop.
#[test]
fn a_departure_of_the_lost_seconds_is_stored_again() {
    let cluster = start();
    thread::sleep(Duration::from_secs(3));
    let leaving = 4;
    let is_used = |c: &HostCluster| {
        status(c, leaving, "/pay/x") == 200 && !HostRun::read_all(&c.journal(leaving)).is_empty()
    };
    cluster
        .wait_until("the upstream runs requests", START_TIME, is_used)
        .unwrap();
    let instance = HostRun::read_all(&cluster.journal(leaving))
        .remove(0)
        .upstream;
    let started = instance.split('-').nth(1).unwrap();
    let started_ms = u64::from_str_radix(started, 16).unwrap();
    let target = format!("/Instances.Deregister/{instance}");
    let body = format!("{{\"born\":{started_ms}}}");
    let response = cluster.report(leaving, &target, &body).unwrap();
    assert_eq!(response.status, 200, "{response:?}");
    let stored = |c: &HostCluster| c.log(leaving).matches("departures-stored").count();
    let is_stored = |c: &HostCluster| stored(c) == 1;
    cluster
        .wait_until("the departure is stored", START_TIME, is_stored)
        .unwrap();
    come_back(&cluster, Duration::from_secs(2));
    let is_stored_again = |c: &HostCluster| stored(c) == 2;
    cluster
        .wait_until("it is stored again", RESTORED_TIME_MAX, is_stored_again)
        .unwrap();
}

// The copy is from before all daemons of the cell were started again, so the table and the join
// requests that admitted them are lost.
#[test]
fn joins_of_the_lost_seconds_are_kept_or_asked_again() {
    let mut cluster = start();
    thread::sleep(Duration::from_secs(3));
    for number in 0..SERVICES.len() {
        cluster.kill_daemon(number);
    }
    for number in 0..SERVICES.len() {
        cluster.start_daemon(number).unwrap();
    }
    thread::sleep(Duration::from_millis(700));
    come_back(&cluster, Duration::from_secs(2));
    await_all(&cluster, "all keys are served", |c, n| {
        c.is_ready(n) && serves_all_keys(c, n)
    });
    assert_no_two_owners(&cluster);
}
