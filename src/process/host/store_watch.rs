//! Reads all keys with a prefix from the store, and then watches them.

use std::time::Duration;

use crate::process::host::store_health::StoreHealth;
use crate::process::metrics::Metrics;
use crate::process::moment::Moment;
use crate::process::stop_flag::StopFlag;
use crate::process::store::{KeyChange, RangeResponse, Store, StoreError, WatchResponse};
use crate::process::store_position::StorePosition;
use crate::process::unreadable_entry::UnreadableEntry;

/// Timeout of a watch call after one that failed. A store that is silent would answer a longer one
/// only long after its return.
const FAILING_WATCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before the next call after the store failed.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval at which a daemon that does not watch checks whether it should.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest random delay before a daemon reads again after the store came back from an older copy. In a
/// cell of 4,400 hosts in 3 domains at most a dozen daemons watch, but those that are no members watch too.
const RESTORED_READ_DELAY: Duration = Duration::from_millis(500);

/// Content that the store had at some time after the start of a call.
pub(super) struct ReadContent<T> {
    /// Time at which the call started.
    pub(super) started: Moment,
    /// What the store returned.
    pub(super) content: T,
}

/// Changes that a watch call returned.
pub(super) struct WatchedChanges {
    /// The changes, oldest first.
    pub(super) changes: Vec<KeyChange>,
    /// The changes that could not be read.
    pub(super) unreadable: Vec<UnreadableEntry>,
    /// The position up to which the changes are known.
    pub(super) as_of: StorePosition,
    /// Whether the store had the position after which it was watched.
    pub(super) is_after_known: bool,
}

/// Watch of the keys with one prefix.
pub(super) struct StoreWatch<'a> {
    /// Store that has the keys.
    pub(super) store: &'a dyn Store,
    /// Name of the watch in the log.
    pub(super) name: &'static str,
    /// Prefix of the keys.
    pub(super) prefix: &'a str,
    /// Metrics of the process.
    pub(super) metrics: &'a Metrics,
    /// Returns the time.
    pub(super) now: &'a dyn Fn() -> Moment,
}

impl StoreWatch<'_> {
    /// Watches the keys until the process stops. `watch_timeout` returns `None` while this daemon
    /// need not watch; `replace` gets the full content, `apply` the changes up to a
    /// position.
    pub(super) fn run(
        &self,
        stop: &StopFlag,
        watch_timeout: impl Fn() -> Option<Duration>,
        replace: impl Fn(ReadContent<RangeResponse>),
        apply: impl Fn(ReadContent<WatchedChanges>),
    ) {
        let mut health = StoreHealth::new(self.name);
        let mut after: Option<StorePosition> = None;
        let mut former: Option<StorePosition> = None;
        while !stop.is_set() {
            let result = match (after, watch_timeout()) {
                (None, _) => self.read(former, &replace),
                (Some(_), None) => {
                    stop.wait(WATCH_POLL_INTERVAL);
                    continue;
                }
                (Some(position), Some(timeout)) => {
                    let timeout = match health.is_failing() {
                        true => timeout.min(FAILING_WATCH_TIMEOUT),
                        false => timeout,
                    };
                    self.wait_for_changes(position, timeout, &apply, stop)
                }
            };
            match result {
                Ok(next) => {
                    former = after.or(former);
                    after = next;
                    health.record_success();
                }
                Err(_) if stop.is_set() => {}
                Err(e) => {
                    health.record_failure(&e);
                    stop.wait(RETRY_DELAY);
                }
            }
        }
    }

    /// Reads the full content; returns the position after which to watch. `former` is the position known
    /// before.
    fn read(
        &self,
        former: Option<StorePosition>,
        replace: impl Fn(ReadContent<RangeResponse>),
    ) -> Result<Option<StorePosition>, StoreError> {
        let started = (self.now)();
        let range = self.store.range(self.prefix)?;
        let as_of = range.as_of;
        if let Some(former) = former.filter(|f| f.era() < as_of.era()) {
            tracing::warn!(event = "store-restored", watch = self.name, %former, %as_of);
            self.metrics.record_store_restored();
        }
        log_unreadable(self.name, &range.unreadable);
        replace(ReadContent {
            started,
            content: range,
        });
        Ok(Some(as_of))
    }

    /// Waits for changes after `after`; returns the position after which to watch next, or `None`
    /// if the full content must be read again.
    fn wait_for_changes(
        &self,
        after: StorePosition,
        timeout: Duration,
        apply: impl Fn(ReadContent<WatchedChanges>),
        stop: &StopFlag,
    ) -> Result<Option<StorePosition>, StoreError> {
        let started = (self.now)();
        match self.store.watch(self.prefix, after, timeout)? {
            WatchResponse::Changes {
                changes,
                as_of,
                unreadable,
            } => {
                log_unreadable(self.name, &unreadable);
                let content = WatchedChanges {
                    changes,
                    unreadable,
                    as_of,
                    is_after_known: as_of >= after,
                };
                apply(ReadContent { started, content });
                Ok(Some(as_of.max(after)))
            }
            WatchResponse::HistoryLost => {
                tracing::info!(event = "history-lost", watch = self.name, revision = %after);
                Ok(None)
            }
            WatchResponse::EraChanged => {
                stop.wait(rand::random_range(Duration::ZERO..RESTORED_READ_DELAY));
                Ok(None)
            }
        }
    }
}

/// Logs the entries that could not be read in a response to the calls that the log names `watch`.
pub(super) fn log_unreadable(watch: &'static str, entries: &[UnreadableEntry]) {
    for entry in entries {
        let (key, reason) = (entry.key.as_deref(), &entry.reason);
        tracing::error!(event = "entry-skipped", watch, key, reason);
    }
}
