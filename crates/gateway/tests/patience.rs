//! Waiting for replies.

use lagoon_gateway::Patience;

#[test]
fn wait_calm_store_is_short() {
    let mut patience = Patience::default();
    (0..20).for_each(|_| patience.replied(9));
    assert_eq!(patience.wait_ms(), 150);
}

#[test]
fn wait_slow_store_grows_until_replies_come() {
    let mut patience = Patience::default();
    (0..3).for_each(|_| patience.ran_out());
    assert_eq!(patience.wait_ms(), 1_200);
    (0..10).for_each(|_| patience.replied(300));
    assert!(patience.wait_ms() > 1_000);
    (0..20).for_each(|_| patience.replied(9));
    assert_eq!(patience.wait_ms(), 150);
}

#[test]
fn wait_lost_reply_is_forgotten_with_the_next() {
    let mut patience = Patience::default();
    patience.ran_out();
    patience.replied(9);
    assert_eq!(patience.wait_ms(), 150);
}

#[test]
fn wait_is_bounded() {
    let mut patience = Patience::default();
    (0..20).for_each(|_| patience.ran_out());
    assert_eq!(patience.wait_ms(), 1_500);
}
