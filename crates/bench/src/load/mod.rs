//! Load generator: threads that act as callers.

mod caller;
pub mod load_spec;
pub mod load_stats;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use foxtaildrift::process::sync;

use crate::load::caller::Caller;
use crate::load::load_spec::LoadSpec;
use crate::load::load_stats::LoadStats;

/// How long callers warm up the upstreams: longer than the daemons limit a new upstream as cold.
const WARM_UP_TIME: Duration = Duration::from_secs(10);

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    stats: Arc<Mutex<LoadStats>>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts the callers.
    pub fn start(spec: &LoadSpec) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stats = Arc::new(Mutex::new(LoadStats::default()));
        let mut threads = Vec::new();
        for number in 0..spec.callers {
            let mut caller = Caller::new(spec.clone(), number);
            let (stop, stats) = (Arc::clone(&stop), Arc::clone(&stats));
            threads.push(thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    caller.run_task();
                    thread::sleep(caller.pause());
                }
                sync::lock(&stats).merge(caller.finish());
            }));
        }
        Self {
            stop,
            stats,
            threads,
        }
    }

    /// Stops the callers after their current tasks, and returns their statistics.
    pub fn stop(self) -> LoadStats {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut *sync::lock(&self.stats))
    }
}

/// Runs callers until the upstreams are no longer limited as cold, and discards the statistics.
pub fn warm_up(specs: &[&LoadSpec]) {
    let loads: Vec<Load> = specs.iter().map(|spec| Load::start(spec)).collect();
    thread::sleep(WARM_UP_TIME);
    for load in loads {
        load.stop();
    }
}
