// Stand-ins of the third review: platform store, engines and clients on loopback, the
// processes of the project, and the record of what was sent, answered and run. Only the
// standard library is used.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();

pub fn begin_record(path: &str) {
    START.set(Instant::now()).unwrap();
    RECORD.set(Mutex::new(File::create(path).unwrap())).unwrap();
}

pub fn elapsed_ms() -> u64 {
    START.get().unwrap().elapsed().as_millis() as u64
}

pub fn note(line: &str) {
    let mut record = RECORD.get().unwrap().lock().unwrap();
    let _ = writeln!(record, "{:>7} ms  {line}", elapsed_ms());
}

/// Waits until this time since the start.
pub fn wait_until_ms(at_ms: u64) {
    let now = elapsed_ms();
    if at_ms > now {
        thread::sleep(Duration::from_millis(at_ms - now));
    }
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn random() -> u64 {
    let mut bytes = [0; 8];
    File::open("/dev/urandom").unwrap().read_exact(&mut bytes).unwrap();
    u64::from_le_bytes(bytes)
}

/// Port that is free for TCP and UDP.
pub fn free_port() -> u16 {
    static TRIED: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() % 5_000;
    loop {
        let tried = TRIED.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + ((first + u32::from(tried)) % 5_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        Json::value(bytes, &mut at)
    }
    fn space(bytes: &[u8], at: &mut usize) {
        while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
            *at += 1;
        }
    }
    fn value(bytes: &[u8], at: &mut usize) -> Option<Json> {
        Json::space(bytes, at);
        match *bytes.get(*at)? {
            b'{' => {
                *at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    Json::space(bytes, at);
                    if *bytes.get(*at)? == b'}' {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    if *bytes.get(*at)? == b',' {
                        *at += 1;
                        continue;
                    }
                    let Json::Text(name) = Json::value(bytes, at)? else { return None };
                    Json::space(bytes, at);
                    if *bytes.get(*at)? != b':' {
                        return None;
                    }
                    *at += 1;
                    fields.insert(name, Json::value(bytes, at)?);
                }
            }
            b'[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::space(bytes, at);
                    match *bytes.get(*at)? {
                        b']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        b',' => *at += 1,
                        _ => items.push(Json::value(bytes, at)?),
                    }
                }
            }
            b'"' => {
                *at += 1;
                let mut text = Vec::new();
                loop {
                    match *bytes.get(*at)? {
                        b'"' => {
                            *at += 1;
                            return Some(Json::Text(String::from_utf8_lossy(&text).into_owned()));
                        }
                        b'\\' => {
                            *at += 1;
                            match *bytes.get(*at)? {
                                b'n' => text.push(b'\n'),
                                b't' => text.push(b'\t'),
                                b'r' => text.push(b'\r'),
                                b'u' => {
                                    let digits = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                                    let code = u32::from_str_radix(digits, 16).ok()?;
                                    let character = char::from_u32(code)?;
                                    text.extend_from_slice(character.to_string().as_bytes());
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                            *at += 1;
                        }
                        other => {
                            text.push(other);
                            *at += 1;
                        }
                    }
                }
            }
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
                while *at < bytes.len() && b"+-0123456789.eE".contains(&bytes[*at]) {
                    *at += 1;
                }
                std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
            }
        }
    }
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
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
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            other => out.push(other),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                out.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(value) = DIGITS.iter().position(|digit| *digit == byte) else { continue };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

#[derive(Clone, Debug)]
pub struct Message {
    /// Request line, or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }
    /// Parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> String {
        let query = self.target().split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.find(|(known, _)| *known == name).map_or("", |(_, value)| value);
        let bytes = value.as_bytes();
        let (mut out, mut at) = (Vec::new(), 0);
        while at < bytes.len() {
            match bytes[at] {
                b'+' => out.push(b' '),
                b'%' => {
                    let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap();
                    out.push(u8::from_str_radix(digits, 16).unwrap());
                    at += 2;
                }
                other => out.push(other),
            }
            at += 1;
        }
        String::from_utf8_lossy(&out).into_owned()
    }
}

/// Head of the next message; `None` at the end of the connection.
pub fn read_head<R: BufRead>(reader: &mut R) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(Message { first, headers, body: Vec::new() });
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body by its length or in chunks; `None` if it is incomplete.
pub fn read_body<R: BufRead>(reader: &mut R, message: &mut Message) -> Option<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Some(());
            }
            message.body.extend_from_slice(&chunk);
        }
    }
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body).ok()
}

/// Next chunk; empty for the last one.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> Option<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let length = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk).ok()?;
    chunk.truncate(length);
    Some(chunk)
}

pub fn read_request<R: BufRead>(reader: &mut R) -> Option<Message> {
    let mut request = read_head(reader)?;
    read_body(reader, &mut request)?;
    Some(request)
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let bytes = [head.as_bytes(), body].concat();
    stream.write_all(&bytes).is_ok()
}

// ---------------------------------------------------------------- store

type Key = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value and version; a removed row has no value.
    rows: BTreeMap<Key, (Option<Vec<u8>>, u64)>,
}

/// The platform's store: rows, transactions and feeds.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    /// Whether every call gets 503, and nothing is done.
    is_busy: Arc<AtomicBool>,
}

impl Rows {
    fn version_of(&self, key: &Key) -> u64 {
        match self.rows.get(key) {
            Some((Some(_), version)) => *version,
            _ => 0,
        }
    }
    fn json(key: &Key, value: &Option<Vec<u8>>, version: u64) -> String {
        let value = match value {
            Some(value) => format!("\"value\":{}", quoted(&base64(value))),
            None => "\"deleted\":true".to_owned(),
        };
        format!(
            "{{\"table\":{},\"part\":{},\"key\":{},\"ver\":{version},{value}}}",
            quoted(&key.0),
            quoted(&key.1),
            quoted(&key.2)
        )
    }
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind(("127.0.0.1", free_port())).unwrap();
        let address = listener.local_addr().unwrap();
        let store = Store { address, rows: Arc::default(), is_busy: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn set_busy(&self, is_busy: bool) {
        note(&format!("trouble: the store is {}", if is_busy { "down for all" } else { "back" }));
        self.is_busy.store(is_busy, Ordering::SeqCst);
        self.rows.1.notify_all();
    }

    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (value.map(|value| value.as_bytes().to_vec()), version));
        changed.notify_all();
    }

    /// Values of the rows of a table, by key.
    pub fn table(&self, table: &str) -> BTreeMap<String, String> {
        let rows = self.rows.0.lock().unwrap();
        let of_table = rows.rows.iter().filter(|(key, _)| key.0 == table);
        let values = of_table.filter_map(|(key, (value, _))| {
            Some((key.2.clone(), String::from_utf8_lossy(value.as_ref()?).into_owned()))
        });
        values.collect()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.handle(&request);
            let status = match status {
                200 => "200 OK",
                412 => "412 Precondition Failed",
                503 => "503 Service Unavailable",
                _ => "404 Not Found",
            };
            if !respond(&mut stream, status, "Content-Type: application/json\r\n", body.as_bytes()) {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (u16, String) {
        let now_ms = elapsed_ms();
        if self.is_busy.load(Ordering::SeqCst) {
            return (503, String::new());
        }
        match request.path() {
            "/rows-tx" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let Some(json) = Json::parse(&text) else { return (404, String::new()) };
                self.transact(&json)
            }
            "/rows-get" => {
                thread::sleep(Duration::from_millis(4));
                let rows = self.rows.0.lock().unwrap();
                let (table, part) = (request.parameter("table"), request.parameter("part"));
                let (from, to) = (request.parameter("from"), request.parameter("to"));
                let found = rows.rows.iter().filter(|(key, (value, _))| {
                    key.0 == table
                        && key.1 == part
                        && key.2 >= from
                        && (to.is_empty() || key.2 < to)
                        && value.is_some()
                });
                let found: Vec<String> =
                    found.map(|(key, (value, version))| Rows::json(key, value, *version)).collect();
                let body = format!(
                    "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":{now_ms}}}",
                    found.join(","),
                    rows.version
                );
                (200, body)
            }
            "/rows-feed" => {
                let table = request.parameter("table");
                let after: u64 = request.parameter("after").parse().unwrap_or(0);
                let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
                let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
                let (rows, changed) = &*self.rows;
                let mut rows = rows.lock().unwrap();
                loop {
                    if self.is_busy.load(Ordering::SeqCst) {
                        return (503, String::new());
                    }
                    let mut found: Vec<_> = rows
                        .rows
                        .iter()
                        .filter(|(key, (_, version))| key.0 == table && *version > after)
                        .collect();
                    let left = deadline.saturating_duration_since(Instant::now());
                    if !found.is_empty() || left.is_zero() {
                        found.sort_by_key(|(_, (_, version))| *version);
                        let found: Vec<String> = found
                            .iter()
                            .map(|(key, (value, version))| Rows::json(key, value, *version))
                            .collect();
                        let body = format!(
                            "{{\"rows\":[{}],\"has_more\":false,\"ver\":{},\"now_ms\":{now_ms}}}",
                            found.join(","),
                            rows.version
                        );
                        return (200, body);
                    }
                    rows = changed.wait_timeout(rows, left).unwrap().0;
                }
            }
            _ => (404, String::new()),
        }
    }

    fn transact(&self, json: &Json) -> (u16, String) {
        // A transaction takes `tx_ms`.
        thread::sleep(Duration::from_millis(5));
        let key = |entry: &Json| -> Key {
            let text = |name| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let expected = json.get("expected").list();
        let holds = |entry: &Json| rows.version_of(&key(entry)) == entry.get("ver").number();
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|entry| {
                let key = key(entry);
                let (value, version) = rows.rows.get(&key)?;
                value.as_ref()?;
                Some(Rows::json(&key, value, *version))
            });
            let found: Vec<String> = found.collect();
            let body = format!("{{\"rows\":[{}],\"ver\":{},\"now_ms\":0}}", found.join(","), rows.version);
            return (412, body);
        }
        rows.version += 1;
        let version = rows.version;
        for entry in json.get("writes").list() {
            let value = unbase64(entry.get("value").text());
            rows.rows.insert(key(entry), (Some(value), version));
        }
        for entry in json.get("remove").list() {
            rows.rows.insert(key(entry), (None, version));
        }
        changed.notify_all();
        (200, format!("{{\"ver\":{version},\"now_ms\":0}}"))
    }
}

// ---------------------------------------------------------------- proxy

/// Relays connections to a server. While it is cut, bytes are held back both ways and new
/// connections get nothing; at the end of the cut the connections that it met are closed.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    epoch: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(("127.0.0.1", free_port())).unwrap();
        let proxy = Proxy {
            address: listener.local_addr().unwrap(),
            is_cut: Arc::default(),
            epoch: Arc::default(),
            streams: Arc::default(),
        };
        let served = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = served.clone();
                thread::spawn(move || {
                    proxy.streams.lock().unwrap().push(client.try_clone().unwrap());
                    let Ok(server) = TcpStream::connect(server) else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    proxy.streams.lock().unwrap().push(server.try_clone().unwrap());
                    let epoch = proxy.epoch.load(Ordering::SeqCst);
                    let (back_from, back_to) = (server.try_clone().unwrap(), client.try_clone().unwrap());
                    let backwards = proxy.clone();
                    thread::spawn(move || backwards.pass(back_from, back_to, epoch));
                    proxy.pass(client, server, epoch);
                });
            }
        });
        proxy
    }

    fn pass(&self, mut from: TcpStream, mut to: TcpStream, epoch: u64) {
        let mut buffer = vec![0; 65_536];
        loop {
            let bytes = match from.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(bytes) => bytes,
            };
            while self.is_cut.load(Ordering::SeqCst) {
                sleep_ms(1);
            }
            if self.epoch.load(Ordering::SeqCst) != epoch || to.write_all(&buffer[..bytes]).is_err() {
                break;
            }
        }
        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.epoch.fetch_add(1, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

// ---------------------------------------------------------------- engines

/// Model engine: each turn streams as many events as its maximum of tokens allows.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub service: String,
    pub born: u64,
    pub event_ms: u64,
    pub is_gone: Arc<AtomicBool>,
    pub state: Arc<Mutex<String>>,
    /// Percent of the bookings that fail after the engine began to work on them.
    pub failing_percent: Arc<AtomicU64>,
    /// Ids of the bookings that ran.
    pub ran: Arc<Mutex<Vec<String>>>,
}

pub const TOKENS_PER_EVENT: u64 = 12;

impl Engine {
    pub fn start(store: &Store, id: &str, service: &str, zone: &str, event_ms: u64) -> Engine {
        let listener = TcpListener::bind(("127.0.0.1", free_port())).unwrap();
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            born: unix_ms(),
            event_ms,
            is_gone: Arc::default(),
            state: Arc::new(Mutex::new("ready".to_owned())),
            failing_percent: Arc::default(),
            ran: Arc::default(),
        };
        let served = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = served.clone();
                thread::spawn(move || engine.serve(stream));
            }
        });
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            let mut sequence = 0;
            while !beating.is_gone.load(Ordering::SeqCst) {
                sequence += 1;
                beating.write(&store, sequence);
                sleep_ms(1_200);
            }
        });
        engine
    }

    fn write(&self, store: &Store, sequence: u64) {
        let entry = format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":12,\
             \"state\":{},\"cold_remaining_ms\":0.0,\"seq_num\":{sequence},\"born\":{}}}",
            quoted(&self.service),
            self.address,
            quoted(&self.zone),
            quoted(&self.state.lock().unwrap()),
            self.born
        );
        store.put("servers", &self.id, Some(&entry));
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_request(&mut reader) {
            let is_open = match (request.method(), request.path()) {
                ("GET", "/health") => {
                    let headers = format!("Lagoonscale-Instance-Id: {}\r\n", self.id);
                    respond(&mut stream, "200 OK", &headers, b"ok")
                }
                ("GET", "/report") => respond(&mut stream, "200 OK", "", b"{}"),
                _ => self.run(&mut stream, &request),
            };
            if !is_open {
                return;
            }
        }
    }

    fn run(&self, stream: &mut TcpStream, request: &Message) -> bool {
        let id = request.header("lagoonscale-request-id").unwrap_or("-").to_owned();
        if request.header("lagoonscale-expect-instance").is_some_and(|expected| expected != self.id) {
            let headers = format!("Lagoonscale-Instance-Id: {}\r\n", self.id);
            return respond(stream, "421 Misdirected Request", &headers, b"");
        }
        note(&format!("run  {} {id} {}", self.id, request.target()));
        let own = format!("Lagoonscale-Request-Id: {id}\r\nLagoonscale-Server-Stamp: {}.{id}\r\n", self.id);
        if request.path().starts_with("/bookings/") {
            self.ran.lock().unwrap().push(id.clone());
            sleep_ms(40);
            let fails = random() % 100 < self.failing_percent.load(Ordering::SeqCst);
            note(&format!("end  {} {id} {}", self.id, if fails { "503" } else { "200" }));
            return match fails {
                true => respond(stream, "503 Service Unavailable", &own, b"the work failed"),
                false => respond(stream, "200 OK", &own, format!("booked {id}").as_bytes()),
            };
        }
        let usage = request.header("lagoonscale-token-usage").unwrap_or("0,0");
        let most: u64 = usage.split(',').nth(1).and_then(|most| most.parse().ok()).unwrap_or(0);
        let first: u64 = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{own}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        for event in first + 1..=most / TOKENS_PER_EVENT {
            sleep_ms(self.event_ms);
            let event = format!("id: {event}\ndata: {id} piece {event}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a head.
    pub status: u16,
    pub events: u64,
    pub is_complete: bool,
    pub retry_after_ms: u64,
    pub body: Vec<u8>,
}

/// Sends one request on a connection of its own and reads the answer.
pub fn ask(to: SocketAddr, request: &str, timeout_ms: u64) -> Answer {
    let mut answer = Answer::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_millis(1_000)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_millis(timeout_ms)));
    if stream.write_all(request.as_bytes()).is_err() {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let Some(mut head) = read_head(&mut reader) else { return answer };
    answer.status = head.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let retry = head.header("retry-after").and_then(|after| after.parse::<f64>().ok());
    answer.retry_after_ms = retry.map_or(0, |seconds| (seconds * 1e3) as u64);
    if head.header("transfer-encoding").is_some() {
        loop {
            let Some(chunk) = read_chunk(&mut reader) else { break };
            if chunk.is_empty() {
                answer.is_complete = true;
                break;
            }
            answer.body.extend_from_slice(&chunk);
        }
    } else {
        answer.is_complete = read_body(&mut reader, &mut head).is_some();
        answer.body = head.body;
    }
    if answer.status == 200 {
        answer.events = String::from_utf8_lossy(&answer.body).matches("\n\n").count() as u64;
    }
    answer
}

pub struct Turn<'a> {
    pub program: &'a str,
    pub session: &'a str,
    pub budget: u64,
    pub most: u64,
    pub via: &'a str,
}

impl Turn<'_> {
    /// Sends the turn as a client does: once more after a refusal, and all that twice more
    /// after a pause. Adds the tokens of all attempts to `count`; returns the last status.
    pub fn play(&self, to: SocketAddr, count: &dyn Fn(&str, &Answer)) -> u16 {
        let mut status = 0;
        for sent in 0..3 {
            if sent > 0 {
                sleep_ms(100 + random() % 300);
            }
            for attempt in 0..2 {
                let answer = self.send(to);
                count(self.program, &answer);
                status = answer.status;
                let is_promise = matches!(status, 429 | 503);
                if (status == 200 && answer.is_complete) || status == 402 {
                    return status;
                }
                if !is_promise || attempt == 1 {
                    break;
                }
                sleep_ms(answer.retry_after_ms.min(1_000));
            }
        }
        status
    }

    /// Sends the turn once, and returns the answer.
    pub fn send(&self, to: SocketAddr) -> Answer {
        let id = format!("{:016x}", random());
        let body = format!("prompt of {}", self.session);
        let request = format!(
            "POST /turns/a HTTP/1.1\r\nHost: agents.example\r\nConnection: close\r\n\
             Lagoonscale-Request-Id: {id}\r\nLagoonscale-Program-Id: {}\r\n\
             Lagoonscale-Session-Id: {}\r\nLagoonscale-Finish-Ms: 9000\r\n\
             Lagoonscale-Token-Budget: {}\r\nLagoonscale-Token-Usage: 512,{}\r\n\
             Lagoonscale-Prompt-Prefix: 5c1e07a2:400,{:x}:112\r\nLagoonscale-Model: m\r\n\
             Lagoonscale-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
            self.program,
            self.session,
            self.budget,
            self.most,
            random() >> 32,
            body.len()
        );
        note(&format!("sent {} {id} program {} to {}", self.via, self.program, self.via));
        let answer = ask(to, &request, 4_000);
        note(&format!(
            "got  {} {id} program {} status {} events {} tokens {} whole {}",
            self.via,
            self.program,
            answer.status,
            answer.events,
            answer.events * TOKENS_PER_EVENT,
            answer.is_complete
        ));
        answer
    }
}

// ---------------------------------------------------------------- processes

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Process of an entry VM, started with the command of the deploy file.
pub struct Vm {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    pub store: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

impl Vm {
    pub fn new(folder: &str, name: &str, zone: &str, store: SocketAddr) -> Vm {
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        Vm {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: address(),
            ready: address(),
            peers: address(),
            store,
            folder: PathBuf::from(folder),
            child: None,
        }
    }

    /// Starts the process; `bootstrap` where the whole system starts for the first time.
    pub fn start(&mut self, bootstrap: bool) {
        let settings = self.folder.join(format!("{}.toml", self.name));
        // deploy/entry.toml with the fields of a small deployment.
        let text = format!(
            "[vm]\nname = \"{}\"\ndomain = \"{}\"\nfirst_start = {bootstrap}\n\n\
             [listen]\ncallers = \"{}\"\nready = \"{}\"\npeers = \"{}\"\n\n\
             [store]\naddress = \"{}\"\nrow_bytes = 65536\n\n\
             [limits]\nstop_wait_s = 8\nsettle_ms = 1000\nmemory_mb = 260\ndescriptors = 8200\n\n\
             [log]\nstdout = true\n",
            self.name, self.zone, self.front, self.ready, self.peers, self.store
        );
        std::fs::write(&settings, text).unwrap();
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .unwrap();
        let mut command = Command::new("target/release/lagoon-entry");
        command.arg("--settings").arg(&settings);
        command.stdin(Stdio::null()).stdout(log.try_clone().unwrap()).stderr(log);
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn();
        match child {
            Ok(child) => {
                note(&format!("proc {} started, process {}", self.name, child.id()));
                self.child = Some(child);
            }
            Err(error) => could_not_run(&format!("lagoon-entry does not start: {error}")),
        }
    }

    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            note(&format!("proc {} gets {signal}", self.name));
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(child.id().to_string()).status();
        }
    }

    /// Waits until the process has ended; `false` if it hasn't in this time.
    pub fn wait_end(&mut self, max_ms: u64) -> bool {
        let deadline = Instant::now() + Duration::from_millis(max_ms);
        let Some(child) = &mut self.child else { return true };
        while Instant::now() < deadline {
            if let Ok(Some(status)) = child.try_wait() {
                note(&format!("proc {} ended: {status}", self.name));
                self.child = None;
                return true;
            }
            sleep_ms(10);
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        ask(self.ready, request, 1_000).status == 200
    }

    pub fn wait_ready(&self, max_ms: u64) -> bool {
        let deadline = Instant::now() + Duration::from_millis(max_ms);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn metric(&self, name: &str) -> String {
        let request = "GET /metrics HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
        let answer = ask(self.peers, request, 1_000);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let found = text.lines().find(|line| line.starts_with(name));
        found.unwrap_or("-").to_owned()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub fn could_not_run(why: &str) -> ! {
    note(&format!("case could not run: {why}"));
    println!("could not run: {why}");
    std::process::exit(2)
}

/// Ends the case with the exit code of its result.
pub fn finish(is_broken: bool, why: &str) -> ! {
    let result = if is_broken { "rule broken" } else { "rule held" };
    note(&format!("{result}: {why}"));
    println!("{result}: {why}");
    std::process::exit(i32::from(is_broken))
}

/// Configuration with one route of turns.
pub fn config(extra_routes: &str, extra_services: &str) -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"turns\",\"host\":\"agents.example\",\"prefix\":\"/turns/\",\
         \"kind\":\"streaming\",\"timeout_ms\":3000,\"target_latency_ms\":200,\"priority\":0,\
         \"service\":\"engines\",\"max_attempts\":1,\"retain\":false,\"retention_s\":60.0,\"sticky\":true,\
         \"resumable\":true,\"gap_aim_ms\":150}}{extra_routes}],\"services\":[{{\"name\":\"engines\",\
         \"health_path\":\"/health\",\"max_connections\":150,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":12,\"kv_cache_tokens\":100000,\"tokens_per_event\":12}}}}{extra_services}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}"
    )
}
