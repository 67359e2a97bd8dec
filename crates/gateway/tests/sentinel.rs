//! Sentinels and watches that get lost, with several VMs in virtual time.

use std::net::SocketAddr;

use lagoon_gateway::{Sentinel, SentinelSettings, SentinelTable, TableVersions};
use proptest::prelude::*;

const TABLES: usize = SentinelTable::ALL.len();

const TICK_MS: u64 = 50;

/// Ticks between two rounds of renewals and messages.
const ROUND_TICKS: u64 = 2;

const SHORT_WAIT_MS: u64 = 800;
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
                    wait_ms: SHORT_WAIT_MS,
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
        let is_long = self.vms[vm].sentinel.watch_started(table, self.now_ms);
        self.watch_count += 1;
        self.vms[vm].watches[table as usize] = Watch {
            started_ms: self.now_ms,
            wait_ms: if is_long { LONG_WAIT_MS } else { SHORT_WAIT_MS },
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
            let Some(versions) = self.vms[vm].sentinel.take_message(now_ms) else {
                continue;
            };
            let from = self.vms[vm].address;
            for other in 0..self.vms.len() {
                if other != vm && self.vms[other].is_up && !is_message_lost(vm, other) {
                    self.message_count += 1;
                    let sentinel = &mut self.vms[other].sentinel;
                    sentinel.on_message(from, versions, now_ms);
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
        sentinel.on_reply(table, version, change, now_ms);
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
        sentinel.on_message(
            other,
            TableVersions([Some(1_000_000), None, None, None]),
            now_ms,
        );
        domain.run_until(now_ms + 1_000, &[], no_loss);
    }
    assert_eq!(domain.renewal_count, 1);
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
    vms[0].on_message(addresses[1], messages[1], 110);
    vms[1].on_message(addresses[0], messages[0], 110);
    let is_vouched = |vm: &Sentinel| vm.is_vouched(SentinelTable::Config, 120);
    assert_eq!(vms.each_ref().map(is_vouched), [false, true]);
}
