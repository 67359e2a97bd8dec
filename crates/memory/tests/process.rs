//! Limit of all that a process has in memory.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::task::{Context, Waker};

use lagoon_memory::{Claim, Exhausted, Holding, Memory, ProcessLimit, ORDINARY_BYTES, SMALL_BYTES};

const MB: u64 = 1_000_000;

/// Maximum of the process.
const MAX_BYTES: u64 = 16 * MB;

/// What arrivals leave free for requests in progress is used up from here on.
const FULL_BYTES: u64 = MAX_BYTES - MAX_BYTES / 8;

thread_local! {
    static HEAP_BYTES: Cell<u64> = const { Cell::new(0) };
}

/// Each test runs on a thread of its own.
fn heap_bytes() -> u64 {
    HEAP_BYTES.get()
}

fn memory() -> Memory {
    let limit = ProcessLimit {
        max_bytes: MAX_BYTES,
        heap_bytes,
    };
    Memory::of_process(64 * MB, 4, limit)
}

fn connection(memory: &Memory, fixed_bytes: u64, now_ms: u64) -> Holding {
    memory.hold_beside(Claim::Withdrawable, fixed_bytes, now_ms)
}

// Guards against connections that each are within their bound, but not all together.
#[test]
fn oldest_connection_makes_room_for_the_next() {
    let memory = memory();
    let old = connection(&memory, MB, 0);
    let young = connection(&memory, MB, 900);
    HEAP_BYTES.set(FULL_BYTES + 1);
    let next = connection(&memory, MB, 1_000);
    next.claim_room(1_000).expect("room");
    assert!(old.is_withdrawn());
    assert!(!young.is_withdrawn() && !next.is_withdrawn());
}

// Guards against more withdrawals than needed, while the owners have not freed their memory
// yet.
#[test]
fn memory_that_is_about_to_be_freed_makes_room_once() {
    let memory = memory();
    let first = connection(&memory, 2 * MB, 0);
    let second = connection(&memory, 2 * MB, 500);
    HEAP_BYTES.set(FULL_BYTES + MB);
    let next = connection(&memory, MB, 1_000);
    next.claim_room(1_000).expect("room");
    next.claim_room(1_000).expect("room");
    assert!(first.is_withdrawn() && !second.is_withdrawn());
    drop(first);
    next.claim_room(1_000).expect("room");
    assert!(second.is_withdrawn());
}

// Guards against a connection that is closed while a request on it may run.
#[test]
fn pinned_connection_stays_and_the_next_is_refused() {
    let memory = memory();
    let busy = connection(&memory, MB, 0);
    busy.set_claim(Claim::Pinned, 100);
    HEAP_BYTES.set(FULL_BYTES + 1);
    let next = connection(&memory, MB, 1_000);
    assert_eq!(next.claim_room(1_000), Err(Exhausted));
    assert!(!busy.is_withdrawn());
    busy.set_claim(Claim::Withdrawable, 500);
    next.claim_room(1_001).expect("room");
    assert!(busy.is_withdrawn());
}

// Guards against long heads and bodies that leave nothing for small requests, and against
// arrivals that leave nothing for the responses of requests that have run.
#[test]
fn reserve_is_kept_for_small_holdings_and_for_responses() {
    let memory = memory();
    let response = memory.hold(Claim::Pinned, 0);
    let small = memory.hold(Claim::Withdrawable, 0);
    let ordinary = memory.hold(Claim::Withdrawable, 0);
    let large = memory.hold(Claim::Withdrawable, 0);
    HEAP_BYTES.set(MAX_BYTES - MAX_BYTES / 5);
    assert_eq!(large.set(ORDINARY_BYTES + 1, 0), Err(Exhausted));
    HEAP_BYTES.set(MAX_BYTES - MAX_BYTES / 7);
    assert_eq!(ordinary.set(SMALL_BYTES + 1, 0), Err(Exhausted));
    small.set(SMALL_BYTES, 0).expect("reserve");
    small.claim_room(0).expect("reserve");
    drop(small);
    HEAP_BYTES.set(MAX_BYTES);
    let next = memory.hold(Claim::Withdrawable, 0);
    assert_eq!(next.claim_room(0), Err(Exhausted));
    response.set(MB, 0).expect("reserve");
    let stream = memory.hold(Claim::Withdrawable, 0);
    assert_eq!(stream.set(MB, 0), Err(Exhausted));
    stream.set_in_progress(MB, 0).expect("reserve");
}

// Guards against bytes that sockets hold and nobody counts.
#[test]
fn bytes_outside_of_the_heap_are_counted() {
    let memory = memory();
    let holding = memory.hold(Claim::Withdrawable, 0);
    HEAP_BYTES.set(FULL_BYTES - MB);
    let outside = memory.count_outside(2 * MB);
    assert_eq!(holding.claim_room(0), Err(Exhausted));
    drop(outside);
    holding.claim_room(0).expect("room");
}

// Guards against slow readers that keep the memory of responses which have run.
#[test]
fn response_that_waits_makes_room_for_others() {
    let memory = Memory::new(MB, 4);
    let response = memory.hold(Claim::Pinned, 0);
    response.set(700_000, 0).expect("memory");
    let next = memory.hold(Claim::Pinned, 100);
    assert_eq!(next.set(700_000, 100), Err(Exhausted));
    let watch = response.watch();
    watch.set_claim(Claim::Withdrawable, 100);
    assert!(!is_ready(watch.withdrawn()));
    next.set(700_000, 5_000).expect("memory");
    assert!(is_ready(watch.withdrawn()));
    drop(response);
    assert!(!is_ready(watch.withdrawn()));
}

// Guards against responses that arrive at the same time, of which none becomes whole.
#[test]
fn reserved_bytes_are_there_for_the_whole_body() {
    let memory = Memory::new(MB, 4);
    let first = memory.hold(Claim::Pinned, 0);
    first.reserve(500_000, 0).expect("memory");
    let second = memory.hold(Claim::Pinned, 0);
    assert_eq!(second.reserve(500_000, 0), Err(Exhausted));
    first.push(&[1; 500_000], 0).expect("reserved");
    assert!(memory.held_bytes() <= 500_000 + 16_384);
    assert_eq!(first.finish().expect("memory").len(), 500_000);
    assert_eq!(memory.held_bytes(), 500_000);
    drop(first);
    second.reserve(500_000, 0).expect("memory");
    drop(second);
    assert_eq!(memory.held_bytes(), 0);
}

fn is_ready<F>(future: F) -> bool
where
    F: Future<Output = ()>,
{
    let mut context = Context::from_waker(Waker::noop());
    pin!(future).poll(&mut context).is_ready()
}
