//! Keeps the departures of the local upstream in the store, so that the next process of this daemon
//! knows them, and recovers those of former processes.

use std::sync::Arc;
use std::time::Duration;

use crate::process::host::departure_recovery::DepartureRecovery;
use crate::process::host::host_context::HostContext;
use crate::process::host::store_health::StoreHealth;
use crate::process::host::store_watch::{self, RETRY_DELAY};
use crate::process::stop_flag::StopFlag;
use crate::process::store::{
    CommitOutcome, DEPARTURES_PREFIX, KeyValue, Store, StoreError, Transaction,
};
use crate::process::store_position::StorePosition;
use crate::version::departed_process::DepartedProcess;
use crate::version::store_era::StoreEra;

/// Interval at which the thread checks whether to stop while nothing departs.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a process that has just started asks for the departures again.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(50);
/// Longest random delay before a daemon reads its departures again after the store came back from an
/// older copy. All of 4,400 daemons make 1,100 calls a second then; the store takes 1,200 writes and
/// 6,000 reads a second.
const RESTORED_READ_DELAY: Duration = Duration::from_secs(4);
/// Name of the calls in log lines.
const CALLS: &str = "departures";

/// The departures in the store, as last read or written.
struct StoredDepartures {
    /// Position of the value; `None` if it could not be read.
    position: Option<StorePosition>,
    /// Era of the store in which it was read or written.
    era: StoreEra,
    processes: Vec<DepartedProcess>,
}

/// Reads the departures that former processes of this daemon stored, and stores new ones.
pub struct DepartureStore {
    store: Arc<dyn Store>,
    context: Arc<HostContext>,
    key: String,
}

impl DepartureStore {
    /// Creates the store of the departures on the host of `context`.
    pub fn new(store: Arc<dyn Store>, context: Arc<HostContext>) -> Self {
        // Without the characters of an address that a URL must escape.
        let address = context.settings.peers.to_string();
        let host = address.replace(|c: char| !c.is_ascii_alphanumeric() && c != '.', "-");
        let key = format!("{DEPARTURES_PREFIX}{host}");
        Self {
            store,
            context,
            key,
        }
    }

    /// Recovers the departures, and stores new ones until the process stops.
    pub fn run(&self, stop: &StopFlag) {
        let mut health = StoreHealth::new(CALLS);
        let mut stored = self.recover(stop, &mut health);
        while !stop.is_set() {
            let result = match &stored {
                None => self.read().map(Some),
                Some(former) => {
                    let dispatcher = &self.context.dispatcher;
                    let current =
                        dispatcher.await_departures(&former.processes, STOP_POLL_INTERVAL);
                    if former.era < self.store_era() && !former.processes.is_empty() {
                        // The store may have lost what was written. A new departure does not wait.
                        if current == former.processes {
                            stop.wait(rand::random_range(Duration::ZERO..RESTORED_READ_DELAY));
                        }
                        stored = None;
                        continue;
                    }
                    if current == former.processes {
                        continue;
                    }
                    self.write(former, current)
                }
            };
            match result {
                Ok(next) => {
                    stored = next;
                    health.record_success();
                }
                Err(_) if stop.is_set() => {}
                Err(e) => {
                    stored = None;
                    health.record_failure(&e);
                }
            }
            if stored.is_none() {
                stop.wait(RETRY_DELAY);
            }
        }
    }

    /// Reads the departures in the store and the copies that other daemons hold, until those of former
    /// processes are known, and offers the upstream then.
    fn recover(&self, stop: &StopFlag, health: &mut StoreHealth) -> Option<StoredDepartures> {
        let clock = &self.context.clock;
        let mut recovery = DepartureRecovery::new(clock.now());
        let mut stored = None;
        while !recovery.is_complete(clock.now()) {
            if recovery.is_store_read_due(clock.now(), RETRY_DELAY) {
                match self.read() {
                    Ok(read) => {
                        stored = Some(read);
                        recovery.record_store_read();
                        health.record_success();
                    }
                    Err(e) => {
                        recovery.record_failed_read(clock.now());
                        health.record_failure(&e);
                    }
                }
            }
            let copies = self
                .context
                .departure_copies
                .fetch(clock.now(), &mut recovery);
            self.context.add_departures(&copies);
            if stop.wait(RECOVERY_INTERVAL) {
                return stored;
            }
        }
        tracing::info!(
            event = "departures-recovered",
            store = recovery.is_store_read(),
            holders = recovery.answers(),
            count = self.context.dispatcher.departures().len(),
            ms = recovery.elapsed(clock.now()).as_millis() as u64
        );
        self.context.offer_upstream();
        stored
    }

    /// Returns the newest era of the store that this daemon knows.
    fn store_era(&self) -> StoreEra {
        self.context.membership.with_ownership(|o, _| o.store_era())
    }

    /// Reads the departures in the store and adds them to those of this process.
    fn read(&self) -> Result<StoredDepartures, StoreError> {
        let range = self.store.range(&self.key)?;
        store_watch::log_unreadable(CALLS, &range.unreadable);
        let is_unreadable = range.may_hide(&self.key);
        let item = range.items.into_iter().find(|item| item.key == self.key);
        let position = item.as_ref().map(|item| item.position);
        let era = range.as_of.era();
        let processes = item.map(|item| decode(&item)).unwrap_or_default();
        self.context.add_departures(&processes);
        self.context.departure_log.record_stored(&processes);
        Ok(StoredDepartures {
            position: match is_unreadable {
                true => None,
                false => Some(position.unwrap_or(StorePosition::absent(era))),
            },
            era,
            processes,
        })
    }

    /// Replaces the value `former`; returns `None` if it has another one by now.
    fn write(
        &self,
        former: &StoredDepartures,
        processes: Vec<DepartedProcess>,
    ) -> Result<Option<StoredDepartures>, StoreError> {
        let value =
            postcard::to_stdvec(&processes).map_err(|e| StoreError::Malformed(e.to_string()))?;
        let expected = former.position.map(|p| (self.key.clone(), p)).into_iter();
        let transaction = Transaction {
            expected: expected.collect(),
            puts: vec![(self.key.clone(), value)],
            removals: Vec::new(),
        };
        match self.store.commit(&transaction)? {
            CommitOutcome::Done(position) => {
                tracing::info!(event = "departures-stored", count = processes.len());
                self.context.departure_log.record_stored(&processes);
                Ok(Some(StoredDepartures {
                    position: Some(position),
                    era: position.era(),
                    processes,
                }))
            }
            CommitOutcome::Conflict | CommitOutcome::EraChanged => Ok(None),
        }
    }
}

/// Decodes the value of the departures; one that can't be decoded is replaced by the next write.
fn decode(item: &KeyValue) -> Vec<DepartedProcess> {
    postcard::from_bytes(&item.value).unwrap_or_else(|e| {
        tracing::error!(event = "entry-skipped", watch = CALLS, key = item.key, reason = %e);
        Vec::new()
    })
}
