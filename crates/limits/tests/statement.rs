//! Order of what targets state of their limits.

use lagoon_limits::{LimitChange, LimitTable, RunId};

const RUN: RunId = RunId(7);

// Guards against a limit that is known from one response and forgotten at the next.
#[test]
fn limit_holds_from_first_statement_to_response_sent_after_last() {
    let mut table = LimitTable::default();
    let started = table.record_response(RUN, Some(3.4), 100, 180);
    assert_eq!(started, Some(LimitChange::Started(3.4)));
    assert_eq!(table.record_response(RUN, Some(3.4), 150, 200), None);
    assert_eq!(table.limit(RUN), Some(3.4));
    let ended = table.record_response(RUN, None, 201, 260);
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(table.limit(RUN), None);
}

// Guards against a limit that ends by a response which the target may have generated
// before it stated the limit.
#[test]
fn limit_outlives_response_to_request_sent_before_statement_was_received() {
    let mut table = LimitTable::default();
    table.record_response(RUN, Some(2.0), 100, 180);
    assert_eq!(table.record_response(RUN, None, 180, 300), None);
    assert_eq!(table.limit(RUN), Some(2.0));
}

// Guards against a limit that an old response, delayed on its way, brings back.
#[test]
fn ended_limit_stays_ended_after_delayed_statement() {
    let mut table = LimitTable::default();
    table.record_response(RUN, Some(2.0), 100, 180);
    table.record_response(RUN, None, 200, 240);
    assert_eq!(table.record_response(RUN, Some(2.0), 190, 900), None);
    assert_eq!(table.limit(RUN), None);
    let again = table.record_response(RUN, Some(1.0), 910, 950);
    assert_eq!(again, Some(LimitChange::Started(1.0)));
}

// Guards against an older value that replaces a newer one, as its response came late.
#[test]
fn limit_has_value_of_latest_request() {
    let mut table = LimitTable::default();
    table.record_response(RUN, Some(2.0), 200, 240);
    assert_eq!(table.record_response(RUN, Some(9.0), 150, 300), None);
    let changed = table.record_response(RUN, Some(1.0), 310, 350);
    assert_eq!(changed, Some(LimitChange::Changed(1.0)));
    assert_eq!(table.limit(RUN), Some(1.0));
}

// Guards against a limit of one run that is taken for another's.
#[test]
fn limit_is_of_one_run() {
    let mut table = LimitTable::default();
    table.record_response(RUN, Some(2.0), 100, 180);
    assert_eq!(table.limit(RunId(8)), None);
    assert_eq!(table.record_response(RunId(8), None, 200, 240), None);
    assert_eq!(table.limit(RUN), Some(2.0));
}

// Guards against VMs that hear of a limit only from their own responses, and of its
// end only so.
#[test]
fn limit_and_its_end_reach_other_vm() {
    let (mut first, mut second) = (LimitTable::default(), LimitTable::default());
    first.record_response(RUN, Some(2.0), 1_000, 1_080);
    for update in first.take_news(1_100) {
        // The clocks of the VMs differ.
        second.apply_update(&update, 50_003);
    }
    assert_eq!(second.limit(RUN), Some(2.0));
    assert!(second.take_news(50_010).is_empty());
    second.record_response(RUN, None, 50_020, 50_040);
    for update in second.take_news(50_100) {
        first.apply_update(&update, 1_205);
    }
    assert_eq!(first.limit(RUN), None);
}

// Guards against an end that is undone by an older statement of a VM that hasn't
// heard of it.
#[test]
fn ended_limit_stays_ended_after_older_update() {
    let (mut first, mut second) = (LimitTable::default(), LimitTable::default());
    first.record_response(RUN, Some(2.0), 1_000, 1_080);
    second.record_response(RUN, Some(2.0), 1_010, 1_090);
    second.record_response(RUN, None, 2_000, 2_040);
    let repeated = first.to_repeat(10, 2_500);
    assert_eq!(repeated.len(), 1);
    second.apply_update(&repeated[0], 2_502);
    assert_eq!(second.limit(RUN), None);
}

// Guards against news without end where a target states a slightly different limit in
// each response.
#[test]
fn small_changes_are_no_news() {
    let mut table = LimitTable::default();
    table.record_response(RUN, Some(10.0), 1_000, 1_080);
    assert_eq!(table.take_news(1_100).len(), 1);
    table.record_response(RUN, Some(10.4), 1_110, 1_150);
    assert!(table.take_news(1_200).is_empty());
    table.record_response(RUN, Some(5.0), 1_210, 1_250);
    assert_eq!(table.take_news(1_300).len(), 1);
}

// Guards against limits that are kept for ever, and against one that is forgotten
// while its target's entry has expired for a moment.
#[test]
fn remove_expired_keeps_known_runs_and_recent_statements() {
    let mut table = LimitTable::default();
    table.record_response(RUN, Some(2.0), 1_000, 1_080);
    table.remove_expired(|_| false, 60_000);
    assert_eq!(table.limit(RUN), Some(2.0));
    table.remove_expired(|run| run == RUN, 3_600_000);
    assert_eq!(table.limit(RUN), Some(2.0));
    table.remove_expired(|_| false, 3_600_000);
    assert_eq!(table.limit(RUN), None);
}
