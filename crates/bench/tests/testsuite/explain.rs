//! `foxtaildrift explain`, asked of real daemons.

use std::time::Duration;

use foxtaildrift::cmd::command;
use foxtaildrift::process::host::explanation::{Choice, RouteExplanation};
use foxtaildrift_bench::host_cluster::HostCluster;
use foxtaildrift_bench::upstream_options::UpstreamOptions;

/// How long the daemons may take to assign all keys.
const START_TIME: Duration = Duration::from_secs(15);

/// Asks the daemon of host 4 for the route of a request.
fn explain(cluster: &HostCluster, path: &str, more: &[&str]) -> Result<String, String> {
    let ready = cluster.ready_address(4).to_string();
    let request = ["--ready", &ready, "--host", "a.example", "--path", path];
    let args: Vec<String> = request
        .iter()
        .chain(more)
        .map(ToString::to_string)
        .collect();
    let commands = command::commands();
    let explain = commands.iter().find(|c| c.name == "explain").unwrap();
    command::execute(explain, &args).map_err(|e| e.to_string())
}

/// Returns how the upstream of the only service of a route is found.
fn choice(cluster: &HostCluster, path: &str, more: &[&str]) -> Choice {
    let more: Vec<&str> = more.iter().copied().chain(["--json"]).collect();
    let text = explain(cluster, path, &more).unwrap();
    let explanation: RouteExplanation = serde_json::from_str(&text).unwrap();
    explanation.targets.into_iter().next().unwrap().choice
}

#[test]
fn a_daemon_explains_the_owner_of_a_key_and_the_candidates_of_a_shared_service() {
    let _lock = crate::daemon::lock_environment();
    let services = ["desk", "desk", "desk", "desk", "office", "office"];
    let cluster = crate::host::start_ready_cluster(&services, UpstreamOptions::default());
    let serves = |c: &HostCluster| {
        let response = c.request(4, "POST", "/book/x", Some(4096));
        response.is_ok_and(|r| r.status == 200)
    };
    cluster
        .wait_until("a key is served", START_TIME, serves)
        .unwrap();
    let Choice::Owner(owner) = choice(&cluster, "/book/x", &["--key", "4096"]) else {
        panic!("no owner");
    };
    assert!(owner.upstream.is_some(), "{owner:?}");
    assert_eq!(choice(&cluster, "/book/x", &[]), Choice::NoKey);

    for _ in 0..20 {
        cluster.request(4, "POST", "/pay/x", None).unwrap();
    }
    let Choice::Candidates(candidates) = choice(&cluster, "/pay/x", &[]) else {
        panic!("no candidates");
    };
    assert_eq!(candidates.len(), 2);
    let reported = candidates.iter().filter(|c| c.report_age_ms.is_some());
    assert!(reported.count() > 0, "{candidates:?}");

    let text = explain(&cluster, "/pay/x", &[]).unwrap();
    assert!(text.contains("route pay (prefix /pay/"), "{text}");
    let error = explain(&cluster, "/nowhere/", &[]).unwrap_err();
    assert!(error.contains("no route"), "{error}");
}
