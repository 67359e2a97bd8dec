//! Bodies of responses.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::http::connection::RequestGuard;
use crate::http::delivery::Delivery;
use crate::http::events::EventStream;

enum Content {
    /// Complete body, in parts that it may share with others.
    Whole {
        parts: VecDeque<Bytes>,
        left_bytes: u64,
    },
    Events(Box<EventStream>),
}

pub(crate) struct ResponseBody {
    content: Content,
    /// Reports the delivery of a call's response when the body is dropped.
    delivery: Option<Delivery>,
    request: Option<RequestGuard>,
}

impl ResponseBody {
    pub(super) fn whole<P>(parts: P) -> ResponseBody
    where
        P: IntoIterator<Item = Bytes>,
    {
        // hyper takes an empty part for the end of the body.
        let parts = parts.into_iter().filter(|part| !part.is_empty());
        let parts: VecDeque<Bytes> = parts.collect();
        let left_bytes = parts.iter().map(|part| part.len() as u64).sum();
        ResponseBody::new(Content::Whole { parts, left_bytes })
    }

    pub(super) fn events(events: EventStream) -> ResponseBody {
        ResponseBody::new(Content::Events(Box::new(events)))
    }

    fn new(content: Content) -> ResponseBody {
        ResponseBody {
            content,
            delivery: None,
            request: None,
        }
    }

    /// Whether the body is sent as its parts arrive.
    pub(super) fn is_stream(&self) -> bool {
        matches!(self.content, Content::Events(_))
    }

    /// Makes this the response of a call.
    pub(super) fn delivering(mut self, delivery: Delivery) -> ResponseBody {
        self.delivery = Some(delivery);
        self
    }

    /// Makes this the response to a request, which is active until all is sent.
    pub(super) fn answering(mut self, request: RequestGuard) -> ResponseBody {
        self.request = Some(request);
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let this = &mut *self;
        let part = match &mut this.content {
            Content::Whole { parts, left_bytes } => {
                let part = parts.pop_front();
                *left_bytes -= part.as_ref().map_or(0, Bytes::len) as u64;
                part
            }
            Content::Events(events) => {
                let part = std::task::ready!(events.poll_part(cx));
                if events.has_ended() {
                    this.delivery.iter_mut().for_each(Delivery::set_whole);
                }
                part
            }
        };
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole { parts, .. } => parts.is_empty(),
            Content::Events(events) => events.has_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole { left_bytes, .. } => SizeHint::with_exact(*left_bytes),
            Content::Events(_) => SizeHint::default(),
        }
    }
}
