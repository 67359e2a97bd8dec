//! Form of gossip datagrams: a [`GossipMessage`], followed by lists that later versions
//! added. A VM ignores what follows the lists that it knows, and takes those that are
//! missing for empty, so new lists are added at the end only.

use lagoon_gateway::{CapacityUpdate, CrashUpdate, EvidenceAges, GossipMessage, TableVersions};
use lagoon_limits::LimitUpdate;
use lagoon_streams::OriginRecord;

/// Decoded datagram: what an older VM doesn't send is empty.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct News {
    /// Loads of targets and session affinities.
    pub message: GossipMessage,
    /// Crashes of targets.
    pub crashes: Vec<CrashUpdate>,
    /// Versions that a sentinel has read.
    pub versions: TableVersions,
    /// Limits of targets.
    pub limits: Vec<LimitUpdate>,
    /// Software versions of streams.
    pub origins: Vec<OriginRecord>,
    /// Speed of targets, and admitted programs.
    pub capacity: Vec<CapacityUpdate>,
    /// Age of a sentinel's evidence.
    pub ages: EvidenceAges,
}

impl News {
    /// Encodes the datagram without the empty lists at its end.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let has_ages = self.ages != EvidenceAges::default();
        let has_capacity = has_ages || !self.capacity.is_empty();
        let has_origins = has_capacity || !self.origins.is_empty();
        let has_limits = has_origins || !self.limits.is_empty();
        let has_versions = has_limits || self.versions != TableVersions::default();
        let has_crashes = has_versions || !self.crashes.is_empty();
        let mut bytes = postcard::to_allocvec(&self.message)?;
        if has_crashes {
            bytes = postcard::to_extend(&self.crashes, bytes)?;
        }
        if has_versions {
            bytes = postcard::to_extend(&self.versions, bytes)?;
        }
        if has_limits {
            bytes = postcard::to_extend(&self.limits, bytes)?;
        }
        if has_origins {
            bytes = postcard::to_extend(&self.origins, bytes)?;
        }
        if has_capacity {
            bytes = postcard::to_extend(&self.capacity, bytes)?;
        }
        if has_ages {
            bytes = postcard::to_extend(&self.ages, bytes)?;
        }
        Ok(bytes)
    }

    /// Decodes a datagram of this version, an older or a later one.
    ///
    /// # Errors
    ///
    /// Fails if a part is cut off or invalid.
    pub fn decode(bytes: &[u8]) -> Result<News, postcard::Error> {
        let (message, remaining) = postcard::take_from_bytes(bytes)?;
        let mut news = News {
            message,
            ..News::default()
        };
        if remaining.is_empty() {
            return Ok(news);
        }
        let (crashes, remaining) = postcard::take_from_bytes(remaining)?;
        news.crashes = crashes;
        if remaining.is_empty() {
            return Ok(news);
        }
        let (versions, remaining) = take_versions(remaining)?;
        news.versions = versions;
        if remaining.is_empty() {
            return Ok(news);
        }
        let (limits, remaining) = postcard::take_from_bytes(remaining)?;
        news.limits = limits;
        if remaining.is_empty() {
            return Ok(news);
        }
        let (origins, remaining) = postcard::take_from_bytes(remaining)?;
        news.origins = origins;
        if remaining.is_empty() {
            return Ok(news);
        }
        let (capacity, remaining) = postcard::take_from_bytes(remaining)?;
        news.capacity = capacity;
        if !remaining.is_empty() {
            (news.ages, _) = postcard::take_from_bytes(remaining)?;
        }
        Ok(news)
    }
}

/// Decodes the versions of tables. A list that ends the datagram may be one of an older
/// build, which lacks the last tables.
fn take_versions(bytes: &[u8]) -> Result<(TableVersions, &[u8]), postcard::Error> {
    let decoded = postcard::take_from_bytes(bytes);
    let Err(postcard::Error::DeserializeUnexpectedEnd) = decoded else {
        return decoded;
    };
    let mut padded = bytes.to_vec();
    // A zero byte for each table that is missing.
    padded.resize(bytes.len() + TableVersions::default().0.len(), 0);
    Ok((postcard::from_bytes(&padded)?, &[]))
}
