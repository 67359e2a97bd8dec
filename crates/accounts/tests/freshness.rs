//! Strict revocation under virtual time: VMs that read the configuration from a store,
//! and ask each other while it doesn't answer. In every step, every VM is sent a request
//! with every key, and none may run later than the revocation time after the store
//! acknowledged a configuration in which the key isn't that account's.

mod fleet;

use fleet::{Config, Fleet, Request, DOMAIN_VMS, REVOCATION_MS, VMS};
use lagoon_accounts::{Freshness, FreshnessSettings, Recency, StatedEvidence};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use yare::parameterized;

const SETTINGS: FreshnessSettings = FreshnessSettings {
    revocation_ms: REVOCATION_MS,
};

/// VMs of the first failure domain.
fn first_domain() -> Vec<usize> {
    (0..DOMAIN_VMS).collect()
}

/// Every third VM.
fn third() -> Vec<usize> {
    (0..VMS).step_by(3).collect()
}

fn fresh(version: u64, began_ms: u64) -> Freshness {
    let mut freshness = Freshness::new(SETTINGS);
    freshness.put_in_force(version);
    assert!(freshness.record(began_ms, version));
    freshness
}

// Guards against limits that differ from the documented ones.
#[test]
fn recency_by_age_of_evidence() {
    let freshness = fresh(1, 1_000);
    for (age_ms, recency) in [
        (0, Recency::Recent),
        (2_500, Recency::Recent),
        (2_501, Recency::Aging),
        (4_499, Recency::Aging),
        (4_500, Recency::Stale),
        (1_000_000, Recency::Stale),
    ] {
        assert_eq!(freshness.recency(1_000 + age_ms), recency, "{age_ms}");
    }
    assert_eq!(Freshness::new(SETTINGS).recency(0), Recency::Stale);
}

// Guards against questions without need, and against too many of them.
#[test]
fn question_is_due_from_two_seconds_on() {
    let mut freshness = fresh(1, 1_000);
    assert!(!freshness.take_question(3_000));
    assert!(freshness.take_question(3_001));
    assert!(!freshness.take_question(3_400));
    assert!(freshness.take_question(3_401));
    freshness.record(3_000, 1);
    assert!(!freshness.take_question(4_000));
    assert!(Freshness::new(SETTINGS).take_question(0));
}

// Guards against a request that was admitted before the VM was frozen, or while its body
// took long, and is judged by the time of its head.
#[test]
fn request_is_judged_again_after_its_body() {
    let freshness = fresh(1, 1_000);
    let (head_ms, body_ms) = (2_000, 6_000);
    assert_eq!(freshness.recency(head_ms), Recency::Recent);
    assert_eq!(freshness.recency(body_ms), Recency::Stale);
}

// Guards against a reply that took long, or waited in a buffer, and counts as new.
#[test]
fn delayed_reply_is_as_old_as_its_question() {
    let mut freshness = fresh(1, 0);
    let stated = StatedEvidence {
        age_ms: 1_000,
        version: 1,
    };
    // Asked at 6,000; when the reply arrives makes no difference.
    assert!(freshness.record_stated(6_000, stated));
    assert_eq!(freshness.age_ms(9_000), Some(4_000));
    assert_eq!(freshness.recency(9_500), Recency::Stale);
    // An older one changes nothing.
    assert!(freshness.record_stated(5_000, stated));
    assert_eq!(freshness.age_ms(9_000), Some(4_000));
    // One from before this VM's clock started is none.
    assert!(!Freshness::new(SETTINGS).record_stated(500, stated));
}

// Guards against evidence that gets younger while VMs pass it on.
#[test]
fn relayed_evidence_only_gets_older() {
    let mut freshness = fresh(1, 1_000);
    for now_ms in 1_700..1_800 {
        let stated = freshness.state(now_ms).expect("evidence");
        let mut next = Freshness::new(SETTINGS);
        next.put_in_force(1);
        // The question was asked, and its reply arrives, in this millisecond.
        assert!(next.record_stated(now_ms, stated));
        assert!(next.age_ms(now_ms) > freshness.age_ms(now_ms));
        freshness = next;
    }
}

// Guards against evidence for a version that isn't in force here.
#[test]
fn evidence_for_a_version_that_is_not_in_force_is_none() {
    let mut freshness = fresh(5, 1_000);
    assert!(!freshness.record(9_000, 6));
    let stated = StatedEvidence {
        age_ms: 0,
        version: 6,
    };
    assert!(!freshness.record_stated(9_000, stated));
    assert_eq!(freshness.recency(9_000), Recency::Stale);
    // What was newest then is older than what is in force.
    assert!(freshness.record(9_000, 4));
    freshness.put_in_force(3);
    assert_eq!(freshness.version(), Some(5));
}

// Guards against refusals, old evidence and many calls under normal conditions.
#[test]
fn normal_conditions_refuse_nothing() {
    let mut fleet = Fleet::new(1);
    fleet.write(Config::of(&[(0, 10), (1, 11)]));
    fleet.run(3_000);
    (fleet.watched_calls, fleet.questions) = (0, 0);
    for _ in 0..2_000 {
        fleet.step();
        for vm in 0..VMS {
            assert!(fleet.age_ms(vm) < 2_000);
            assert_eq!(fleet.request(vm, 0), Request::Served(10));
            assert_eq!(fleet.request(vm, 5), Request::Refused401);
        }
    }
    let per_s = fleet.watched_calls as f64 / 20.0;
    let expected = VMS as f64 / 0.8;
    assert!(per_s < expected * 1.1, "{per_s} calls a second");
    assert_eq!(fleet.questions, 0);
}

// Guards against a revocation that takes effect late although the operator never saw the
// first acknowledgement.
#[test]
fn lost_acknowledgement_is_no_revocation_until_the_next() {
    let mut fleet = Fleet::new(2);
    fleet.write(Config::of(&[(0, 10), (1, 11)]));
    fleet.run(3_000);
    fleet.write_unacknowledged(Config::of(&[(1, 11)]));
    fleet.run(2_000);
    fleet.write(Config::of(&[(1, 11)]));
    fleet.run(6_000);
    fleet.assert_all(0, Request::Refused401);
    fleet.assert_all(1, Request::Served(11));
}

// Guards against a VM that resumes with evidence that was fresh before it was frozen.
#[parameterized(
    short = { 3_000 },
    until_just_after = { 5_200 },
    long = { 60_000 },
)]
fn frozen_vm_serves_no_revoked_key(frozen_ms: u64) {
    let mut fleet = Fleet::new(3);
    fleet.write(Config::of(&[(0, 10), (1, 11)]));
    fleet.run(3_000);
    for vm in third() {
        fleet.freeze(vm, frozen_ms);
    }
    fleet.write(Config::of(&[(1, 11)]));
    fleet.run(frozen_ms + 3_000);
    fleet.assert_all(0, Request::Refused401);
    fleet.assert_all(1, Request::Served(11));
}

// Guards against a key that is served for the account that had it before, and against
// keys of an account that outlive it.
#[parameterized(
    moves = { Config::of(&[(0, 12), (1, 11)]), Request::Served(12) },
    account_without_keys = { Config::of(&[(1, 11)]), Request::Refused401 },
)]
fn key_changes_in_time(config: Config, expected: Request) {
    let mut fleet = Fleet::new(4);
    fleet.write(Config::of(&[(0, 10), (1, 11)]));
    fleet.run(3_000);
    fleet.set_rejected(&third(), true);
    fleet.write(config);
    fleet.run(REVOCATION_MS + 1_000);
    fleet.assert_all(0, expected);
    fleet.assert_all(1, Request::Served(11));
}

// Guards against VMs that the store rejects and that serve revoked keys, or none.
#[test]
fn rejected_vms_follow_the_others() {
    let mut fleet = Fleet::new(5);
    fleet.write(Config::of(&[(0, 10), (1, 11)]));
    fleet.run(3_000);
    fleet.set_rejected(&third(), true);
    let (mut served, mut refused) = (0, 0);
    for round in 0..20 {
        // Key 0 comes and goes, key 1 stays.
        let keys: &[_] = if round % 2 == 0 {
            &[(1, 11)]
        } else {
            &[(0, 10), (1, 11)]
        };
        fleet.write(Config::of(keys));
        for _ in 0..300 {
            fleet.step();
            for vm in third() {
                match fleet.request(vm, 1) {
                    Request::Served(11) => served += 1,
                    _ => refused += 1,
                }
            }
        }
    }
    let total = served + refused;
    assert!(refused * 1_000 < total, "{refused} of {total} refused");
    fleet.set_rejected(&third(), false);
    fleet.run(3_000);
    fleet.assert_all(1, Request::Served(11));
}

// Guards against a partitioned domain that goes on by evidence of its own VMs, and one
// that takes the others with it.
#[test]
fn partitioned_domain_stops_in_time() {
    let mut fleet = Fleet::new(6);
    fleet.write(Config::of(&[(0, 10), (1, 11)]));
    fleet.run(3_000);
    fleet.set_partitioned(true);
    let cut_ms = fleet.now_ms;
    fleet.write(Config::of(&[(1, 11)]));
    while fleet.now_ms < cut_ms + 30_000 {
        fleet.step();
        let is_served = |vm| fleet.request(vm, 1) == Request::Served(11);
        if fleet.now_ms < cut_ms + REVOCATION_MS * 6 / 10 - 1_700 {
            assert!(first_domain().into_iter().all(is_served));
        }
        if fleet.now_ms > cut_ms + REVOCATION_MS {
            assert!(!first_domain().into_iter().any(is_served));
        }
        assert!((DOMAIN_VMS..VMS).all(is_served));
    }
    fleet.set_partitioned(false);
    fleet.run(3_000);
    fleet.assert_all(0, Request::Refused401);
    fleet.assert_all(1, Request::Served(11));
}

// Guards against a VM that starts without the store and answers 401, or serves by a
// configuration whose age it doesn't know.
#[test]
fn vm_that_starts_without_the_store_waits_for_evidence() {
    let mut fleet = Fleet::new(7);
    fleet.write(Config::of(&[(0, 10)]));
    fleet.run(3_000);
    fleet.set_rejected(&[0], true);
    fleet.restart(0, false);
    for _ in 0..1_000 {
        fleet.step();
        assert_eq!(fleet.request(0, 0), Request::Refused503);
        assert_eq!(fleet.request(0, 5), Request::Refused503);
    }
    // Once it has the list of VMs, these tell it.
    fleet.restart(0, true);
    fleet.run(1_000);
    fleet.assert_all(0, Request::Served(10));
    // The store is away for all.
    fleet.set_rejected(&(0..VMS).collect::<Vec<_>>(), true);
    fleet.run(REVOCATION_MS);
    fleet.restart(1, true);
    fleet.run(2_000);
    fleet.assert_all(0, Request::Refused503);
    fleet.set_rejected(&(0..VMS).collect::<Vec<_>>(), false);
    fleet.run(3_000);
    fleet.assert_all(0, Request::Served(10));
}

// Guards against evidence of other VMs that is taken for younger than it is because
// their replies take seconds.
#[test]
fn slow_replies_of_other_vms_revoke_in_time() {
    for reply_ms in [1_000, 3_000, 10_000] {
        let mut fleet = Fleet::new(8);
        fleet.write(Config::of(&[(0, 10), (1, 11)]));
        fleet.run(3_000);
        fleet.peer_delay_ms = reply_ms;
        fleet.set_rejected(&third(), true);
        fleet.write(Config::of(&[(1, 11)]));
        fleet.run(30_000);
        for vm in third() {
            assert_ne!(fleet.request(vm, 0), Request::Served(10));
        }
    }
}

// Guards against a fleet that serves by the last configuration that it could decode.
#[test]
fn configuration_that_cannot_be_decoded_is_no_evidence() {
    let mut fleet = Fleet::new(9);
    fleet.write(Config::of(&[(0, 10), (1, 11)]));
    fleet.run(3_000);
    fleet.write(Config::undecodable());
    fleet.run(REVOCATION_MS);
    fleet.assert_all(0, Request::Refused503);
    fleet.assert_all(5, Request::Refused503);
    fleet.write(Config::of(&[(1, 11)]));
    fleet.run(2_000);
    fleet.assert_all(0, Request::Refused401);
    fleet.assert_all(1, Request::Served(11));
}

// Guards against any order of these faults in which a revoked key is served.
#[test]
fn random_schedules_revoke_in_time() {
    for seed in 0..40 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut fleet = Fleet::new(seed);
        fleet.write(Config::of(&[(0, 10), (1, 11), (2, 12)]));
        fleet.run(2_000);
        for _ in 0..60 {
            let vm = random.random_range(0..VMS);
            match random.random_range(0..10) {
                0 => fleet.freeze(vm, random.random_range(100..20_000)),
                1 => fleet.set_rejected(&third(), true),
                2 => fleet.set_rejected(&(0..VMS).collect::<Vec<_>>(), false),
                3 => fleet.set_partitioned(true),
                4 => fleet.set_partitioned(false),
                5 => fleet.restart(vm, random.random_bool(0.5)),
                6 => fleet.peer_delay_ms = random.random_range(1..4_000),
                7 => fleet.store_delay_ms = random.random_range(1..1_500),
                8 => fleet.write_unacknowledged(random_config(&mut random)),
                _ => fleet.write(random_config(&mut random)),
            }
            fleet.run(random.random_range(10..3_000));
        }
    }
}

fn random_config(random: &mut Pcg64) -> Config {
    if random.random_bool(0.1) {
        return Config::undecodable();
    }
    let keys = (0..3).filter(|_| random.random_bool(0.6));
    let keys: Vec<usize> = keys.collect();
    let mut accounts = Vec::new();
    for key in keys {
        accounts.push((key, random.random_range(10..13)));
    }
    Config::of(&accounts)
}
