//! Connections that the upstream's stand-in takes up late, as an upstream does whose slots are all in
//! use.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use foxtaildrift::connection::recipient::Recipient;
use foxtaildrift::process::sync;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use socket2::SockRef;

use crate::upstream_options::UpstreamOptions;

/// How long after it was established a late connection is taken up, in milliseconds.
const DELAY_MS: Range<u64> = 200..4000;
/// How long to pause after a connection could not be accepted.
const FAILURE_PAUSE: Duration = Duration::from_millis(20);

/// A listening socket in front of the stand-in's own. Until a connection is taken up, the kernel keeps
/// what its client has sent; one that its client has closed by then is dropped unread. Dropping the
/// value waits until the connections have been closed at one end.
pub struct LateConnections {
    shared: Arc<Shared>,
    acceptor: Option<JoinHandle<()>>,
}

struct Shared {
    listener: TcpListener,
    /// The address of the stand-in's own listener.
    target: SocketAddr,
    /// The fraction of the connections that are late.
    share: f64,
    rng: Mutex<SmallRng>,
    stopped: AtomicBool,
}

impl LateConnections {
    /// Starts passing the connections that are made to `address` on to `target`, with the share and
    /// the seed of `options`.
    ///
    /// # Errors
    ///
    /// Returns an error if `address` can't be listened on.
    pub fn start(
        address: SocketAddr,
        target: SocketAddr,
        options: &UpstreamOptions,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            listener: TcpListener::bind(address)?,
            target,
            share: options.late_connections,
            rng: Mutex::new(SmallRng::seed_from_u64(options.seed)),
            stopped: AtomicBool::new(false),
        });
        let acceptor = Arc::clone(&shared);
        Ok(Self {
            shared,
            acceptor: Some(thread::spawn(move || acceptor.accept())),
        })
    }
}

impl Drop for LateConnections {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // This ends a call of `accept`. It fails if the socket no longer listens.
        let _ = SockRef::from(&self.shared.listener).shutdown(Shutdown::Both);
        if let Some(acceptor) = self.acceptor.take() {
            // A thread that panicked has already reported it.
            let _ = acceptor.join();
        }
    }
}

impl Shared {
    /// Accepts connections until the listener is dropped, and waits until all of them have ended.
    fn accept(&self) {
        thread::scope(|scope| {
            while !self.stopped.load(Ordering::SeqCst) {
                let Ok((client, _)) = self.listener.accept() else {
                    thread::sleep(FAILURE_PAUSE);
                    continue;
                };
                let delay = self.draw_delay();
                scope.spawn(move || {
                    thread::sleep(delay);
                    // Its client learns of a failure by the close of the connection.
                    let _ = self.take_up(client);
                });
            }
        });
    }

    /// Returns how long after its establishment the next connection is taken up.
    fn draw_delay(&self) -> Duration {
        let mut rng = sync::lock(&self.rng);
        match rng.random_bool(self.share) {
            true => Duration::from_millis(rng.random_range(DELAY_MS)),
            false => Duration::ZERO,
        }
    }

    /// Passes on what a connection carries until either end closes it, unless its client has closed
    /// it already.
    fn take_up(&self, client: TcpStream) -> io::Result<()> {
        let client = Arc::new(client);
        if Recipient::on_connection(&client).has_disconnected() {
            return Ok(());
        }
        let server = TcpStream::connect(self.target)?;
        client.set_nodelay(true)?;
        server.set_nodelay(true)?;
        thread::scope(|scope| {
            scope.spawn(|| forward(&server, &client));
            forward(&client, &server);
        });
        Ok(())
    }
}

/// Forwards one direction of a connection until either end closes it.
fn forward(mut from: &TcpStream, mut to: &TcpStream) {
    // Whether it ended by a close or by a failure, both ends are closed.
    let _ = io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
