//! Reads and writes HTTP/1.1 messages on a [`BufferedConnection`]: `httparse` parses the heads, and
//! bodies are read whole.

use std::time::Instant;

use bytes::Bytes;

use crate::connection::body_buffer::{BodyBuffer, BodyLimits};
use crate::connection::buffered_connection::{BufferedConnection, ConnectionError};
use crate::connection::recipient::Recipient;
use crate::request::headers::Headers;

/// The most headers in a message.
const HEADERS_MAX: usize = 100;
/// The largest head of a response together with the interim responses before it, in bytes.
pub const RESPONSE_HEAD_BYTES_MAX: usize = 64 * 1024;
/// The longest chunk size line or trailer line, in bytes.
const CHUNK_LINE_BYTES_MAX: usize = 1024;
/// What follows the bytes of a chunk.
const CHUNK_END: &[u8] = b"\r\n";
/// The largest trailer section, in bytes.
const TRAILER_BYTES_MAX: usize = 16 * 1024;

/// The status codes of responses. The parser accepts all numbers of three digits.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// HTTP status of a request that reached another process than the one it was meant for.
pub const STATUS_MISDIRECTED: u16 = 421;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The request method, such as `GET`.
    pub method: String,
    /// The request target: path and query.
    pub target: String,
    /// The minor version of HTTP/1: 0 or 1.
    pub minor_version: u8,
    /// All headers, in the order of the message.
    pub headers: Headers,
}

impl RequestHead {
    /// Returns whether the caller asks to keep the connection open.
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

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The minor version of HTTP/1: 0 or 1.
    pub minor_version: u8,
    /// All headers, in the order of the message.
    pub headers: Headers,
}

impl ResponseHead {
    /// Returns whether the peer keeps the connection open.
    pub fn keeps_alive(&self) -> bool {
        self.minor_version == 1 && !self.headers.has_token("connection", "close")
    }
}

/// How the end of a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By `Content-Length`, in bytes.
    Length(usize),
    /// By the chunked transfer coding, whose last chunk is empty.
    Chunked,
    /// By the close of the connection.
    UntilClose,
}

/// Reads the head of a request; the first byte must arrive before `idle_deadline`, and the rest
/// within `timeout` of it.
///
/// # Errors
///
/// Returns an error if no complete, valid head of at most `bytes_max` bytes arrives in time.
pub fn read_request_head(
    conn: &mut BufferedConnection,
    idle_deadline: Instant,
    timeout: std::time::Duration,
    bytes_max: usize,
) -> Result<RequestHead, ConnectionError> {
    let recipient = Recipient::none();
    if conn.buffered().is_empty() {
        conn.fill(idle_deadline, &recipient)?;
    }
    let deadline = Instant::now() + timeout;
    let mut parsed = 0;
    loop {
        // A head can only become complete with the end of a line. Parsing after each byte of a slow
        // sender would take time in the square of the head's size.
        if (parsed == 0 || conn.buffered()[parsed..].contains(&b'\n'))
            && let Some((head, used)) = parse_request(conn.buffered())?
        {
            if used > bytes_max {
                return Err(ConnectionError::TooLarge("head"));
            }
            conn.consume(used);
            return Ok(head);
        }
        parsed = conn.buffered().len();
        if parsed > bytes_max {
            return Err(ConnectionError::TooLarge("head"));
        }
        conn.fill(deadline, &recipient)?;
    }
}

/// Parses the head of a request; returns it with its length, or `None` while it is incomplete.
///
/// # Errors
///
/// Returns an error if `bytes` don't begin with a valid head.
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
        headers: to_headers(request.headers),
    };
    Ok(Some((head, used)))
}

/// Parses the head of a response; returns it with its length, or `None` while it is incomplete.
///
/// # Errors
///
/// Returns an error if `bytes` don't begin with a valid head.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, ConnectionError> {
    let mut parsed = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut response = httparse::Response::new(&mut parsed);
    let used = match response.parse(bytes) {
        Ok(httparse::Status::Complete(used)) => used,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::Status) => return Err(ConnectionError::InvalidStatus),
        Err(_) => return Err(ConnectionError::Malformed("the answer's head")),
    };
    let status = response.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
        return Err(ConnectionError::InvalidStatus);
    }
    let head = ResponseHead {
        status,
        minor_version: response.version.unwrap_or(1),
        headers: to_headers(response.headers),
    };
    Ok(Some((head, used)))
}

/// Reads the head of a response; skips interim (1xx) responses.
///
/// # Errors
///
/// Returns an error if no complete, valid head arrives before `deadline`, or if `recipient`
/// disconnects.
pub fn read_response_head(
    conn: &mut BufferedConnection,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<ResponseHead, ConnectionError> {
    let mut interim_bytes = 0;
    loop {
        if let Some((head, used)) = parse_response(conn.buffered())? {
            conn.consume(used);
            if head.status >= 200 {
                return Ok(head);
            }
            interim_bytes += used;
            continue;
        }
        if interim_bytes + conn.buffered().len() > RESPONSE_HEAD_BYTES_MAX {
            return Err(ConnectionError::TooLarge("head"));
        }
        conn.fill(deadline, recipient)?;
    }
}

/// Returns how the body of a request is framed.
///
/// # Errors
///
/// Returns an error if the headers contradict each other, which may be an attempt at request
/// smuggling.
pub fn request_framing(headers: &Headers) -> Result<Framing, ConnectionError> {
    match (is_chunked(headers)?, content_length(headers)?) {
        (true, Some(_)) => Err(ConnectionError::Malformed("a length and chunks")),
        (true, None) => Ok(Framing::Chunked),
        (false, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// Returns how the body of a response to a request with `method` is framed (RFC 9112, section 6.3).
///
/// # Errors
///
/// Returns an error if the headers contradict each other.
pub fn response_framing(head: &ResponseHead, method: &str) -> Result<Framing, ConnectionError> {
    if method == "HEAD" || head.status == 204 || head.status == 304 {
        return Ok(Framing::Length(0));
    }
    let headers = &head.headers;
    let parsed = is_chunked(headers).and_then(|c| Ok((c, content_length(headers)?)));
    match parsed {
        Ok((true, Some(_))) => Err(ConnectionError::InvalidFraming("a length and chunks")),
        Ok((true, None)) => Ok(Framing::Chunked),
        Ok((false, Some(length))) => Ok(Framing::Length(length)),
        Ok((false, None)) => Ok(Framing::UntilClose),
        Err(ConnectionError::Malformed(part)) => Err(ConnectionError::InvalidFraming(part)),
        Err(e) => Err(e),
    }
}

/// Reads a whole body.
///
/// # Errors
///
/// Returns an error if no complete, valid body within `limits` arrives before `deadline`, or if
/// `recipient` disconnects.
pub fn read_body(
    conn: &mut BufferedConnection,
    framing: Framing,
    limits: &BodyLimits,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<Bytes, ConnectionError> {
    let mut body = BodyBuffer::new(limits);
    read_into(conn, framing, &mut body, deadline, recipient)?;
    Ok(body.into_body())
}

/// Reads a whole body of at most `bytes_max` bytes and discards it.
///
/// # Errors
///
/// Returns an error if no complete, valid body arrives before `deadline`, or if `recipient`
/// disconnects.
pub fn discard_body(
    conn: &mut BufferedConnection,
    framing: Framing,
    bytes_max: usize,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<(), ConnectionError> {
    let mut body = BodyBuffer::discarding(bytes_max);
    read_into(conn, framing, &mut body, deadline, recipient)
}

/// Appends a whole body to `body`.
fn read_into(
    conn: &mut BufferedConnection,
    framing: Framing,
    body: &mut BodyBuffer,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<(), ConnectionError> {
    match framing {
        Framing::Length(length) => {
            body.expect_length(length)?;
            read_exact(conn, length, body, deadline, recipient)
        }
        Framing::Chunked => read_chunks(conn, body, deadline, recipient),
        Framing::UntilClose => loop {
            body.append(conn.buffered())?;
            conn.consume(conn.buffered().len());
            match conn.fill(deadline, recipient) {
                Ok(_) => {}
                // A reset that follows an orderly end is not an error of the read.
                Err(ConnectionError::Closed) => return conn.check_reset(),
                Err(e) => return Err(e),
            }
        },
    }
}

/// Appends `count` bytes of the connection to `body`.
fn read_exact(
    conn: &mut BufferedConnection,
    count: usize,
    body: &mut BodyBuffer,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<(), ConnectionError> {
    if count > body.bytes_left() {
        return Err(ConnectionError::TooLarge("body"));
    }
    let end = body.length() + count;
    loop {
        let deadline = progress_deadline(body, deadline);
        let available = conn.buffered().len().min(end - body.length());
        body.append(&conn.buffered()[..available])?;
        conn.consume(available);
        if body.length() == end {
            return Ok(());
        }
        conn.fill(deadline, recipient)?;
    }
}

/// Returns the deadline for the next bytes of a body, whose peer may have to keep to a minimum rate.
fn progress_deadline(body: &BodyBuffer, deadline: Instant) -> Instant {
    let progress_deadline = body.transfer().map(|t| t.progress_deadline());
    progress_deadline.map_or(deadline, |d| d.min(deadline))
}

fn read_chunks(
    conn: &mut BufferedConnection,
    body: &mut BodyBuffer,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<(), ConnectionError> {
    loop {
        let deadline = progress_deadline(body, deadline);
        let size = read_chunk_size(conn, deadline, recipient)?;
        if size == 0 {
            return skip_trailers(conn, deadline, recipient);
        }
        read_exact(conn, size, body, deadline, recipient)?;
        while conn.buffered().len() < CHUNK_END.len() {
            conn.fill(deadline, recipient)?;
        }
        if !conn.buffered().starts_with(CHUNK_END) {
            return Err(ConnectionError::Malformed("the end of a chunk"));
        }
        conn.consume(CHUNK_END.len());
    }
}

fn read_chunk_size(
    conn: &mut BufferedConnection,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<usize, ConnectionError> {
    loop {
        match httparse::parse_chunk_size(conn.buffered()) {
            Ok(httparse::Status::Complete((used, size))) => {
                conn.consume(used);
                return usize::try_from(size).map_err(|_| ConnectionError::TooLarge("body"));
            }
            Ok(httparse::Status::Partial) if conn.buffered().len() <= CHUNK_LINE_BYTES_MAX => {
                conn.fill(deadline, recipient)?;
            }
            _ => return Err(ConnectionError::Malformed("the size of a chunk")),
        }
    }
}

/// Reads and discards the trailer section that follows the last chunk, up to its empty line.
fn skip_trailers(
    conn: &mut BufferedConnection,
    deadline: Instant,
    recipient: &Recipient,
) -> Result<(), ConnectionError> {
    let mut skipped_bytes = 0;
    loop {
        let buffered = conn.buffered();
        if let Some(end) = buffered.windows(2).position(|w| w == b"\r\n") {
            conn.consume(end + 2);
            if end == 0 {
                return Ok(());
            }
            skipped_bytes += end + 2;
            continue;
        }
        if buffered.len() > CHUNK_LINE_BYTES_MAX || skipped_bytes > TRAILER_BYTES_MAX {
            return Err(ConnectionError::Malformed("the trailers"));
        }
        conn.fill(deadline, recipient)?;
    }
}

/// Encodes the head of a request whose body has `length` bytes.
pub fn encode_request(method: &str, target: &str, headers: &Headers, length: usize) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    encode_headers(&mut out, headers);
    if length > 0 || !matches!(method, "GET" | "HEAD" | "DELETE") {
        out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out
}

/// Encodes the head of a response whose body has `length` bytes; `close` adds `Connection: close`.
pub fn encode_response(status: u16, headers: &Headers, length: usize, close: bool) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status)).into_bytes();
    encode_headers(&mut out, headers);
    if status != 204 && status != 304 {
        out.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
    out
}

fn encode_headers(out: &mut Vec<u8>, headers: &Headers) {
    for (name, value) in headers.iter() {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
}

/// Copies the headers that `httparse` parsed.
fn to_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for header in parsed {
        headers.push(header.name, header.value);
    }
    headers
}

/// Returns whether the body is chunked; rejects any other transfer coding.
fn is_chunked(headers: &Headers) -> Result<bool, ConnectionError> {
    let mut codings = headers.get_all("transfer-encoding");
    match (codings.next(), codings.next()) {
        (None, _) => Ok(false),
        (Some(coding), None) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(ConnectionError::Malformed("the transfer coding")),
    }
}

/// Returns the `Content-Length`; rejects headers with different lengths.
fn content_length(headers: &Headers) -> Result<Option<usize>, ConnectionError> {
    let mut found = None;
    for value in headers.get_all("content-length") {
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

/// Returns the reason phrase for a status code.
fn reason_phrase(status: u16) -> &'static str {
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
