//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use futures::stream::{LocalBoxStream, Stream};
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;

/// Error of a response body that ends early. The connection is closed before
/// the end of the body, so that the caller recognizes the response as
/// incomplete.
#[derive(Clone, Copy, Debug, Error)]
#[error("response body ended early")]
pub(crate) struct TruncatedBody;

pub(crate) enum ResponseBody {
    /// Complete body; `None` once it was sent.
    Full(Option<Bytes>),
    /// Body of unknown length, sent chunk by chunk.
    Stream(LocalBoxStream<'static, Result<Bytes, TruncatedBody>>),
}

impl ResponseBody {
    pub(crate) fn full<B>(bytes: B) -> ResponseBody
    where
        B: Into<Bytes>,
    {
        ResponseBody::Full(Some(bytes.into()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        match &mut *self {
            ResponseBody::Full(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ResponseBody::Stream(chunks) => {
                let chunk = ready!(Pin::new(chunks).poll_next(cx));
                Poll::Ready(chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
