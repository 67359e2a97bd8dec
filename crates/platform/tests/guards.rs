//! Circuit breaker and retry budget under virtual time.

use lagoon_platform::{CircuitBreaker, CircuitBreakerSettings, RetryBudget, RetrySettings};

fn breaker() -> CircuitBreaker {
    CircuitBreaker::new(CircuitBreakerSettings {
        failure_threshold: 2,
        open_ms: 100,
    })
}

#[test]
fn permit_opens_after_failures_in_a_row() {
    let mut breaker = breaker();
    breaker.record(false, 0);
    breaker.record(true, 1);
    breaker.record(false, 2);
    assert_eq!(breaker.permit(3), Ok(()));
    breaker.record(false, 3);
    assert_eq!(breaker.permit(13), Err(90));
}

#[test]
fn permit_half_open_lets_one_through() {
    let mut breaker = breaker();
    breaker.record(false, 0);
    breaker.record(false, 0);
    assert_eq!(breaker.permit(100), Ok(()));
    assert!(breaker.permit(100).is_err());
    breaker.record(false, 101);
    assert!(breaker.is_open(150));
    assert_eq!(breaker.permit(201), Ok(()));
    breaker.record(true, 202);
    assert_eq!(breaker.permit(203), Ok(()));
}

#[test]
fn take_spends_what_was_earned() {
    let mut budget = RetryBudget::new(RetrySettings {
        retry_ratio: 0.5,
        retry_capacity: 1.0,
        ..RetrySettings::default()
    });
    assert!(budget.withdraw());
    assert!(!budget.withdraw());
    budget.deposit();
    assert!(!budget.withdraw());
    budget.deposit();
    assert!(budget.withdraw());
}

#[yare::parameterized(
    first = { 1, 40 },
    later = { 3, 160 },
    bounded = { 30, 500 },
)]
fn pause_grows_to_bound(attempt: u32, expected_ms: u64) {
    assert_eq!(
        RetrySettings::default().backoff_ms(attempt, 1.0),
        expected_ms
    );
    assert_eq!(RetrySettings::default().backoff_ms(attempt, 0.0), 0);
}
