//! Calls to another daemon whose reply is late.

use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::thread;
use std::time::Duration;

use foxtaildrift::connection::buffered_connection::Recipient;
use foxtaildrift::connection::frame;
use foxtaildrift::connection::peer_message::{PeerReply, PeerRequest};
use foxtaildrift::connection::peer_pool::{PeerPool, PeerTimeouts};
use foxtaildrift::request::body::Body;
use foxtaildrift::request::headers::Headers;
use foxtaildrift::request::upstream_request::UpstreamRequest;
use foxtaildrift::version::instance_id::InstanceId;

const TIMEOUTS: PeerTimeouts = PeerTimeouts {
    acknowledge: Duration::from_millis(30),
    reply: Duration::from_millis(100),
};
/// The delay of the reply: several times the reply timeout.
const REPLY_DELAY: Duration = Duration::from_millis(350);

fn dispatch_request() -> PeerRequest {
    let request = UpstreamRequest {
        id: "a".to_owned(),
        service: "desk".parse().unwrap(),
        origin: "desk".parse().unwrap(),
        method: "POST".to_owned(),
        target: "/book/".to_owned(),
        headers: Headers::default(),
        key: None,
        repeatable: false,
        priority: 1,
        remaining: Duration::from_secs(2),
        objective: Duration::from_secs(1),
        attempt: 1,
        body: Body(vec![0; 100]),
    };
    PeerRequest::Dispatch {
        instance: InstanceId(1),
        request: Box::new(request),
    }
}

#[test]
fn a_late_reply_is_received_though_no_further_connection_can_be_established() {
    // Guards against a lost outcome (seen on karite-sud-grown, trouble-1: LOST): the call failed
    // while the upstream still processed a booking, because the connection for fetching the outcome
    // could not be established. The server accepts one connection, closes its listener and replies
    // late on the first connection.
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a port");
    let to = listener.local_addr().expect("no local address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("no connection arrives");
        drop(listener);
        let mut buf = [0; 4096];
        let read = stream.read(&mut buf).expect("could not read the request");
        assert!(read > 0);
        thread::sleep(REPLY_DELAY);
        let reply = frame::encode(&PeerReply::Accepted).expect("could not encode the reply");
        stream.write_all(&reply).expect("could not write the reply");
    });
    let pool = PeerPool::new(IpAddr::V4(Ipv4Addr::LOCALHOST), TIMEOUTS);
    let limit = Duration::from_secs(2);
    let result = pool.call(to, &dispatch_request(), limit, &Recipient::none(), || false);
    server.join().expect("the server panicked");
    assert_eq!(result.expect("no reply arrived").reply, PeerReply::Accepted);
}
