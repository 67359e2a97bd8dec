//! Requests that reached a VM whole and get neither a whole answer nor a refusal.

mod fleet;

use std::thread;

use fleet::{call, complete_stream, send_request, wait_until, Fleet, EVENT_COUNT};
use lagoon_adapter::standin::model_call_headers;
use lagoon_standin::fleet::StoreFault;

const TOKENS_PER_EVENT: u64 = 12;

/// Tokens of a whole stream, which is the maximum that its request states.
const STREAM_TOKENS: u64 = EVENT_COUNT * TOKENS_PER_EVENT;

/// Budget whose reserve, a quarter of it, has the tokens of one call.
const BUDGET_TOKENS: u64 = 4 * STREAM_TOKENS;

/// Estimate of a stream's tokens that is too low by a factor of 3.6.
const LENGTH_HINT_TOKENS: u64 = 20;

// Guards against streams that are cut because one reply of a sound store got lost:
// their calls were granted fewer tokens than their maximum.
#[test]
fn stream_is_whole_beside_one_lost_store_reply() {
    const PROGRAMS: usize = 10;
    let fleet = Fleet::start(1);
    let headers = |program: &str| {
        let mut headers = model_call_headers(program, program, BUDGET_TOKENS, STREAM_TOKENS);
        headers.push(format!("Lagoonscale-Length-Hint: {LENGTH_HINT_TOKENS}"));
        headers
    };
    let (mut cuts, mut refusals) = (Vec::new(), 0);
    for number in 0..PROGRAMS {
        let transactions = fleet.store.transaction_count();
        fleet.store.set_fault(StoreFault::DropReply);
        let other = headers(&format!("other{number}"));
        let other = send_request(fleet.callers(), "POST /stream/x", "a.example", &other, "p");
        wait_until("the lost reply", || {
            fleet.store.transaction_count() > transactions
        });
        let program = format!("p{number}");
        let response = call(fleet.callers(), "POST /stream/x", &headers(&program), "p");
        match response.status {
            200 if response.is_complete => assert_eq!(response.body, complete_stream()),
            200 => cuts.push(response.body.matches("id: ").count()),
            _ => refusals += 1,
        }
        drop(other);
        thread::sleep(fleet::EVENT_INTERVAL);
    }
    println!("{PROGRAMS} calls, {refusals} refused, cut after events: {cuts:?}");
    assert!(cuts.is_empty(), "cut after events: {cuts:?}");
}
