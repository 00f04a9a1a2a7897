//! Threads that run jobs from a queue, started as they are needed.

use std::collections::VecDeque;
use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::process::sync;

/// How long a thread waits for another job before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The default stack size of a thread, in bytes.
const STACK_BYTES_DEFAULT: usize = 512 * 1024;

type Job = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    queue: VecDeque<Job>,
    threads: Vec<JoinHandle<()>>,
    /// Threads that run, each with a job or waiting for one.
    running: usize,
    /// Threads that wait for a job.
    idle: usize,
    closed: bool,
}

struct Shared {
    name: String,
    threads_max: usize,
    stack_bytes: usize,
    state: Mutex<State>,
    /// Notified when a job is queued, and when the pool closes.
    changed: Condvar,
}

/// Threads that run jobs from a shared queue. Dropping the pool runs the queued jobs and joins the
/// threads.
pub struct ThreadPool {
    shared: Arc<Shared>,
}

impl ThreadPool {
    /// Creates a pool of at most `threads_max` threads with the given name; none runs yet.
    pub fn new(name: &str, threads_max: usize) -> Self {
        Self::with_stack(name, threads_max, STACK_BYTES_DEFAULT)
    }

    /// Creates a pool whose threads have stacks of `stack_bytes` bytes.
    pub fn with_stack(name: &str, threads_max: usize, stack_bytes: usize) -> Self {
        Self {
            shared: Arc::new(Shared {
                name: name.to_owned(),
                threads_max,
                stack_bytes,
                state: Mutex::default(),
                changed: Condvar::new(),
            }),
        }
    }

    /// Queues `job` for the next free thread; starts one if none is free and the maximum is not
    /// reached.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) {
        let mut state = sync::lock(&self.shared.state);
        state.queue.push_back(Box::new(job));
        if state.queue.len() <= state.idle {
            self.shared.changed.notify_one();
            return;
        }
        if state.running >= self.shared.threads_max {
            return;
        }
        for done in state.threads.extract_if(.., |t| t.is_finished()) {
            let _ = done.join();
        }
        match start_thread(&self.shared) {
            Ok(thread) => {
                state.running += 1;
                state.threads.push(thread);
            }
            // The job stays queued for the threads that run already.
            Err(e) => tracing::warn!(event = "thread-failed", error = %e),
        }
    }

    /// Returns the number of jobs that are queued or run.
    pub fn jobs(&self) -> usize {
        let state = sync::lock(&self.shared.state);
        state.queue.len() + state.running - state.idle
    }

    /// Returns the number of threads, with a job or waiting for one.
    pub fn threads(&self) -> usize {
        sync::lock(&self.shared.state).running
    }

    /// Runs the queued jobs and joins all threads. Jobs submitted later never run.
    pub fn join(&self) {
        let mut state = sync::lock(&self.shared.state);
        state.closed = true;
        let threads = std::mem::take(&mut state.threads);
        drop(state);
        self.shared.changed.notify_all();
        for thread in threads {
            let _ = thread.join();
        }
    }
}

impl Drop for ThreadPool {
    fn drop(&mut self) {
        self.join();
    }
}

fn start_thread(shared: &Arc<Shared>) -> io::Result<JoinHandle<()>> {
    let thread_shared = Arc::clone(shared);
    thread::Builder::new()
        .name(shared.name.clone())
        .stack_size(shared.stack_bytes)
        .spawn(move || run_jobs(&thread_shared))
}

/// Runs jobs until none is queued within [`IDLE_TIMEOUT`], or the pool is closed and its queue is
/// empty.
fn run_jobs(shared: &Shared) {
    while let Some(job) = next_job(shared) {
        // The panic hook has printed the message; the thread stays usable for other jobs.
        if panic::catch_unwind(AssertUnwindSafe(job)).is_err() {
            tracing::error!(event = "job-panicked", pool = shared.name);
        }
    }
}

/// Waits for a job; returns `None` if the thread must end.
fn next_job(shared: &Shared) -> Option<Job> {
    let mut state = sync::lock(&shared.state);
    loop {
        if let Some(job) = state.queue.pop_front() {
            return Some(job);
        }
        if state.closed {
            state.running -= 1;
            return None;
        }
        state.idle += 1;
        let waited = shared.changed.wait_timeout(state, IDLE_TIMEOUT);
        let (guard, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        state = guard;
        state.idle -= 1;
        if timeout.timed_out() && state.queue.is_empty() {
            state.running -= 1;
            return None;
        }
    }
}
