//! A fixed set of threads that run short jobs.

use std::io;
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use crate::process::sync;

type Job = Box<dyn FnOnce() + Send>;

/// Threads that run jobs in turn; they are joined when the set is dropped.
pub struct ThreadPool {
    jobs: Option<Sender<Job>>,
    threads: Vec<JoinHandle<()>>,
}

impl ThreadPool {
    /// Starts `count` threads.
    ///
    /// # Errors
    ///
    /// Returns an error where a thread can't be started.
    pub fn start(name: &str, count: u32) -> io::Result<Self> {
        let (jobs, queue) = mpsc::channel::<Job>();
        let queue = Arc::new(Mutex::new(queue));
        let mut threads = Vec::new();
        for _ in 0..count {
            let queue = Arc::clone(&queue);
            let thread = thread::Builder::new().name(name.to_owned());
            threads.push(thread.spawn(move || work(&queue))?);
        }
        Ok(Self {
            jobs: Some(jobs),
            threads,
        })
    }

    /// Lets a thread run `job` when one is free.
    pub fn submit(&self, job: impl FnOnce() + Send + 'static) {
        if let Some(jobs) = &self.jobs {
            let _ = jobs.send(Box::new(job));
        }
    }
}

impl Drop for ThreadPool {
    fn drop(&mut self) {
        self.jobs = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

fn work(queue: &Mutex<Receiver<Job>>) {
    loop {
        let job = sync::lock(queue).recv();
        match job {
            Ok(job) => job(),
            Err(_) => return,
        }
    }
}
