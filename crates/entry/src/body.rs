//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{ready, Context, Poll};

use bytes::Bytes;
use futures::stream::{LocalBoxStream, Stream};
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;

/// Stream that ends before its last byte; the connection is closed, so that
/// the answer does not look complete.
#[derive(Clone, Copy, Debug, Error)]
#[error("answer broke off")]
pub(crate) struct TruncatedBody;

/// Body of an answer.
pub(crate) enum ResponseBody {
    /// Known as a whole.
    Full(Option<Bytes>),
    /// Comes in chunks.
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
