//! Reads all keys with a prefix from the store, and then watches them.

use std::time::Duration;

use crate::process::host::store_health::StoreHealth;
use crate::process::moment::Moment;
use crate::process::platform::Revision;
use crate::process::stop_flag::StopFlag;
use crate::process::store::{KeyChange, RangeResponse, Store, StoreError, WatchResponse};
use crate::process::unreadable_entry::UnreadableEntry;

/// Timeout of a watch call after one that failed. A store that is silent would answer a longer one
/// only long after its return.
const FAILING_WATCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before the next call after the store failed.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval at which a daemon that does not watch checks whether it should.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(500);

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
    /// Whether the store had the revision after which it was watched.
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
    /// Returns the time.
    pub(super) now: &'a dyn Fn() -> Moment,
}

impl StoreWatch<'_> {
    /// Watches the keys until the process stops. `watch_timeout` returns `None` while this daemon
    /// need not watch; `replace` gets the full content, `apply` the changes.
    pub(super) fn run(
        &self,
        stop: &StopFlag,
        watch_timeout: impl Fn() -> Option<Duration>,
        replace: impl Fn(ReadContent<RangeResponse>),
        apply: impl Fn(ReadContent<WatchedChanges>),
    ) {
        let mut health = StoreHealth::new(self.name);
        let mut after: Option<Revision> = None;
        while !stop.is_set() {
            let result = match (after, watch_timeout()) {
                (None, _) => self.read(&replace),
                (Some(_), None) => {
                    stop.wait(WATCH_POLL_INTERVAL);
                    continue;
                }
                (Some(revision), Some(timeout)) => {
                    let timeout = match health.is_failing() {
                        true => timeout.min(FAILING_WATCH_TIMEOUT),
                        false => timeout,
                    };
                    self.wait_for_changes(revision, timeout, &apply)
                }
            };
            match result {
                Ok(next) => {
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

    /// Reads the full content; returns the revision after which to watch.
    fn read(
        &self,
        replace: impl Fn(ReadContent<RangeResponse>),
    ) -> Result<Option<Revision>, StoreError> {
        let started = (self.now)();
        let range = self.store.range(self.prefix)?;
        let as_of = range.as_of;
        log_unreadable(self.name, &range.unreadable);
        replace(ReadContent {
            started,
            content: range,
        });
        Ok(Some(as_of))
    }

    /// Waits for changes after `revision`; returns the revision after which to watch next, or `None`
    /// if the full content must be read again.
    fn wait_for_changes(
        &self,
        revision: Revision,
        timeout: Duration,
        apply: impl Fn(ReadContent<WatchedChanges>),
    ) -> Result<Option<Revision>, StoreError> {
        let started = (self.now)();
        match self.store.watch(self.prefix, revision, timeout)? {
            WatchResponse::Changes {
                changes,
                as_of,
                unreadable,
            } => {
                log_unreadable(self.name, &unreadable);
                let content = WatchedChanges {
                    changes,
                    unreadable,
                    is_after_known: as_of >= revision,
                };
                apply(ReadContent { started, content });
                Ok(Some(as_of.max(revision)))
            }
            WatchResponse::HistoryLost => {
                tracing::info!(event = "history-lost", watch = self.name, %revision);
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
