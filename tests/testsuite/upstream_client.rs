//! Finding out whether an upstream's process is there.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use foxtaildrift::connection::upstream_client;

/// How long a probe may take.
const PROBE_TIME: Duration = Duration::from_millis(200);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

#[test]
fn a_process_that_keeps_the_connection_is_there() {
    let (_listener, address) = listener();
    assert!(upstream_client::is_listening(address, PROBE_TIME));
}

#[test]
fn nothing_is_there_once_the_listener_is_gone() {
    let (listener, address) = listener();
    drop(listener);
    assert!(!upstream_client::is_listening(address, PROBE_TIME));
}

#[test]
fn a_process_that_is_just_ending_is_not_there() {
    // `poison` with shared_crashes=3: the listener of an aborted process took one more connection
    // before it closed, so that the crash went unseen.
    let (listener, address) = listener();
    let ending = thread::spawn(move || drop(listener.accept()));
    assert!(!upstream_client::is_listening(address, PROBE_TIME));
    ending.join().expect("it accepts one");
}
