//! Adaptive reply timeout.

use lagoon_gateway::ReplyTimeout;

#[test]
fn timeout_of_fast_store_is_the_minimum() {
    let mut timeout = ReplyTimeout::default();
    (0..20).for_each(|_| timeout.record_reply(9));
    assert_eq!(timeout.timeout_ms(), 150);
}

#[test]
fn timeout_of_slow_store_follows_its_replies() {
    let mut timeout = ReplyTimeout::default();
    (0..3).for_each(|_| timeout.record_timeout());
    assert_eq!(timeout.timeout_ms(), 1_200);
    (0..10).for_each(|_| timeout.record_reply(300));
    assert!(timeout.timeout_ms() > 1_000);
    (0..20).for_each(|_| timeout.record_reply(9));
    assert_eq!(timeout.timeout_ms(), 150);
}

#[test]
fn timeout_recovers_with_the_reply_after_a_lost_one() {
    let mut timeout = ReplyTimeout::default();
    timeout.record_timeout();
    timeout.record_reply(9);
    assert_eq!(timeout.timeout_ms(), 150);
}

#[test]
fn timeout_is_bounded() {
    let mut timeout = ReplyTimeout::default();
    (0..20).for_each(|_| timeout.record_timeout());
    assert_eq!(timeout.timeout_ms(), 1_500);
}
