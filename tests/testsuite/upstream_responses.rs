//! Responses of upstreams that break off while the request is still being written, and ones that are no
//! valid HTTP responses.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use foxtaildrift::connection::buffered_connection::ConnectionError;
use foxtaildrift::connection::http1;
use foxtaildrift::connection::recipient::Recipient;
use foxtaildrift::connection::upstream_request_failure::UpstreamRequestFailure;
use foxtaildrift::request::body::Body;

use crate::upstream_pool;

const HEAD: &str = "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n";
const TIMEOUT: Duration = Duration::from_secs(3);

/// How an upstream ends its connection after a part of the response.
#[derive(Clone, Copy, Debug)]
enum End {
    Reset,
    Close,
    /// Ends its response in an orderly way, and resets the connection later.
    HalfClose,
}

/// Starts an upstream that reads the first bytes of a request, writes `part` and ends the connection.
fn breaking_off(part: String, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("could not bind a port");
    let to = listener.local_addr().expect("no local address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("no connection");
        let _ = stream.read(&mut [0; 4096]);
        stream.write_all(part.as_bytes()).expect("not written");
        // The daemon receives the part before the end.
        thread::sleep(Duration::from_millis(50));
        end_connection(&stream, end);
    });
    to
}

fn end_connection(stream: &TcpStream, end: End) {
    match end {
        End::Reset => {
            let linger = Some(Duration::ZERO);
            socket2::SockRef::from(stream)
                .set_linger(linger)
                .expect("not set");
        }
        End::Close => {}
        End::HalfClose => {
            stream.shutdown(Shutdown::Write).expect("not shut down");
            thread::sleep(Duration::from_millis(200));
        }
    }
}

// A caller got the begin of a response as a complete one.
#[test]
fn a_response_that_breaks_off_during_a_long_upload_is_no_success() {
    let bodies = [
        "\r\npart of the body",
        "Transfer-Encoding: chunked\r\n\r\n10\r\npart of",
        "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        "Content-Length: 1000\r\n\r\npart of the body",
    ];
    for body in bodies {
        for end in [End::Reset, End::Close, End::HalfClose] {
            for length in [100 * 1024, 8 * 1024 * 1024] {
                // An orderly end after a request that the upstream's kernel has taken whole can't be told
                // from the end of a complete response.
                if matches!(end, End::HalfClose) && length < 1024 * 1024 {
                    continue;
                }
                let to = breaking_off(format!("{HEAD}{body}"), end);
                let pool = upstream_pool::pool(to);
                let mut request = upstream_pool::request("a");
                request.method = "POST".to_owned();
                request.body = Body(vec![b'x'; length].into());
                let none = Recipient::none();
                let result = pool.send_request(&request, "i-1", TIMEOUT, &none, || Ok(()));
                let may_have_run = matches!(
                    result,
                    Err(UpstreamRequestFailure::MaybeRun(_) | UpstreamRequestFailure::TimedOut)
                );
                assert!(may_have_run, "{body:?} {end:?} {length}: {result:?}");
            }
        }
    }
}

// A status outside 100 to 599 was passed on to the caller, or skipped like an interim response.
#[test]
fn a_status_outside_100_to_599_is_no_response() {
    for status in [
        "000", "099", "99", "600", "999", "20", "2000", "2x0", "abc", "+20", "-20", "",
    ] {
        let head = format!("HTTP/1.1 {status} Some\r\nContent-Length: 0\r\n\r\n");
        let parsed = http1::parse_response(head.as_bytes());
        assert!(
            matches!(parsed, Err(ConnectionError::InvalidStatus)),
            "{status}: {parsed:?}"
        );
    }
    for status in ["100", "200", "404", "599"] {
        let head = format!("HTTP/1.1 {status} Some\r\nContent-Length: 0\r\n\r\n");
        assert!(matches!(
            http1::parse_response(head.as_bytes()),
            Ok(Some(_))
        ));
    }
}

// An invalid response tells nothing about whether the request has run, so only repeatable requests may
// be sent again.
#[test]
fn a_request_with_an_invalid_response_may_have_run() {
    let heads = [
        "HTTP/1.1 000 None\r\nId: a\r\n",
        "HTTP/1.1 600 Some\r\nId: a\r\nSignature: s\r\nContent-Length: 0\r\n",
        "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: x\r\n",
        "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nTransfer-Encoding: gzip\r\n",
    ];
    for head in heads {
        let to = breaking_off(format!("{head}\r\n"), End::HalfClose);
        let result = upstream_pool::send(&upstream_pool::pool(to), "a");
        let may_have_run = matches!(result, Err(UpstreamRequestFailure::MaybeRun(_)));
        assert!(may_have_run, "{head:?}: {result:?}");
    }
}

// Framing that is invalid has its own error, so that logs tell it from a connection that failed.
#[test]
fn invalid_framing_of_a_response_has_its_own_error() {
    for header in [
        "Content-Length: x",
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip",
    ] {
        let head = format!("HTTP/1.1 200 OK\r\n{header}\r\n\r\n");
        let (head, _) = http1::parse_response(head.as_bytes()).unwrap().unwrap();
        let framing = http1::response_framing(&head, "GET");
        assert!(
            matches!(framing, Err(ConnectionError::InvalidFraming(_))),
            "{header}: {framing:?}"
        );
    }
}
