//! One sample of each message, reply, datagram and row that VMs exchange, with the
//! values that the files beside this one contain in encoded form.

use std::fmt::Debug;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use lagoon_entry::wire::{
    decode_attempt, write_attempt, CarriedAttempt, CarryEnd, FreshnessReply, News, PeerMessage,
    PermitReply, PermitRequest, QuotaRequest, ReservationRequest, StoreResult, TargetReach,
    TransferRequest, TurnReply,
};
use lagoon_gateway::{
    AdmittedPrograms, AffinityUpdate, AllowanceRecord, AllowanceRequest, AllowanceSettlement,
    BudgetRow, CapacityUpdate, Connectivity, CrashRecord, CrashUpdate, EvidenceAges, GossipMessage,
    LoadReport, PassedAllowance, PeerEntry, ReserveRequest, Row, RowKey, RowWrite, SessionHash,
    StoreCall, StoreError, StoreReply, TableVersions, TargetHash, TargetSpeed, TargetUpdate,
    WriterMark,
};
use lagoon_limits::{Demand, LimitUpdate, PermitDecision, RunId};
use lagoon_quotas::{Grant, QuotaDecision, QuotaDemand, QuotaTerms, Reservation, Reserved};
use lagoon_streams::{OriginAnswer, OriginRecord, OriginReply, SoftwareId, StreamId};
use lagoon_turns::{CopyReply, Turn, TurnId};
use serde::de::DeserializeOwned;
use serde::Serialize;

type Check = Box<dyn Fn(&[u8]) -> Result<(), String>>;

/// Sample with its encoded form in this build.
pub(crate) struct Sample {
    pub(crate) name: String,
    pub(crate) bytes: Vec<u8>,
    /// Decodes bytes and compares the value.
    pub(crate) check: Check,
}

fn compare<T: Debug + PartialEq>(found: &T, expected: &T) -> Result<(), String> {
    if found == expected {
        return Ok(());
    }
    Err(format!("read {found:?} for {expected:?}"))
}

fn encoded<T>(name: &str, value: T) -> Sample
where
    T: Debug + DeserializeOwned + PartialEq + Serialize + 'static,
{
    Sample {
        name: name.to_owned(),
        bytes: postcard::to_allocvec(&value).expect("encodes"),
        check: Box::new(move |bytes| {
            let (found, rest) = postcard::take_from_bytes(bytes).map_err(|e| e.to_string())?;
            compare(&found, &value)?;
            compare(&rest.len(), &0)
        }),
    }
}

fn json<T>(name: &str, value: T) -> Sample
where
    T: Debug + DeserializeOwned + PartialEq + Serialize + 'static,
{
    Sample {
        name: name.to_owned(),
        bytes: serde_json::to_vec(&value).expect("encodes"),
        check: Box::new(move |bytes| {
            let found = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
            compare(&found, &value)
        }),
    }
}

fn gossip(name: &str, news: News) -> Sample {
    Sample {
        name: name.to_owned(),
        bytes: news.encode().expect("encodes"),
        check: Box::new(move |bytes| {
            let found = News::decode(bytes).map_err(|e| e.to_string())?;
            compare(&found, &news)
        }),
    }
}

fn text<F>(name: &str, text: String, check: F) -> Sample
where
    F: Fn(&str) -> Result<(), String> + 'static,
{
    Sample {
        name: name.to_owned(),
        bytes: text.into_bytes(),
        check: Box::new(move |bytes| {
            let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
            check(text)
        }),
    }
}

fn row(value: Option<&[u8]>, version: u64) -> Row {
    Row {
        key: budget_key(),
        value: value.map(<[u8]>::to_vec),
        version,
    }
}

fn budget_key() -> RowKey {
    RowKey {
        table: "budgets".into(),
        partition: "p7".into(),
        key: "program-1".into(),
    }
}

fn crash() -> CrashRecord {
    CrashRecord {
        fingerprint: 0x0123_4567_89ab_cdef,
        target: TargetHash(70_000),
        earlier: 2,
    }
}

fn limit() -> LimitUpdate {
    LimitUpdate {
        run: RunId(0xfedc_ba98_7654_3210),
        per_s: Some(2.5),
        sent_age_ms: 900,
        received_age_ms: 300,
    }
}

fn origin() -> OriginRecord {
    OriginRecord {
        stream: StreamId(0x0123_4567_89ab_cdef),
        software: SoftwareId(70_000),
        target: 80_000,
    }
}

fn turn() -> Turn {
    let id = |id: &str| TurnId::parse(id).expect("an id");
    Turn {
        id: id("turn-2"),
        ancestors: vec![id("turn-1"), id("turn-0")],
        host: "chat.example".into(),
        retention_ms: 600_000,
        ended_unix_ms: 1_771_376_899_008,
        input: Bytes::from_static(b"question"),
        output: Bytes::from_static(b"one\ntwo\n"),
    }
}

fn store_messages() -> Vec<Sample> {
    let execute = |name: &str, call| encoded(name, PeerMessage::ExecuteStoreCall(call));
    let write = |value: Option<&[u8]>, expected_version| RowWrite {
        key: budget_key(),
        expected_version,
        value: value.map(<[u8]>::to_vec),
    };
    let rows = vec![row(Some(b"value"), 300), row(None, 301)];
    let reply = |name: &str, reply: StoreResult| encoded(name, reply);
    vec![
        execute(
            "message.execute-transact",
            StoreCall::Transact(vec![write(Some(b"value"), 300), write(None, 0)]),
        ),
        execute(
            "message.execute-read",
            StoreCall::Read {
                table: "vms".into(),
                partition: "".into(),
                from_key: "a".into(),
            },
        ),
        execute(
            "message.execute-watch",
            StoreCall::Watch {
                table: "vms".into(),
                after_version: 300,
                wait_ms: 10_000,
            },
        ),
        execute(
            "message.execute-read-range",
            StoreCall::ReadRange {
                table: "turns".into(),
                partition: "t7".into(),
                from_key: "a".into(),
                to_key: "b".into(),
            },
        ),
        reply("reply.applied", Ok(StoreReply::Applied { version: 300 })),
        reply("reply.conflict", Ok(StoreReply::Conflict(rows.clone()))),
        reply(
            "reply.rows",
            Ok(StoreReply::Rows {
                rows,
                has_more: true,
                version: 302,
            }),
        ),
        reply("reply.compacted", Ok(StoreReply::Compacted)),
        reply("reply.refused", Err(StoreError::Refused(503))),
        reply("reply.not-sent", Err(StoreError::NotSent("busy".into()))),
        reply("reply.no-reply", Err(StoreError::NoReply("reset".into()))),
    ]
}

fn budget_messages() -> Vec<Sample> {
    let program = || "program-1".into();
    let reserve = || ReserveRequest {
        program: program(),
        budget_tokens: 9_000,
        max_tokens: 400,
        expected_tokens: 100,
        accepts_fewer: true,
        retention_ms: 600_000,
    };
    let messages = [
        (
            "take-held-tokens",
            PeerMessage::TakeHeldTokens {
                program: program(),
                tokens: 300,
            },
        ),
        (
            "take-surplus-tokens",
            PeerMessage::TakeSurplusTokens {
                program: program(),
                tokens: 300,
            },
        ),
        (
            "return-tokens",
            PeerMessage::ReturnTokens {
                program: program(),
                tokens: 300,
            },
        ),
        (
            "request-allowance",
            PeerMessage::RequestAllowance(AllowanceRequest {
                connectivity: Connectivity::OwnDomain,
                program: program(),
                budget_tokens: 9_000,
                max_tokens: 400,
                expected_tokens: 100,
            }),
        ),
        (
            "settle-allowance",
            PeerMessage::SettleAllowance(AllowanceSettlement {
                program: program(),
                granted_tokens: 300,
                used_tokens: 90,
            }),
        ),
        ("probe", PeerMessage::Probe),
        (
            "claim-coordinator",
            PeerMessage::ClaimCoordinator {
                program: program(),
                coordinator: "vm-2".into(),
            },
        ),
        ("take-reserve", PeerMessage::TakeReserve(reserve())),
        (
            "return-reserve",
            PeerMessage::ReturnReserve {
                program: program(),
                tokens: 300,
            },
        ),
        ("release-reserve", PeerMessage::ReleaseReserve(reserve())),
    ];
    let messages = messages
        .into_iter()
        .map(|(name, message)| encoded(&format!("message.{name}"), message));
    let replies = [
        encoded("reply.true", true),
        encoded("reply.tokens", 300_u64),
        encoded("reply.released-tokens", Some(300_u64)),
    ];
    messages.chain(replies).collect()
}

fn turn_messages() -> Vec<Sample> {
    let turn_reply = TurnReply {
        turns: vec![turn().encode()],
        is_sure: true,
    };
    let forget = vec![("turn-2".into(), 0x0123_4567_89ab_cdef)];
    vec![
        encoded("message.copy-turn", PeerMessage::CopyTurn(turn().encode())),
        encoded(
            "message.release-copies",
            PeerMessage::ReleaseCopies(vec!["turn-2".into()]),
        ),
        encoded("message.forget-copies", PeerMessage::ForgetCopies(forget)),
        encoded(
            "message.fetch-turns",
            PeerMessage::FetchTurns {
                last: "turn-2".into(),
            },
        ),
        encoded("reply.turns", turn_reply),
        encoded("reply.copy-refused", CopyReply::Refused),
        encoded("reply.copy-held", CopyReply::Held),
        encoded("reply.copy-other-version", CopyReply::OtherVersion),
    ]
}

fn target_messages() -> Vec<Sample> {
    let permit = |demand, known| {
        PeerMessage::RequestPermit(PermitRequest {
            run: limit().run,
            domain: "zone-a".into(),
            demand,
            known,
        })
    };
    let permit_reply = |decision, known| PermitReply { decision, known };
    let answer = |reply, sole| OriginAnswer { reply, sole };
    let sole = Some(SoftwareId(70_000));
    vec![
        encoded("message.request-permit", permit(Demand::Running, None)),
        encoded(
            "message.request-permit-new-program",
            permit(Demand::NewProgram { priority: 1 }, Some(limit())),
        ),
        encoded(
            "reply.permit-granted",
            permit_reply(PermitDecision::Granted, Some(limit())),
        ),
        encoded(
            "reply.permit-refused",
            permit_reply(PermitDecision::Refused { retry_ms: 300 }, Some(limit())),
        ),
        encoded(
            "reply.permit-not-grantor",
            permit_reply(PermitDecision::NotGrantor, Some(limit())),
        ),
        encoded(
            "reply.permit-not-limited",
            permit_reply(PermitDecision::NotLimited, None),
        ),
        encoded(
            "message.find-origin",
            PeerMessage::FindOrigin {
                stream: origin().stream,
                service: "chat".into(),
            },
        ),
        encoded("reply.origin-unknown", answer(OriginReply::Unknown, None)),
        encoded(
            "reply.origin-known",
            answer(OriginReply::Known(origin()), sole),
        ),
        encoded(
            "reply.origin-ambiguous",
            answer(OriginReply::Ambiguous, sole),
        ),
        encoded(
            "message.reach-target",
            PeerMessage::ReachTarget {
                id: "target-1".into(),
                run: limit().run,
            },
        ),
        encoded(
            "message.hold-allowances",
            PeerMessage::HoldAllowances(vec![AllowanceRecord {
                program: "program-1".into(),
                coordinator: "vm-2/17".into(),
                age_ms: 1_500,
                uncharged_tokens: 288,
                budget_tokens: 2_304,
                max_call_tokens: 288,
            }]),
        ),
        encoded(
            "message.pass-allowances",
            PeerMessage::PassAllowances(vec![PassedAllowance {
                program: "program-1".into(),
                used_tokens: 288,
            }]),
        ),
        encoded(
            "message.read-freshness",
            PeerMessage::ReadFreshness {
                known_version: 4_711,
            },
        ),
        encoded(
            "reply.freshness",
            Some(FreshnessReply {
                age_ms: 1_500,
                version: 4_712,
                value: Some(b"{}".to_vec()),
            }),
        ),
        encoded(
            "reply.freshness-of-known-version",
            Some(FreshnessReply {
                age_ms: 0,
                version: 4_711,
                value: None,
            }),
        ),
        encoded("reply.freshness-unknown", None::<FreshnessReply>),
        encoded("message.cache-turn", PeerMessage::CacheTurn(vec![1, 2, 3])),
        encoded("reply.reached", TargetReach::Reached),
        encoded("reply.not-reached", TargetReach::NotReached),
        encoded("reply.isolated", TargetReach::Isolated),
        encoded("reply.reach-unknown", TargetReach::Unknown),
    ]
}

/// Quota in messages.
pub(crate) fn quota_terms() -> QuotaTerms {
    QuotaTerms {
        version: 12,
        rate_per_s: 40.0,
        burst: 80.0,
    }
}

fn quota_messages() -> Vec<Sample> {
    let granted = QuotaDecision::Granted(Grant {
        running: 3,
        new_programs: 1,
        retry_ms: 80,
    });
    vec![
        encoded(
            "message.request-quota",
            PeerMessage::RequestQuota(QuotaRequest {
                account: 70_000,
                terms: quota_terms(),
                demand: QuotaDemand {
                    running: 4,
                    new_programs: 2,
                },
                returned: 1,
            }),
        ),
        encoded("reply.quota-granted", granted),
        encoded("reply.quota-not-grantor", QuotaDecision::NotGrantor),
        encoded(
            "message.transfer-quota",
            PeerMessage::TransferQuota(TransferRequest {
                account: 70_000,
                terms: quota_terms(),
                tokens: 5,
            }),
        ),
        encoded("reply.quota-transferred", 5_u32),
        encoded(
            "message.reserve-quota",
            PeerMessage::ReserveQuota(ReservationRequest {
                request: QuotaRequest {
                    account: 70_000,
                    terms: quota_terms(),
                    demand: QuotaDemand {
                        running: 4,
                        new_programs: 2,
                    },
                    returned: 1,
                },
                waiting: 3,
            }),
        ),
        encoded(
            "reply.quota-reserved",
            Reservation {
                decision: granted,
                reserved: Reserved {
                    tokens: 2,
                    first_ms: 150,
                    interval_us: 250_000,
                },
                running_retry_ms: 900,
                new_retry_ms: 4_000,
            },
        ),
    ]
}

fn datagrams() -> Vec<Sample> {
    let update = |load_report, event_interval_ms| TargetUpdate {
        target: TargetHash(70_000),
        in_flight: 3,
        load_report,
        event_interval_ms,
    };
    let report = LoadReport {
        requests: 9,
        age_ms: 200,
    };
    let targets = GossipMessage {
        targets: Some(vec![update(Some(report), Some(45)), update(None, None)]),
        affinities: Vec::new(),
    };
    let affinities = GossipMessage {
        targets: None,
        affinities: vec![AffinityUpdate {
            session: SessionHash(80_000),
            target: TargetHash(70_000),
        }],
    };
    let versions = |versions| News {
        versions: TableVersions(versions),
        ..News::default()
    };
    vec![
        gossip(
            "gossip.targets",
            News {
                message: targets,
                ..News::default()
            },
        ),
        gossip(
            "gossip.affinities",
            News {
                message: affinities,
                ..News::default()
            },
        ),
        gossip(
            "gossip.crashes",
            News {
                crashes: vec![CrashUpdate {
                    record: crash(),
                    age_ms: 1_500,
                }],
                ..News::default()
            },
        ),
        gossip(
            "gossip.versions-of-three-tables",
            versions([Some(300), None, Some(7), None]),
        ),
        gossip(
            "gossip.versions",
            versions([Some(300), None, Some(7), Some(9)]),
        ),
        gossip(
            "gossip.limits",
            News {
                limits: vec![limit()],
                ..News::default()
            },
        ),
        gossip(
            "gossip.origins",
            News {
                origins: vec![origin()],
                ..News::default()
            },
        ),
        gossip(
            "gossip.capacity",
            News {
                capacity: vec![
                    CapacityUpdate::Speed(TargetSpeed {
                        target: 70_000,
                        figure: Some((250, 40)),
                        measured: Some((170, 3)),
                    }),
                    CapacityUpdate::Admitted(AdmittedPrograms {
                        account: 80_000,
                        count: 2,
                    }),
                ],
                ..News::default()
            },
        ),
        gossip(
            "gossip.evidence-ages",
            News {
                versions: TableVersions([Some(300), None, Some(7), Some(9)]),
                ages: EvidenceAges([Some(450), None, Some(20), Some(1_600)]),
                ..News::default()
            },
        ),
    ]
}

fn rows() -> Vec<Sample> {
    let budget = |is_whole| BudgetRow {
        charged_tokens: 700,
        is_whole,
        writers: vec![WriterMark {
            writer: "vm-2/17".into(),
            sequence: 5,
            held_tokens: 60,
        }],
        retention_ms: 0,
        allowance_holder: None,
    };
    let retained = BudgetRow {
        retention_ms: 60_000,
        ..budget(true)
    };
    let with_holder = BudgetRow {
        allowance_holder: Some("vm-2/17".into()),
        ..retained.clone()
    };
    let entry = PeerEntry {
        address: "10.0.0.2:7000".parse().expect("an address"),
        domain: "zone-a".into(),
        writer: "vm-2/17".into(),
        protocol: 0,
    };
    let stated = PeerEntry {
        protocol: 7,
        ..entry.clone()
    };
    let crash_key = text("row.crash-key", crash().row_key().into(), |key| {
        compare(&CrashRecord::from_row_key(key), &Some(crash()))
    });
    let mut rows = vec![
        json("row.vm", entry),
        json("row.vm-with-protocol", stated),
        json("row.budget-without-reserve", budget(false)),
        json("row.budget", budget(true)),
        json("row.budget-with-retention", retained),
        json("row.budget-with-allowance-holder", with_holder),
        crash_key,
    ];
    rows.extend(turn_rows());
    rows
}

/// Rows of a turn, which are read together.
fn turn_rows() -> Vec<Sample> {
    const MAX_ROW_BYTES: usize = 80;
    const EXPIRES_UNIX_MS: u64 = 1_771_377_499_008;
    let writes = lagoon_turns::row_writes(&turn(), EXPIRES_UNIX_MS, MAX_ROW_BYTES);
    let stored: Vec<Row> = writes
        .iter()
        .map(|write| Row {
            key: write.key.clone(),
            value: write.value.clone(),
            version: 300,
        })
        .collect();
    let mut samples = Vec::new();
    for (part, row) in stored.clone().into_iter().enumerate() {
        let others = stored.clone();
        let key = row.key.key.clone();
        let is_key = move |found: &str| compare(&found, &key.as_str());
        samples.push(text(
            &format!("row.turn-key-{part}"),
            row.key.key.to_string(),
            is_key,
        ));
        let value = row.value.unwrap_or_default();
        samples.push(Sample {
            name: format!("row.turn-{part}"),
            bytes: value,
            check: Box::new(move |bytes| {
                let mut rows = others.clone();
                rows[part].value = Some(bytes.to_vec());
                let kept = lagoon_turns::decode_rows(&turn().id, &rows).ok_or("not read")?;
                compare(&kept.turn, &turn())?;
                compare(&kept.expires_unix_ms, &EXPIRES_UNIX_MS)
            }),
        });
    }
    samples
}

fn carried_attempts() -> Vec<Sample> {
    let attempt = CarriedAttempt {
        request_id: "request-1".into(),
        target_id: "target-1".into(),
        run: limit().run,
        is_repeatable: true,
        left_ms: 900,
    };
    let mut headers = HeaderMap::new();
    write_attempt(&mut headers, &attempt);
    let lines = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().expect("text")));
    let mut lines: Vec<String> = lines.collect();
    lines.sort();
    let ends: Vec<String> = CarryEnd::ALL.iter().map(ToString::to_string).collect();
    vec![
        text("carry.headers", lines.join("\n"), move |lines| {
            let mut headers = HeaderMap::new();
            for line in lines.lines() {
                let (name, value) = line.split_once(": ").ok_or("no header")?;
                let name: HeaderName = name.parse().map_err(|_| "no name")?;
                headers.insert(name, HeaderValue::from_str(value).map_err(|_| "no value")?);
            }
            let found = decode_attempt(&headers).ok_or("not read")?;
            compare(&found.target_id, &attempt.target_id)?;
            compare(&found.run, &attempt.run)?;
            compare(&found.is_repeatable, &attempt.is_repeatable)
        }),
        text("carry.ends", ends.join("\n"), |lines| {
            for (line, end) in lines.lines().zip(CarryEnd::ALL) {
                let mut headers = HeaderMap::new();
                headers.insert("lagoon-carry-end", line.parse().map_err(|_| "no value")?);
                compare(&CarryEnd::take(StatusCode::OK, &mut headers), &Some(end))?;
            }
            Ok(())
        }),
    ]
}

/// Samples of all formats of this build, and of those that only older builds write.
pub(crate) fn samples() -> Vec<Sample> {
    let groups = [
        store_messages(),
        budget_messages(),
        turn_messages(),
        target_messages(),
        quota_messages(),
        datagrams(),
        rows(),
        carried_attempts(),
    ];
    groups.into_iter().flatten().collect()
}
