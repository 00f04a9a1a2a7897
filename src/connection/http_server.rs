//! An HTTP server with a fixed set of workers.
//!
//! The library serves each connection with a thread of its pool, and now and then queues a new
//! connection although no thread is free; it then waits until some other connection ends. So the
//! server connects to itself at a steady pace: the thread that serves such an empty connection is
//! free at once, and takes the queued one.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tiny_http::{Request, Server};

use crate::process::stop_flag::StopFlag;

/// How long such a connection may take to be made.
const NUDGE_TIME: Duration = Duration::from_millis(100);

/// Serves requests.
pub trait HttpHandler: Send + Sync {
    /// Answers one request.
    fn serve(&self, request: Request);
}

/// A listener with its workers; dropping it joins all threads.
pub struct HttpServer {
    server: Arc<Server>,
    stop: Arc<StopFlag>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Starts `workers` threads that serve requests on `listener`; a queued connection waits for
    /// `patience` at the most.
    ///
    /// # Errors
    ///
    /// Returns an error where the listener or a thread can't be set up.
    pub fn start(
        name: &str,
        listener: TcpListener,
        workers: u32,
        patience: Duration,
        handler: &Arc<dyn HttpHandler>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let stop = Arc::new(StopFlag::default());
        let mut threads = Vec::new();
        for _ in 0..workers {
            let (server, stop) = (Arc::clone(&server), Arc::clone(&stop));
            let handler = Arc::clone(handler);
            let builder = thread::Builder::new().name(name.to_owned());
            threads.push(builder.spawn(move || work(&server, &stop, &*handler))?);
        }
        let for_nudge = Arc::clone(&stop);
        let builder = thread::Builder::new().name(format!("{name}-nudge"));
        threads.push(builder.spawn(move || nudge(address, patience, &for_nudge))?);
        Ok(Self {
            server,
            stop,
            threads,
        })
    }

    /// Takes no more requests and joins the threads.
    pub fn stop(&mut self) {
        self.stop.set();
        for _ in &self.threads {
            self.server.unblock();
        }
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop();
    }
}

fn work(server: &Server, stop: &StopFlag, handler: &dyn HttpHandler) {
    while !stop.is_set() {
        match server.recv() {
            Ok(request) => handler.serve(request),
            Err(e) if !stop.is_set() => tracing::warn!(error = %e, "connection not taken"),
            Err(_) => {}
        }
    }
}

fn nudge(address: SocketAddr, interval: Duration, stop: &StopFlag) {
    while !stop.wait(interval) {
        let _ = TcpStream::connect_timeout(&address, NUDGE_TIME);
    }
}
