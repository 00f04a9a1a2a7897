//! HTTP/1.1 messages on a [`BufferedConnection`]: heads are parsed by `httparse`, bodies read whole.

use std::time::Instant;

use crate::connection::buffered_connection::{BufferedConnection, ConnectionError, Recipient};
use crate::request::headers::Headers;

/// The most headers of a message.
const HEADERS_MAX: usize = 100;
/// The largest head of an answer, in bytes.
pub const ANSWER_HEAD_BYTES_MAX: usize = 64 * 1024;
/// The longest line that introduces a chunk, in bytes.
const CHUNK_LINE_BYTES_MAX: usize = 1024;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method.
    pub method: String,
    /// The path and query.
    pub target: String,
    /// The minor version of HTTP/1.
    pub minor_version: u8,
    /// All headers.
    pub headers: Headers,
}

impl RequestHead {
    /// Returns whether the caller keeps the connection open.
    pub fn keeps_alive(&self) -> bool {
        match self.minor_version {
            0 => self.headers.has_token("connection", "keep-alive"),
            _ => !self.headers.has_token("connection", "close"),
        }
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The minor version of HTTP/1.
    pub minor_version: u8,
    /// All headers.
    pub headers: Headers,
}

impl ResponseHead {
    /// Returns whether the peer keeps the connection open.
    pub fn keeps_alive(&self) -> bool {
        self.minor_version == 1 && !self.headers.has_token("connection", "close")
    }
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, in bytes.
    Length(usize),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// Reads the head of a request; the first byte must come before `idle_until`, and the rest within
/// `time` of it.
///
/// # Errors
///
/// Returns an error where no whole head of at most `bytes_max` came in time.
pub fn read_request_head(
    wire: &mut BufferedConnection,
    idle_until: Instant,
    time: std::time::Duration,
    bytes_max: usize,
) -> Result<RequestHead, ConnectionError> {
    let recipient = Recipient::none();
    if wire.buffered().is_empty() {
        wire.fill(idle_until, &recipient)?;
    }
    let until = Instant::now() + time;
    loop {
        if let Some((head, used)) = parse_request(wire.buffered())? {
            if used > bytes_max {
                return Err(ConnectionError::TooLarge("head"));
            }
            wire.consume(used);
            return Ok(head);
        }
        if wire.buffered().len() > bytes_max {
            return Err(ConnectionError::TooLarge("head"));
        }
        wire.fill(until, &recipient)?;
    }
}

/// Parses the head of a request; returns it with its length, or `None` while it is not whole.
///
/// # Errors
///
/// Returns an error where `bytes` don't begin with a head.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, ConnectionError> {
    let mut parsed = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut request = httparse::Request::new(&mut parsed);
    let used = match request.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ConnectionError::TooLarge("head")),
        Err(_) => return Err(ConnectionError::Malformed("the request's head")),
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        minor_version: request.version.unwrap_or(1),
        headers: headers_of(request.headers),
    };
    Ok(Some((head, used)))
}

/// Parses the head of an answer; returns it with its length, or `None` while it is not whole.
///
/// # Errors
///
/// Returns an error where `bytes` don't begin with a head.
pub fn parse_answer(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, ConnectionError> {
    let mut parsed = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut answer = httparse::Response::new(&mut parsed);
    let used = match answer.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ConnectionError::Malformed("the answer's head")),
    };
    let head = ResponseHead {
        status: answer.code.unwrap_or_default(),
        minor_version: answer.version.unwrap_or(1),
        headers: headers_of(answer.headers),
    };
    Ok(Some((head, used)))
}

/// Reads the head of an answer; passes interim answers over.
///
/// # Errors
///
/// Returns an error where no whole head came before `until`, or `recipient` left.
pub fn read_answer_head(
    wire: &mut BufferedConnection,
    until: Instant,
    recipient: &Recipient,
) -> Result<ResponseHead, ConnectionError> {
    loop {
        if let Some((head, used)) = parse_answer(wire.buffered())? {
            wire.consume(used);
            if head.status >= 200 {
                return Ok(head);
            }
            continue;
        }
        if wire.buffered().len() > ANSWER_HEAD_BYTES_MAX {
            return Err(ConnectionError::TooLarge("head"));
        }
        wire.fill(until, recipient)?;
    }
}

/// Returns how the body of a request is framed.
///
/// # Errors
///
/// Returns an error where the headers contradict each other, which might hide a second request.
pub fn request_framing(headers: &Headers) -> Result<Framing, ConnectionError> {
    match (is_chunked(headers)?, length(headers)?) {
        (true, Some(_)) => Err(ConnectionError::Malformed("a length and chunks")),
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// Returns how the body of an answer to a request with `method` is framed (RFC 9112, section 6.3).
///
/// # Errors
///
/// Returns an error where the headers contradict each other.
pub fn answer_framing(head: &ResponseHead, method: &str) -> Result<Framing, ConnectionError> {
    if method == "HEAD" || head.status == 204 || head.status == 304 {
        return Ok(Framing::Length(0));
    }
    match (is_chunked(&head.headers)?, length(&head.headers)?) {
        (true, Some(_)) => Err(ConnectionError::Malformed("a length and chunks")),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(length)) => Ok(Framing::Length(length)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

/// Reads a whole body of at most `bytes_max`.
///
/// # Errors
///
/// Returns an error where the body did not end well before `until`, or `recipient` left.
pub fn read_body(
    wire: &mut BufferedConnection,
    framing: Framing,
    bytes_max: usize,
    until: Instant,
    recipient: &Recipient,
) -> Result<Vec<u8>, ConnectionError> {
    let mut body = Vec::new();
    match framing {
        Framing::Length(length) => {
            if length > bytes_max {
                return Err(ConnectionError::TooLarge("body"));
            }
            take(wire, length, &mut body, until, recipient)?;
        }
        Framing::Chunked => read_chunks(wire, &mut body, bytes_max, until, recipient)?,
        Framing::UntilClose => loop {
            let count = wire.buffered().len();
            body.extend_from_slice(wire.buffered());
            wire.consume(count);
            if body.len() > bytes_max {
                return Err(ConnectionError::TooLarge("body"));
            }
            match wire.fill(until, recipient) {
                Ok(_) => {}
                Err(ConnectionError::Closed) => break,
                Err(e) => return Err(e),
            }
        },
    }
    Ok(body)
}

/// Moves `count` bytes from the connection to `body`.
fn take(
    wire: &mut BufferedConnection,
    count: usize,
    body: &mut Vec<u8>,
    until: Instant,
    recipient: &Recipient,
) -> Result<(), ConnectionError> {
    let end = body.len() + count;
    loop {
        let there = wire.buffered().len().min(end - body.len());
        body.extend_from_slice(&wire.buffered()[..there]);
        wire.consume(there);
        if body.len() == end {
            return Ok(());
        }
        wire.fill(until, recipient)?;
    }
}

fn read_chunks(
    wire: &mut BufferedConnection,
    body: &mut Vec<u8>,
    bytes_max: usize,
    until: Instant,
    recipient: &Recipient,
) -> Result<(), ConnectionError> {
    loop {
        let size = read_chunk_size(wire, until, recipient)?;
        if size == 0 {
            return skip_trailers(wire, until, recipient);
        }
        if body.len().saturating_add(size) > bytes_max {
            return Err(ConnectionError::TooLarge("body"));
        }
        take(wire, size, body, until, recipient)?;
        let mut end = Vec::new();
        take(wire, 2, &mut end, until, recipient)?;
        if end != b"\r\n" {
            return Err(ConnectionError::Malformed("the end of a chunk"));
        }
    }
}

fn read_chunk_size(
    wire: &mut BufferedConnection,
    until: Instant,
    recipient: &Recipient,
) -> Result<usize, ConnectionError> {
    loop {
        match httparse::parse_chunk_size(wire.buffered()) {
            Ok(httparse::Status::Complete((used, size))) => {
                wire.consume(used);
                return usize::try_from(size).map_err(|_| ConnectionError::TooLarge("body"));
            }
            Ok(httparse::Status::Partial) if wire.buffered().len() <= CHUNK_LINE_BYTES_MAX => {
                wire.fill(until, recipient)?;
            }
            _ => return Err(ConnectionError::Malformed("the size of a chunk")),
        }
    }
}

/// Passes over what follows the last chunk, up to the empty line.
fn skip_trailers(
    wire: &mut BufferedConnection,
    until: Instant,
    recipient: &Recipient,
) -> Result<(), ConnectionError> {
    loop {
        let buffered = wire.buffered();
        if let Some(end) = buffered.windows(2).position(|w| w == b"\r\n") {
            wire.consume(end + 2);
            if end == 0 {
                return Ok(());
            }
            continue;
        }
        if buffered.len() > CHUNK_LINE_BYTES_MAX {
            return Err(ConnectionError::Malformed("the trailers"));
        }
        wire.fill(until, recipient)?;
    }
}

/// Writes the head of a request for a body of `length` bytes.
pub fn encode_request(method: &str, target: &str, headers: &Headers, length: usize) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    append(&mut out, headers);
    if length > 0 || !matches!(method, "GET" | "HEAD" | "DELETE") {
        out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Writes the head of an answer for a body of `length` bytes.
pub fn encode_answer(status: u16, headers: &Headers, length: usize, close: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason(status)).into_bytes();
    append(&mut out, headers);
    if status != 204 && status != 304 {
        out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn append(out: &mut Vec<u8>, headers: &Headers) {
    for (name, value) in headers.iter() {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}

fn headers_of(parsed: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for header in parsed {
        headers.push(header.name, header.value);
    }
    headers
}

fn is_chunked(headers: &Headers) -> Result<bool, ConnectionError> {
    let mut codings = headers.all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(ConnectionError::Malformed("the transfer coding")),
    }
}

fn length(headers: &Headers) -> Result<Option<usize>, ConnectionError> {
    let mut found = None;
    for value in headers.all("content-length") {
        let text = std::str::from_utf8(value).unwrap_or_default().trim();
        let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
        let length = digits.then(|| text.parse::<usize>().ok()).flatten();
        let length = length.ok_or(ConnectionError::Malformed("the length"))?;
        if found.is_some_and(|f| f != length) {
            return Err(ConnectionError::Malformed("two lengths"));
        }
        found = Some(length);
    }
    Ok(found)
}

/// Returns the usual phrase for a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
