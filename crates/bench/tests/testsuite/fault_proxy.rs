//! The addresses of the fault proxy.

use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;

use foxtaildrift_bench::address_block::AddressBlock;
use foxtaildrift_bench::fault_proxy::FaultProxy;
use foxtaildrift_bench::network::Network;

/// The port of the proxy and of its target.
const PORT: u16 = 7400;

/// Sends a datagram through a proxy, and opens a connection and closes it again.
fn use_proxy(listen_address: SocketAddr, target: SocketAddr) {
    let listener = TcpListener::bind(target).expect("the target is free");
    let socket = UdpSocket::bind(target).expect("the target is free");
    let _client = TcpStream::connect(listen_address).expect("the proxy listens");
    listener.accept().expect("the proxy forwards a connection");
    socket.send_to(b"datagram", listen_address).unwrap();
    socket
        .recv(&mut [0; 16])
        .expect("the proxy forwards a datagram");
}

#[test]
fn a_dropped_proxy_releases_its_address() {
    let block = AddressBlock::claim().expect("a block is free");
    let (listen_address, target) = (block.address(2, 1, PORT), block.address(1, 1, PORT));
    let network = Arc::new(Network::default());
    for _ in 0..3 {
        let proxy = FaultProxy::start(&network, listen_address, target);
        let _proxy = proxy.expect("the address is free");
        use_proxy(listen_address, target);
    }
}
