//! Stand-in for a backend: heartbeats, grants and requests, as PROTOCOL.md tells them.
//!
//! The query of a request says what it is: `w` the milliseconds of work, `b` the bytes of the answer, `p`
//! the milliseconds of work before the body is read.

use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Conn, Message};
use crate::json::Json;
use crate::record::Record;

/// Interval at which a backend looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// What a backend's machine has room for, for each connection, while the backend does not read.
const RECEIVE_BUFFER: i32 = 16 * 1024;
/// Interval of the heartbeats.
const BEAT: Duration = Duration::from_millis(870);

/// What the path of a request contains that crashes each backend.
pub const CRASHING: &str = "crash";

/// Keys that were granted.
struct Hold {
    from: u16,
    to: u16,
    fence: u64,
    until: Instant,
}

#[derive(Default)]
struct Keys {
    holds: Vec<Hold>,
    /// The highest fence seen, by range.
    fences: Vec<(u16, u16, u64)>,
    /// Keys of the requests at work, with their counts.
    working: BTreeMap<u16, u32>,
}

pub struct Backend {
    pub id: String,
    pub name: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    sharded: bool,
    born: u128,
    keys: Mutex<Keys>,
    idle: Condvar,
    sequence: AtomicU64,
    handovers: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    pub ended: AtomicBool,
    /// Number of requests that it began to run.
    pub runs: AtomicU32,
    record: Arc<Record>,
}

impl Backend {
    /// Starts a backend at `address` whose heartbeats go to `reports`.
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        sharded: bool,
        address: SocketAddr,
        reports: SocketAddr,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a time of day")
            .as_millis();
        let backend = Arc::new(Self {
            id: format!("i-{name}-{born}"),
            name: name.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            sharded,
            born,
            keys: Mutex::default(),
            idle: Condvar::new(),
            sequence: AtomicU64::new(0),
            handovers: AtomicU64::new(1),
            connections: Mutex::default(),
            ended: AtomicBool::new(false),
            runs: AtomicU32::new(0),
            record: Arc::clone(record),
        });
        let listener = TcpListener::bind(address).expect("the backend's port");
        crate::sys::set_receive_buffer(&listener, RECEIVE_BUFFER).expect("a buffer");
        listener.set_nonblocking(true).expect("a listener");
        let served = Arc::clone(&backend);
        thread::spawn(move || {
            while !served.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => served.accept(stream),
                    Err(_) => thread::sleep(ACCEPT_INTERVAL),
                }
            }
        });
        let beating = Arc::clone(&backend);
        thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                let _ = beating.beat(reports, "ready");
                thread::sleep(BEAT);
            }
        });
        backend
    }

    fn accept(self: &Arc<Self>, stream: TcpStream) {
        let (Ok(()), Ok(kept)) = (stream.set_nonblocking(false), stream.try_clone()) else {
            return;
        };
        self.connections.lock().unwrap().push(kept);
        let backend = Arc::clone(self);
        thread::spawn(move || backend.serve(Conn::new(stream)));
    }

    /// Ends at once, as a crash does.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Sends a heartbeat; returns the status of the answer.
    pub fn beat(&self, reports: SocketAddr, state: &str) -> std::io::Result<u16> {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"Address\":\"{}\",\"born\":{},\"Info\":{{\"Service\":\"{}\",\"Version\":\"v1\",\"Zone\":\"{}\",\"Slots\":9}},\
             \"Status\":{{\"State\":\"{state}\",\"Sequence\":{sequence},\"WarmupRemainingMs\":0}}}}",
            self.address, self.born, self.service, self.zone
        );
        let headers = [
            ("Host", "node".to_owned()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let path = format!("/Instances.Heartbeat/{}", self.id);
        let answer = http::call(
            reports,
            "POST",
            &path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        )?;
        Ok(answer.status())
    }

    /// Announces that it leaves, without having reported `draining`; returns the status of the answer.
    pub fn deregister(&self, reports: SocketAddr) -> std::io::Result<u16> {
        let headers = [
            ("Host", "node".to_owned()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let path = format!("/Instances.Deregister/{}", self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        let answer = http::call(
            reports,
            "POST",
            &path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        )?;
        Ok(answer.status())
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(mut request)) = conn.read_head() {
            if self.ended.load(Ordering::SeqCst) {
                return;
            }
            let answered = self
                .read_body(&mut conn, &mut request)
                .and_then(|()| self.answer(&mut conn, &request));
            if answered.is_err() {
                return;
            }
        }
    }

    /// Reads the body of a request; that of a slow one late, while the backend is at work on it already.
    fn read_body(&self, conn: &mut Conn, request: &mut Message) -> std::io::Result<()> {
        let target = request.first.get(1).cloned().unwrap_or_default();
        let pause = parameter(&target, 'p');
        if pause == 0 {
            return conn.read_body(request);
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        self.record
            .line(&format!("at work on {id} at {}", self.name));
        thread::sleep(Duration::from_millis(pause));
        let read = conn.read_body(request);
        let result = read
            .as_ref()
            .map_or_else(|e| e.to_string(), |()| "whole".to_owned());
        self.record
            .line(&format!("body of {id} after {pause} ms: {result}"));
        read
    }

    fn answer(&self, conn: &mut Conn, request: &Message) -> std::io::Result<()> {
        let target = request.first.get(1).cloned().unwrap_or_default();
        let instance = ("Instance-Id", self.id.clone());
        let load = ("Backend-Load", "1,0,9".to_owned());
        match target.as_str() {
            "/health" => return conn.respond(200, &[instance, load], b""),
            "/grant" | "/release" if !self.sharded => return conn.respond(400, &[], b""),
            "/grant" => {
                let status = self.grant(&request.body);
                return conn.respond(status, &[], b"");
            }
            "/release" => {
                let handover = self.release(&request.body);
                return conn.respond(200, &[("Handover", handover)], b"");
            }
            _ => {}
        }
        let id = request.header("request-id").unwrap_or_default().to_owned();
        let echoed = ("Request-Id", id.clone());
        let not_run = ("Not-Executed", "1".to_owned());
        if request
            .header("expected-instance")
            .is_some_and(|i| i != self.id)
        {
            return conn.respond(421, &[echoed, instance, not_run], b"");
        }
        if id.is_empty() {
            return conn.respond(400, &[not_run], b"");
        }
        let key: Option<u16> = request.header("shard-key").and_then(|k| k.parse().ok());
        if self.sharded && !key.is_some_and(|k| self.begin(k)) {
            return conn.respond(421, &[echoed, instance, not_run], b"");
        }
        self.runs.fetch_add(1, Ordering::SeqCst);
        self.record.line(&format!("run {id} at {}", self.name));
        if target.contains(CRASHING) {
            self.record.line(&format!("crash of {}", self.name));
            self.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        thread::sleep(Duration::from_millis(parameter(&target, 'w')));
        if self.ended.load(Ordering::SeqCst) {
            self.record.line(&format!("lost {id} at {}", self.name));
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        if let Some(key) = key.filter(|_| self.sharded) {
            self.end(key);
        }
        let body = vec![b'x'; parameter(&target, 'b') as usize];
        let signature = (
            "Response-Signature",
            format!("{}.{id}.{}", self.name, body.len()),
        );
        self.record.line(&format!("ran {id} at {}", self.name));
        conn.respond(200, &[echoed, signature, instance, load], &body)
    }

    fn grant(&self, body: &[u8]) -> u16 {
        let Some(body) = Json::parse(&String::from_utf8_lossy(body)) else {
            return 400;
        };
        let (from, to) = (
            body.get("From").number() as u16,
            body.get("To").number() as u16,
        );
        let fence = body.get("fence").number() as u64;
        let until = Instant::now() + Duration::from_millis(body.get("HoldMs").number() as u64);
        let mut keys = self.keys.lock().unwrap();
        let overlaps = |f: u16, t: u16| f <= to && from <= t;
        if keys
            .fences
            .iter()
            .any(|(f, t, seen)| overlaps(*f, *t) && *seen > fence)
        {
            return 409;
        }
        keys.fences.retain(|(f, t, _)| !(from <= *f && *t <= to));
        keys.fences.push((from, to, fence));
        take(&mut keys.holds, from, to);
        keys.holds.push(Hold {
            from,
            to,
            fence,
            until,
        });
        self.record
            .line(&format!("grant {from}-{to} fence {fence} at {}", self.name));
        200
    }

    fn release(&self, body: &[u8]) -> String {
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let (from, to) = (
            body.get("From").number() as u16,
            body.get("To").number() as u16,
        );
        let mut keys = self.keys.lock().unwrap();
        take(&mut keys.holds, from, to);
        let busy = |keys: &Keys| keys.working.range(from..=to).next().is_some();
        while busy(&keys) {
            keys = self.idle.wait(keys).unwrap();
        }
        format!("{:x}", self.handovers.fetch_add(1, Ordering::SeqCst))
    }

    /// Begins work on a key, if it is held.
    fn begin(&self, key: u16) -> bool {
        let mut keys = self.keys.lock().unwrap();
        let now = Instant::now();
        let held = keys
            .holds
            .iter()
            .any(|h| h.from <= key && key <= h.to && h.until > now);
        if held {
            *keys.working.entry(key).or_default() += 1;
        }
        held
    }

    fn end(&self, key: u16) {
        let mut keys = self.keys.lock().unwrap();
        let count = keys.working.entry(key).or_default();
        *count -= 1;
        if *count == 0 {
            keys.working.remove(&key);
        }
        self.idle.notify_all();
    }
}

/// Removes the keys from `from` to `to` from all holds.
fn take(holds: &mut Vec<Hold>, from: u16, to: u16) {
    for hold in std::mem::take(holds) {
        if hold.to < from || to < hold.from {
            holds.push(hold);
            continue;
        }
        if hold.from < from {
            holds.push(Hold {
                from: hold.from,
                to: from - 1,
                fence: hold.fence,
                until: hold.until,
            });
        }
        if to < hold.to {
            holds.push(Hold {
                from: to + 1,
                to: hold.to,
                fence: hold.fence,
                until: hold.until,
            });
        }
    }
}

/// Returns a number in the query of a request.
fn parameter(target: &str, name: char) -> u64 {
    let query = target.split_once('?').map_or("", |(_, q)| q);
    let value = query
        .split('&')
        .find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}
