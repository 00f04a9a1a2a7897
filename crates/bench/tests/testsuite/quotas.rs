//! Quotas of teams over all daemons, tested on real processes.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift_bench::host_cluster::HostCluster;

/// How long an environment may take to start.
const START_TIME: Duration = Duration::from_secs(15);
/// The number of hosts.
const HOSTS: usize = 5;
/// The window of the limit, and the allowance over it, as in the daemons' default settings.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// The limit of the team under test.
const RATE: u32 = 20;
const BURST: u32 = 10;
const KEY: &str = "j3nr26tta828m82thhkm";
/// The key of a team without a limit.
const FREE_KEY: &str = "0v9sk1d0q2p5u7cc4yyb";

/// Returns the operators' routing.
fn config() -> String {
    format!(
        r#"{{"Version":"00000001","Listeners":[{{"Host":"a.example","Rules":[
        {{"Name":"look","Kind":"safe","TargetLatencyMs":400,"Match":{{"PathPrefix":"/look/"}},
        "Action":{{"Service":"office","TimeoutMs":1200,"MaxAttempts":3}}}}]}}],
        "Clusters":[{{"Name":"office","WarmupPerS":1000.0}}],"Tenants":[
        {{"Name":"hule930","ApiKeys":["{KEY}"],"RatePerS":{RATE},"Burst":{BURST}}},
        {{"Name":"free","ApiKeys":["{FREE_KEY}"]}}]}}"#
    )
}

/// Starts an environment and waits until the team's bucket is full.
fn start_cluster() -> HostCluster {
    let program = env!("CARGO_BIN_EXE_foxtaildrift-bench");
    let cluster = HostCluster::start(program.as_ref(), &["office"; HOSTS], &[]);
    let cluster = cluster.expect("the processes start");
    let put = |c: &HostCluster| c.control_store("put/op/config", &config()).is_ok();
    cluster
        .wait_until("the store responds", START_TIME, put)
        .unwrap();
    let serve = |c: &HostCluster| {
        (0..HOSTS).all(|n| c.is_ready(n) && send(c, n, FREE_KEY).is_some_and(|r| r.0 == 200))
    };
    cluster
        .wait_until("all daemons serve", START_TIME, serve)
        .unwrap();
    thread::sleep(Duration::from_secs(4));
    cluster
}

/// Sends a request; returns the status and the retry delay of the response in seconds.
fn send(cluster: &HostCluster, host: usize, key: &str) -> Option<(u16, Option<f64>)> {
    let value = format!("Bearer {key}");
    let headers = [("Authorization", value.as_str())];
    let response = cluster.request_with_headers(host, "GET", "/look/a", &headers);
    let response = response.ok()?;
    let retry_after = response.headers.get_str("Retry-After");
    Some((response.status, retry_after.and_then(|t| t.parse().ok())))
}

/// Sends requests to `hosts` in turn, one each `interval`; returns when each was sent, with its status
/// and retry delay.
fn send_all(
    cluster: &HostCluster,
    hosts: &[usize],
    interval: Duration,
    duration: Duration,
) -> Vec<(Duration, u16, Option<f64>)> {
    let responses = Mutex::new(Vec::new());
    let started = Instant::now();
    let count = (duration.as_secs_f64() / interval.as_secs_f64()) as u32;
    thread::scope(|scope| {
        for index in 0..count {
            thread::sleep((interval * index).saturating_sub(started.elapsed()));
            let host = hosts[index as usize % hosts.len()];
            let responses = &responses;
            scope.spawn(move || {
                let sent = started.elapsed();
                if let Some((status, retry_after)) = send(cluster, host, KEY) {
                    responses.lock().unwrap().push((sent, status, retry_after));
                }
            });
        }
    });
    let mut responses = responses.into_inner().unwrap();
    responses.sort_by_key(|(sent, ..)| *sent);
    responses
}

/// Asserts that no window has more requests that ran than the limit allows.
fn assert_within(responses: &[(Duration, u16, Option<f64>)]) {
    let nominal = f64::from(RATE) * WINDOW.as_secs_f64() + f64::from(BURST);
    let allowance = nominal * (1.0 + OVERAGE) + SLACK;
    let ran = responses.iter().filter(|(_, status, _)| *status == 200);
    let ran: Vec<Duration> = ran.map(|(sent, ..)| *sent).collect();
    for (index, start) in ran.iter().enumerate() {
        let count = ran.partition_point(|t| *t <= *start + WINDOW) - index;
        assert!(count as f64 <= allowance, "{count} from {start:?}");
    }
}

/// Guards against a limit that each daemon applies on its own, and one that refuses what is within it.
#[test]
fn a_limit_holds_over_all_daemons_and_is_served() {
    let _lock = crate::daemon::lock_environment();
    let cluster = start_cluster();
    let hosts: Vec<usize> = (0..HOSTS).collect();
    // Below the rate, over all hosts: nothing is refused.
    let within = send_all(
        &cluster,
        &hosts,
        Duration::from_millis(60),
        Duration::from_secs(6),
    );
    let refused: Vec<_> = within.iter().filter(|r| r.1 != 200).collect();
    assert!(refused.is_empty(), "{refused:?}");
    // Ten times the rate, over all hosts and at one: the limit holds, and is served.
    for hosts in [&hosts[..], &[1]] {
        let over = send_all(
            &cluster,
            hosts,
            Duration::from_millis(5),
            Duration::from_secs(7),
        );
        assert_within(&over);
        let served = over.iter().filter(|r| r.1 == 200).count();
        assert!(served as f64 >= f64::from(RATE) * 7.0 * 0.9, "{served}");
        let statuses = over.iter().map(|r| r.1);
        assert!(statuses.clone().all(|s| s == 200 || s == 429));
        let is_refused = |r: &&(Duration, u16, Option<f64>)| r.1 == 429;
        let mut refused = over.iter().filter(is_refused);
        assert!(refused.all(|r| r.2.is_some_and(|s| s > 0.0 && s <= WINDOW.as_secs_f64())));
        assert_eq!(send(&cluster, 1, FREE_KEY).map(|r| r.0), Some(200));
    }
}

/// Guards against daemons that serve without a limit, or nothing for long, while the quota owner is
/// gone.
#[test]
fn the_limit_holds_and_service_resumes_after_the_loss_of_the_quota_owner() {
    let _lock = crate::daemon::lock_environment();
    let mut cluster = start_cluster();
    let owns = |host: &usize| {
        let log = cluster.log(*host);
        let mut lines = log.lines().filter(|l| l.contains("quotas-owned"));
        lines
            .next_back()
            .is_some_and(|l| l.contains(r#""teams":1"#))
    };
    let owner = (0..HOSTS).find(owns).expect("a quota owner");
    cluster.kill_daemon(owner);
    let hosts: Vec<usize> = (0..HOSTS).filter(|n| *n != owner).collect();
    let responses = send_all(
        &cluster,
        &hosts,
        Duration::from_millis(10),
        Duration::from_secs(16),
    );
    assert_within(&responses);
    // The table names another owner after a lease and the planner's time; that one waits a lease.
    let resumed = responses.iter().filter(|r| r.0 >= Duration::from_secs(11));
    let served = resumed.filter(|r| r.1 == 200).count();
    assert!(served as f64 >= f64::from(RATE) * 5.0 * 0.8, "{served}");
}
