//! Form of carried attempts: the request to the target below a path of their own, with
//! headers that name the target and, in the response, what became of the attempt.

use compact_str::CompactString;
use derive_more::Display;
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::uri::PathAndQuery;
use http::{StatusCode, Uri};
use hyper::Response;
use lagoon_adapter::decode_request_headers;
use lagoon_limits::RunId;
use lagoon_paths::Decline;

use crate::body::ResponseBody;

/// Prefix of the paths of carried attempts.
pub(crate) const CARRY_PATH: &str = "/v1/carry";

const TARGET: HeaderName = HeaderName::from_static("lagoon-carry-target");
const RUN: HeaderName = HeaderName::from_static("lagoon-carry-run");
const REPEATABLE: HeaderName = HeaderName::from_static("lagoon-carry-repeatable");
const END: HeaderName = HeaderName::from_static("lagoon-carry-end");

/// What the origin states of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CarriedAttempt {
    /// Id of the caller's request.
    pub request_id: CompactString,
    /// Id of the target.
    pub target_id: CompactString,
    /// Run of the target.
    pub run: RunId,
    /// Whether the request may be executed again.
    pub is_repeatable: bool,
    /// Time that is left for the request.
    pub left_ms: u64,
}

/// What became of a carried attempt.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CarryEnd {
    /// The target responds.
    #[display("answered")]
    Answered,
    /// Nothing was sent.
    #[display("{_0}")]
    Declined(Decline),
    /// Nothing was sent: the carrier reaches other targets, and not this one.
    #[display("target down")]
    TargetDown,
    /// Nothing was sent: the target has told the carrier that it is about to stop.
    #[display("target leaving")]
    TargetLeaving,
    /// Nothing was sent, as the connection closed before.
    #[display("not sent")]
    NotSent,
    /// The request was sent and no response came.
    #[display("broken")]
    Broken,
}

impl CarryEnd {
    /// All ends.
    pub const ALL: [CarryEnd; 9] = [
        CarryEnd::Answered,
        CarryEnd::Declined(Decline::Isolated),
        CarryEnd::Declined(Decline::NoPath),
        CarryEnd::Declined(Decline::NoRoom),
        CarryEnd::Declined(Decline::UnknownTarget),
        CarryEnd::TargetDown,
        CarryEnd::TargetLeaving,
        CarryEnd::NotSent,
        CarryEnd::Broken,
    ];

    /// Response without one of the target.
    pub(super) fn response(self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::full(""));
        self.write(response.headers_mut());
        response
    }

    /// States the end in the headers of a response, whatever the target wrote there.
    pub fn write(self, headers: &mut HeaderMap) {
        if let Ok(value) = HeaderValue::from_str(&self.to_string()) {
            headers.insert(END, value);
        }
    }

    /// Takes the end out of a response. `None` if it states one that this build doesn't
    /// know, or if it can't tell whether the request was sent to the target.
    pub fn take(status: StatusCode, headers: &mut HeaderMap) -> Option<CarryEnd> {
        let Some(value) = headers.remove(END) else {
            // A VM of a build that carries nothing doesn't know the path.
            let declined = CarryEnd::Declined(Decline::NoRoom);
            return status.is_client_error().then_some(declined);
        };
        let mut ends = CarryEnd::ALL.into_iter();
        ends.find(|end| end.to_string().as_bytes() == value.as_bytes())
    }
}

/// States an attempt in the headers of its request, whatever the caller wrote there.
pub fn write_attempt(headers: &mut HeaderMap, attempt: &CarriedAttempt) {
    remove_attempt(headers);
    if let Ok(target_id) = HeaderValue::from_str(&attempt.target_id) {
        headers.insert(TARGET, target_id);
    }
    headers.insert(RUN, HeaderValue::from(attempt.run.0));
    if attempt.is_repeatable {
        headers.insert(REPEATABLE, HeaderValue::from_static("1"));
    }
}

pub(super) fn remove_attempt(headers: &mut HeaderMap) {
    for name in [TARGET, RUN, REPEATABLE] {
        headers.remove(name);
    }
}

/// Decodes the headers of a carried attempt; `None` if one is missing or invalid.
pub fn decode_attempt(headers: &HeaderMap) -> Option<CarriedAttempt> {
    let text = |name: HeaderName| headers.get(name)?.to_str().ok();
    let metadata = decode_request_headers(headers);
    Some(CarriedAttempt {
        request_id: metadata.request_id,
        left_ms: metadata.deadline_ms.unwrap_or_default(),
        target_id: text(TARGET)?.into(),
        run: RunId(text(RUN)?.parse().ok()?),
        is_repeatable: headers.contains_key(REPEATABLE),
    })
}

/// Address of a request to a target as an attempt that is carried.
pub(super) fn carried_uri(target_uri: &Uri) -> Option<Uri> {
    let path = target_uri
        .path_and_query()
        .map_or("/", PathAndQuery::as_str);
    format!("{CARRY_PATH}{path}").parse().ok()
}

/// Address of the request to the target; `None` if this is none of a carried attempt.
pub(super) fn target_uri(carried_uri: &Uri) -> Option<Uri> {
    let path = carried_uri.path_and_query()?.as_str();
    path.strip_prefix(CARRY_PATH)?.parse().ok()
}
