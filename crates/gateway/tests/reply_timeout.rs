//! Waiting for replies.

use lagoon_gateway::ReplyTimeout;

#[test]
fn wait_calm_store_is_short() {
    let mut patience = ReplyTimeout::default();
    (0..20).for_each(|_| patience.record_reply(9));
    assert_eq!(patience.timeout_ms(), 150);
}

#[test]
fn wait_slow_store_grows_until_replies_come() {
    let mut patience = ReplyTimeout::default();
    (0..3).for_each(|_| patience.record_timeout());
    assert_eq!(patience.timeout_ms(), 1_200);
    (0..10).for_each(|_| patience.record_reply(300));
    assert!(patience.timeout_ms() > 1_000);
    (0..20).for_each(|_| patience.record_reply(9));
    assert_eq!(patience.timeout_ms(), 150);
}

#[test]
fn wait_lost_reply_is_forgotten_with_the_next() {
    let mut patience = ReplyTimeout::default();
    patience.record_timeout();
    patience.record_reply(9);
    assert_eq!(patience.timeout_ms(), 150);
}

#[test]
fn wait_is_bounded() {
    let mut patience = ReplyTimeout::default();
    (0..20).for_each(|_| patience.record_timeout());
    assert_eq!(patience.timeout_ms(), 1_500);
}
