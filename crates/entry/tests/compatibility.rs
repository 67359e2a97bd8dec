//! Builds of different versions read what they send each other.
//!
//! `wire/NN-COMMIT.txt` is what the build of a landing wrote: the name of a sample and
//! its bytes in hexadecimal digits, one a line. To add a landing that changes a format:
//! add samples of what is new to `wire/samples.rs`, run
//! `cargo test -p lagoon-entry --test compatibility -- --nocapture print_samples`
//! and commit the lines that follow `samples:` as the next file. Files that exist aren't
//! changed: a format whose bytes differ from theirs is one that a VM of that build may
//! not read.

#[path = "wire/samples.rs"]
mod samples;

use std::collections::BTreeMap;
use std::fs;
use std::path::PathBuf;

use http::{HeaderMap, StatusCode};
use lagoon_entry::wire::{
    CarryEnd, News, PeerMessage, QuotaRequest, ReservationRequest, TransferRequest,
};
use lagoon_gateway::{BudgetRow, PeerEntry, PROTOCOL_VERSION};
use lagoon_limits::RunId;
use lagoon_paths::Decline;
use lagoon_quotas::QuotaDemand;

use samples::{quota_terms, samples, Sample};

/// Formats that only older builds write.
const READ_ONLY: [&str; 3] = [
    "gossip.versions-of-three-tables",
    "row.budget-without-reserve",
    "row.vm",
];

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn from_hex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    digits
        .map(|pair| {
            let pair = std::str::from_utf8(pair).expect("digits");
            u8::from_str_radix(pair, 16).expect("hexadecimal digits")
        })
        .collect()
}

/// What each build wrote, by the name of its file and of the sample.
fn builds() -> BTreeMap<String, BTreeMap<String, Vec<u8>>> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/wire");
    let mut builds = BTreeMap::new();
    for file in fs::read_dir(folder).expect("the folder") {
        let path = file.expect("a file").path();
        if path.extension().is_none_or(|extension| extension != "txt") {
            continue;
        }
        let build = path.file_stem().expect("a name").to_string_lossy();
        let text = fs::read_to_string(&path).expect("text");
        let lines = text.lines().map(|line| {
            let (name, bytes) = line.split_once(' ').expect("a name and bytes");
            (name.to_owned(), from_hex(bytes))
        });
        builds.insert(build.into_owned(), lines.collect());
    }
    assert!(builds.len() >= 6, "files of all landings: {builds:?}");
    builds
}

fn samples_by_name() -> BTreeMap<String, Sample> {
    let samples = samples().into_iter();
    samples
        .map(|sample| (sample.name.clone(), sample))
        .collect()
}

/// A VM must read each message, datagram and row of VMs that run an older build.
#[test]
fn formats_of_older_builds_are_read() {
    let samples = samples_by_name();
    for (build, written) in builds() {
        for (name, bytes) in written {
            let sample = samples.get(&name);
            let sample = sample.unwrap_or_else(|| panic!("{build}: no sample {name}"));
            if let Err(error) = (sample.check)(&bytes) {
                panic!("{build}: {name} {}: {error}", to_hex(&bytes));
            }
        }
    }
}

/// VMs of older builds must read what they know: their bytes are written as before.
#[test]
fn formats_of_older_builds_are_written_as_before() {
    let samples = samples_by_name();
    for (build, written) in builds() {
        for (name, bytes) in written {
            if READ_ONLY.contains(&name.as_str()) {
                continue;
            }
            let now = to_hex(&samples[&name].bytes);
            assert_eq!(now, to_hex(&bytes), "{build}: {name}");
        }
    }
}

/// A format without a file is one that the next build may break unnoticed.
#[test]
fn all_formats_are_in_the_newest_file() {
    let builds = builds();
    let (build, newest) = builds.last_key_value().expect("a build");
    for sample in samples() {
        let is_listed =
            newest.contains_key(&sample.name) || READ_ONLY.contains(&sample.name.as_str());
        assert!(is_listed, "{build} lacks {}", sample.name);
    }
}

/// A message of a later build that this one doesn't know must be refused, not taken for
/// another.
#[test]
fn message_of_a_later_build_is_not_read() {
    let unknown = [99, 1, 2, 3];
    assert!(postcard::from_bytes::<PeerMessage>(&unknown).is_err());
}

/// What a later build adds at the end of a datagram or to a row must not hide the rest.
#[test]
fn additions_of_later_builds_are_ignored() {
    let samples = samples_by_name();
    let gossip = &samples["gossip.evidence-ages"];
    let mut extended = gossip.bytes.clone();
    extended.extend([3, 1, 2, 3]);
    (gossip.check)(&extended).expect("read");
    let cut_off = &gossip.bytes[..gossip.bytes.len() - 1];
    assert!(News::decode(cut_off).is_err());

    let vm = br#"{"address":"10.0.0.2:7000","domain":"zone-a","writer":"vm-2/17","later":[1]}"#;
    serde_json::from_slice::<PeerEntry>(vm).expect("read");
    let budget = br#"{"charged_tokens":7,"is_whole":false,"marks":[],"later":{"a":1}}"#;
    serde_json::from_slice::<BudgetRow>(budget).expect("read");
}

/// A request that a target may have executed must not be sent again because the VM that
/// carried it states an end that a later build has added.
#[test]
fn unknown_end_of_a_carried_attempt_is_none_that_allows_a_repetition() {
    let take = |status, end: Option<&str>| {
        let mut headers = HeaderMap::new();
        if let Some(end) = end {
            headers.insert("lagoon-carry-end", end.parse().expect("a value"));
        }
        CarryEnd::take(status, &mut headers)
    };
    let declined = CarryEnd::Declined(Decline::NoRoom);
    assert_eq!(take(StatusCode::NOT_FOUND, Some("a later end")), None);
    assert_eq!(take(StatusCode::OK, Some("a later end")), None);
    assert_eq!(take(StatusCode::OK, None), None);
    assert_eq!(take(StatusCode::NOT_FOUND, None), Some(declined));
    let answered = take(StatusCode::NOT_FOUND, Some("answered"));
    assert_eq!(answered, Some(CarryEnd::Answered));
}

/// Each message needs a protocol version that this build has.
#[test]
fn protocol_of_messages_is_at_most_that_of_the_build() {
    assert_eq!(PeerMessage::Probe.protocol(), 1);
    let id = "target-1".into();
    let newest = PeerMessage::ReachTarget { id, run: RunId(1) };
    assert!(newest.protocol() <= PROTOCOL_VERSION);
    let newest = PeerMessage::HoldAllowances(Vec::new());
    assert!(newest.protocol() <= PROTOCOL_VERSION);
    let newest = PeerMessage::ReadFreshness { known_version: 1 };
    assert!(newest.protocol() <= PROTOCOL_VERSION);
    let newest = PeerMessage::TransferQuota(TransferRequest {
        account: 1,
        terms: quota_terms(),
        tokens: 1,
    });
    assert!(newest.protocol() <= PROTOCOL_VERSION);
    let newest = PeerMessage::CacheTurn(Vec::new());
    assert!(newest.protocol() <= PROTOCOL_VERSION);
    let newest = PeerMessage::ReserveQuota(ReservationRequest {
        request: QuotaRequest {
            account: 1,
            terms: quota_terms(),
            demand: QuotaDemand::default(),
            returned: 0,
        },
        waiting: 1,
    });
    assert!(newest.protocol() <= PROTOCOL_VERSION);
    let newest = PeerMessage::PassAllowances(Vec::new());
    assert_eq!(newest.protocol(), PROTOCOL_VERSION);
}

/// Writes the file of this build; see above.
#[test]
fn print_samples() {
    println!("samples:");
    let samples = samples();
    assert!(!samples.is_empty());
    for sample in samples {
        if !READ_ONLY.contains(&sample.name.as_str()) {
            println!("{} {}", sample.name, to_hex(&sample.bytes));
        }
    }
}
