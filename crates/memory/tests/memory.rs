//! Accounting of held bytes.

use lagoon_memory::{Claim, Exhausted, Holding, Memory, ORDINARY_BYTES};

const MB: u64 = 1_000_000;

fn held(memory: &Memory, claim: Claim, bytes: u64, now_ms: u64) -> Holding {
    let holding = memory.hold(claim, now_ms);
    holding.set(bytes, now_ms).expect("memory");
    holding
}

// Guards against refusals of whoever comes next, while a larger holding stays.
#[test]
fn largest_holding_loses_its_bytes_to_a_smaller_one() {
    let memory = Memory::new(8 * MB, 4);
    let small = held(&memory, Claim::Withdrawable, MB, 0);
    let large = held(&memory, Claim::Withdrawable, 5 * MB, 0);
    let next = held(&memory, Claim::Withdrawable, 2 * MB, 10);
    assert!(large.is_withdrawn());
    assert!(!small.is_withdrawn() && !next.is_withdrawn());
    assert_eq!(memory.held_bytes(), 3 * MB);
    assert_eq!(large.set(1, 20), Err(Exhausted));
}

// Guards against a crowd that drips its bytes and makes large bodies impossible that come
// at once.
#[test]
fn slow_holding_loses_its_bytes_to_a_larger_one() {
    let memory = Memory::new(8 * MB, 4);
    let slow = held(&memory, Claim::Withdrawable, 3 * MB, 0);
    let large = held(&memory, Claim::Withdrawable, 6 * MB, 5_000);
    assert!(slow.is_withdrawn() && !large.is_withdrawn());
}

// Guards against the withdrawal of bytes of a request that may run.
#[test]
fn pinned_bytes_are_kept_and_the_next_is_refused() {
    let memory = Memory::new(8 * MB, 4);
    let body = memory.hold(Claim::Withdrawable, 0);
    body.push(&vec![1; 6_500_000], 0).expect("memory");
    let bytes = body.finish().expect("memory");
    let next = memory.hold(Claim::Withdrawable, 1_000);
    assert_eq!(next.set(MB, 1_000), Err(Exhausted));
    assert_eq!(bytes.len(), 6_500_000);
    assert!(!body.is_withdrawn());
    drop(body);
    assert_eq!(memory.held_bytes(), 0);
}

// Guards against large holdings that leave nothing for ordinary callers.
#[test]
fn reserve_is_kept_for_ordinary_holdings() {
    let memory = Memory::new(8 * MB, 4);
    let _large = held(&memory, Claim::Pinned, memory.max_holding_bytes(), 0);
    let other = memory.hold(Claim::Withdrawable, 0);
    assert_eq!(other.set(ORDINARY_BYTES + 1, 0), Err(Exhausted));
    let _ordinary = held(&memory, Claim::Withdrawable, ORDINARY_BYTES, 0);
}

// Guards against an ordinary caller that is refused because it is slow.
#[test]
fn ordinary_holding_is_kept_while_there_is_a_large_one() {
    let memory = Memory::new(8 * MB, 4);
    let ordinary = held(&memory, Claim::Withdrawable, 1_000, 0);
    let large = held(&memory, Claim::Withdrawable, 6 * MB, 9_999);
    let _next = held(&memory, Claim::Withdrawable, MB, 10_000);
    assert!(large.is_withdrawn() && !ordinary.is_withdrawn());
}

// Guards against small chunks that take more memory than is counted.
#[test]
fn capacity_of_a_buffer_is_counted() {
    let memory = Memory::new(8 * MB, 4);
    let body = memory.hold(Claim::Withdrawable, 0);
    for _ in 0..100_000 {
        body.push(b"x", 0).expect("memory");
        assert!(memory.held_bytes() >= body.buffered_bytes() as u64);
    }
    assert!(
        memory.held_bytes() <= 2 * 100_000,
        "{}",
        memory.held_bytes()
    );
    assert_eq!(body.finish().expect("memory").len(), 100_000);
    assert_eq!(memory.held_bytes(), 100_000);
}

// Guards against a buffer that grows far beyond the longest body.
#[test]
fn buffer_of_the_longest_body_is_hardly_larger() {
    let memory = Memory::new(8 * MB, 4);
    let body = memory.hold(Claim::Withdrawable, 0);
    for _ in 0..64 {
        body.push(&[1; 65_536], 0).expect("memory");
    }
    // One segment more than the body at most.
    assert!(memory.held_bytes() <= 4_194_304 + 16_384);
    assert_eq!(body.finish().expect("memory").len(), 4_194_304);
    assert_eq!(memory.held_bytes(), 4_194_304);
}

// Guards against segments whose bytes are mixed up, or that are lost to later bodies.
#[test]
fn bodies_that_arrive_together_are_kept_apart() {
    let memory = Memory::new(8 * MB, 4);
    for _ in 0..20 {
        let first = memory.hold(Claim::Withdrawable, 0);
        let second = memory.hold(Claim::Withdrawable, 0);
        for number in 0..30_u8 {
            first.push(&[number; 33_333], 0).expect("memory");
            second.push(&[100 + number; 77_777], 0).expect("memory");
        }
        let (first, second) = (first.finish(), second.finish());
        let expected = |from: u8, bytes: usize| -> Vec<u8> {
            (from..from + 30)
                .flat_map(|number| vec![number; bytes])
                .collect()
        };
        assert!(first.expect("memory") == expected(0, 33_333));
        assert!(second.expect("memory") == expected(100, 77_777));
    }
    assert_eq!(memory.held_bytes(), 0);
}

// Guards against bytes that are released while a part of the response is still to be sent.
#[test]
fn bound_bytes_are_counted_until_the_last_reference_is_dropped() {
    let memory = Memory::new(8 * MB, 4);
    let holding = memory.hold(Claim::Pinned, 0);
    holding.push(&[1; 1_000], 0).expect("memory");
    let bytes = holding.finish().expect("memory");
    let bytes = holding.bind(bytes);
    let part = bytes.slice(10..20);
    drop(bytes);
    assert_eq!(memory.held_bytes(), 1_000);
    drop(part);
    assert_eq!(memory.held_bytes(), 0);
}

// Guards against refused bodies that are discarded without a bound.
#[test]
fn number_of_discards_is_bounded() {
    let memory = Memory::new(8 * MB, 2);
    let first = memory.begin_discard().expect("first");
    let _second = memory.begin_discard().expect("second");
    assert!(memory.begin_discard().is_none());
    drop(first);
    assert!(memory.begin_discard().is_some());
}
