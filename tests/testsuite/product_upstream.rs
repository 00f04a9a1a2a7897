//! A stand-in for an upstream of the product's own daemon, and requests for it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use foxtaildrift::request::body::Body;
use foxtaildrift::request::envelope::Envelope;
use foxtaildrift::request::request_id::RequestId;
use foxtaildrift::version::service_name::ServiceName;
use foxtaildrift::version::upstream::{Upstream, UpstreamBoot};

/// How the stand-in treats the requests that it receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conduct {
    /// Whether it closes the connection of a request at once; otherwise it never responds.
    pub closes_connections: bool,
    /// HTTP status of the response to a cancellation.
    pub cancel_status: u16,
}

/// A stand-in that accepts connections until the test ends.
pub struct StandIn {
    /// Address for requests.
    pub address: SocketAddr,
    /// Receives a message for each request.
    pub requests: Receiver<()>,
}

impl StandIn {
    /// Starts a stand-in.
    pub fn start(conduct: Conduct) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a port");
        let address = listener.local_addr().expect("no local address");
        let (tx, requests) = mpsc::channel();
        // The thread ends with the test's process.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let tx = tx.clone();
                thread::spawn(move || serve(stream, conduct, &tx));
            }
        });
        Self { address, requests }
    }

    /// Returns the announcement of the stand-in.
    pub fn announcement(&self) -> Upstream {
        Upstream {
            service: service(),
            address: self.address,
            boot: UpstreamBoot(1),
            slots: 8,
            cold_slots: 8,
            connections: 8,
            checks_grants: false,
        }
    }
}

/// Serves one connection.
fn serve(mut stream: TcpStream, conduct: Conduct, requests: &Sender<()>) {
    let mut held = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(length @ 1..) = stream.read(&mut buf) {
        held.extend_from_slice(&buf[..length]);
        if !held.windows(4).any(|w| w == b"\r\n\r\n") {
            continue;
        }
        let is_control = held.windows(14).any(|w| w == b"/foxtaildrift/");
        held.clear();
        if is_control {
            let status = conduct.cancel_status;
            let response = format!("HTTP/1.1 {status} Status\r\nContent-Length: 0\r\n\r\n");
            let _ = stream.write_all(response.as_bytes());
            continue;
        }
        let _ = requests.send(());
        if conduct.closes_connections {
            return;
        }
    }
}

/// Returns the name of the service.
pub fn service() -> ServiceName {
    "loft".parse().expect("valid name")
}

/// Returns a request whose caller waits for `remaining`.
pub fn request(remaining: Duration) -> Arc<Envelope> {
    Arc::new(Envelope {
        id: RequestId::generate(),
        service: service(),
        method: "GET".to_owned(),
        path: "/rings/1".to_owned(),
        key: b"ring-1".to_vec(),
        idempotency_key: None,
        fresh_until: None,
        repeatable: true,
        remaining,
        content_type: None,
        body: Body::default(),
    })
}
