//! Sentinels and watches that get lost, with several VMs in virtual time.

use std::net::SocketAddr;

use lagoon_gateway::{
    evidence_ms, EvidenceAges, Sentinel, SentinelMessage, SentinelSettings, SentinelTable,
    TableVersions, WatchDuration,
};
use proptest::prelude::*;
use yare::parameterized;

const TABLES: usize = SentinelTable::ALL.len();

const TICK_MS: u64 = 50;

/// Ticks between two rounds of renewals and messages.
const ROUND_TICKS: u64 = 2;

const LONG_WAIT_MS: u64 = 10_000;
const REPLY_TIMEOUT_MS: u64 = 1_500;

/// Time after a fault, and after a change, by which the change must be known.
const RECOVERY_MS: u64 = 3_000;
const APPLY_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
struct Watch {
    started_ms: u64,
    wait_ms: u64,
    is_lost: bool,
}

#[derive(Debug)]
struct Vm {
    address: SocketAddr,
    sentinel: Sentinel,
    watches: [Watch; TABLES],
    read: [u64; TABLES],
    /// Whether the VM's process runs.
    is_up: bool,
}

/// VMs of one failure domain and the versions of the store's tables.
#[derive(Debug)]
struct Domain {
    now_ms: u64,
    vms: Vec<Vm>,
    store_version: u64,
    /// Version of the newest change by table.
    changed: [u64; TABLES],
    watch_count: usize,
    message_count: usize,
    renewal_count: usize,
}

/// Watches of these VMs, of one table or both, get no reply if they are in flight
/// between these times.
#[derive(Clone, Debug)]
struct Silence {
    from_ms: u64,
    until_ms: u64,
    vms: u8,
    tables: u8,
}

impl Silence {
    fn affects(&self, vm: usize, table: usize, now_ms: u64) -> bool {
        (self.from_ms..self.until_ms).contains(&now_ms)
            && self.vms & (1 << (vm % 8)) != 0
            && self.tables & (1 << table) != 0
    }
}

impl Domain {
    fn new(vms: usize) -> Domain {
        let vm = |index| {
            let address = SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16));
            Vm {
                address,
                sentinel: Sentinel::new(SentinelSettings::default(), address),
                watches: [Watch {
                    started_ms: 0,
                    wait_ms: 0,
                    is_lost: false,
                }; TABLES],
                read: [0; TABLES],
                is_up: true,
            }
        };
        let mut domain = Domain {
            now_ms: 0,
            vms: (0..vms).map(vm).collect(),
            store_version: 1,
            changed: [1; TABLES],
            watch_count: 0,
            message_count: 0,
            renewal_count: 0,
        };
        for vm in 0..vms {
            for table in SentinelTable::ALL {
                domain.start_watch(vm, table);
            }
        }
        domain
    }

    fn change(&mut self, table: usize) {
        self.store_version += 1;
        self.changed[table] = self.store_version;
    }

    fn start_watch(&mut self, vm: usize, table: SentinelTable) {
        let duration = self.vms[vm].sentinel.watch_started(table, self.now_ms);
        self.watch_count += 1;
        self.vms[vm].watches[table as usize] = Watch {
            started_ms: self.now_ms,
            wait_ms: match duration {
                WatchDuration::Long => LONG_WAIT_MS,
                WatchDuration::ShortMs(wait_ms) => wait_ms,
            },
            is_lost: false,
        };
    }

    fn tick<L>(&mut self, silences: &[Silence], mut is_message_lost: L)
    where
        L: FnMut(usize, usize) -> bool,
    {
        self.now_ms += TICK_MS;
        let now_ms = self.now_ms;
        for vm in 0..self.vms.len() {
            for table in SentinelTable::ALL {
                self.advance_watch(vm, table, silences);
            }
        }
        if !now_ms.is_multiple_of(ROUND_TICKS * TICK_MS) {
            return;
        }
        for vm in 0..self.vms.len() {
            if !self.vms[vm].is_up {
                continue;
            }
            for table in self.vms[vm].sentinel.take_renewals(now_ms) {
                self.renewal_count += 1;
                self.start_watch(vm, table);
            }
            let Some(message) = self.vms[vm].sentinel.take_message(now_ms) else {
                continue;
            };
            let from = self.vms[vm].address;
            for other in 0..self.vms.len() {
                if other != vm && self.vms[other].is_up && !is_message_lost(vm, other) {
                    self.message_count += 1;
                    let sentinel = &mut self.vms[other].sentinel;
                    sentinel.on_message(from, &message, now_ms);
                }
            }
        }
    }

    fn advance_watch(&mut self, vm: usize, table: SentinelTable, silences: &[Silence]) {
        let now_ms = self.now_ms;
        let index = table as usize;
        if !self.vms[vm].is_up {
            return;
        }
        let affects = |silence: &Silence| silence.affects(vm, index, now_ms);
        let watch = &mut self.vms[vm].watches[index];
        watch.is_lost |= silences.iter().any(affects);
        let Watch {
            started_ms,
            wait_ms,
            is_lost,
        } = *watch;
        let waited_ms = now_ms - started_ms;
        if is_lost {
            if waited_ms >= wait_ms + REPLY_TIMEOUT_MS {
                self.start_watch(vm, table);
            }
            return;
        }
        let is_new = self.changed[index] > self.vms[vm].read[index];
        if !is_new && waited_ms < wait_ms {
            return;
        }
        let change = is_new.then_some(self.changed[index]);
        let version = self.store_version;
        self.vms[vm].read[index] = version;
        let sentinel = &mut self.vms[vm].sentinel;
        let evidence_ms = evidence_ms(started_ms, wait_ms, !is_new, now_ms);
        sentinel.on_reply(table, version, change, evidence_ms);
        self.start_watch(vm, table);
    }

    fn run_until<L>(&mut self, until_ms: u64, silences: &[Silence], mut is_message_lost: L)
    where
        L: FnMut(usize, usize) -> bool,
    {
        while self.now_ms < until_ms {
            self.tick(silences, &mut is_message_lost);
        }
    }

    fn is_current(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        !vm.is_up || (0..TABLES).all(|table| vm.read[table] >= self.changed[table])
    }
}

fn no_loss(_: usize, _: usize) -> bool {
    false
}

fn silence() -> impl Strategy<Value = Silence> {
    (8_000..14_000_u64, 50..8_000_u64, 1..=255_u8, 1..16_u8).prop_map(
        |(from_ms, lasts_ms, vms, tables)| Silence {
            from_ms,
            until_ms: from_ms + lasts_ms,
            vms,
            tables,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(28),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against changes that are in force late, after watches of any VMs and
    // tables got lost unnoticed, with no more signs than sentinels give.
    #[test]
    fn change_is_known_soon_after_any_silence(
        vms in 1..9_usize,
        silence in silence(),
        changes in prop::collection::vec((0..4_000_u64, 0..TABLES), 1..4),
        down in prop::option::of(0..8_usize),
    ) {
        let mut domain = Domain::new(vms);
        let silences = [silence.clone()];
        domain.run_until(silence.from_ms, &silences, no_loss);
        if let Some(down) = down.filter(|_| vms > 1) {
            domain.vms[down % vms].is_up = false;
        }
        let mut times: Vec<(u64, usize)> = changes
            .iter()
            .map(|(after_ms, table)| (silence.until_ms - 1_000 + after_ms, *table))
            .collect();
        times.sort_unstable();
        let mut due_ms = silence.until_ms + RECOVERY_MS;
        for (at_ms, table) in times {
            domain.run_until(at_ms, &silences, no_loss);
            domain.change(table);
            due_ms = due_ms.max(at_ms + APPLY_MS);
        }
        domain.run_until(due_ms, &silences, no_loss);
        for vm in 0..vms {
            prop_assert!(domain.is_current(vm), "VM {vm} at {due_ms}: {domain:?}");
        }
    }

    // Guards against evidence that outlives its age on its way through other VMs: watches
    // get lost unnoticed, and some time later any other VMs lose the store or end, the
    // sentinel among them.
    #[test]
    fn change_is_known_in_time_whichever_vms_vouch_without_the_store(
        vms in 2..9_usize,
        lost in silence(),
        cut_after_ms in 0..9_000_u64,
        cut_vms in 1..=255_u8,
        are_ended in any::<bool>(),
        change in (0..3_000_u64, 0..TABLES),
    ) {
        let mut domain = Domain::new(vms);
        let cut_ms = lost.from_ms + cut_after_ms;
        let (change_after_ms, table) = change;
        let changed_ms = cut_ms + change_after_ms;
        let lost = Silence { until_ms: lost.from_ms + 2 * TICK_MS, ..lost };
        let cut = Silence { from_ms: cut_ms, until_ms: 60_000, vms: cut_vms, tables: 15 };
        let silences = [lost.clone(), cut];
        domain.run_until(cut_ms, &silences, no_loss);
        let is_cut = |vm: usize| cut_vms & (1 << (vm % 8)) != 0;
        for vm in (0..vms).filter(|vm| are_ended && is_cut(*vm)) {
            domain.vms[vm].is_up = false;
        }
        domain.run_until(changed_ms, &silences, no_loss);
        domain.change(table);
        let due_ms = (lost.until_ms + RECOVERY_MS).max(changed_ms + APPLY_MS);
        domain.run_until(due_ms, &silences, no_loss);
        for vm in (0..vms).filter(|vm| !is_cut(*vm)) {
            prop_assert!(domain.is_current(vm), "VM {vm} at {due_ms}: {domain:?}");
        }
    }

    // Guards against two VMs that each wait for the other's messages, and against
    // changes that spread by one datagram.
    #[test]
    fn change_is_known_although_messages_get_lost(
        vms in 2..9_usize,
        lost_vm in 0..8_usize,
        seed in any::<u64>(),
    ) {
        let mut domain = Domain::new(vms);
        let mut random = seed;
        let mut half_lost = |_: usize, _: usize| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            random >> 63 == 1
        };
        let silences = [Silence {
            from_ms: 12_000,
            until_ms: 12_050,
            vms: 1 << (lost_vm % vms),
            tables: 15,
        }];
        domain.run_until(12_100, &silences, &mut half_lost);
        domain.change(0);
        domain.run_until(12_100 + RECOVERY_MS, &silences, &mut half_lost);
        // A message lost several times in a row leaves the short watch of the VM.
        domain.run_until(12_100 + 2 * RECOVERY_MS, &silences, &mut half_lost);
        for vm in 0..vms {
            prop_assert!(domain.is_current(vm), "VM {vm}: {domain:?}");
        }
    }
}

// Guards against calls and messages of each VM that grow with the failure domain.
#[test]
fn calm_domain_has_one_sentinel() {
    let calls_in_a_minute = |vms: usize| {
        let mut domain = Domain::new(vms);
        domain.run_until(15_000, &[], no_loss);
        let before = (domain.watch_count, domain.message_count);
        domain.run_until(75_000, &[], no_loss);
        for table in SentinelTable::ALL {
            let is_sentinel = |vm: &&Vm| !vm.sentinel.is_vouched(table, domain.now_ms);
            assert_eq!(domain.vms.iter().filter(is_sentinel).count(), 1);
        }
        assert_eq!(domain.renewal_count, 0);
        (
            domain.watch_count - before.0,
            domain.message_count - before.1,
        )
    };
    let (alone, _) = calls_in_a_minute(1);
    let (watches, messages) = calls_in_a_minute(60);
    // Each other VM makes long watches of all tables, with one message a second.
    assert!(
        watches <= alone + 59 * TABLES * 7,
        "{watches} after {alone}"
    );
    assert!(messages <= 59 * 61, "{messages}");
}

// Guards against watches that are renewed without end for a version that no store
// has.
#[test]
fn unfounded_version_renews_a_watch_once() {
    let mut domain = Domain::new(1);
    domain.run_until(10_000, &[], no_loss);
    let other = SocketAddr::from(([127, 0, 0, 1], 6_000));
    for _ in 0..20 {
        let now_ms = domain.now_ms;
        let sentinel = &mut domain.vms[0].sentinel;
        let message = SentinelMessage {
            versions: TableVersions([Some(1_000_000), None, None, None]),
            ages: EvidenceAges([Some(1), None, None, None]),
        };
        sentinel.on_message(other, &message, now_ms);
        domain.run_until(now_ms + 1_000, &[], no_loss);
    }
    assert_eq!(domain.renewal_count, 1);
}

// Guards against a VM that was frozen and takes a reply that waited for it for young evidence.
#[parameterized(
    in_time = { true, 905, 900 },
    read_late = { true, 6_000, 900 },
    early = { true, 110, 110 },
    change = { false, 905, 100 },
    change_read_late = { false, 6_000, 100 },
)]
fn evidence_is_as_old_as_the_call_that_brought_it(is_empty: bool, now_ms: u64, expected_ms: u64) {
    assert_eq!(evidence_ms(100, 800, is_empty, now_ms), expected_ms);
}

// Guards against streams that are taken up by no VM while another one takes the place of a
// sentinel that ended.
#[test]
fn domain_stays_current_while_a_sentinel_is_replaced() {
    for phase in 0..20 {
        let mut domain = Domain::new(4);
        domain.run_until(10_000 + phase * TICK_MS, &[], no_loss);
        domain.vms[0].is_up = false;
        for _ in 0..80 {
            let now_ms = domain.now_ms;
            domain.run_until(now_ms + TICK_MS, &[], no_loss);
            for vm in &domain.vms[1..] {
                let is_current = |table| vm.sentinel.is_current(table, domain.now_ms);
                assert!(SentinelTable::ALL.into_iter().all(is_current), "{vm:?}");
            }
        }
    }
}

// Guards against a sentinel that vouches for watches although its own get no reply.
#[test]
fn sentinel_without_replies_is_replaced() {
    let mut domain = Domain::new(3);
    let silences = [Silence {
        from_ms: 10_000,
        until_ms: 40_000,
        vms: 1,
        tables: 15,
    }];
    domain.run_until(20_000, &silences, no_loss);
    for table in SentinelTable::ALL {
        let is_vouched = |vm: usize| domain.vms[vm].sentinel.is_vouched(table, domain.now_ms);
        assert_eq!([1, 2].map(is_vouched), [false, true]);
    }
    domain.change(1);
    domain.run_until(20_000 + APPLY_MS, &silences, no_loss);
    assert!(domain.is_current(1) && domain.is_current(2));
}

// Guards against a VM that relies on a sentinel whose evidence is of unknown age, as earlier
// builds don't state it, and against one that takes an old message for young evidence.
#[test]
fn message_without_young_evidence_vouches_for_no_watch() {
    let addresses = [7_000, 7_001].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let max_age_ms = SentinelSettings::default().max_age_ms;
    for (age_ms, is_vouched) in [
        (None, false),
        (Some(max_age_ms), false),
        (Some(max_age_ms - 2), true),
    ] {
        let mut vm = Sentinel::new(SentinelSettings::default(), addresses[1]);
        let message = SentinelMessage {
            versions: TableVersions([Some(5), None, None, None]),
            ages: EvidenceAges([age_ms, None, None, None]),
        };
        vm.on_reply(SentinelTable::Config, 5, Some(5), 10_000);
        vm.on_message(addresses[0], &message, 20_000);
        let is_long = |duration| duration == WatchDuration::Long;
        let table = SentinelTable::Config;
        assert_eq!(vm.is_vouched(table, 20_001), is_vouched, "{age_ms:?}");
        assert_eq!(is_long(vm.watch_started(table, 20_001)), is_vouched);
        assert_eq!(vm.is_current(table, 20_001), age_ms.is_some());
        // The evidence expires by its own age, whenever the message came.
        assert_eq!(vm.take_renewals(20_002).len(), usize::from(is_vouched));
    }
}

// Guards against sentinels that all step down as their messages cross.
#[test]
fn one_of_two_sentinels_whose_messages_cross_steps_down() {
    let addresses = [7_000, 7_001].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let mut vms = addresses.map(|own| Sentinel::new(SentinelSettings::default(), own));
    let messages = vms.each_mut().map(|vm| {
        for table in SentinelTable::ALL {
            vm.on_reply(table, 5, Some(5), 100);
        }
        vm.take_message(100).expect("is a sentinel")
    });
    vms[0].on_message(addresses[1], &messages[1], 110);
    vms[1].on_message(addresses[0], &messages[0], 110);
    let is_vouched = |vm: &Sentinel| vm.is_vouched(SentinelTable::Config, 120);
    assert_eq!(vms.each_ref().map(is_vouched), [false, true]);
}
