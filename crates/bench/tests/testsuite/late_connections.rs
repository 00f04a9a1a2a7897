//! Connections that the upstream's stand-in takes up late.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use foxtaildrift_bench::address_block::AddressBlock;
use foxtaildrift_bench::late_connections::LateConnections;
use foxtaildrift_bench::upstream_options::UpstreamOptions;
use socket2::SockRef;

/// The port of the late connections.
const PORT: u16 = 9000;
/// The least time until a late connection is taken up.
const DELAY_MIN: Duration = Duration::from_millis(200);
/// The time after which every connection has been taken up, with a reserve.
const DELAY_MAX: Duration = Duration::from_millis(6000);
/// How often an expected connection is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Late connections and the listener to which they are passed on.
struct Fixture {
    address: SocketAddr,
    target: TcpListener,
    _late_connections: LateConnections,
    _block: AddressBlock,
}

impl Fixture {
    fn start(late_connections: f64) -> Self {
        let block = AddressBlock::claim().expect("a block is free");
        let address = block.address(1, 1, PORT);
        let target = TcpListener::bind(SocketAddr::new(address.ip(), 0)).unwrap();
        target.set_nonblocking(true).unwrap();
        let options = UpstreamOptions {
            late_connections,
            ..UpstreamOptions::default()
        };
        let late_connections =
            LateConnections::start(address, target.local_addr().unwrap(), &options);
        Self {
            address,
            target,
            _late_connections: late_connections.expect("the address is free"),
            _block: block,
        }
    }

    /// Waits up to `limit` for a connection that is taken up.
    fn accept(&self, limit: Duration) -> Option<TcpStream> {
        let started = Instant::now();
        while started.elapsed() < limit {
            match self.target.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).unwrap();
                    return Some(stream);
                }
                Err(e) => assert_eq!(e.kind(), ErrorKind::WouldBlock),
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        None
    }
}

#[test]
fn only_the_first_bytes_of_a_late_connection_are_delayed() {
    let fixture = Fixture::start(1.0);
    let started = Instant::now();
    let mut client = TcpStream::connect(fixture.address).unwrap();
    client.write_all(b"1").unwrap();
    let mut server = fixture.accept(DELAY_MAX).expect("it is taken up");
    assert!(started.elapsed() >= DELAY_MIN);
    let mut byte = [0];
    server.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"1");
    server.write_all(b"2").unwrap();
    client.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"2");
    client.write_all(b"3").unwrap();
    server.read_exact(&mut byte).unwrap();
    assert_eq!(&byte, b"3");
    drop(client);
    assert_eq!(server.read(&mut byte).unwrap(), 0, "its close is passed on");
}

#[test]
fn a_late_connection_that_its_client_has_reset_is_dropped() {
    let fixture = Fixture::start(1.0);
    let mut client = TcpStream::connect(fixture.address).unwrap();
    client.write_all(b"1").unwrap();
    SockRef::from(&client)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(client);
    assert!(fixture.accept(DELAY_MAX).is_none());
}

#[test]
fn a_connection_that_is_not_late_is_passed_on() {
    let fixture = Fixture::start(0.0);
    let _client = TcpStream::connect(fixture.address).unwrap();
    assert!(fixture.accept(DELAY_MAX).is_some());
}
