//! The probe that checks whether an upstream's process is running.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use foxtaildrift::connection::upstream_client;

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a port");
    let address = listener.local_addr().expect("no local address");
    (listener, address)
}

#[test]
fn a_process_that_keeps_the_connection_open_is_running() {
    let (_listener, address) = listener();
    assert!(upstream_client::is_listening(address, PROBE_TIMEOUT));
}

#[test]
fn no_process_is_running_once_the_listener_is_closed() {
    let (listener, address) = listener();
    drop(listener);
    assert!(!upstream_client::is_listening(address, PROBE_TIMEOUT));
}

#[test]
fn a_process_that_closes_the_accepted_connection_is_not_running() {
    // Guards against an undetected crash (seen in `poison` with shared_crashes=3): the listener of
    // an aborted process accepted one more connection before it closed.
    let (listener, address) = listener();
    let ending = thread::spawn(move || drop(listener.accept()));
    assert!(!upstream_client::is_listening(address, PROBE_TIMEOUT));
    ending.join().expect("the accepting thread panicked");
}

#[test]
fn only_a_refused_connection_proves_that_the_process_is_gone() {
    let (listener, address) = listener();
    assert!(!upstream_client::is_refused(address, PROBE_TIMEOUT));
    drop(listener);
    assert!(upstream_client::is_refused(address, PROBE_TIMEOUT));
}
