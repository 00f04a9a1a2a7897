//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let named = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with what was read and not used yet.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    /// Connects to `to` within `timeout`; `receive_buffer` sets the size of the receive buffer.
    pub fn connect(
        to: SocketAddr,
        timeout: Duration,
        receive_buffer: Option<i32>,
    ) -> io::Result<Self> {
        match receive_buffer {
            None => Ok(Self::new(TcpStream::connect_timeout(&to, timeout)?)),
            Some(bytes) => Ok(Self::new(crate::sys::connect(to, bytes)?)),
        }
    }

    /// Returns whether more bytes have arrived.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the peer closed the connection before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default();
                let headers = lines.filter_map(|l| l.split_once(':'));
                return Ok(Some(Message {
                    first: first.splitn(3, ' ').map(str::to_owned).collect(),
                    headers: headers
                        .map(|(n, v)| (n.to_owned(), v.trim().to_owned()))
                        .collect(),
                    body: Vec::new(),
                }));
            }
            if !self.fill()? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Reads the body of a message with a `Content-Length`.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        let length = message
            .header("content-length")
            .and_then(|l| l.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buf.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buf.drain(..length).collect();
        Ok(())
    }

    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    /// Sends a response.
    pub fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!(
            "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
            body.len()
        );
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        out += "\r\n";
        self.stream.write_all(&[out.as_bytes(), body].concat())
    }

    /// Sends a request.
    pub fn request(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut out = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            out += &format!("{name}: {value}\r\n");
        }
        if !body.is_empty() || method == "POST" {
            out += &format!("Content-Length: {}\r\n", body.len());
        }
        out += "\r\n";
        self.stream.write_all(&[out.as_bytes(), body].concat())
    }
}

/// Sends one request on a new connection; returns the response.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let started = Instant::now();
    let mut conn = Conn::connect(to, timeout, None)?;
    let left = timeout
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    conn.stream.set_read_timeout(Some(left))?;
    conn.request(method, target, headers, body)?;
    conn.read()?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Returns addresses of `ip` with different free ports.
pub fn free_addresses<const N: usize>(ip: IpAddr) -> io::Result<[SocketAddr; N]> {
    // All are bound at the same time, so that no port comes twice.
    let mut listeners = Vec::new();
    for _ in 0..N {
        listeners.push(std::net::TcpListener::bind((ip, 0))?);
    }
    let mut addresses = [SocketAddr::new(ip, 0); N];
    for (address, listener) in addresses.iter_mut().zip(&listeners) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
