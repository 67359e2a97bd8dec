//! Timelines from log lines.

use lagoon_cli::canvas::timeline;
use lagoon_cli::collection::parse_log;

const LOG: &str = r#"
noise before
2.5 vm-a-1 time_ms=2000 level=info module=m vm=a-1 message="try failed" request=r1 target_id=i-1 failure="not sent" detail="not sent: \"refused\"" next="another target"
time_ms=2010 level=info module=m vm=a-1 message="answered" request=r1 program=p1 status=200
time_ms=2005 level=info module=m vm=a-2 message="store unreachable; requested an allowance" program=p1 granted_tokens=0
time_ms=2004 level=info module=m vm=a-2 message="answered" request=r2 program=p1 status=200
time_ms=2004 level=info module=m vm=a-2 message="answered" request=r3 program=p2 status=200
time_ms=torn
"#;

#[test]
fn parse_log_unquotes_values() {
    let lines = parse_log(LOG);
    assert_eq!(lines.len(), 5);
    assert_eq!(lines[0].field("detail"), Some("not sent: \"refused\""));
    assert_eq!(lines[0].vm, "a-1");
}

#[test]
fn timeline_of_request_includes_lines_of_its_program() {
    let timeline = timeline("r1", &parse_log(LOG)).expect("is named");
    let expected = "r1, program p1, from time_ms=2000\n      0 ms  a-1  try failed  request=r1  \
        target_id=i-1  failure=not sent  detail=not sent: \"refused\"  next=another target\n      \
        5 ms  a-2  store unreachable; requested an allowance  granted_tokens=0\n     10 ms  a-1  answered  request=r1  status=200\n";
    assert_eq!(timeline, expected);
}

#[test]
fn timeline_of_program_has_all_its_requests() {
    let timeline = timeline("p1", &parse_log(LOG)).expect("is named");
    assert!(timeline.contains("request=r2") && !timeline.contains("request=r3"));
}

#[test]
fn timeline_of_unknown_id_is_none() {
    assert_eq!(timeline("r9", &parse_log(LOG)), None);
}

const UNANSWERED_LOG: &str = r#"
time_ms=2000 level=info module=m vm=a-1 message="stream begun" request=r1 target_id=i-1
time_ms=2600 level=info module=m vm=a-1 message="process ended" request=r1 program=p1 status=200
time_ms=2600 level=warn module=m vm=a-1 message="unanswered: process ended" request=r1 cause="process ended" age_ms=640 config_version=4 config_version_now=5 passed_on=true stopping=true unread_bytes=0 connections=1
time_ms=2600 level=warn module=m vm=a-1 message="unanswered: closed by the stop" request=- cause="closed by the stop" age_ms=1 unread_bytes=7
"#;

// Guards against a timeline that ends without the cause for which a caller got nothing.
#[test]
fn timeline_of_unanswered_request_ends_with_its_cause() {
    let timeline = timeline("r1", &parse_log(UNANSWERED_LOG)).expect("is named");
    let last = timeline.lines().last().expect("has lines");
    assert_eq!(
        last,
        "    600 ms  a-1  unanswered: process ended  request=r1  cause=process ended  age_ms=640  \
         config_version=4  config_version_now=5  passed_on=true  stopping=true  unread_bytes=0  connections=1"
    );
    assert!(!timeline.contains("closed by the stop"), "{timeline}");
}

const STREAM_LOG: &str = r#"
time_ms=10 vm=a-1 message="stream begun" request=r1 target_id=i-1 software_version=v1 stream=-
time_ms=30 vm=b-1 message="version of an interrupted stream: a record" request=r2 source=a-2
time_ms=40 vm=b-1 message="stream taken up" request=r2 target_id=i-2 software_version=v1 stream=r1
time_ms=70 vm=c-1 message="stream is not taken up: no record of the stream" request=r3 stream=r1
time_ms=80 vm=c-1 message="stream begun" request=r4 target_id=i-1 software_version=v1 stream=-
"#;

// Guards against a timeline that ends where the first VM died.
#[test]
fn timeline_of_stream_has_all_requests_for_it() {
    for id in ["r1", "r2", "r3"] {
        let timeline = timeline(id, &parse_log(STREAM_LOG)).expect("is named");
        for request in ["r1", "r2", "r3"] {
            let field = format!("request={request}");
            assert!(timeline.contains(&field), "{id}: {timeline}");
        }
        assert!(!timeline.contains("request=r4"), "{timeline}");
    }
}
