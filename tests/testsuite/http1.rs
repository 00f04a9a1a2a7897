//! HTTP/1.1 heads and bodies, valid and invalid, and cancellation of waits.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use foxtaildrift::connection::body_buffer::BodyLimits;
use foxtaildrift::connection::buffered_connection::{BufferedConnection, ConnectionError};
use foxtaildrift::connection::http1::{self, Framing};
use foxtaildrift::connection::memory_budget::MemoryBudget;
use foxtaildrift::connection::recipient::Recipient;
use foxtaildrift::request::headers::Headers;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn headers(pairs: &[(&str, &str)]) -> Headers {
    let mut headers = Headers::default();
    for (name, value) in pairs {
        headers.push(*name, *value);
    }
    headers
}

/// Returns a connection that receives `bytes` and is then closed.
fn connection_receiving(bytes: &[u8]) -> BufferedConnection {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    sender.write_all(bytes).unwrap();
    BufferedConnection::new(listener.accept().unwrap().0).unwrap()
}

/// Returns a connection that receives `bytes`, more than the sockets hold, and stays open.
fn connection_sending(bytes: Vec<u8>) -> BufferedConnection {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut sender = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    thread::spawn(move || {
        // Fails once the receiver has closed the connection.
        let _ = sender.write_all(&bytes);
        let _ = sender.read(&mut [0]);
    });
    BufferedConnection::new(listener.accept().unwrap().0).unwrap()
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

fn body_limits(bytes_max: usize) -> BodyLimits {
    BodyLimits {
        bytes_max,
        budget: MemoryBudget::unlimited(),
        transfer: None,
    }
}

fn read_body(bytes: &[u8], framing: Framing, max: usize) -> Result<Vec<u8>, ConnectionError> {
    let limits = body_limits(max);
    let body = http1::read_body(
        &mut connection_receiving(bytes),
        framing,
        &limits,
        deadline(),
        &Recipient::none(),
    )?;
    Ok(body.to_vec())
}

#[test]
fn ambiguous_framing_that_allows_request_smuggling_is_refused() {
    let refused = [
        headers(&[("Content-Length", "3"), ("Transfer-Encoding", "chunked")]),
        headers(&[("Content-Length", "3"), ("content-length", "4")]),
        headers(&[("Content-Length", "+3")]),
        headers(&[("Content-Length", "3 ,4")]),
        headers(&[("Content-Length", "-1")]),
        headers(&[("Transfer-Encoding", "gzip, chunked")]),
        headers(&[
            ("Transfer-Encoding", "chunked"),
            ("Transfer-Encoding", "chunked"),
        ]),
    ];
    for invalid in refused {
        assert!(http1::request_framing(&invalid).is_err(), "{invalid:?}");
    }
    let length = headers(&[("Content-Length", "3"), ("Content-Length", "3")]);
    assert_eq!(http1::request_framing(&length).unwrap(), Framing::Length(3));
    let chunked = headers(&[("transfer-encoding", "Chunked")]);
    assert_eq!(http1::request_framing(&chunked).unwrap(), Framing::Chunked);
    assert_eq!(
        http1::request_framing(&headers(&[])).unwrap(),
        Framing::Length(0)
    );
}

#[test]
fn a_body_is_read_in_full_or_refused() {
    let chunks = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nTrailer: t\r\n\r\n";
    assert_eq!(read_body(chunks, Framing::Chunked, 10).unwrap(), b"abcde");
    assert_eq!(read_body(b"abcde", Framing::Length(3), 10).unwrap(), b"abc");
    assert_eq!(
        read_body(b"abcde", Framing::UntilClose, 10).unwrap(),
        b"abcde"
    );
    assert!(
        read_body(b"ab", Framing::Length(3), 10).is_err(),
        "incomplete"
    );
    assert!(
        read_body(b"3\r\nabc\r\n", Framing::Chunked, 10).is_err(),
        "no last chunk"
    );
    assert!(read_body(b"3\r\nabcX\n0\r\n\r\n", Framing::Chunked, 10).is_err());
    assert!(read_body(b"zz\r\n", Framing::Chunked, 10).is_err());
    assert!(read_body(chunks, Framing::Chunked, 4).is_err(), "too large");
    assert!(
        read_body(b"abcde", Framing::UntilClose, 4).is_err(),
        "too large"
    );
    assert!(
        read_body(b"", Framing::Length(11), 10).is_err(),
        "too large"
    );
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let all = headers(&[
        ("Host", "a"),
        ("Connection", "keep-alive, X-Own"),
        ("X-Own", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("Content-Length", "3"),
        ("X-Kept", "2"),
    ]);
    let forwarded = all.end_to_end();
    let names: Vec<&str> = forwarded.iter().map(|(n, _)| n).collect();
    assert_eq!(names, ["Host", "X-Kept"]);
}

#[test]
fn a_wait_ends_when_the_recipient_disconnects() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = TcpStream::connect(address).unwrap();
    let mut conn = BufferedConnection::new(upstream).unwrap();
    let mut far_end = listener.accept().unwrap().0;
    let recipient = Recipient::connected();
    assert!(!recipient.has_disconnected());
    let left = recipient.clone();
    let leaving = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(50));
        left.disconnect();
    });
    let started = Instant::now();
    let ended = conn.fill(deadline(), &recipient);
    leaving.join().unwrap();
    // The server learns it at once too.
    far_end
        .set_read_timeout(Some(Duration::from_millis(400)))
        .unwrap();
    assert_eq!(far_end.read(&mut [0; 8]).unwrap(), 0);
    assert!(
        matches!(ended, Err(ConnectionError::RecipientDisconnected)),
        "{ended:?}"
    );
    assert!(started.elapsed() < Duration::from_millis(500));
    assert!(recipient.has_disconnected());
}

#[test]
fn parsing_noise_never_panics_and_never_consumes_more_than_was_received() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let valid = b"GET /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    for _ in 0..20_000 {
        let mut bytes = valid.to_vec();
        for _ in 0..rng.random_range(0..4) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.next_u32() as u8;
        }
        bytes.truncate(rng.random_range(0..=valid.len()));
        if let Ok(Some((_, used))) = http1::parse_request(&bytes) {
            assert!(used <= bytes.len());
        }
        if let Ok(Some((_, used))) = http1::parse_response(&bytes) {
            assert!(used <= bytes.len());
        }
    }
}

#[test]
fn a_chunk_of_the_largest_size_is_refused_whatever_the_limit() {
    let chunks = b"1\r\na\r\nffffffffffffffff\r\nb\r\n";
    for limit in [0, 1, 1000, usize::MAX - 1, usize::MAX] {
        let result = read_body(chunks, Framing::Chunked, limit);
        assert!(
            matches!(result, Err(ConnectionError::TooLarge("body"))),
            "{limit}: {result:?}"
        );
    }
}

#[test]
fn heads_and_chunk_lines_without_end_are_refused() {
    let header = format!("HTTP/1.1 200 OK\r\nA: {}", "a".repeat(200_000));
    let headers = format!("HTTP/1.1 200 OK\r\n{}", "A: a\r\n".repeat(40_000));
    let status = format!("HTTP/1.1 200 {}", "a".repeat(200_000));
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(8_000);
    for head in [header, headers, status, interim] {
        let mut conn = connection_sending(head.clone().into_bytes());
        let read = http1::read_response_head(&mut conn, deadline(), &Recipient::none());
        let refused = matches!(
            read,
            Err(ConnectionError::TooLarge(_) | ConnectionError::Malformed(_))
        );
        assert!(refused, "{}: {read:?}", &head[..30]);
    }
    let size = "0".repeat(100_000);
    let extension = format!("1;{}", "a".repeat(100_000));
    let trailer = format!("0\r\n{}", "a".repeat(100_000));
    let trailers = format!("0\r\n{}", "A: a\r\n".repeat(20_000));
    for chunks in [size, extension, trailer, trailers] {
        let mut conn = connection_sending(chunks.clone().into_bytes());
        let none = Recipient::none();
        let read = http1::read_body(
            &mut conn,
            Framing::Chunked,
            &body_limits(1000),
            deadline(),
            &none,
        );
        assert!(
            matches!(read, Err(ConnectionError::Malformed(_))),
            "{}: {read:?}",
            &chunks[..10]
        );
    }
}
