//! Circuit breaker, retry budget and backoff, on a virtual clock.

use lagoon_platform::{CircuitBreaker, CircuitBreakerSettings, RetryBudget, RetrySettings};

fn breaker() -> CircuitBreaker {
    CircuitBreaker::new(CircuitBreakerSettings {
        failure_threshold: 2,
        open_ms: 100,
    })
}

#[test]
fn breaker_opens_after_consecutive_failures() {
    let mut breaker = breaker();
    breaker.record(false, 0);
    breaker.record(true, 1);
    breaker.record(false, 2);
    assert_eq!(breaker.permit(3), Ok(()));
    breaker.record(false, 3);
    assert_eq!(breaker.permit(13), Err(90));
}

#[test]
fn half_open_breaker_permits_one_trial_request() {
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
fn retry_budget_withdraws_only_what_was_deposited() {
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
    capped = { 30, 500 },
)]
fn backoff_doubles_up_to_the_maximum(attempt: u32, expected_ms: u64) {
    assert_eq!(
        RetrySettings::default().backoff_ms(attempt, 1.0),
        expected_ms
    );
    assert_eq!(RetrySettings::default().backoff_ms(attempt, 0.0), 0);
}
