//! Callers that keep their connections, and tell whole answers from cut ones.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than the timeout of any route, so that a VM that never answers is told from
/// a slow one.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const READ_BYTES: usize = 16_384;

/// Whole answer, which may be a refusal.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    /// Status line and headers, in lower case.
    pub(crate) head: String,
    pub(crate) body: String,
}

/// End of a connection without a whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Cut {
    pub(crate) error: String,
    /// What was received of the answer.
    pub(crate) received: String,
}

/// How the bytes of a request are sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    pub(crate) pieces: usize,
    /// Pause between two pieces.
    pub(crate) pause: Duration,
}

impl Pace {
    pub(crate) const AT_ONCE: Pace = Pace {
        pieces: 1,
        pause: Duration::ZERO,
    };
}

/// Open connection to a VM.
pub(crate) struct Connection {
    pub(crate) address: SocketAddr,
    stream: TcpStream,
    /// Bytes that belong to no answer yet.
    received: Vec<u8>,
    /// Whole answers so far.
    pub(crate) answers: usize,
    /// Time of the last whole answer, or of the connection's start.
    pub(crate) rests_since: Instant,
    /// Time in the `Keep-Alive` header of the last answer.
    keep_alive: Option<Duration>,
    /// Whether the last answer says that the connection closes.
    closes: bool,
}

impl Connection {
    pub(crate) fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.set_write_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(Connection {
            address,
            stream,
            received: Vec::new(),
            answers: 0,
            rests_since: Instant::now(),
            keep_alive: None,
            closes: false,
        })
    }

    /// Whether the VM has announced that it closes the connection, or has closed it by
    /// now.
    pub(crate) fn is_close_announced(&self) -> bool {
        let rest = self.rests_since.elapsed();
        self.closes || self.keep_alive.is_some_and(|limit| rest >= limit)
    }

    /// Whether the VM has closed the connection, as far as is seen here.
    pub(crate) fn is_closed(&mut self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let peeked = self.stream.peek(&mut [0]);
        if self.stream.set_nonblocking(false).is_err() {
            return true;
        }
        match peeked {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    /// Sends bytes in pieces of about the same size.
    pub(crate) fn send(&mut self, bytes: &[u8], pace: Pace) -> std::io::Result<()> {
        let size = bytes.len().div_ceil(pace.pieces.max(1)).max(1);
        for (index, piece) in bytes.chunks(size).enumerate() {
            if index > 0 {
                thread::sleep(pace.pause);
            }
            self.stream.write_all(piece)?;
        }
        Ok(())
    }

    /// Reads the next answer.
    pub(crate) fn read_answer(&mut self) -> Result<Answer, Cut> {
        loop {
            if let Some((answer, length)) = parse_answer(&self.received) {
                self.received.drain(..length);
                if (100..200).contains(&answer.status) {
                    continue;
                }
                self.answers += 1;
                self.rests_since = Instant::now();
                self.closes = header(&answer.head, "connection") == Some("close");
                self.keep_alive = keep_alive(&answer.head);
                return Ok(answer);
            }
            let mut chunk = [0; READ_BYTES];
            let error = match self.stream.read(&mut chunk) {
                Ok(0) => "closed".to_owned(),
                Ok(bytes) => {
                    self.received.extend_from_slice(&chunk[..bytes]);
                    continue;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => error.to_string(),
            };
            return Err(Cut {
                error,
                received: String::from_utf8_lossy(&self.received).into_owned(),
            });
        }
    }
}

/// Value of a header, from a head in lower case.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| {
        let (found, value) = line.split_once(':')?;
        (found == name).then(|| value.trim())
    })
}

fn keep_alive(head: &str) -> Option<Duration> {
    let value = header(head, "keep-alive")?;
    let timeout = value.split(',').find_map(|part| {
        let (name, number) = part.trim().split_once('=')?;
        (name == "timeout").then(|| number.parse().ok())?
    })?;
    Some(Duration::from_secs(timeout))
}

/// First answer in `bytes` and its length; `None` if it isn't whole.
fn parse_answer(bytes: &[u8]) -> Option<(Answer, usize)> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let rest = &bytes[end + 4..];
    let (body, length) = if (100..200).contains(&status) {
        (Vec::new(), 0)
    } else if header(&head, "transfer-encoding") == Some("chunked") {
        parse_chunks(rest)?
    } else {
        let length = header(&head, "content-length")?.parse().ok()?;
        (rest.get(..length)?.to_vec(), length)
    };
    let answer = Answer {
        status,
        head,
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    Some((answer, end + 4 + length))
}

/// Body in chunks at the start of `bytes`, and its encoded length.
fn parse_chunks(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let (mut body, mut position) = (Vec::new(), 0);
    loop {
        let rest = &bytes[position..];
        let line = rest.windows(2).position(|window| window == b"\r\n")?;
        let size = std::str::from_utf8(&rest[..line]).ok()?;
        let size = usize::from_str_radix(size.trim(), 16).ok()?;
        let data = rest.get(line + 2..line + 2 + size + 2)?;
        body.extend_from_slice(&data[..size]);
        position += line + 2 + size + 2;
        if size == 0 {
            return Some((body, position));
        }
    }
}

/// Bytes of a request that keeps its connection, with its length stated.
pub(crate) fn encode(line: &str, headers: &[String], body: &[u8]) -> Vec<u8> {
    let mut bytes = encode_head(line, headers);
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Like [`encode`], with the body in chunks.
pub(crate) fn encode_chunked(
    line: &str,
    headers: &[String],
    body: &[u8],
    chunk_bytes: usize,
) -> Vec<u8> {
    let mut bytes = encode_head(line, headers);
    bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n\r\n");
    for chunk in body.chunks(chunk_bytes) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

fn encode_head(line: &str, headers: &[String]) -> Vec<u8> {
    let mut head = format!("{line} HTTP/1.1\r\nHost: a.example\r\n");
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    head.into_bytes()
}
