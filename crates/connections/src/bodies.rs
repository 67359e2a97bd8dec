//! Reading of bodies into counted memory.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use lagoon_memory::Holding;
use tokio::time::{timeout, timeout_at, Instant};

/// Maximum number of bytes, and time, of a refused body that are discarded so that the
/// peer gets the response.
const MAX_DISCARDED_BYTES: usize = 16_777_216;
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Limit of a time that has none, which tokio's clock can still add.
const FAR: Duration = Duration::from_secs(86_400);

/// Why a body could not be read whole.
#[derive(Debug)]
pub enum ReadError {
    /// The connection broke off, or the bytes are no body.
    Broken(String),
    /// It is longer than allowed.
    TooLong,
    /// The memory for held bytes is exhausted.
    NoMemory,
    /// It didn't arrive in time.
    TimedOut,
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum length.
    pub max_bytes: usize,
    /// Maximum time between two parts.
    pub progress: Duration,
    /// Maximum time for all.
    pub whole: Duration,
}

impl BodyLimits {
    /// Limits of a body whose time is limited otherwise.
    pub fn of_size(max_bytes: usize) -> BodyLimits {
        BodyLimits {
            max_bytes,
            progress: Duration::MAX,
            whole: Duration::MAX,
        }
    }
}

/// Reads a body into the holding. `now_ms` is the clock of the holding's memory.
///
/// # Errors
///
/// Fails if a limit is exceeded, the bytes are refused or withdrawn, or the body breaks off.
pub async fn read_body<B, F>(
    holding: &Holding,
    body: &mut B,
    limits: BodyLimits,
    now_ms: F,
) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: ToString,
    F: Fn() -> u64,
{
    let end = Instant::now() + limits.whole.min(FAR);
    loop {
        let deadline = end.min(Instant::now() + limits.progress.min(FAR));
        let frame = tokio::select! {
            biased;
            () = holding.withdrawn() => return Err(ReadError::NoMemory),
            frame = timeout_at(deadline, body.frame()) => frame,
        };
        let frame = match frame {
            Ok(Some(frame)) => frame,
            Ok(None) => return holding.finish().map_err(|_| ReadError::NoMemory),
            Err(_) => return Err(ReadError::TimedOut),
        };
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if data.len() > limits.max_bytes - holding.buffered_bytes() {
            return Err(ReadError::TooLong);
        }
        let pushed = holding.push(&data, now_ms());
        pushed.map_err(|_| ReadError::NoMemory)?;
    }
}

/// Reads a refused body without keeping it, for a limited time and up to a limited length:
/// a connection that is closed with unread bytes is reset, and its peer may lose the response.
/// Returns how much was read.
pub async fn discard<B>(mut body: B) -> usize
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut bytes = 0;
    let read = async {
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                break;
            }
        }
    };
    // The rest of a body that takes longer is left unread.
    let _ = timeout(DISCARD_TIMEOUT, read).await;
    bytes
}
