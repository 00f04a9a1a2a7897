//! How evenly many daemons load the upstreams of a service, by old reports only.
//!
//! The bounds come from what the selection of the cheapest of three sampled upstreams gave in the same
//! model (`docs/design/even-load.md`): half of its overruns, and no more than its unevenness, late
//! responses, response times and requests to other failure domains. That selection has no seed, so its
//! response times on small deployments have a margin of 2 %.

use foxtaildrift::process::host::upstream_selector::{AttemptOutcome, UpstreamSelector};
use foxtaildrift::process::moment::Moment;
use foxtaildrift::version::domain_name::DomainName;
use foxtaildrift::version::instance_id::InstanceId;
use foxtaildrift::version::member::Member;

use crate::host::fleet_model::{self, Deployment, Findings, Selection};

/// Size of the bodies, in bytes.
const BODY_BYTES: usize = 2000;
/// Runs, each with its seed, whose findings are averaged where there are many upstreams.
const RUNS: u64 = 3;
/// Runs where there are few upstreams: their speeds differ more from seed to seed.
const RUNS_FEW_UPSTREAMS: u64 = 12;

impl Selection for UpstreamSelector {
    fn select<'m>(
        &self,
        now: Moment,
        members: &'m [Member],
        tried: &[InstanceId],
        domain: &DomainName,
    ) -> Option<&'m Member> {
        let selected = UpstreamSelector::select(self, now, members, tried, domain, BODY_BYTES);
        selected.map(|c| c.member)
    }

    fn call_started(&self, _now: Moment, instance: InstanceId) {
        UpstreamSelector::call_started(self, instance);
    }

    fn call_ended(&self, now: Moment, instance: InstanceId, outcome: AttemptOutcome) {
        UpstreamSelector::call_ended(self, now, instance, outcome);
    }
}

fn deployment(daemons: usize, upstreams: usize, domains: usize, utilization: f64) -> Deployment {
    Deployment {
        daemons,
        upstreams,
        domains,
        utilization,
        run_ms: 40.0,
        seconds: 12,
        seed: 0,
        late_join: upstreams > 4,
    }
}

/// Returns the mean findings of runs with all seeds.
fn findings(deployment: Deployment) -> Findings {
    let mut sum = Findings::default();
    let runs = match deployment.upstreams {
        0..=4 => RUNS_FEW_UPSTREAMS,
        _ => RUNS,
    };
    for seed in 1..=runs {
        let selector = |n| UpstreamSelector::with_seed(seed * 1000 + n as u64);
        let selections: Vec<Box<dyn Selection>> = (0..deployment.daemons)
            .map(|n| Box::new(selector(n)) as Box<dyn Selection>)
            .collect();
        let run = fleet_model::run(Deployment { seed, ..deployment }, &selections);
        sum.add(&run, runs as f64);
    }
    println!("{deployment:?} {sum:?}");
    sum
}

/// Asserts that no finding exceeds that in `bounds`.
fn assert_within(deployment: Deployment, bounds: Findings) {
    let found = findings(deployment);
    let within = found.busiest_to_mean <= bounds.busiest_to_mean
        && found.overruns <= bounds.overruns
        && found.late <= bounds.late
        && found.mean_ms <= bounds.mean_ms
        && found.remote <= bounds.remote
        && found.refused_by_joined <= bounds.refused_by_joined;
    assert!(within, "{found:?} exceeds {bounds:?}");
}

#[test]
fn upstreams_of_a_service_that_is_half_busy_are_loaded_evenly() {
    let bounds = Findings {
        busiest_to_mean: 3.25,
        overruns: 16.7,
        late: 27.9,
        mean_ms: 60.4,
        remote: 197.0,
        ..Findings::default()
    };
    assert_within(deployment(75, 14, 3, 0.5), bounds);
}

#[test]
fn upstreams_of_a_busy_service_are_loaded_evenly() {
    let bounds = Findings {
        busiest_to_mean: 2.43,
        overruns: 48.8,
        late: 63.6,
        mean_ms: 89.6,
        remote: 293.0,
        refused_by_joined: 20.0,
        ..Findings::default()
    };
    assert_within(deployment(75, 14, 3, 0.8), bounds);
}

#[test]
fn upstreams_of_one_domain_are_loaded_evenly() {
    let bounds = Findings {
        busiest_to_mean: 2.76,
        overruns: 61.3,
        late: 63.0,
        mean_ms: 81.8,
        refused_by_joined: 5.0,
        ..Findings::default()
    };
    assert_within(deployment(100, 20, 1, 0.8), bounds);
}

#[test]
fn many_daemons_load_many_upstreams_evenly_and_do_not_rush_to_one_that_joins() {
    let bounds = Findings {
        busiest_to_mean: 3.1,
        overruns: 48.0,
        late: 51.9,
        mean_ms: 78.2,
        remote: 310.0,
        refused_by_joined: 10.0,
        ..Findings::default()
    };
    assert_within(deployment(195, 42, 4, 0.8), bounds);
}

#[test]
fn an_almost_full_service_has_fewer_overruns() {
    // The unevenness is that of before here: the mean load falls, as fewer requests are queued.
    let bounds = Findings {
        busiest_to_mean: 2.6,
        overruns: 117.8,
        late: 121.9,
        mean_ms: 135.2,
        remote: 436.0,
        refused_by_joined: 49.0,
        ..Findings::default()
    };
    assert_within(deployment(195, 42, 4, 0.95), bounds);
}

#[test]
fn small_deployments_are_served_as_well_as_by_the_cheapest_upstream() {
    let half_busy = Findings {
        busiest_to_mean: 2.12,
        overruns: 12.4,
        late: 14.1,
        mean_ms: 54.0,
        remote: 280.0,
        ..Findings::default()
    };
    assert_within(deployment(10, 3, 2, 0.5), half_busy);
    let busy = Findings {
        busiest_to_mean: 1.81,
        overruns: 36.5,
        late: 57.3,
        mean_ms: 86.7,
        remote: 298.0,
        ..Findings::default()
    };
    assert_within(deployment(10, 4, 2, 0.8), busy);
    let idle = Findings {
        busiest_to_mean: 3.01,
        overruns: 5.2,
        late: 5.8,
        mean_ms: 47.2,
        remote: 280.0,
        ..Findings::default()
    };
    assert_within(deployment(6, 4, 2, 0.3), idle);
}
