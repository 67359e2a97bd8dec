//! Responses that the daemon itself generates.

use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::body::ResponseBody;

pub(crate) fn plain_text(status: StatusCode, message: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(format!("{message}\n")));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

/// 503 with `Retry-After`, which promises that the request was not executed.
pub(crate) fn retryable_unavailable(message: &str, retry_after_ms: u64) -> Response<ResponseBody> {
    retryable(StatusCode::SERVICE_UNAVAILABLE, message, retry_after_ms)
}

/// 429 with `Retry-After`, which promises that the request was not executed.
pub(crate) fn too_many_requests(message: &str, retry_after_ms: u64) -> Response<ResponseBody> {
    retryable(StatusCode::TOO_MANY_REQUESTS, message, retry_after_ms)
}

fn retryable(status: StatusCode, message: &str, retry_after_ms: u64) -> Response<ResponseBody> {
    let mut response = plain_text(status, message);
    let seconds = format!("{:.3}", retry_after_ms as f64 / 1e3);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
