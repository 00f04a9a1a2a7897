//! An HTTP server with a fixed number of worker threads, based on `tiny_http`.
//!
//! `tiny_http` serves each connection on a thread of its own pool, and sometimes queues a new
//! connection although no thread is free; that connection then waits until another one ends.
//! Therefore the server connects to itself at a fixed interval: the thread that serves such an
//! empty connection is free again at once and takes the queued one.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tiny_http::{Request, Server};

use crate::process::stop_flag::StopFlag;

/// The timeout for establishing a connection to itself.
const SELF_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Handles the requests of an [`HttpServer`].
pub trait HttpHandler: Send + Sync {
    /// Handles one request and responds to it.
    fn serve(&self, request: Request);
}

/// A listener with its worker threads; dropping it joins all threads.
pub struct HttpServer {
    server: Arc<Server>,
    stop: Arc<StopFlag>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpServer {
    /// Starts `workers` threads, named `name`, that serve requests on `listener`; a queued
    /// connection waits `queue_timeout` at most.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener can't be used or a thread can't be started.
    pub fn start(
        name: &str,
        listener: TcpListener,
        workers: u32,
        queue_timeout: Duration,
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
            threads.push(builder.spawn(move || serve_requests(&server, &stop, &*handler))?);
        }
        let thread_stop = Arc::clone(&stop);
        let builder = thread::Builder::new().name(format!("{name}-nudge"));
        threads.push(
            builder.spawn(move || connect_periodically(address, queue_timeout, &thread_stop))?,
        );
        Ok(Self {
            server,
            stop,
            threads,
        })
    }

    /// Stops accepting requests and joins the threads.
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

/// Serves requests until the server stops.
fn serve_requests(server: &Server, stop: &StopFlag, handler: &dyn HttpHandler) {
    while !stop.is_set() {
        match server.recv() {
            Ok(request) => handler.serve(request),
            Err(e) if !stop.is_set() => {
                tracing::warn!(error = %e, "could not receive a request")
            }
            Err(_) => {}
        }
    }
}

/// Connects to the server itself at each `interval`, so that a queued connection gets a thread.
fn connect_periodically(address: SocketAddr, interval: Duration, stop: &StopFlag) {
    while !stop.wait(interval) {
        let _ = TcpStream::connect_timeout(&address, SELF_CONNECT_TIMEOUT);
    }
}
