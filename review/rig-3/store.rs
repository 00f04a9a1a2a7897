//! Stand-in for the platform's store: items, watches and transactions, as PROTOCOL.md tells them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};
use crate::json::Json;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changed key of each revision, with its value unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Machines that are turned away with 503.
    refused: Mutex<BTreeSet<IpAddr>>,
}

impl Store {
    pub fn start(ip: IpAddr) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(Conn::new(stream)));
            }
        });
        (store, address)
    }

    /// Writes a value as the operator does.
    pub fn put(&self, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.put(key, base64(value));
        self.changed.notify_all();
    }

    /// Turns the machine at `ip` away, or serves it again. Its watches in progress are cut.
    pub fn set_refused(&self, ip: IpAddr, refused: bool) {
        let mut all = self.refused.lock().unwrap();
        match refused {
            true => all.insert(ip),
            false => all.remove(&ip),
        };
        drop(all);
        self.changed.notify_all();
    }

    fn is_refused(&self, ip: IpAddr) -> bool {
        self.refused.lock().unwrap().contains(&ip)
    }

    fn serve(&self, mut conn: Conn) {
        let Ok(peer) = conn.stream.peer_addr() else {
            return;
        };
        while let Ok(Some(request)) = conn.read() {
            let refusal = (503, "{}".to_owned());
            let (status, body) = match self.is_refused(peer.ip()) {
                true => refusal,
                false => match self.answer(&request, peer.ip()) {
                    _ if self.is_refused(peer.ip()) => refusal,
                    answer => answer,
                },
            };
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", "0".to_owned()),
            ];
            if conn.respond(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, from: IpAddr) -> (u16, String) {
        let target = request.first.get(1).cloned().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let parameters: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|p| p.split_once('='))
            .map(|(n, v)| (n.to_owned(), percent_decode(v)))
            .collect();
        let parameter = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        match path {
            "/kv-key" => {
                let state = self.state.lock().unwrap();
                match state.items.get(&parameter("Key")) {
                    Some(item) => (
                        200,
                        item_json(&parameter("Key"), item, Some(state.revision)),
                    ),
                    None => (404, "{}".to_owned()),
                }
            }
            "/kv-range" => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (parameter("PathPrefix"), parameter("after"));
                let items = state
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items: Vec<String> = items.map(|(k, i)| item_json(k, i, None)).collect();
                let items = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"HasMore\":false,\"AsOf\":{}}}",
                        state.revision
                    ),
                )
            }
            "/kv-watch" => self.watch(
                from,
                &parameter("PathPrefix"),
                parameter("after").parse().unwrap_or(0),
                Duration::from_millis(parameter("WaitMs").parse().unwrap_or(0)),
            ),
            "/kv-txn" => self.commit(
                &Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null),
            ),
            _ => (404, "{}".to_owned()),
        }
    }

    fn watch(&self, from: IpAddr, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let events = state.history.iter();
            let events = events.filter(|(r, k, _)| *r > after && k.starts_with(prefix));
            let events: Vec<String> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item, None),
                    None => {
                        format!("{{\"Key\":\"{key}\",\"Revision\":{revision},\"Removed\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() || self.is_refused(from) {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"AsOf\":{}}}", state.revision),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let expected = body.get("ExpectedRevision").list();
        let holds = expected.iter().all(|row| {
            let item = state.items.get(row.get("Key").text());
            item.map_or(0, |i| i.revision) == row.get("Revision").number() as u64
        });
        if !holds {
            let items = expected.iter().filter_map(|row| {
                let key = row.get("Key").text();
                state.items.get(key).map(|i| item_json(key, i, None))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let revision = state.revision + 1;
        for put in body.get("Puts").list() {
            state.put_at(
                revision,
                put.get("Key").text(),
                put.get("Value").text().to_owned(),
            );
        }
        for key in body.get("Remove").list() {
            state.remove_at(revision, key.text());
        }
        self.changed.notify_all();
        (200, format!("{{\"Revision\":{revision}}}"))
    }
}

impl State {
    fn put(&mut self, key: &str, value: String) {
        self.put_at(self.revision + 1, key, value);
    }

    fn put_at(&mut self, revision: u64, key: &str, value: String) {
        self.revision = revision;
        let created = self.items.get(key).map_or(revision, |i| i.created);
        let item = Item {
            value,
            revision,
            created,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove_at(&mut self, revision: u64, key: &str) {
        self.revision = revision;
        if self.items.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
        }
    }
}

fn item_json(key: &str, item: &Item, as_of: Option<u64>) -> String {
    let as_of = as_of.map_or(String::new(), |a| format!(",\"AsOf\":{a}"));
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"CreatedRev\":{},\"Lease\":0{as_of}}}",
        item.value, item.revision, item.created
    )
}

fn percent_decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
        let digits = String::from_utf8_lossy(&digits).into_owned();
        out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => out.push(char::from(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63])),
                false => out.push('='),
            }
        }
    }
    out
}
