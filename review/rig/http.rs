//! HTTP/1.1 on blocking sockets: requests of stand-in servers, and one client attempt.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Value of a query parameter, percent-decoded.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next();
        let bytes = value.unwrap_or_default().as_bytes();
        let mut decoded = Vec::new();
        let mut at = 0;
        while at < bytes.len() {
            match bytes[at] {
                b'%' if at + 2 < bytes.len() => {
                    let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
                    decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
                    at += 3;
                    continue;
                }
                b'+' => decoded.push(b' '),
                c => decoded.push(c),
            }
            at += 1;
        }
        String::from_utf8_lossy(&decoded).into_owned()
    }
}

fn read_line<R: BufRead>(reader: &mut R) -> Option<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line).ok()?;
    if !line.ends_with(b"\n") {
        return None;
    }
    while line.last().is_some_and(|c| *c == b'\n' || *c == b'\r') {
        line.pop();
    }
    Some(String::from_utf8_lossy(&line).into_owned())
}

fn read_headers<R: BufRead>(reader: &mut R) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_chunk<R: BufRead>(reader: &mut R) -> Option<Vec<u8>> {
    let size = read_line(reader)?;
    let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk).ok()?;
    read_line(reader)?;
    Some(chunk)
}

pub fn read_request<R: BufRead>(reader: &mut R) -> Option<Request> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let mut request = Request {
        method: words.next()?.to_owned(),
        target: words.next()?.to_owned(),
        ..Request::default()
    };
    request.headers = read_headers(reader)?;
    if let Some(length) = request
        .header("content-length")
        .and_then(|l| l.parse().ok())
    {
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        request.body = body;
    } else if request.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                break;
            }
            request.body.extend(chunk);
        }
    }
    Some(request)
}

/// Serves each connection in a thread of its own until `handle` returns `false`, which
/// closes it.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !handle(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

pub fn respond(out: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let bytes = [head.as_bytes(), body].concat();
    out.write_all(&bytes).is_ok()
}

/// What a client saw of one attempt.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if there was no head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub is_complete: bool,
}

impl Answer {
    /// Ids of the complete events in the body.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let mut ids = Vec::new();
        let mut rest = text.as_str();
        while let Some((event, after)) = rest.split_once("\n\n") {
            let id = event.lines().find_map(|line| line.strip_prefix("id: "));
            ids.extend(id.and_then(|id| id.parse::<u64>().ok()));
            rest = after;
        }
        ids
    }
}

/// Sends one request on a new connection.
pub fn call(address: SocketAddr, request: &Request, wait: Duration) -> Answer {
    let mut answer = Answer::default();
    let deadline = Instant::now() + wait;
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return answer;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.target);
    for (name, value) in &request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if request.method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", request.body.len()));
    }
    head.push_str("\r\n");
    if stream
        .write_all(&[head.as_bytes(), &request.body].concat())
        .is_err()
    {
        return answer;
    }
    let mut reader = BufReader::new(stream);
    let _ = read_answer(&mut reader, &mut answer, deadline);
    answer
}

fn read_answer<R: BufRead>(reader: &mut R, answer: &mut Answer, deadline: Instant) -> Option<()> {
    let line = read_line(reader)?;
    answer.status = line.split(' ').nth(1)?.parse().ok()?;
    answer.headers = read_headers(reader)?;
    if let Some(length) = header(&answer.headers, "content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        answer.body = body;
        answer.is_complete = true;
        return Some(());
    }
    loop {
        let chunk = read_chunk(reader)?;
        if chunk.is_empty() {
            answer.is_complete = true;
            return Some(());
        }
        answer.body.extend(chunk);
        if Instant::now() > deadline {
            return None;
        }
    }
}

pub fn write_chunk(out: &mut TcpStream, bytes: &[u8]) -> bool {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    out.write_all(&chunk).is_ok()
}

/// Waits until the peer closes the connection.
pub fn hold(out: &mut TcpStream) {
    let _ = out.set_read_timeout(None);
    let mut buffer = [0; 512];
    while matches!(out.read(&mut buffer), Ok(n) if n > 0) {}
}
