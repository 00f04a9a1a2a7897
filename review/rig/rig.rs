//! Stand-ins and checks that the scripts share: the platform's store, backends, requesters, and the
//! processes of the daemon. Only the standard library is used.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const APP_PORT: u16 = 8145;
pub const PEER_PORT: u16 = 8146;
pub const CALLER_PORT: u16 = 8147;
pub const READY_PORT: u16 = 8141;
pub const CONTROL_PORT: u16 = 8144;
pub const STORE_PORT: u16 = 8142;
pub const BEAT_INTERVAL: Duration = Duration::from_millis(870);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---- The record of a run.

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let _ = writeln!(lock(&self.file), "{at:9.3} {}", text.as_ref());
    }
}

// ---- JSON.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(text) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = parse_text(bytes, at)?;
                        skip_space(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(parse_text(bytes, at)?)),
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|b| b.is_ascii_digit() || b"+-.eE".contains(b))
            {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            (start < *at).then(|| Json::Number(text.to_owned()))
        }
    }
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let b = *bytes.get(*at)?;
        *at += 1;
        match b {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'u' => *at += 4,
                    other => out.push(other),
                }
            }
            b => out.push(b),
        }
    }
}

pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(char::from(DIGITS[(n >> (18 - 6 * i)) as usize & 63]));
            } else {
                out.push('=');
            }
        }
    }
    out
}

// ---- HTTP.

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter();
        named
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }

    pub fn query(&self, name: &str) -> String {
        let pairs = self.target().split(['?', '&']).skip(1);
        let mut named = pairs
            .filter_map(|p| p.split_once('='))
            .filter(|(n, _)| *n == name);
        let value = named.next().map(|(_, v)| v.to_owned()).unwrap_or_default();
        value.replace("%2F", "/")
    }

    pub fn json(&self) -> Json {
        Json::parse(&String::from_utf8_lossy(&self.body)).unwrap_or(Json::Null)
    }
}

/// Reads one message; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first_line: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let length = message.header("content-length").map(str::parse::<usize>);
    let length = length.transpose().unwrap_or(None).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn encode(first_line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{first_line}\r\n").into_bytes();
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        409 => "Conflict",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    };
    encode(&format!("HTTP/1.1 {status} {reason}"), headers, body)
}

/// Sends a request on a new connection and waits for its response.
pub fn call(to: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_millis(1000))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    (&stream).write_all(bytes)?;
    let mut reader = BufReader::new(stream);
    match read_message(&mut reader)? {
        Some(message) => Ok(message),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

// ---- The platform's store.

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (String, u64, u64)>,
    /// Each event with its revision and key.
    history: Vec<(u64, String, String)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

fn item_json(key: &str, (value, revision, created): &(String, u64, u64)) -> String {
    format!(
        "{{\"Key\":{},\"Value\":{},\"Revision\":{revision},\"CreatedRev\":{created},\"Lease\":0}}",
        quote(key),
        quote(value)
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let store = Arc::new(Store::default());
        lock(&store.state).revision = 1;
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let accepted = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepted);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            thread::sleep(ms(4));
            let (status, body) = self.answer(&request);
            let json = ("Content-Type", "application/json");
            let bytes = response(status, &[json], body.as_bytes());
            if (&writer).write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or("");
        match path {
            "/kv-range" => self.range(&request.query("PathPrefix"), &request.query("after")),
            "/kv-watch" => self.watch(
                &request.query("PathPrefix"),
                request.query("after").parse().unwrap_or(0),
                ms(request.query("WaitMs").parse().unwrap_or(0)),
            ),
            "/kv-txn" => self.commit(&request.json()),
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = lock(&self.state);
        let matching = state.items.iter();
        let matching = matching.filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let items: Vec<String> = matching.map(|(k, v)| item_json(k, v)).collect();
        let as_of = state.revision;
        let items = items.join(",");
        (
            200,
            format!("{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{as_of}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = lock(&self.state);
        loop {
            let new = state.history.iter();
            let new = new.filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<String> = new.map(|(_, _, e)| e.clone()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, as_of) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"AsOf\":{as_of}}}"));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = lock(&self.state);
        let expected = body.get("ExpectedRevision").list();
        let holds = expected.iter().all(|row| {
            let now = state.items.get(row.get("Key").text());
            now.map_or(0, |i| i.1) == row.get("Revision").number()
        });
        if !holds {
            return (412, "{\"items\":[]}".to_owned());
        }
        state.revision += 1;
        let revision = state.revision;
        for put in body.get("Puts").list() {
            let (key, value) = (put.get("Key").text(), put.get("Value").text());
            state.put(key, value.to_owned(), revision);
        }
        for key in body.get("Remove").list() {
            if state.items.remove(key.text()).is_some() {
                let event = format!(
                    "{{\"Key\":{},\"Revision\":{revision},\"Removed\":true}}",
                    quote(key.text())
                );
                state.history.push((revision, key.text().to_owned(), event));
            }
        }
        drop(state);
        self.changed.notify_all();
        (200, format!("{{\"Revision\":{revision}}}"))
    }

    /// Writes a value in place of the operator.
    pub fn operator_puts(&self, key: &str, value: &str) {
        let mut state = lock(&self.state);
        state.revision += 1;
        let revision = state.revision;
        state.put(key, base64(value.as_bytes()), revision);
        drop(state);
        self.changed.notify_all();
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, revision: u64) {
        let created = self.items.get(key).map_or(revision, |i| i.2);
        let item = (value, revision, created);
        let event = item_json(key, &item);
        self.history.push((revision, key.to_owned(), event));
        self.items.insert(key.to_owned(), item);
    }
}

// ---- Backends.

/// A hold of a key range, as the last grant left it.
#[derive(Clone, Debug)]
struct Hold {
    first: u64,
    last: u64,
    fence: u64,
    until: Instant,
}

/// Work that a backend is doing on a key, with the end of the hold under which it began.
#[derive(Clone, Debug)]
struct Work {
    number: u64,
    key: u64,
    held_until: Instant,
}

/// What the backend of one address holds and does now.
#[derive(Default)]
struct Holder {
    up: bool,
    holds: Vec<Hold>,
    work: Vec<Work>,
}

/// All that is seen at the backends, to check the rule OWNER.
pub struct Watcher {
    record: Record,
    state: Mutex<WatcherState>,
    pub broken: AtomicUsize,
}

#[derive(Default)]
struct WatcherState {
    /// By backend id.
    holders: BTreeMap<String, Holder>,
    /// The highest fence number of each part of the key space, and who had it.
    fences: Vec<(u64, u64, u64, String)>,
    last_work: u64,
}

impl Watcher {
    pub fn new(record: &Record) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            state: Mutex::default(),
            broken: AtomicUsize::new(0),
        })
    }

    fn breaks(&self, text: String) {
        self.broken.fetch_add(1, Ordering::SeqCst);
        self.record.line(format!("BROKEN {text}"));
    }

    fn starts(&self, id: &str) {
        let mut state = lock(&self.state);
        state.holders.entry(id.to_owned()).or_default().up = true;
    }

    fn ends(&self, id: &str) {
        lock(&self.state).holders.remove(id);
    }

    /// Records a grant that `id` accepted.
    fn granted(&self, id: &str, hold: &Hold) {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let mut found = Vec::new();
        for (other, holder) in state.holders.iter().filter(|(i, h)| *i != id && h.up) {
            for work in &holder.work {
                if hold.first <= work.key && work.key <= hold.last && work.held_until > now {
                    let left = work.held_until.duration_since(now).as_millis();
                    found.push(format!(
                        "OWNER: {id} is given key {} (fence {}) while {other} is at work on it, whose hold would run for another {left} ms",
                        work.key, hold.fence
                    ));
                }
            }
        }
        if let Some(own) = state.holders.get_mut(id) {
            // A renewal extends the hold under which work goes on.
            for work in &mut own.work {
                if hold.first <= work.key && work.key <= hold.last {
                    work.held_until = work.held_until.max(hold.until);
                }
            }
        }
        for (first, last, fence, other) in &state.fences {
            let overlaps = *first <= hold.last && hold.first <= *last;
            if overlaps && other != id && *fence >= hold.fence {
                found.push(format!(
                    "OWNER: {id} takes keys {}-{} with fence {}, not above {fence} with which {other} had keys {first}-{last}",
                    hold.first, hold.last, hold.fence
                ));
                break;
            }
        }
        state.fences.retain(|(first, last, fence, other)| {
            !(other == id && hold.first <= *first && *last <= hold.last && *fence <= hold.fence)
        });
        state
            .fences
            .push((hold.first, hold.last, hold.fence, id.to_owned()));
        drop(state);
        for text in found {
            self.breaks(text);
        }
    }

    fn work_begins(&self, id: &str, key: u64, held_until: Instant) -> u64 {
        let mut state = lock(&self.state);
        state.last_work += 1;
        let number = state.last_work;
        let holder = state.holders.entry(id.to_owned()).or_default();
        holder.work.push(Work {
            number,
            key,
            held_until,
        });
        number
    }

    fn work_ends(&self, id: &str, number: u64) {
        if let Some(holder) = lock(&self.state).holders.get_mut(id) {
            holder.work.retain(|w| w.number != number);
        }
    }
}

/// How a backend is set up.
#[derive(Clone)]
pub struct BackendOptions {
    pub service: String,
    pub zone: String,
    pub sharded: bool,
    pub slots: u32,
}

/// A copy of a response that is sent once more, late, on the same connection.
type Spoiler = Box<dyn Fn(&Message) -> bool + Send + Sync>;

/// A backend: one lifetime of it.
pub struct Backend {
    pub id: String,
    pub born: u64,
    pub address: SocketAddr,
    options: BackendOptions,
    record: Record,
    watcher: Arc<Watcher>,
    state: Mutex<BackendState>,
    released: Condvar,
    up: AtomicBool,
    pub answers: AtomicU64,
    /// Says whether the response to a request is sent a second time later.
    spoiler: Mutex<Option<Spoiler>>,
    pub ready: AtomicBool,
    pub beats: AtomicBool,
    sequence: AtomicU64,
    /// The requests that it ran, by id.
    pub ran: Mutex<HashMap<String, u32>>,
    /// When it began to run each request.
    pub begun: Mutex<Vec<(Instant, String)>>,
}

#[derive(Default)]
struct BackendState {
    holds: Vec<Hold>,
    seen: Vec<(u64, u64, u64)>,
    working: Vec<(u64, u64)>,
    last_work: u64,
    connections: Vec<TcpStream>,
}

impl Backend {
    /// Starts a lifetime of a backend at `address`.
    pub fn start(
        address: SocketAddr,
        options: BackendOptions,
        record: &Record,
        watcher: &Arc<Watcher>,
    ) -> Arc<Self> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since_epoch.unwrap_or_default().as_millis() as u64;
        let IpAddr::V4(ip) = address.ip() else {
            panic!("an IPv4 address is wanted")
        };
        let id = format!("i-{:02x}-{:08x}", ip.octets()[3], born as u32);
        let backend = Arc::new(Self {
            id,
            born,
            address,
            options,
            record: record.clone(),
            watcher: Arc::clone(watcher),
            state: Mutex::default(),
            released: Condvar::new(),
            up: AtomicBool::new(true),
            answers: AtomicU64::new(0),
            spoiler: Mutex::default(),
            ready: AtomicBool::new(true),
            beats: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            ran: Mutex::default(),
            begun: Mutex::default(),
        });
        let listener = TcpListener::bind(address).expect("the backend's address is free");
        listener.set_nonblocking(true).expect("non-blocking");
        watcher.starts(&backend.id);
        record.line(format!("backend {} starts at {address}", backend.id));
        let accepting = Arc::clone(&backend);
        thread::spawn(move || accepting.accept(&listener));
        let beating = Arc::clone(&backend);
        thread::spawn(move || beating.beat());
        backend
    }

    pub fn set_spoiler(&self, spoiler: Option<Spoiler>) {
        *lock(&self.spoiler) = spoiler;
    }

    fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// Ends the process as a crash does: the port refuses, and all connections are reset.
    pub fn crash(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.watcher.ends(&self.id);
        self.record.line(format!("backend {} ends", self.id));
        let connections = std::mem::take(&mut lock(&self.state).connections);
        for stream in connections {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(ms(15));
    }

    fn accept(self: Arc<Self>, listener: &TcpListener) {
        while self.is_up() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    if let Ok(clone) = stream.try_clone() {
                        lock(&self.state).connections.push(clone);
                    }
                    let backend = Arc::clone(&self);
                    thread::spawn(move || backend.serve(stream));
                }
                Err(_) => thread::sleep(ms(2)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut late_copy: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = read_message(&mut reader) {
            if !self.is_up() {
                return;
            }
            if let Some(copy) = late_copy.take() {
                // The second copy comes where the next response is expected.
                self.record.line(format!(
                    "{} sends a late copy of an earlier answer before the one to {}",
                    self.id, request.first_line
                ));
                if (&writer).write_all(&copy).is_err() {
                    return;
                }
            }
            let bytes = self.answer(&request);
            if !self.is_up() || (&writer).write_all(&bytes).is_err() {
                return;
            }
            self.answers.fetch_add(1, Ordering::SeqCst);
            let spoils = lock(&self.spoiler).as_ref().is_some_and(|s| s(&request));
            late_copy = spoils.then_some(bytes);
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        match request.target() {
            "/grant" => self.grant(&request.json()),
            "/release" => self.release(&request.json()),
            "/health" => response(200, &[("Instance-Id", &self.id)], b""),
            _ => self.run(request),
        }
    }

    fn grant(&self, body: &Json) -> Vec<u8> {
        if !self.options.sharded {
            return response(400, &[], b"");
        }
        let now = Instant::now();
        let number = |name: &str| body.get(name).number();
        let hold = Hold {
            first: number("From"),
            last: number("To"),
            fence: number("fence"),
            until: now + ms(number("HoldMs")),
        };
        let mut state = lock(&self.state);
        let is_fenced = |(first, last, fence): &(u64, u64, u64)| {
            *first <= hold.last && hold.first <= *last && *fence > hold.fence
        };
        let refused = state.seen.iter().any(is_fenced);
        if !refused {
            state
                .holds
                .retain(|h| !(hold.first <= h.first && h.last <= hold.last));
            state.holds.push(hold.clone());
            let seen = (hold.first, hold.last, hold.fence);
            if !state.seen.contains(&seen) {
                state.seen.push(seen);
            }
        }
        drop(state);
        let status = if refused { 409 } else { 200 };
        self.record.line(format!(
            "{} /grant {}-{} fence {} hold {} -> {status}",
            self.id,
            hold.first,
            hold.last,
            hold.fence,
            number("HoldMs")
        ));
        if !refused {
            self.watcher.granted(&self.id, &hold);
        }
        response(status, &[], b"")
    }

    fn release(&self, body: &Json) -> Vec<u8> {
        if !self.options.sharded {
            return response(400, &[], b"");
        }
        let number = |name: &str| body.get(name).number();
        let (first, last) = (number("From"), number("To"));
        let mut state = lock(&self.state);
        let mut left = Vec::new();
        for hold in std::mem::take(&mut state.holds) {
            if hold.last < first || last < hold.first {
                left.push(hold);
                continue;
            }
            if hold.first < first {
                left.push(Hold {
                    last: first - 1,
                    ..hold.clone()
                });
            }
            if last < hold.last {
                left.push(Hold {
                    first: last + 1,
                    ..hold
                });
            }
        }
        state.holds = left;
        let is_busy = |s: &BackendState| s.working.iter().any(|(_, k)| first <= *k && *k <= last);
        let waits = state
            .working
            .iter()
            .filter(|(_, k)| first <= *k && *k <= last);
        let waits = waits.count();
        self.record.line(format!(
            "{} /release {first}-{last} arrives, {waits} runs on these keys",
            self.id
        ));
        while is_busy(&state) {
            state = self.released.wait(state).unwrap_or_else(|e| e.into_inner());
        }
        drop(state);
        self.record
            .line(format!("{} /release {first}-{last} -> 200", self.id));
        response(200, &[("Handover", "5c0e7a21d94b36f8")], b"")
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let id = request.header("Request-Id").unwrap_or("").to_owned();
        let key = request.header("Shard-Key").and_then(|k| k.parse().ok());
        let key: Option<u64> = key.filter(|_| self.options.sharded);
        let now = Instant::now();
        let expected = request.header("Expected-Instance");
        let mut state = lock(&self.state);
        let held_until = key.and_then(|key| {
            let holds = state.holds.iter();
            let holds = holds.filter(|h| h.first <= key && key <= h.last && h.until > now);
            holds.map(|h| h.until).max()
        });
        let is_held = !self.options.sharded || held_until.is_some();
        if expected.is_some_and(|e| e != self.id) || !is_held {
            drop(state);
            self.record.line(format!(
                "{} rejects {id} ({}) with 421, expected {expected:?}",
                self.id, request.first_line
            ));
            return response(
                421,
                &[
                    ("Request-Id", &id),
                    ("Not-Executed", "1"),
                    ("Instance-Id", &self.id),
                ],
                b"",
            );
        }
        state.last_work += 1;
        let number = state.last_work;
        if let Some(key) = key {
            state.working.push((number, key));
        }
        drop(state);
        let watched = key.map(|k| {
            let until = held_until.unwrap_or(now);
            self.watcher.work_begins(&self.id, k, until)
        });
        *lock(&self.ran).entry(id.clone()).or_default() += 1;
        lock(&self.begun).push((Instant::now(), id.clone()));
        self.record.line(format!(
            "{} runs {id} ({}) key {key:?} for {:?}, {} bytes",
            self.id,
            request.first_line,
            request.header("Caller-Service"),
            request.body.len()
        ));
        // Requests tell the stand-in how long their work takes.
        let work = request.header("Work-Ms").and_then(|w| w.parse().ok());
        thread::sleep(ms(work.unwrap_or(20)));
        if let Some(number) = watched {
            self.watcher.work_ends(&self.id, number);
        }
        let mut state = lock(&self.state);
        state.working.retain(|(n, _)| *n != number);
        drop(state);
        self.released.notify_all();
        response(
            200,
            &[("Request-Id", &id), ("Response-Signature", "3e1b.07")],
            id.as_bytes(),
        )
    }

    fn control_address(&self) -> SocketAddr {
        SocketAddr::new(self.address.ip(), CONTROL_PORT)
    }

    /// Returns up to `count` adjacent keys in the middle of the widest range that the backend holds.
    pub fn held_keys(&self, count: u64) -> Vec<u64> {
        let now = Instant::now();
        let state = lock(&self.state);
        let holds = state.holds.iter().filter(|h| h.until > now);
        let widest = holds.max_by_key(|h| h.last - h.first);
        widest.map_or(Vec::new(), |h| {
            let middle = h.first + (h.last - h.first) / 2;
            (middle..=h.last.min(middle + count - 1)).collect()
        })
    }

    /// Builds the next status report.
    pub fn next_beat(&self) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = match self.ready.load(Ordering::SeqCst) {
            true => "ready",
            false => "draining",
        };
        let body = format!(
            "{{\"Address\":\"{}\",\"born\":{},\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{}\",\"Slots\":{}}},\"Status\":{{\"State\":\"{state}\",\"Sequence\":{sequence},\"WarmupRemainingMs\":0}}}}",
            self.address, self.born, self.options.service, self.options.zone, self.options.slots
        );
        let line = format!("POST /Instances.Heartbeat/{} HTTP/1.1", self.id);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        encode(&line, &headers, body.as_bytes())
    }

    /// Sends a call to the daemon of its machine; returns the status.
    pub fn report(&self, bytes: &[u8]) -> Option<u16> {
        let answer = call(self.control_address(), bytes, Duration::from_secs(1));
        answer.ok().map(|m| m.status())
    }

    /// Tells the daemon that it leaves; returns the status of the answer.
    pub fn deregister(&self) -> Option<u16> {
        let line = format!("POST /Instances.Deregister/{} HTTP/1.1", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        self.report(&encode(&line, &headers, body.as_bytes()))
    }

    fn beat(&self) {
        while self.is_up() {
            if self.beats.load(Ordering::SeqCst) {
                let bytes = self.next_beat();
                let _ = self.report(&bytes);
            }
            let until = Instant::now() + BEAT_INTERVAL;
            while self.is_up() && Instant::now() < until {
                thread::sleep(ms(10));
            }
        }
    }
}

// ---- Machines.

/// Sends a signal to a process that the script has started.
pub fn send_signal(name: &str, pid: u32) {
    let _ = Command::new("bash")
        .args(["-c", &format!("kill -{name} {pid}")])
        .status();
}

/// A machine with the daemon's process and its settings file.
pub struct Machine {
    pub name: String,
    pub ip: IpAddr,
    pub service: String,
    pub zone: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Machine {
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn start_daemon(&mut self, record: &Record) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new("target/release/foxtaildrift-host")
            .env_clear()
            .env("FOXTAILDRIFT_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn();
        match child {
            Ok(child) => {
                record.line(format!("{} starts, pid {}", self.name, child.id()));
                self.child = Some(child);
            }
            Err(e) => {
                eprintln!("the daemon can't be started: {e}");
                std::process::exit(2);
            }
        }
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the daemon by its id.
    pub fn signal(&self, name: &str, record: &Record) {
        if let Some(pid) = self.pid() {
            record.line(format!("SIG{name} to {}", self.name));
            send_signal(name, pid);
        }
    }

    /// Returns whether the daemon has ended, and clears it then.
    pub fn has_ended(&mut self) -> bool {
        let ended = match &mut self.child {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => true,
        };
        if ended {
            self.child = None;
        }
        ended
    }

    pub fn kill(&mut self, record: &Record) {
        if let Some(mut child) = self.child.take() {
            record.line(format!("SIGKILL to {}", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops the daemon as the platform does: SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&mut self, grace: Duration, record: &Record) {
        self.signal("TERM", record);
        let until = Instant::now() + grace;
        while Instant::now() < until {
            if self.has_ended() {
                record.line(format!("{} has stopped", self.name));
                return;
            }
            thread::sleep(ms(10));
        }
        self.kill(record);
    }

    pub fn is_ready(&self) -> bool {
        let request = encode("GET /ready HTTP/1.1", &[("Host", "ready")], b"");
        call(self.at(READY_PORT), &request, ms(900)).is_ok_and(|m| m.status() == 200)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// An installation: machines, the store and the backends, on loopback addresses of its own.
pub struct Installation {
    pub record: Record,
    pub watcher: Arc<Watcher>,
    pub store: Arc<Store>,
    pub machines: Vec<Machine>,
    pub backends: Vec<Arc<Backend>>,
    pub folder: PathBuf,
    store_address: SocketAddr,
    sharded: Vec<String>,
    block: [u8; 3],
}

/// Returns three octets of loopback addresses that no other run uses.
fn free_block() -> [u8; 3] {
    let seed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut number = seed.subsec_nanos() ^ std::process::id().wrapping_mul(0x9e37_79b9);
    for _ in 0..200 {
        number = number.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        let block = [127, 64 + ((number >> 24) % 60) as u8, (number >> 12) as u8];
        let [a, b, c] = block;
        let is_free =
            |last: u8, port: u16| TcpListener::bind((Ipv4Addr::new(a, b, c, last), port)).is_ok();
        let ports = [APP_PORT, PEER_PORT, CALLER_PORT, READY_PORT, CONTROL_PORT];
        let machines_free = (1..=12).all(|last| ports.iter().all(|&p| is_free(last, p)));
        if machines_free && is_free(250, STORE_PORT) {
            return block;
        }
    }
    eprintln!("no free addresses");
    std::process::exit(2);
}

impl Installation {
    /// Starts the store, the machines with the services and zones named, and their backends. The
    /// operator has written `config` before.
    pub fn start(case: &str, config: &str, machines: &[(&str, &str)], sharded: &[&str]) -> Self {
        let record_path = format!("review/{case}/record.txt");
        let record = Record::create(&record_path);
        record.line(format!("trouble: {}", trouble()));
        let watcher = Watcher::new(&record);
        let [a, b, c] = free_block();
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let store_address = SocketAddr::from(([a, b, c, 250], STORE_PORT));
        let store = Store::start(store_address);
        store.operator_puts("op/config", config);
        let mut installation = Self {
            record,
            watcher,
            store,
            store_address,
            machines: Vec::new(),
            backends: Vec::new(),
            folder,
            sharded: sharded.iter().map(|s| s.to_string()).collect(),
            block: [a, b, c],
        };
        for (service, zone) in machines {
            installation.add_machine(service, zone);
        }
        for index in 0..machines.len() {
            installation.start_daemon(index);
        }
        installation
    }

    /// Adds a machine at the next address, with its backend; its daemon is not started yet.
    pub fn add_machine(&mut self, service: &str, zone: &str) {
        let index = self.machines.len();
        let [a, b, c] = self.block;
        let ip = IpAddr::from([a, b, c, index as u8 + 1]);
        let at = |port: u16| SocketAddr::new(ip, port).to_string();
        let name = format!("sidecar-{zone}-{index}");
        let fields = [
            ("NodeName", name.clone()),
            ("Zone", zone.to_string()),
            ("ListenAddresses.Outbound", at(CALLER_PORT)),
            ("ListenAddresses.Inbound", at(PEER_PORT)),
            ("ListenAddresses.ReadyAddress", at(READY_PORT)),
            ("ListenAddresses.Control", at(CONTROL_PORT)),
            ("AppAddress", at(APP_PORT)),
            ("Service", service.to_string()),
            ("Platform.Address", self.store_address.to_string()),
            ("Bounds.HoldMaxMs", "10000".to_owned()),
            ("Bounds.DrainTimeoutMs", "2000".to_owned()),
            ("Bounds.GracePeriodS", "6".to_owned()),
            ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
            ("Bounds.BudgetSlack", "56".to_owned()),
            ("Bounds.BudgetWindowS", "10".to_owned()),
            ("Limits.CpuShare", "0.2".to_owned()),
            ("Limits.LinkMbps", "1000.0".to_owned()),
        ];
        let mut text = fs::read_to_string("deploy/host.yaml").expect("run in the repository");
        for (field, value) in &fields {
            text = text.replace(&format!("{{{{{field}}}}}"), value);
        }
        // A section of a field that the platform does not have is rendered as nothing.
        let lines = text.lines().filter(|line| !line.starts_with("{{#"));
        let text = lines.collect::<Vec<_>>().join("\n");
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings");
        self.machines.push(Machine {
            log: self.folder.join(format!("{name}.log")),
            name,
            ip,
            service: service.to_string(),
            zone: zone.to_string(),
            settings,
            child: None,
        });
        let options = BackendOptions {
            service: service.to_string(),
            zone: zone.to_string(),
            sharded: self.sharded.iter().any(|s| s == service),
            slots: 9,
        };
        let address = SocketAddr::new(ip, APP_PORT);
        let backend = Backend::start(address, options, &self.record, &self.watcher);
        self.backends.push(backend);
    }

    pub fn start_daemon(&mut self, index: usize) {
        let record = self.record.clone();
        self.machines[index].start_daemon(&record);
    }

    /// The machine loses power for good: its daemon and its backend end at once.
    pub fn lose_machine(&mut self, index: usize) {
        let record = self.record.clone();
        self.machines[index].kill(&record);
        self.backends[index].crash();
    }

    /// Starts the next lifetime of the backend on a machine.
    pub fn restart_backend(&mut self, index: usize, beats: bool) {
        let former = &self.backends[index];
        let backend = Backend::start(
            former.address,
            former.options.clone(),
            &self.record,
            &self.watcher,
        );
        backend.beats.store(beats, Ordering::SeqCst);
        self.backends[index] = backend;
    }

    /// Waits until `condition` holds; ends the script with 2 if it does not in time.
    pub fn wait_until(&self, what: &str, limit: Duration, condition: impl Fn(&Self) -> bool) {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if condition(self) {
                self.record.line(format!("{what}: yes"));
                return;
            }
            thread::sleep(ms(50));
        }
        self.record.line(format!("{what}: not within {limit:?}"));
        self.finish(2);
    }

    /// Returns whether every sampled key of a service is served by the first machine.
    pub fn serves_keys(&self, from: usize, path: &str) -> bool {
        (0..32u64).all(|part| {
            let request = request(
                "GET",
                path,
                &new_id("probe"),
                2500,
                Some(part * 2048 + 7),
                1,
                b"",
            );
            let to = self.machines[from].at(CALLER_PORT);
            call(to, &request, ms(2600)).is_ok_and(|m| m.status() == 200)
        })
    }

    /// Ends all processes and the script.
    pub fn finish(&self, code: i32) -> ! {
        for machine in &self.machines {
            if let Some(pid) = machine.pid() {
                send_signal("KILL", pid);
            }
        }
        thread::sleep(ms(100));
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept: {}", self.folder.display());
        }
        let verdict = match code {
            0 => "the rule held",
            1 => "the rule was broken",
            _ => "the case could not run",
        };
        self.record.line(format!("exit {code}: {verdict}"));
        println!("{verdict}");
        std::process::exit(code)
    }
}

// ---- Requesters.

static LAST_ID: AtomicU64 = AtomicU64::new(0);

pub fn new_id(prefix: &str) -> String {
    format!("{prefix}-{}", LAST_ID.fetch_add(1, Ordering::SeqCst))
}

pub const HOST: &str = "ficu95.example";

/// Encodes a request; `work_ms` tells the stand-in of the backend how long it takes.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    key: Option<u64>,
    work_ms: u64,
    body: &[u8],
) -> Vec<u8> {
    let (deadline, work) = (deadline_ms.to_string(), work_ms.to_string());
    let key = key.map(|k| k.to_string());
    let mut headers = vec![
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", &deadline),
        ("Work-Ms", &work),
    ];
    if let Some(key) = &key {
        headers.push(("Shard-Key", key));
    }
    encode(&format!("{method} {path} HTTP/1.1"), &headers, body)
}

/// A desired state with the routes of the small installation: `/look/` and `/book/` go to the
/// sharded service `desk`, `/load/` and `/pay/` to `office`.
pub fn config(limits: &str) -> String {
    let rule = |name: &str, kind: &str, service: &str, timeout: u64, aim: u64, priority: u8| {
        format!(
            r#"{{"Name":"{name}","Kind":"{kind}","TargetLatencyMs":{aim},"Priority":{priority},"Match":{{"PathPrefix":"/{name}/"}},"Action":{{"Service":"{service}","TimeoutMs":{timeout},"MaxAttempts":2}}}}"#
        )
    };
    let rules = [
        rule("look", "safe", "desk", 2500, 400, 2),
        rule("book", "non_idempotent", "desk", 3000, 500, 1),
        rule("load", "upload", "office", 3000, 500, 1),
        rule("pay", "non_idempotent", "office", 2000, 300, 2),
    ];
    let rules = rules.join(",");
    format!(
        r#"{{"Version":"00000007","Limits":{limits},"Listeners":[{{"Host":"{HOST}","Rules":[{rules}]}}],"Clusters":[{{"Name":"desk","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":16.0,"Sharded":true,"WarmS":5.0,"Grants":"direct"}},{{"Name":"office","HealthCheckPath":"/health","MaxConnections":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":16.0}}]}}"#
    )
}

pub const LIMITS: &str = r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;

// ---- A link that holds packets up.

/// Forwards connections to an address; what a caller sends while the link is choked waits.
pub struct Link {
    pub address: SocketAddr,
    delay_ms: Arc<AtomicU64>,
}

impl Link {
    pub fn start(address: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the link's address is free");
        let delay_ms = Arc::new(AtomicU64::new(0));
        let delay = Arc::clone(&delay_ms);
        thread::spawn(move || {
            for inbound in listener.incoming().flatten() {
                let delay = Arc::clone(&delay);
                thread::spawn(move || {
                    let _ = forward(inbound, to, &delay);
                });
            }
        });
        Self { address, delay_ms }
    }

    /// Sets how long what is sent from now on waits.
    pub fn set_delay(&self, delay: Duration) {
        let delay = delay.as_millis() as u64;
        self.delay_ms.store(delay, Ordering::SeqCst);
    }
}

fn forward(inbound: TcpStream, to: SocketAddr, delay: &Arc<AtomicU64>) -> io::Result<()> {
    let outbound = TcpStream::connect(to)?;
    outbound.set_nodelay(true)?;
    inbound.set_nodelay(true)?;
    let (mut answers, mut back) = (outbound.try_clone()?, inbound.try_clone()?);
    thread::spawn(move || {
        let _ = io::copy(&mut answers, &mut back);
        let _ = back.shutdown(Shutdown::Both);
    });
    let (tx, rx) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    let writer = thread::spawn(move || {
        let mut outbound = outbound;
        for (due, bytes) in rx {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() {
                let _ = outbound.shutdown(Shutdown::Both);
                return;
            }
            if outbound.write_all(&bytes).is_err() {
                return;
            }
        }
    });
    let mut inbound = inbound;
    let mut buf = vec![0; 65_536];
    loop {
        let count = inbound.read(&mut buf).unwrap_or(0);
        let due = Instant::now() + ms(delay.load(Ordering::SeqCst));
        if tx.send((due, buf[..count].to_vec())).is_err() || count == 0 {
            break;
        }
    }
    let _ = writer.join();
    Ok(())
}
