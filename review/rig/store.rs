//! Stand-in of the platform's store. Each VM reaches it through a port of its own, so
//! that it can turn some VMs away and serve the others.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{hold, respond, serve, Request};
use crate::json::{parse, quote, Json};

/// Time that a transaction takes.
const TX_TIME: Duration = Duration::from_millis(5);

/// Time that a read takes.
const READ_TIME: Duration = Duration::from_millis(4);

pub const SERVES: u8 = 0;
/// 503 to each call: nothing was done.
pub const BUSY: u8 = 1;
/// No response, and nothing is done.
pub const SILENT: u8 = 2;
/// Responses take 60 times as long.
pub const SLOW: u8 = 3;

const SLOW_FACTOR: u32 = 60;

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value as base64, `None` once removed, and version.
    rows: BTreeMap<Key, (Option<String>, u64)>,
    version: u64,
}

/// Addresses that a VM is to use instead of those in the lists of VMs and engines.
pub type View = Arc<Mutex<BTreeMap<String, String>>>;

pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
}

/// Row as JSON, with the addresses of `view` in lists of VMs and engines.
fn row_json(
    (table, part, key): &Key,
    (value, version): &(Option<String>, u64),
    view: &View,
) -> String {
    let state = match value {
        Some(value) if table == "vms" || table == "servers" => {
            let mut text = String::from_utf8_lossy(&unbase64(value)).into_owned();
            for (address, instead) in view.lock().expect("view").iter() {
                text = text.replace(&quote(address), &quote(instead));
            }
            format!("\"value\":{}", quote(&base64(text.as_bytes())))
        }
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{state},\"ver\":{version}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}

fn key_of(json: &Json) -> Key {
    let text = |name| json.get(name).text().to_owned();
    (text("table"), text("part"), text("key"))
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(three.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= three.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Vec<u8> {
    let digit = |c: u8| match c {
        b'A'..=b'Z' => c - b'A',
        b'a'..=b'z' => c - b'a' + 26,
        b'0'..=b'9' => c - b'0' + 52,
        b'+' => 62,
        _ => 63,
    };
    let digits: Vec<u8> = text.bytes().filter(|c| *c != b'=').map(digit).collect();
    let mut bytes = Vec::new();
    for four in digits.chunks(4) {
        let word = four
            .iter()
            .fold(0u32, |word, digit| word << 6 | u32::from(*digit));
        let word = word << (6 * (4 - four.len()));
        let count = four.len() * 6 / 8;
        bytes.extend_from_slice(&word.to_be_bytes()[1..1 + count]);
    }
    bytes
}

impl Store {
    pub fn new() -> Arc<Store> {
        Arc::new(Store {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        })
    }

    /// Opens a port, whose state is that of the returned cell.
    pub fn open_port(self: &Arc<Store>, view: &View) -> (SocketAddr, Arc<AtomicU8>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("port");
        let address = listener.local_addr().expect("address");
        let mode = Arc::new(AtomicU8::new(SERVES));
        let (store, port_mode, view) = (Arc::clone(self), Arc::clone(&mode), Arc::clone(view));
        serve(listener, move |request, out| {
            store.handle(request, out, &port_mode, &view)
        });
        (address, mode)
    }

    /// Writes a row of the operator or an engine; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        let value = value.map(|value| base64(value.as_bytes()));
        rows.rows.insert(key, (value, version));
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request, out: &mut TcpStream, mode: &AtomicU8, view: &View) -> bool {
        match mode.load(Ordering::SeqCst) {
            BUSY => return respond(out, 503, &[], b"{}"),
            SILENT => {
                hold(out);
                return false;
            }
            _ => {}
        }
        if mode.load(Ordering::SeqCst) == SLOW && request.path() != "/rows-feed" {
            let is_tx = request.path() == "/rows-tx";
            thread::sleep(if is_tx { TX_TIME } else { READ_TIME } * (SLOW_FACTOR - 1));
        }
        let (status, body) = match request.path() {
            "/rows-tx" => self.transact(&request.body, view),
            "/rows-get" => self.read(request, view),
            "/rows-feed" => self.feed(request, mode, view),
            _ => (404, "{}".to_owned()),
        };
        match mode.load(Ordering::SeqCst) {
            SILENT => {
                hold(out);
                false
            }
            // What was done is answered; a watch that was cut short isn't.
            BUSY if request.path() == "/rows-feed" => respond(out, 503, &[], b"{}"),
            _ => respond(
                out,
                status,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            ),
        }
    }

    fn reply(&self, rows: &[String], version: u64, has_more: bool) -> String {
        let now_ms = self.started.elapsed().as_millis();
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"ver\":{version},\"now_ms\":{now_ms}}}"
        )
    }

    fn transact(&self, body: &[u8], view: &View) -> (u16, String) {
        thread::sleep(TX_TIME);
        let Some(call) = parse(body) else {
            return (400, "{}".to_owned());
        };
        let mut rows = self.rows.lock().expect("rows");
        let expected = call.get("expected").list();
        let version_of = |rows: &Rows, key: &Key| match rows.rows.get(key) {
            Some((Some(_), version)) => *version,
            _ => 0,
        };
        let holds = expected
            .iter()
            .all(|row| version_of(&rows, &key_of(row)) == row.get("ver").number());
        if !holds {
            let found: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = key_of(row);
                    let found = rows.rows.get(&key).filter(|(value, _)| value.is_some())?;
                    Some(row_json(&key, found, view))
                })
                .collect();
            return (412, self.reply(&found, rows.version, false));
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("writes").list() {
            let value = row.get("value").text().to_owned();
            rows.rows.insert(key_of(row), (Some(value), version));
        }
        for row in call.get("remove").list() {
            rows.rows.insert(key_of(row), (None, version));
        }
        self.changed.notify_all();
        (200, self.reply(&[], version, false))
    }

    fn read(&self, request: &Request, view: &View) -> (u16, String) {
        thread::sleep(READ_TIME);
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("to"));
        let rows = self.rows.lock().expect("rows");
        let found = rows.rows.iter().filter(|(key, (value, _))| {
            key.0 == table
                && key.1 == part
                && key.2 >= from
                && value.is_some()
                && (to.is_empty() || key.2 < to)
        });
        let found: Vec<String> = found.map(|(key, row)| row_json(key, row, view)).collect();
        let page = &found[..found.len().min(500)];
        (200, self.reply(page, rows.version, found.len() > 500))
    }

    fn feed(&self, request: &Request, mode: &AtomicU8, view: &View) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut rows = self.rows.lock().expect("rows");
        loop {
            let changed = rows.rows.iter();
            let mut changed: Vec<_> = changed
                .filter(|(key, (_, version))| key.0 == table && *version > after)
                .collect();
            changed.sort_by_key(|(_, (_, version))| *version);
            let now = Instant::now();
            let is_served = matches!(mode.load(Ordering::SeqCst), SERVES | SLOW);
            if !changed.is_empty() || now >= until || !is_served {
                let changed: Vec<String> = changed
                    .into_iter()
                    .map(|(key, row)| row_json(key, row, view))
                    .collect();
                return (200, self.reply(&changed, rows.version, false));
            }
            let step = (until - now).min(Duration::from_millis(100));
            rows = self.changed.wait_timeout(rows, step).expect("rows").0;
        }
    }
}
