//! Daemons as processes: streams, crashes, suspended processes and planned
//! stops.

mod site;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use lagoon_standin::caller::Reply;
use nix::sys::signal::Signal;
use serde_json::json;
use site::{post_json, wait_for, Site};

fn headers<'a>(program: &'a str, number: &'a str) -> [(&'a str, &'a str); 2] {
    [("Lagoon-Program", program), ("Lagoon-Call", number)]
}

/// Retries a call until its response is complete, as a caller that handles
/// errors does.
fn chat_until_complete(site: &Site, vm: usize, program: &str, number: &str) -> Reply {
    let client = site.client(vm);
    wait_for("complete response", || {
        let reply = client.chat(
            "contract-agent",
            number,
            8,
            &headers(program, number),
            |_| {},
        );
        reply.ok().filter(|reply| reply.complete)
    })
}

fn book(site: &Site, vm: usize, program: &str, number: &str) -> Result<Reply, String> {
    let body = json!({"slot": number});
    let headers = headers(program, number);
    site.client(vm).call_service("booking", &headers, &body)
}

fn book_until_ok(site: &Site, vm: usize, program: &str, number: &str) -> Reply {
    book_until(site, vm, program, number, |reply| reply.status == 200)
}

/// Repeats a booking until its response says that it survives the death of the owner.
fn book_until_durable(site: &Site, vm: usize, program: &str, number: &str) -> Reply {
    book_until(site, vm, program, number, |reply| {
        reply.status == 200 && reply.summary.contains("durable=true")
    })
}

fn book_until<F>(site: &Site, vm: usize, program: &str, number: &str, is_awaited: F) -> Reply
where
    F: Fn(&Reply) -> bool,
{
    let mut last = String::new();
    wait_for("booking", || {
        let reply = book(site, vm, program, number);
        let seen = match &reply {
            Ok(reply) => format!("{} {} {}", reply.status, reply.text, reply.summary),
            Err(error) => error.to_string(),
        };
        if seen != last {
            println!(
                "booking {program}#{number} through {}: {seen}",
                site.vms[vm].name
            );
            last = seen;
        }
        reply.ok().filter(&is_awaited)
    })
}

/// Largest number of connections that arrive together.
const MAX_BURST: usize = 8;

/// Time in which a connection is served.
const SERVE_TIME: Duration = Duration::from_secs(5);

// Guards against a connection that is served only after another one has closed, as it
// arrived while the server's threads were waking up for others.
#[test]
fn connections_that_arrive_together_are_all_served() {
    let site = Site::start(1);
    let connect = || TcpStream::connect(site.vms[0].callers).expect("connection");
    let is_served = |mut stream: &TcpStream| {
        let request = b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n";
        stream.write_all(request).expect("request is sent");
        stream.set_read_timeout(Some(SERVE_TIME)).expect("timeout");
        stream.read(&mut [0; 1_024]).is_ok_and(|read| read > 0)
    };
    // Occupy the threads that the server always has.
    let kept: Vec<TcpStream> = (0..4).map(|_| connect()).collect();
    assert!(kept.iter().all(is_served));
    for burst in 1..=MAX_BURST {
        let together: Vec<TcpStream> = (0..burst).map(|_| connect()).collect();
        let served = together.iter().filter(|stream| is_served(stream)).count();
        assert_eq!(served, burst);
    }
}

/// Index of the VM that a response names as the program's owner.
fn owner_index(site: &Site, reply: &Reply) -> usize {
    let is_owner = |name: &str| reply.summary.contains(&format!("\"owner\":\"{name}\""));
    let owner_index = site.vms.iter().position(|vm| is_owner(&vm.name));
    owner_index.expect("owner")
}

#[test]
fn chat_through_any_vm_completes() {
    let site = Site::start(2);
    let first = site
        .client(0)
        .chat("contract-agent", "one", 30, &[], |_| {});
    let first = first.expect("response");
    assert!(first.complete, "{}", first.text);
    let words = first.text.split_whitespace().count();
    assert_eq!(words, 30);
    let second = chat_until_complete(&site, 1, &first.program, "2");
    assert_eq!(second.program, first.program);
    assert!(
        second.summary.contains("\"owner\":\"vm1\""),
        "{}",
        second.summary
    );
    let again = chat_until_complete(&site, 0, &first.program, "2");
    assert_eq!(again.text, second.text);
    assert!(
        again.summary.contains("\"replayed\":true"),
        "{}",
        again.summary
    );
}

#[test]
fn chat_interrupted_stream_is_resumed() {
    let site = Site::start(1);
    post_json(site.engine, "/control", &json!({"break_after": 5}));
    let reply = site
        .client(0)
        .chat("contract-agent", "one", 30, &[], |_| {});
    let reply = reply.expect("response");
    assert!(reply.complete, "{}", reply.summary);
    assert_eq!(reply.text.split_whitespace().count(), 30);
}

// Guards against events that are held back until others follow.
#[test]
fn events_arrive_as_the_target_sends_them() {
    let site = Site::start(1);
    let started = Instant::now();
    let mut first = None;
    let reply = site.client(0).chat("contract-agent", "one", 500, &[], |_| {
        first.get_or_insert_with(|| started.elapsed());
    });
    let took = started.elapsed();
    assert!(reply.expect("response").complete);
    // The target takes a millisecond for each of the events.
    let first = first.expect("event");
    assert!(first < took / 2, "{first:?} of {took:?}");
}

// Guards against a caller that has left its stream and isn't noticed. Its call goes on for a
// repeat.
#[test]
fn caller_that_leaves_its_stream_is_noticed() {
    let files = tempfile::TempDir::new().expect("folder");
    let spans = files.path().join("spans.jsonl");
    let site = Site::start_bounded(1, None, &format!("[traces]\nfile = {spans:?}"));
    let body = json!({
        "model": "contract-agent", "stream": true, "max_tokens": 100_000,
        "messages": [{"role": "user", "content": "quote"}],
    });
    let body = body.to_string();
    let length = body.len();
    let mut stream = TcpStream::connect(site.vms[0].callers).expect("connection");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\
         Authorization: Bearer grower-desk-key\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("head is sent");
    stream.write_all(body.as_bytes()).expect("body is sent");
    let read = stream.read(&mut [0; 4_096]).expect("response");
    assert!(read > 0);
    drop(stream);
    // The target takes over 100 s for the whole stream.
    wait_for("the span of the caller that left", || {
        let spans = std::fs::read_to_string(&spans).unwrap_or_default();
        spans.contains("callergone").then_some(())
    });
}

#[test]
fn chat_without_streaming_gets_one_body() {
    let site = Site::start(1);
    let url = format!("http://{}/v1/chat/completions", site.vms[0].callers);
    let body = json!({
        "model": "contract-agent",
        "messages": [{"role": "user", "content": "quote"}],
    });
    let mut response = ureq::post(url)
        .header("Authorization", "Bearer grower-desk-key")
        .send_json(&body)
        .expect("response");
    assert!(response.headers().contains_key("Lagoon-Program"));
    let value: serde_json::Value = response.body_mut().read_json().expect("json");
    assert_eq!(value["object"], "chat.completion");
    // Default output limit, as the request has none.
    assert_eq!(value["usage"]["completion_tokens"], 4_096);
}

/// Status of a request that is sent as these bytes.
fn raw_status(site: &Site, request: &str) -> String {
    let mut stream = TcpStream::connect(site.vms[0].callers).expect("connection");
    stream
        .write_all(request.as_bytes())
        .expect("request is sent");
    let mut head = [0; 12];
    stream.read_exact(&mut head).expect("response");
    String::from_utf8_lossy(&head[9..]).into_owned()
}

// Guards against headers of any size that are read whole, and a negative length
// that counts as no body.
#[test]
fn request_with_large_headers_or_negative_length_is_rejected() {
    let site = Site::start(1);
    let large = "x".repeat(100_000);
    let line = "GET /healthz HTTP/1.1\r\nHost: a\r\n";
    let with_header = format!("{line}Large: {large}\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(raw_status(&site, &with_header), "431");
    let negative = format!("{line}Content-Length: -1\r\n\r\n");
    assert_eq!(raw_status(&site, &negative), "400");
    let sound = format!("{line}Content-Length: 0\r\n\r\n");
    assert_eq!(raw_status(&site, &sound), "200");
}

#[test]
fn chat_unknown_key_and_model_are_rejected() {
    let site = Site::start(1);
    let url = format!("http://{}/v1/chat/completions", site.vms[0].callers);
    let request = |key: &str, model: &str| {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let response = agent
            .post(&url)
            .header("Authorization", format!("Bearer {key}"))
            .send_json(json!({"model": model, "messages": []}))
            .expect("response");
        let kind = response.headers().get("Lagoon-Error").cloned();
        (response.status().as_u16(), kind.expect("kind"))
    };
    assert_eq!(request("wrong", "contract-agent").0, 401);
    let (status, kind) = request("grower-desk-key", "other");
    assert_eq!(
        (status, kind.to_str().expect("text")),
        (404, "unknown_model")
    );
}

#[test]
fn killed_owner_successor_has_its_programs() {
    let mut site = Site::start(3);
    let first = chat_until_complete(&site, 0, "harvest", "1");
    // A successor has no response whose record wasn't durable.
    let booked = book_until_durable(&site, 1, "harvest", "2");
    let owner = owner_index(&site, &first);
    site.vms[owner].signal(Signal::SIGKILL);
    let other = (owner + 1) % 3;
    let again = book_until_ok(&site, other, "harvest", "2");
    assert_eq!(again.text, booked.text);
    chat_until_complete(&site, other, "harvest", "3");
    assert_eq!(site.executed_bookings().len(), 1);
    site.vms[owner].exit_code();
}

/// Service time of a booking during which the platform fails: longer than a call waits
/// for its intent to be durable.
const SLOW_BOOKING: Duration = Duration::from_millis(3_000);

// Guards against a response that doesn't say that it can get lost, and against a
// booking that runs again, or seems not to have run, after it got lost with its owner.
#[test]
fn booking_that_is_not_durable_is_in_doubt_after_its_owner_was_killed() {
    let mut site = Site::start(3);
    let first = chat_until_complete(&site, 0, "harvest", "1");
    let owner = owner_index(&site, &first);
    let other = (owner + 1) % 3;
    let slow = json!({"fail": "none", "delay_ms": SLOW_BOOKING.as_millis() as u64});
    post_json(site.booking_service, "/control", &slow);
    let booked = thread::scope(|scope| {
        let booked = scope.spawn(|| book(&site, other, "harvest", "2"));
        thread::sleep(SLOW_BOOKING / 2);
        post_json(site.platform, "/control", &json!({"mode": "down"}));
        booked.join().expect("caller")
    });
    let booked = booked.expect("response");
    assert_eq!(booked.status, 200, "{}", booked.text);
    assert!(
        booked.summary.contains("durable=false"),
        "{}",
        booked.summary
    );
    site.vms[owner].signal(Signal::SIGKILL);
    site.vms[owner].exit_code();
    post_json(site.platform, "/control", &json!({"mode": "up"}));
    let repeated = book_until(&site, other, "harvest", "2", |reply| reply.status != 503);
    assert_eq!(repeated.status, 502, "{}", repeated.text);
    assert!(repeated.text.contains("in_doubt"), "{}", repeated.text);
    assert_eq!(site.executed_bookings(), ["harvest#2"]);
}

#[test]
fn suspended_owner_exits_when_resumed() {
    let mut site = Site::start(3);
    let first = chat_until_complete(&site, 0, "harvest", "1");
    let owner = owner_index(&site, &first);
    site.vms[owner].signal(Signal::SIGSTOP);
    let other = (owner + 1) % 3;
    book_until_ok(&site, other, "harvest", "2");
    site.vms[owner].signal(Signal::SIGCONT);
    assert_eq!(site.vms[owner].exit_code(), Some(3));
    assert_eq!(site.executed_bookings(), ["harvest#2"]);
}

#[test]
fn planned_stop_completes_streams_and_transfers_programs() {
    let mut site = Site::start(2);
    let client = site.client(0);
    let (started, first_event) = channel();
    let long = thread::spawn(move || {
        client.chat("contract-agent", "long", 1_500, &[], |_| {
            let _ = started.send(());
        })
    });
    first_event.recv().expect("first event");
    site.vms[0].signal(Signal::SIGTERM);
    let reply = long.join().expect("caller").expect("response");
    assert!(reply.complete, "{}", reply.summary);
    assert_eq!(reply.text.split_whitespace().count(), 1_500);
    assert_eq!(site.vms[0].exit_code(), Some(0));
    chat_until_complete(&site, 1, &reply.program, "2");
}

#[test]
fn rolling_restart_loses_no_program() {
    let mut site = Site::start(3);
    let first = site.client(0).chat("contract-agent", "one", 8, &[], |_| {});
    let program = first.expect("response").program;
    for vm in 0..3 {
        site.vms[vm].signal(Signal::SIGTERM);
        assert_eq!(site.vms[vm].exit_code(), Some(0));
        site.vms[vm].start();
        site.vms[vm].wait_ready();
        chat_until_complete(&site, (vm + 1) % 3, &program, &(vm + 2).to_string());
    }
}

#[test]
fn platform_outage_open_programs_continue() {
    let site = Site::start(2);
    let first = site.client(0).chat("contract-agent", "one", 8, &[], |_| {});
    let program = first.expect("response").program;
    post_json(site.platform, "/control", &json!({"mode": "down"}));
    let second = chat_until_complete(&site, 1, &program, "2");
    assert!(
        second.summary.contains("\"durable\":false"),
        "{}",
        second.summary
    );
    let headers = headers(&program, "3");
    let refused = site.client(0).call_service("booking", &headers, &json!({}));
    assert_eq!(refused.expect("response").status, 503);
    post_json(site.platform, "/control", &json!({"mode": "up"}));
    book_until_ok(&site, 1, &program, "3");
    assert_eq!(site.executed_bookings().len(), 1);
}

// Guards against daemons that don't read the limit that a service states, and against
// ones that each use the whole of it.
#[test]
fn limit_of_a_service_holds_for_all_daemons_together() {
    let site = Site::start(2);
    let limited = json!({"fail": "none", "limit_per_s": 1.0});
    post_json(site.booking_service, "/control", &limited);
    book_until_ok(&site, 0, "first", "1");
    let before = site.executed_bookings().len();
    let started = Instant::now();
    thread::scope(|scope| {
        for index in 0..24 {
            let client = site.client(index % 2);
            scope.spawn(move || {
                let program = format!("p{index}");
                let body = json!({"slot": index});
                // Those that wait for a permit end when the limit does.
                let _ = client.call_service("booking", &headers(&program, "1"), &body);
            });
        }
        thread::sleep(Duration::from_secs(3));
        let executed = site.executed_bookings().len() - before;
        let took_s = started.elapsed().as_secs_f64();
        assert!(executed as f64 <= 1.5 * took_s.max(4.0) + 5.0, "{executed}");
        post_json(site.booking_service, "/control", &json!({"fail": "none"}));
    });
    wait_for("all bookings", || {
        (site.executed_bookings().len() >= before + 24).then_some(())
    });
}
