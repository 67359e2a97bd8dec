//! Bodies of responses to callers and of requests that this VM sends.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use futures::stream::{LocalBoxStream, Stream, StreamExt};
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;

use crate::panics;
use crate::unanswered::{Cause, RequestGuard};

/// Error of a response body that ends early. The connection is closed before
/// the end of the body, so that the caller recognizes the response as
/// incomplete.
#[derive(Clone, Copy, Debug, Error)]
#[error("response body ended early")]
pub(crate) struct TruncatedBody;

enum Content {
    /// Complete body; `None` once it was sent.
    Full(Option<Bytes>),
    /// Body of unknown length, sent chunk by chunk.
    Stream(LocalBoxStream<'static, Result<Bytes, TruncatedBody>>),
}

pub(crate) struct ResponseBody {
    content: Content,
    /// Request of a caller that this responds to.
    request: Option<RequestGuard>,
    /// Whether a part of the content is still to be sent.
    is_unfinished: bool,
}

impl ResponseBody {
    pub(crate) fn full<B>(bytes: B) -> ResponseBody
    where
        B: Into<Bytes>,
    {
        ResponseBody::new(Content::Full(Some(bytes.into())))
    }

    pub(crate) fn stream<S>(chunks: S) -> ResponseBody
    where
        S: Stream<Item = Result<Bytes, TruncatedBody>> + 'static,
    {
        ResponseBody::new(Content::Stream(chunks.boxed_local()))
    }

    fn new(content: Content) -> ResponseBody {
        ResponseBody {
            content,
            request: None,
            is_unfinished: false,
        }
    }

    /// Makes this the response to a caller's request, which is answered when the whole
    /// body was taken.
    pub(crate) fn answering(mut self, request: RequestGuard) -> ResponseBody {
        self.request = Some(request);
        self
    }

    fn poll_content(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, TruncatedBody>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(Ok)),
            Content::Stream(chunks) => Pin::new(chunks).poll_next(cx),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // A body that was never polled belongs to a response without one.
        if let Some(request) = self.request.take().filter(|_| !self.is_unfinished) {
            request.set_responded();
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let is_stream = matches!(self.content, Content::Stream(_));
        self.is_unfinished = is_stream;
        let Some(polled) = panics::catch(|| self.poll_content(cx)) else {
            if let Some(request) = &self.request {
                request.set_cause(Cause::Panic);
            }
            return Poll::Ready(Some(Err(TruncatedBody)));
        };
        let chunk = ready!(polled);
        if let (true, Some(Ok(bytes)), Some(request)) = (is_stream, &chunk, &self.request) {
            request.record_unsent(bytes.len());
        }
        self.is_unfinished &= chunk.is_some();
        Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.content, Content::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Content::Stream(_) => SizeHint::default(),
        }
    }
}

/// Body of known length, in parts that it may share with others.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestBody {
    parts: VecDeque<Bytes>,
    left_bytes: u64,
}

impl RequestBody {
    pub(crate) fn new<P>(parts: P) -> RequestBody
    where
        P: IntoIterator<Item = Bytes>,
    {
        let parts = parts.into_iter().filter(|part| !part.is_empty());
        let parts: VecDeque<Bytes> = parts.collect();
        RequestBody {
            left_bytes: parts.iter().map(|part| part.len() as u64).sum(),
            parts,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.parts.pop_front();
        self.left_bytes -= part.as_ref().map_or(0, Bytes::len) as u64;
        Poll::Ready(part.map(|part| Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.parts.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left_bytes)
    }
}
