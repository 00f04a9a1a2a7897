//! Calls to another daemon whose replies are late.

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

const TIMES: PeerTimeouts = PeerTimeouts {
    acknowledge: Duration::from_millis(30),
    reply: Duration::from_millis(100),
};
/// How late the reply is: past the patience, several times.
const LATE: Duration = Duration::from_millis(350);

fn order() -> PeerRequest {
    let order = UpstreamRequest {
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
        request: Box::new(order),
    }
}

#[test]
fn a_late_reply_is_taken_though_no_further_connection_can_be_made() {
    // karite-sud-grown trouble-1 (LOST): a booking was given up while its upstream worked on it, as
    // the connection on which its outcome was asked for could not be made.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let to = listener.local_addr().expect("it is bound");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the call comes");
        drop(listener);
        let mut buf = [0; 4096];
        let read = stream.read(&mut buf).expect("the call is read");
        assert!(read > 0);
        thread::sleep(LATE);
        let reply = frame::encode(&PeerReply::Accepted).expect("it can be encoded");
        stream.write_all(&reply).expect("the reply is written");
    });
    let pool = PeerPool::new(IpAddr::V4(Ipv4Addr::LOCALHOST), TIMES);
    let limit = Duration::from_secs(2);
    let called = pool.call(to, &order(), limit, &Recipient::none(), || false);
    server.join().expect("the server does not panic");
    assert_eq!(called.expect("the reply comes").reply, PeerReply::Accepted);
}
