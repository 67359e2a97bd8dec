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
pub(crate) struct BrokenOff;

/// Body of an answer.
pub(crate) enum ReplyBody {
    /// Known as a whole.
    Whole(Option<Bytes>),
    /// Comes in pieces.
    Pieces(LocalBoxStream<'static, Result<Bytes, BrokenOff>>),
}

impl ReplyBody {
    pub(crate) fn whole<B>(bytes: B) -> ReplyBody
    where
        B: Into<Bytes>,
    {
        ReplyBody::Whole(Some(bytes.into()))
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            ReplyBody::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            ReplyBody::Pieces(pieces) => {
                let piece = ready!(Pin::new(pieces).poll_next(cx));
                Poll::Ready(piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ReplyBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ReplyBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            ReplyBody::Pieces(_) => SizeHint::default(),
        }
    }
}
