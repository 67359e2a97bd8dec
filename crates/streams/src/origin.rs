//! Records of the software version that began a stream.

use std::collections::VecDeque;

use derive_more::Display;
use lagoon_ids::{hash64, FastMap};
use serde::{Deserialize, Serialize};

/// Time for which a stream lasts at most, with the requests that take it up.
pub(crate) const STREAM_LIFE_MS: u64 = 10_000;

/// Time for which a record is kept; longer than the deadline of any call with its
/// retries.
const RECORD_TTL_MS: u64 = 60_000;

/// Maximum number of records; beyond it the oldest are dropped.
const MAX_RECORDS: usize = 50_000;

/// Stream of events, over all requests and VMs that bring parts of it.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{_0:016x}")]
pub struct StreamId(pub u64);

impl StreamId {
    /// Stream whose first event the request with this id brought; `fingerprint`
    /// identifies the content, so that the id alone gives no access to the stream.
    pub fn new(request_id: &str, fingerprint: u64) -> StreamId {
        let id_hash = hash64(request_id.as_bytes());
        StreamId(hash64(
            &(id_hash ^ fingerprint.rotate_left(1)).to_le_bytes(),
        ))
    }
}

/// Version of the software of a service.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[display("{_0:016x}")]
pub struct SoftwareId(pub u64);

impl SoftwareId {
    /// Id of a version as a service's targets publish it.
    pub fn new(service: &str, version: &str) -> SoftwareId {
        let service_hash = hash64(service.as_bytes());
        let version_hash = hash64(version.as_bytes());
        SoftwareId(hash64(
            &(service_hash ^ version_hash.rotate_left(1)).to_le_bytes(),
        ))
    }
}

/// What began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginRecord {
    /// The stream.
    pub stream: StreamId,
    /// Software version whose first event was passed on.
    pub software: SoftwareId,
    /// Hash of the id of the target that made the event.
    pub target: u64,
}

/// What a VM knows of the origin of a stream.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum OriginReply {
    /// No record.
    #[display("unknown")]
    Unknown,
    /// One record, or several that agree.
    #[display("known")]
    Known(OriginRecord),
    /// Records of several versions: the id of the request was used twice.
    #[display("ambiguous")]
    Ambiguous,
}

/// Reply of a VM that is asked for the origin of a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginAnswer {
    /// What it knows of the stream.
    pub reply: OriginReply,
    /// The only version that the service has had for as long as a stream lasts, if the
    /// VM knows that.
    pub sole: Option<SoftwareId>,
}

/// Reason for which the software version of a stream isn't known.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum UnknownOrigin {
    /// No VM that was asked has a record, and the service has had several versions, or
    /// none knows.
    #[display("no record of the stream")]
    NoRecord,
    /// Two streams of different versions have this id.
    #[display("two streams with this id")]
    Ambiguous,
    /// The target that began the stream has changed its version since.
    #[display("the version of its target has changed")]
    ChangedTarget,
}

/// Version at which a stream may go on, by the answers of VMs, among them this one.
/// `versions` are those that this VM has seen of the service lately; `is_doubtful`
/// tells whether the version of a target isn't certain.
///
/// # Errors
///
/// Fails if the version isn't certain; then the stream must not go on.
pub fn decide_origin<F>(
    answers: &[OriginAnswer],
    versions: &[SoftwareId],
    is_doubtful: F,
) -> Result<SoftwareId, UnknownOrigin>
where
    F: Fn(u64) -> bool,
{
    let mut known: Option<OriginRecord> = None;
    for answer in answers {
        match (answer.reply, known) {
            (OriginReply::Unknown, _) => {}
            (OriginReply::Ambiguous, _) => return Err(UnknownOrigin::Ambiguous),
            (OriginReply::Known(record), Some(other)) if record.software != other.software => {
                return Err(UnknownOrigin::Ambiguous);
            }
            (OriginReply::Known(record), _) => known = Some(record),
        }
    }
    if let Some(record) = known {
        return if is_doubtful(record.target) {
            Err(UnknownOrigin::ChangedTarget)
        } else {
            Ok(record.software)
        };
    }
    let soles = answers.iter().filter_map(|answer| answer.sole);
    let mut possible = soles.chain(versions.iter().copied());
    let sole = answers.iter().find_map(|answer| answer.sole);
    let sole = sole.filter(|sole| possible.all(|other| other == *sole));
    sole.ok_or(UnknownOrigin::NoRecord)
}

/// Records that a VM holds: of its own streams, and of those of other VMs.
#[derive(Debug, Default)]
pub struct Origins {
    replies: FastMap<StreamId, OriginReply>,
    /// Streams in the order of their first record, with its time.
    by_age: VecDeque<(u64, StreamId)>,
}

impl Origins {
    /// Adds a record; a second one with another version makes the stream ambiguous.
    pub fn insert(&mut self, record: OriginRecord, now_ms: u64) {
        self.remove_expired(now_ms);
        let reply = match self.get(record.stream) {
            OriginReply::Unknown => {
                self.by_age.push_back((now_ms, record.stream));
                OriginReply::Known(record)
            }
            OriginReply::Known(held) if held.software == record.software => return,
            OriginReply::Known(_) | OriginReply::Ambiguous => OriginReply::Ambiguous,
        };
        self.replies.insert(record.stream, reply);
    }

    /// What is known of a stream.
    pub fn get(&self, stream: StreamId) -> OriginReply {
        let reply = self.replies.get(&stream);
        reply.copied().unwrap_or(OriginReply::Unknown)
    }

    /// Records of streams that may still be taken up and aren't ambiguous, the newest
    /// first.
    pub fn open_records(&self, now_ms: u64) -> impl Iterator<Item = OriginRecord> + '_ {
        let newest = self.by_age.iter().rev();
        let streams = newest.take_while(move |(added_ms, _)| now_ms < added_ms + STREAM_LIFE_MS);
        streams.filter_map(|(_, stream)| match self.get(*stream) {
            OriginReply::Known(record) => Some(record),
            OriginReply::Unknown | OriginReply::Ambiguous => None,
        })
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }

    /// Drops records that have expired, and the oldest beyond the maximum number.
    pub fn remove_expired(&mut self, now_ms: u64) {
        while let Some(&(added_ms, stream)) = self.by_age.front() {
            let is_expired = now_ms >= added_ms + RECORD_TTL_MS;
            if !is_expired && self.by_age.len() < MAX_RECORDS {
                return;
            }
            self.by_age.pop_front();
            self.replies.remove(&stream);
        }
    }
}
