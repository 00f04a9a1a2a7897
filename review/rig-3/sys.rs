//! The few calls of the system that the standard library lacks.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    #[link_name = "connect"]
    fn c_connect(fd: i32, address: *const u8, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// Sends a signal to a process that the test started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: the call has no effect on the memory of this process.
    unsafe { kill(pid as i32, signal) };
}

/// Connects with a receive buffer of `bytes` bytes, which must be set before the connection is made.
pub fn connect(to: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut address = [0u8; 16];
    address[..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    address[2..4].copy_from_slice(&to.port().to_be_bytes());
    address[4..8].copy_from_slice(&to.ip().octets());
    // SAFETY: the pointers are to values that live until the calls return, with their lengths.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        if setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4) != 0
            || c_connect(fd, address.as_ptr(), 16) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sets the size of the receive buffers of the connections that a listener will accept.
pub fn set_receive_buffer(listener: &impl AsRawFd, bytes: i32) -> io::Result<()> {
    // SAFETY: the pointer is to a value that lives until the call returns, with its length.
    match unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
