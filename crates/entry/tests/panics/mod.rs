//! Panics in the handling of requests.

use std::cell::Cell;
use std::future::{poll_fn, Future};

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use tokio::runtime::Builder;

use super::{count, install_hook, respond_anyway};
use crate::body::ResponseBody;

fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    let runtime = Builder::new_current_thread().build().expect("starts");
    runtime.block_on(future)
}

async fn panicking() -> Response<ResponseBody> {
    tokio::task::yield_now().await;
    panic!("test of a panic");
}

// Guards against a panic that ends a connection without a response.
#[test]
fn respond_anyway_after_panic() {
    install_hook();
    let before = count();
    for (is_passed_on, status) in [
        (false, StatusCode::SERVICE_UNAVAILABLE),
        (true, StatusCode::BAD_GATEWAY),
    ] {
        let response = block_on(respond_anyway(panicking(), || is_passed_on));
        assert_eq!(response.status(), status);
        let is_repeatable = response.headers().contains_key(RETRY_AFTER);
        assert_eq!(is_repeatable, !is_passed_on);
    }
    assert!(count() >= before + 2);
}

#[test]
fn respond_anyway_without_panic() {
    let asked = Cell::new(false);
    let handling = async { Response::new(ResponseBody::full("whole")) };
    let response = block_on(respond_anyway(handling, || {
        asked.set(true);
        true
    }));
    assert_eq!((response.status(), asked.get()), (StatusCode::OK, false));
}

// Guards against a panic in a stream that ends the task of its connection.
#[test]
fn response_body_whose_stream_panics_is_truncated() {
    let chunks = stream::once(poll_fn(|_| -> std::task::Poll<Result<Bytes, _>> {
        panic!("test of a panic");
    }));
    let mut body = ResponseBody::stream(chunks);
    let frame = block_on(body.frame()).expect("is an error");
    assert!(frame.is_err());
}
