//! The threads that run until the daemon stops: the store, datagrams, events and periodic tasks.

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::process::daemon::{self, DaemonError};
use crate::process::host::departure_store::DepartureStore;
use crate::process::host::host_context::HostContext;
use crate::process::host::metered_store::MeteredStore;
use crate::process::host::recency_monitor::RecencyMonitor;
use crate::process::host::service::HostPlatform;
use crate::process::host::store_sync::StoreSync;
use crate::process::membership::MembershipEvent;
use crate::process::store::Store;
use crate::process::thread_pool::ThreadPool;

/// Interval of the periodic tasks, among them the reconciliation of grants.
const PERIODIC_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of the load reports to the planner.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the log lines on what the daemon has sent.
const TRAFFIC_INTERVAL: Duration = Duration::from_secs(10);
/// Interval at which the event thread checks whether to stop while there are no events.
const EVENT_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the threads.
///
/// # Errors
///
/// Returns an error if a thread can't be started.
pub(super) fn start(
    context: &Arc<HostContext>,
    platform: &HostPlatform,
    event_rx: Receiver<MembershipEvent>,
) -> Result<Vec<JoinHandle<()>>, DaemonError> {
    let metrics = Arc::clone(&context.metrics);
    let traffic = Arc::clone(context.membership.traffic());
    let store = MeteredStore::new(Arc::clone(&platform.store), metrics, traffic);
    let store: Arc<dyn Store> = Arc::new(store);
    let departures = DepartureStore::new(Arc::clone(&store), Arc::clone(context));
    let store_sync = Arc::new(StoreSync::new(
        store,
        Arc::clone(&platform.operator_protocol),
        Arc::clone(&context.membership),
        context.instance,
    ));
    let (routing, table, planner) = (Arc::clone(&store_sync), Arc::clone(&store_sync), store_sync);
    let fetchers = ThreadPool::new("fetch", 1);
    let releasers = ThreadPool::new("release", 4);
    let stop = || Arc::clone(&context.stop);
    let (stop_routing, stop_table, stop_planning, stop_datagrams, stop_departures) =
        (stop(), stop(), stop(), stop(), stop());
    let membership = Arc::clone(&context.membership);
    let (for_events, for_periodic) = (Arc::clone(context), Arc::clone(context));
    Ok(vec![
        daemon::spawn("routing", move || routing.sync_routing(&stop_routing))?,
        daemon::spawn("table", move || table.sync_table(&stop_table))?,
        daemon::spawn("plan", move || planner.run_planner(&stop_planning))?,
        daemon::spawn("departures", move || departures.run(&stop_departures))?,
        daemon::spawn("datagrams", move || membership.run(&stop_datagrams))?,
        daemon::spawn("events", move || {
            handle_events(&for_events, &event_rx, &fetchers, &releasers)
        })?,
        daemon::spawn("duties", move || run_periodic_tasks(&for_periodic))?,
    ])
}

/// Handles the events of the membership until the process stops. Queued fetches are skipped then: no
/// reply can arrive any more, and each would wait for its timeout.
fn handle_events(
    context: &Arc<HostContext>,
    events: &Receiver<MembershipEvent>,
    fetchers: &ThreadPool,
    releasers: &ThreadPool,
) {
    while !context.stop.is_set() {
        let Ok(event) = events.recv_timeout(EVENT_POLL_INTERVAL) else {
            continue;
        };
        let context = Arc::clone(context);
        match event {
            MembershipEvent::TableAdopted(epoch) => {
                let version = context.membership.active_configuration().version;
                context.metrics.record_versions(epoch.0, version.number);
                context.router.forget_former_members();
                context.quotas.refresh();
                releasers.submit(move || context.grant_manager.release_lost_keys());
            }
            MembershipEvent::LeaseLapsed | MembershipEvent::SessionEnded(_) => {
                context.grant_manager.reconcile();
                releasers.submit(move || context.grant_manager.release_outlasting());
            }
            MembershipEvent::SuspectsReported(suspects) => {
                context.dispatcher.add_suspects(&suspects)
            }
            MembershipEvent::SuspectCleared(fingerprint) => {
                context.dispatcher.clear_suspect(fingerprint)
            }
            MembershipEvent::QuotaAsked { from, sent, teams } => {
                context.quotas.answer(from, sent, &teams)
            }
            MembershipEvent::QuotaGranted { sent, teams } => context.quotas.receive(sent, &teams),
            MembershipEvent::QuotaHandedOver(teams) => context.quotas.accept_handovers(&teams),
            MembershipEvent::FetchTable { from, epoch } => fetchers.submit(move || {
                if !context.stop.is_set() && context.membership.table().epoch < epoch {
                    context.membership.fetch_table(from);
                }
            }),
            MembershipEvent::FetchConfiguration { from, version } => fetchers.submit(move || {
                if !context.stop.is_set() && context.membership.should_fetch_routing(version) {
                    context.membership.fetch_routing_config(from);
                }
            }),
        }
    }
}

/// Runs the periodic tasks until the process stops.
fn run_periodic_tasks(context: &HostContext) {
    let started = Instant::now();
    let times = context.settings.lease_times();
    let (mut reported_at, mut traffic_at) = (started, started);
    let mut recency = RecencyMonitor::default();
    while !context.stop.wait(PERIODIC_INTERVAL) {
        context.quotas.tick();
        recency.check(&context.membership);
        context.grant_manager.release_former_grants();
        context.grant_manager.reconcile();
        let former_leases_expired = started.elapsed() > times.former_process_delay();
        if former_leases_expired && context.membership.has_read_platform() {
            context
                .membership
                .with_ownership(|o, now| o.end_former_sessions(now));
        }
        if reported_at.elapsed() >= REPORT_INTERVAL {
            report_load(context, reported_at.elapsed());
            reported_at = Instant::now();
        }
        if traffic_at.elapsed() >= TRAFFIC_INTERVAL {
            log_traffic(context);
            traffic_at = Instant::now();
        }
    }
}

/// Logs what this daemon has sent to other daemons and asked of the store since it started.
pub(super) fn log_traffic(context: &HostContext) {
    let sent = context.membership.traffic().summary();
    tracing::info!(event = "traffic", sent);
}

/// Reports the load of the last `period` to the planner.
fn report_load(context: &HostContext, period: Duration) {
    context.metrics.record_memory(&context.budget);
    let load = context.dispatcher.load();
    let waiting = usize::try_from(load.waiting).unwrap_or(usize::MAX);
    context
        .metrics
        .record_upstream_load(load.in_flight, load.slots, waiting);
    context.dispatcher.record_queue();
    if let Some(process) = context.dispatcher.upstream_process() {
        let report = context.grant_manager.load_report(&process, &load, period);
        context.membership.report_load(report);
    }
}
