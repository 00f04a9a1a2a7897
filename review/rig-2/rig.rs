//! What the scripts of this review share: stand-ins of the platform's store, of backends and of
//! requesters, and the start and end of daemons. Standard library only, loopback addresses only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGTERM: i32 = 15;

const SIGKILL: usize = 9;
/// The call that sets the signal which a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: usize, ...) -> i32;
}

/// Waits for `ms` milliseconds.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Returns whether the script runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
        println!("{at:8.3} {text}");
    }
}

/// Returns a port of 127.0.0.1 that is free for TCP and UDP.
pub fn free_port() -> u16 {
    static GIVEN: Mutex<Vec<u16>> = Mutex::new(Vec::new());
    loop {
        let Ok(tcp) = TcpListener::bind("127.0.0.1:0") else { continue };
        let port = tcp.local_addr().unwrap().port();
        let mut given = GIVEN.lock().unwrap();
        if !given.contains(&port) && UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            given.push(port);
            return port;
        }
    }
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

// ---- HTTP

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns a parameter of the query, with `%2F` and the like decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pair = query.split('&').find_map(|p| p.strip_prefix(&format!("{name}=")))?;
        let mut out = Vec::new();
        let bytes = pair.as_bytes();
        let mut i = 0;
        while i < bytes.len() {
            if bytes[i] == b'%' && i + 2 < bytes.len() {
                let hex = u8::from_str_radix(&pair[i + 1..i + 3], 16).unwrap_or(b'?');
                out.push(hex);
                i += 3;
            } else {
                out.push(bytes[i]);
                i += 1;
            }
        }
        Some(String::from_utf8_lossy(&out).into_owned())
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    pub fn connect(to: SocketAddr) -> std::io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&to, Duration::from_secs(1))?))
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut bytes = [0; 16384];
        let count = self.stream.read(&mut bytes)?;
        self.buf.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a message with a `Content-Length`; `None` if the connection ends first.
    pub fn read(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message { start: lines.next().unwrap_or("").to_owned(), ..Message::default() };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let length: usize = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        while self.buf.len() < length {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        message.body = self.buf.drain(..length).collect();
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}

pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

// ---- JSON, as far as the store needs it

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        let mut at = 0;
        parse_json(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|b| b.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn parse_json(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_space(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_json(bytes, at)? else { return None };
                        skip_space(bytes, at);
                        (*bytes.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        fields.push((name, parse_json(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_space(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_json(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut out = Vec::new();
            loop {
                match *bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8_lossy(&out).into_owned()));
                    }
                    b'\\' => {
                        out.push(*bytes.get(*at + 1)?);
                        *at += 2;
                    }
                    byte => {
                        out.push(byte);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|b| !b",]} \r\n\t".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk[0], *chunk.get(1).unwrap_or(&0), *chunk.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

// ---- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes, oldest first: revision, key, value or removal.
    history: Vec<(u64, String, Option<String>)>,
}

/// A copy of the store's content.
pub struct StoreCopy {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<String>)>,
}

/// A stand-in of the platform's store, which answers after 4 ms.
pub struct Store {
    pub port: u16,
    state: Mutex<StoreState>,
    changed: Condvar,
    down: AtomicBool,
    /// How often it came back from an older copy; calls that began before get no answer.
    era: AtomicU64,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let port = listener.local_addr().unwrap().port();
        let state = StoreState { revision: 100, ..StoreState::default() };
        let store = Arc::new(Self { port, state: Mutex::new(state), changed: Condvar::new(), down: AtomicBool::new(false), era: AtomicU64::new(0) });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// While the store is down it answers no call, and executes none.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    pub fn put(&self, key: &str, content: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, base64(content.as_bytes()));
        self.changed.notify_all();
    }

    /// Copies the content as it is now.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.lock().unwrap();
        StoreCopy { revision: state.revision, items: state.items.clone(), history: state.history.clone() }
    }

    /// Comes back from a copy: what was written since is gone, and revisions are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let mut state = self.state.lock().unwrap();
        state.revision = copy.revision;
        state.items = copy.items.clone();
        state.history = copy.history.clone();
        self.era.fetch_add(1, Ordering::SeqCst);
        self.changed.notify_all();
    }

    /// Returns the keys with the prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read() {
            if self.down.load(Ordering::SeqCst) {
                // A connection on which a response is lost returns nothing further.
                while matches!(conn.read(), Ok(Some(_))) {}
                return;
            }
            let era = self.era.load(Ordering::SeqCst);
            sleep_ms(4);
            let bytes = self.handle(&request).filter(|_| self.era.load(Ordering::SeqCst) == era);
            let Some(mut bytes) = bytes else {
                while matches!(conn.read(), Ok(Some(_))) {}
                return;
            };
            let end = bytes.windows(2).position(|w| w == b"\r\n").unwrap_or(0) + 2;
            bytes.splice(end..end, format!("Store-Era: {era}\r\n").into_bytes());
            if conn.write(&bytes).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Option<Vec<u8>> {
        let path = request.target().split('?').next().unwrap_or("").to_owned();
        let prefix = request.query("PathPrefix").unwrap_or_default();
        let json = [("Content-Type", "application/json")];
        match (request.method(), path.as_str()) {
            ("GET", "/kv-range") => {
                let state = self.state.lock().unwrap();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix))
                    .map(|(k, i)| item_json(k, i))
                    .collect();
                let body = format!("{{\"items\":[{}],\"HasMore\":false,\"AsOf\":{}}}", items.join(","), state.revision);
                Some(answer(200, &json, body.as_bytes()))
            }
            ("GET", "/kv-watch") => {
                let after: u64 = request.query("after")?.parse().ok()?;
                let wait: u64 = request.query("WaitMs")?.parse().ok()?;
                let until = Instant::now() + Duration::from_millis(wait);
                let mut state = self.state.lock().unwrap();
                let era = self.era.load(Ordering::SeqCst);
                if after > state.revision {
                    return Some(answer(410, &json, b"{}"));
                }
                loop {
                    if self.down.load(Ordering::SeqCst) || self.era.load(Ordering::SeqCst) != era {
                        return None;
                    }
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(r, k, _)| *r > after && k.starts_with(&prefix))
                        .map(|(r, k, v)| match v {
                            Some(v) => format!("{{\"Key\":\"{k}\",\"Value\":\"{v}\",\"Revision\":{r},\"CreatedRev\":{r},\"Lease\":0}}"),
                            None => format!("{{\"Key\":\"{k}\",\"Revision\":{r},\"Removed\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!("{{\"events\":[{}],\"AsOf\":{}}}", events.join(","), state.revision);
                        return Some(answer(200, &json, body.as_bytes()));
                    }
                    let step = left.min(Duration::from_millis(100));
                    state = self.changed.wait_timeout(state, step).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let body = Json::parse(&request.body)?;
                let mut state = self.state.lock().unwrap();
                let revision_of = |state: &StoreState, key: &str| state.items.get(key).map_or(0, |i| i.revision);
                let expected = body.get("ExpectedRevision").list();
                if expected.iter().any(|e| revision_of(&state, e.get("Key").text()) != e.get("Revision").number()) {
                    let keys = expected.iter().map(|e| e.get("Key").text());
                    let items: Vec<String> =
                        keys.filter_map(|k| state.items.get(k).map(|i| item_json(k, i))).collect();
                    let body = format!("{{\"items\":[{}],\"AsOf\":{}}}", items.join(","), state.revision);
                    return Some(answer(412, &json, body.as_bytes()));
                }
                for put in body.get("Puts").list() {
                    state.put(put.get("Key").text(), put.get("Value").text().to_owned());
                }
                for key in body.get("Remove").list() {
                    if state.items.remove(key.text()).is_some() {
                        state.revision += 1;
                        let revision = state.revision;
                        state.history.push((revision, key.text().to_owned(), None));
                    }
                }
                let body = format!("{{\"Revision\":{}}}", state.revision);
                self.changed.notify_all();
                Some(answer(200, &json, body.as_bytes()))
            }
            _ => Some(answer(404, &json, b"{}")),
        }
    }
}

impl StoreState {
    fn put(&mut self, key: &str, value: String) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        self.items.insert(key.to_owned(), Item { value: value.clone(), revision, created });
        self.history.push((revision, key.to_owned(), Some(value)));
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreatedRev\":{},\"Lease\":0}}",
        item.value, item.revision, item.created
    )
}

// ---- daemons

/// The addresses and the settings of a host.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub ready: SocketAddr,
    pub reports: SocketAddr,
    pub upstream: SocketAddr,
    /// How many requests its backend runs at once.
    pub slots: u32,
}

impl Host {
    pub fn new(name: &str, zone: &str, service: &str) -> Self {
        let port = || local(free_port());
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            callers: port(),
            peers: port(),
            ready: port(),
            reports: port(),
            upstream: port(),
            slots: 8,
        }
    }
}

/// The bounds that a deployment sets.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u64,
    pub grace_s: u64,
    pub budget_slack: u64,
    pub memory_mb: u64,
}

/// A temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A daemon's process; dropping it ends the process.
pub struct Daemon {
    child: Child,
}

impl Daemon {
    /// Starts the program of the deploy file with the settings that its template renders.
    pub fn start(folder: &Folder, host: &Host, store: u16, bounds: Bounds) -> Self {
        let text = format!(
            "node: \"{}\"\ndomain: \"{}\"\ncallers: \"{}\"\npeers: \"{}\"\nready: \"{}\"\nreports: \"{}\"\n\
             upstream: \"{}\"\nservice: \"{}\"\nstore: \"127.0.0.1:{store}\"\nhold_max_ms: 10000\ndrain_ms: {}\n\
             grace_s: {}\nretry_ratio: 0.2\nretry_slack: {}\nretry_window_s: 10\ncpu_share: 0.2\nlink_mbps: 1000.0\n",
            host.name, host.zone, host.callers, host.peers, host.ready, host.reports, host.upstream,
            host.service, bounds.drain_ms, bounds.grace_s, bounds.budget_slack
        );
        let path = folder.0.join(format!("{}.yaml", host.name));
        std::fs::write(&path, text).expect("the settings can be written");
        let log = File::options().create(true).append(true).open(folder.0.join(format!("{}.log", host.name)));
        let log = log.expect("the log can be written");
        let mut command = Command::new("target/release/foxtaildrift-host");
        // A script that is ended from outside leaves no daemon behind.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .arg(format!("--memory-mb={}", bounds.memory_mb))
            .env("FOXTAILDRIFT_NODE_FILE", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("the log can be shared"))
            .stdout(log)
            .spawn()
            .expect("the daemon starts");
        Self { child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the status that the readiness address answers, or 0.
pub fn ready_status(host: &Host) -> u16 {
    let Ok(mut conn) = Conn::connect(host.ready) else { return 0 };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
    let _ = conn.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    conn.read().ok().flatten().map_or(0, |m| m.status())
}

// ---- backends

/// A run of a request at a backend.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    /// When the work ended, and whether its answer was written.
    pub ended: Option<(Instant, bool)>,
}

/// A grant that a backend accepted.
#[derive(Clone, Debug)]
pub struct Granted {
    pub at: Instant,
    pub backend: String,
    pub from: u16,
    pub to: u16,
    pub fence: u64,
    pub hold_ms: u64,
}

/// The keys of a backend: for each range of a grant the fence, and until when it is held.
#[derive(Default)]
struct Keys {
    held: Vec<(u16, u16, u64, Instant)>,
    /// The highest fence that was seen on each key.
    seen: BTreeMap<u16, u64>,
}

/// All grants that the backends of a service have accepted, in their order.
pub type Grants = Arc<Mutex<Vec<Granted>>>;

/// A stand-in of a backend: works for `work` milliseconds of the query, and answers.
pub struct Backend {
    pub id: String,
    pub born: u64,
    pub host: Host,
    pub runs: Mutex<Vec<Run>>,
    pub sequence: AtomicU64,
    record: Record,
    /// Whether reports are sent.
    reporting: AtomicBool,
    keys: Mutex<Keys>,
    /// Where accepted grants are recorded, if the service is divided by key.
    grants: Option<Grants>,
}

impl Backend {
    pub fn start(host: &Host, id: &str, record: &Record) -> Arc<Self> {
        Self::start_with(host, id, record, None)
    }

    /// Starts a backend of a service that is divided by key, if `grants` is given.
    pub fn start_with(host: &Host, id: &str, record: &Record, grants: Option<Grants>) -> Arc<Self> {
        let listener = TcpListener::bind(host.upstream).expect("the backend's address");
        let backend = Arc::new(Self {
            id: id.to_owned(),
            born: unix_ms(),
            host: host.clone(),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            record: record.clone(),
            reporting: AtomicBool::new(true),
            keys: Mutex::default(),
            grants,
        });
        let accepting = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = Arc::clone(&accepting);
                thread::spawn(move || backend.serve(Conn::new(stream)));
            }
        });
        let reporting = Arc::clone(&backend);
        thread::spawn(move || {
            loop {
                if reporting.reporting.load(Ordering::SeqCst) {
                    let report = reporting.report("ready");
                    reporting.send_report(&report);
                }
                sleep_ms(870);
            }
        });
        backend
    }

    pub fn stop_reporting(&self) {
        self.reporting.store(false, Ordering::SeqCst);
    }

    /// Builds a status report with the next sequence number.
    pub fn report(&self, state: &str) -> Vec<u8> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"born\":{},\"Address\":\"{}\",\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{}\",\"Slots\":{}}},\
             \"Status\":{{\"State\":\"{state}\",\"Sequence\":{sequence},\"WarmupRemainingMs\":0}}}}",
            self.born, self.host.upstream, self.host.service, self.host.zone, self.host.slots
        );
        self.post("Heartbeat", &body)
    }

    /// Builds the report that it leaves.
    pub fn deregistration(&self) -> Vec<u8> {
        self.post("Deregister", &format!("{{\"born\":{}}}", self.born))
    }

    fn post(&self, call: &str, body: &str) -> Vec<u8> {
        format!(
            "POST /Instances.{call}/{} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }

    /// Sends a report; returns the status of the answer within a second, or 0.
    pub fn send_report(&self, report: &[u8]) -> u16 {
        let Ok(mut conn) = Conn::connect(self.host.reports) else { return 0 };
        let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(1)));
        if conn.write(report).is_err() {
            return 0;
        }
        conn.read().ok().flatten().map_or(0, |m| m.status())
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read() {
            let id = request.header("request-id").unwrap_or("").to_owned();
            let expected = request.header("expected-instance");
            let bytes = if expected.is_some_and(|e| e != self.id) {
                answer(421, &[("Request-Id", id.as_str()), ("Instance-Id", self.id.as_str())], b"")
            } else if request.target() == "/health" {
                answer(200, &[("Instance-Id", self.id.as_str())], b"")
            } else if request.target() == "/grant" {
                self.take_grant(&request)
            } else if request.target() == "/release" {
                self.release(&request)
            } else if id.is_empty() {
                answer(400, &[("Not-Executed", "1")], b"")
            } else if self.grants.is_some() && !self.holds(request.header("shard-key")) {
                answer(421, &[("Request-Id", id.as_str()), ("Not-Executed", "1")], b"")
            } else {
                self.run(&request, &id, &conn)
            };
            let written = conn.write(&bytes).is_ok() && !conn.is_closed();
            if let Some(run) = self.runs.lock().unwrap().iter_mut().find(|r| r.id == id && r.ended.is_none()) {
                run.ended = Some((Instant::now(), written));
            }
            if !written {
                return;
            }
        }
    }

    fn holds(&self, key: Option<&str>) -> bool {
        let Some(key) = key.and_then(|k| k.parse::<u16>().ok()) else { return false };
        let now = Instant::now();
        let keys = self.keys.lock().unwrap();
        keys.held.iter().any(|(from, to, _, until)| (*from..=*to).contains(&key) && *until > now)
    }

    /// Accepts a grant unless a higher fence was seen on one of its keys.
    fn take_grant(&self, request: &Message) -> Vec<u8> {
        let (Some(grants), Some(body)) = (&self.grants, Json::parse(&request.body)) else {
            return answer(400, &[], b"");
        };
        let (from, to) = (body.get("From").number() as u16, body.get("To").number() as u16);
        let (fence, hold_ms) = (body.get("fence").number(), body.get("HoldMs").number());
        let mut keys = self.keys.lock().unwrap();
        if keys.seen.range(from..=to).any(|(_, seen)| *seen > fence) {
            drop(keys);
            self.record.line(&format!("backend {} refuses keys {from}-{to} with fence {fence}: 409", self.id));
            return answer(409, &[], b"");
        }
        for key in from..=to {
            keys.seen.insert(key, fence);
        }
        let now = Instant::now();
        let is_new = !keys.held.iter().any(|(f, t, n, u)| *f <= from && to <= *t && *n == fence && *u > now);
        cut(&mut keys.held, from, to);
        keys.held.push((from, to, fence, now + Duration::from_millis(hold_ms)));
        let granted = Granted { at: now, backend: self.id.clone(), from, to, fence, hold_ms };
        grants.lock().unwrap().push(granted);
        drop(keys);
        if is_new {
            self.record.line(&format!("backend {} gets keys {from}-{to} with fence {fence} for {hold_ms} ms", self.id));
        }
        answer(200, &[], b"")
    }

    /// Releases keys, and answers when the work that was running has ended.
    fn release(&self, request: &Message) -> Vec<u8> {
        let (Some(_), Some(body)) = (&self.grants, Json::parse(&request.body)) else {
            return answer(400, &[], b"");
        };
        let (from, to) = (body.get("From").number() as u16, body.get("To").number() as u16);
        cut(&mut self.keys.lock().unwrap().held, from, to);
        let working = |now: Instant| {
            let runs = self.runs.lock().unwrap();
            runs.iter().any(|r| r.ended.is_none() && r.at < now)
        };
        let now = Instant::now();
        while working(now) && now.elapsed() < Duration::from_secs(5) {
            sleep_ms(5);
        }
        self.record.line(&format!("backend {} has released keys {from}-{to}", self.id));
        let handover = format!("{:016x}", unix_ms());
        answer(200, &[("Handover", handover.as_str())], b"")
    }

    fn run(&self, request: &Message, id: &str, conn: &Conn) -> Vec<u8> {
        self.runs.lock().unwrap().push(Run { id: id.to_owned(), at: Instant::now(), ended: None });
        self.record.line(&format!("backend {} runs {id}", self.id));
        let work: u64 = request.query("work").and_then(|w| w.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(work);
        while Instant::now() < until {
            sleep_ms(work.min(20));
            if conn.is_closed() {
                self.record.line(&format!("backend {}: the connection of {id} was closed while it worked", self.id));
                break;
            }
        }
        let headers = [("Request-Id", id), ("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"), ("Backend-Load", "0,0,8")];
        answer(200, &headers, format!("done {id}\n").as_bytes())
    }
}

/// Removes the keys `from` to `to` from what is held.
fn cut(held: &mut Vec<(u16, u16, u64, Instant)>, from: u16, to: u16) {
    let mut rest = Vec::new();
    for (f, t, fence, until) in held.drain(..) {
        if t < from || to < f {
            rest.push((f, t, fence, until));
            continue;
        }
        if f < from {
            rest.push((f, from - 1, fence, until));
        }
        if t > to {
            rest.push((to + 1, t, fence, until));
        }
    }
    *held = rest;
}

// ---- requesters

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered(u16),
    /// The connection ended without a complete answer.
    Cut,
    /// No answer within the time limit.
    LateNone,
    /// It could not be sent.
    NotSent,
}

/// Builds a request.
pub fn request(method: &str, target: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "{method} {target} HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    out
}

/// Builds a request for a key.
pub fn keyed_request(method: &str, target: &str, id: &str, deadline_ms: u64, key: u16) -> Vec<u8> {
    let key = format!("Request-Id: {id}\r\nShard-Key: {key}\r\n");
    let bytes = request(method, target, id, deadline_ms, b"");
    String::from_utf8_lossy(&bytes).replace(&format!("Request-Id: {id}\r\n"), &key).into_bytes()
}

/// Sends a request on `conn` and waits for its answer.
pub fn exchange(conn: &mut Conn, bytes: &[u8], deadline_ms: u64) -> (Outcome, Option<Message>) {
    let _ = conn.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms)));
    if conn.write(bytes).is_err() {
        return (Outcome::NotSent, None);
    }
    match conn.read() {
        Ok(Some(message)) => (Outcome::Answered(message.status()), Some(message)),
        Ok(None) => (Outcome::Cut, None),
        Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
            let _ = conn.stream.shutdown(Shutdown::Both);
            (Outcome::LateNone, None)
        }
        Err(_) => (Outcome::Cut, None),
    }
}

/// Waits until each host answers requests that go to `target`; returns whether that happened in time.
pub fn await_served(hosts: &[Host], target: &str, timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    let mut number = 0;
    hosts.iter().all(|host| {
        while Instant::now() < until {
            number += 1;
            let bytes = request("GET", target, &format!("warm{number:012x}"), 1000, b"");
            let answered = Conn::connect(host.callers).ok().map(|mut c| exchange(&mut c, &bytes, 1000).0);
            if answered == Some(Outcome::Answered(200)) && ready_status(host) == 200 {
                return true;
            }
            sleep_ms(100);
        }
        false
    })
}
