//! A fixed number of threads that run short jobs.

use std::io;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use crate::process::sync;

type Job = Box<dyn FnOnce() + Send>;

/// Threads that run jobs from a shared queue. Dropping the pool runs the queued jobs and joins the
/// threads.
pub struct ThreadPool {
    job_tx: Option<Sender<Job>>,
    threads: Vec<JoinHandle<()>>,
}

impl ThreadPool {
    /// Starts `count` threads with the given name.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub fn start(name: &str, count: u32) -> io::Result<Self> {
        let (job_tx, job_rx) = mpsc::channel::<Job>();
        let job_rx = Arc::new(Mutex::new(job_rx));
        let mut threads = Vec::new();
        for _ in 0..count {
            let job_rx = Arc::clone(&job_rx);
            let thread = thread::Builder::new().name(name.to_owned());
            threads.push(thread.spawn(move || run_jobs(&job_rx))?);
        }
        Ok(Self {
            job_tx: Some(job_tx),
            threads,
        })
    }

    /// Queues `job` for the next free thread.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) {
        if let Some(job_tx) = &self.job_tx {
            let _ = job_tx.send(Box::new(job));
        }
    }
}

impl Drop for ThreadPool {
    fn drop(&mut self) {
        self.job_tx = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Runs jobs until all senders are dropped and the queue is empty.
fn run_jobs(job_rx: &Mutex<Receiver<Job>>) {
    loop {
        let job = sync::lock(job_rx).recv();
        match job {
            Ok(job) => job(),
            Err(_) => return,
        }
    }
}
