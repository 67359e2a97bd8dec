//! Names, program identifiers and rendezvous hashing.

use lagoon_ids::{rendezvous_hash, ProgramId, VmName};

fn program(text: &str) -> ProgramId {
    text.parse().expect("program")
}

#[yare::parameterized(
    root = { "p1", "p1", None },
    child = { "p1/s1", "p1", Some("p1") },
    grandchild = { "p1/s1/t", "p1", Some("p1/s1") },
)]
fn family_and_parent_of_program(text: &str, family: &str, parent: Option<&str>) {
    let id = program(text);
    assert_eq!(id.family(), family);
    assert_eq!(id.parent(), parent.map(program));
}

#[yare::parameterized(
    empty = { "" },
    space = { "a b" },
    empty_part = { "a//b" },
    leading = { "/a" },
)]
fn program_id_rejects_invalid_text(text: &str) {
    assert!(text.parse::<ProgramId>().is_err());
}

#[test]
fn with_parent_prefixes_the_parent_only_once() {
    let parent = program("p1");
    let child = program("s1").with_parent(&parent).expect("child");
    assert_eq!(child.as_str(), "p1/s1");
    assert_eq!(child.with_parent(&parent).expect("child"), child);
}

#[test]
fn rendezvous_hash_removal_moves_only_keys_of_the_removed() {
    let vms: Vec<VmName> = (0..10)
        .map(|n| format!("vm{n}").parse().expect("name"))
        .collect();
    for key in 0..500 {
        let key = format!("program{key}");
        let before = rendezvous_hash(&key, &vms).expect("owner");
        let after = rendezvous_hash(&key, vms.iter().skip(1)).expect("owner");
        assert!(before == after || before == &vms[0]);
    }
}
