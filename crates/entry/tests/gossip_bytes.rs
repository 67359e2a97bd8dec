//! Bytes of gossip that a VM sends, by the encoder of its datagrams, without a network.

use std::net::SocketAddr;

use lagoon_entry::wire::News;
use lagoon_gateway::{
    AffinityTable, CapacityUpdate, GossipMessage, NewProgram, Placement, ProgramAdmission,
    RequestMetadata, SampleKind, TargetEntry, TargetKey, TargetLoad, TargetStatus, Targets,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 90;
const TARGETS: usize = 60;
const DOMAINS: usize = 3;
/// Share of the calls that go to targets of the own failure domain.
const LOCAL_SHARE: f64 = 0.8;
const ACCOUNTS: u32 = 86;
const SLOTS: u32 = 12;
/// Calls of a program.
const CALLS: u64 = 7;
/// Time of a call, in gossip periods.
const CALL_PERIODS: usize = 3;
/// Gossip peers, period and lists of a datagram as in `news.rs`.
const GOSSIP_PEERS: usize = 12;
const PERIOD_MS: u64 = 100;
const SPEEDS: usize = 4;
const ADMITTED: usize = 2;
/// Bound on the gossip of a VM in bytes a second.
const MAX_BYTES_PER_S: f64 = 14_000.0;

struct Vm {
    number: usize,
    targets: Targets,
    keys: Vec<TargetKey>,
    admission: ProgramAdmission,
    affinity: AffinityTable,
    address: SocketAddr,
    /// Targets of the calls that began in each of the last periods.
    calls: Vec<Vec<usize>>,
}

fn vm(number: usize) -> Vm {
    let mut targets = Targets::default();
    for target in 0..TARGETS {
        targets.upsert(TargetEntry {
            id: format!("target-{target}").into(),
            service: "s".into(),
            address: ([127, 0, 0, 1], 9_000 + target as u16).into(),
            domain: "d".into(),
            software_version: "v1".into(),
            slots: SLOTS,
            status: TargetStatus::Ready,
            started_unix_ms: None,
        });
    }
    Vm {
        number,
        keys: targets.of_service("s").map(|(key, _)| key).collect(),
        targets,
        admission: ProgramAdmission::default(),
        affinity: AffinityTable::default(),
        address: ([127, 0, 0, 1], 10_000 + number as u16).into(),
        calls: vec![Vec::new(); CALL_PERIODS],
    }
}

impl Vm {
    fn call(&mut self, id: u64, account: u32, random: &mut Pcg64, now_ms: u64) {
        let mut target = random.random_range(0..TARGETS);
        if random.random::<f64>() < LOCAL_SHARE {
            target -= target % DOMAINS;
            target += self.number % DOMAINS;
        }
        let key = self.keys[target];
        self.targets.request_started(key, now_ms);
        let load = TargetLoad {
            running: random.random_range(0..SLOTS),
            waiting: 0,
            slots: SLOTS,
            work_percent: Some(random.random_range(80..250)),
        };
        self.targets.record_load(key, load, now_ms);
        self.calls[0].push(target);
        if !id.is_multiple_of(CALLS) {
            return;
        }
        // The first call of a program.
        let new = NewProgram {
            program: id,
            account,
            priority: 0,
            service: 1,
            random: 0.0,
            spread: 0.5,
        };
        let placement = Placement {
            key,
            load: 0.0,
            load_age_ms: None,
            slots: f64::from(SLOTS),
            is_preferred: true,
            cost_ms: 0.0,
            estimate: None,
            is_changed_by_estimate: false,
        };
        let ticket = self.admission.enter(new, now_ms);
        let admitted = self.admission.try_admit(ticket, &placement, now_ms);
        admitted.expect("there is room");
        self.admission.leave(ticket);
        let metadata = RequestMetadata {
            program: Some(format!("program-{id}").into()),
            ..RequestMetadata::default()
        };
        let hash = self.targets.get(key).expect("is listed").id_hash();
        self.affinity.record(&metadata, hash, now_ms);
    }

    fn end_calls(&mut self, now_ms: u64) {
        let ended = self.calls.pop().unwrap_or_default();
        self.calls.insert(0, Vec::new());
        for target in ended {
            let key = self.keys[target];
            self.targets.request_ended(key);
            let kind = SampleKind::Response {
                kind: 1,
                bytes: 300,
            };
            self.targets.record_sample(key, kind, 300.0, true, now_ms);
            self.targets.record_event_interval(key, 20.0, now_ms);
        }
    }
}

fn encoded(news: &News) -> usize {
    news.encode().expect("is valid").len()
}

/// Mean bytes of gossip a second that a VM sends, to gossip peers and to others, where all
/// VMs together get `requests_per_s`.
fn bytes_per_s(requests_per_s: f64) -> [f64; 2] {
    let mut random = Pcg64::seed_from_u64(7);
    let mut vms: Vec<Vm> = (0..VMS).map(vm).collect();
    let mut ids = 0;
    let mut bytes = [0; 2];
    let (begin_ms, end_ms) = (1_000, 4_000);
    for now_ms in (PERIOD_MS..end_ms).step_by(PERIOD_MS as usize) {
        vms.iter_mut().for_each(|vm| vm.end_calls(now_ms));
        for _ in 0..(requests_per_s * PERIOD_MS as f64 / 1e3) as usize {
            ids += 1;
            let account = random.random_range(1..=ACCOUNTS);
            let vm = random.random_range(0..VMS);
            vms[vm].call(ids, account, &mut random, now_ms);
        }
        for sender in 0..VMS {
            let vm = &mut vms[sender];
            let address = vm.address;
            let targets = vm.targets.take_updates(now_ms);
            let speeds = vm.targets.take_speeds(SPEEDS, now_ms);
            let admitted = vm.admission.take_admitted(ADMITTED);
            let affinities = vm.affinity.take_updates();
            let capacity = speeds.iter().copied().map(CapacityUpdate::Speed);
            let admissions = admitted.iter().copied().map(CapacityUpdate::Admitted);
            let loads = News {
                message: GossipMessage {
                    targets: Some(targets.clone()),
                    affinities: Vec::new(),
                },
                capacity: capacity.chain(admissions).collect(),
                ..News::default()
            };
            if now_ms >= begin_ms {
                bytes[0] += encoded(&loads) * GOSSIP_PEERS;
            }
            if now_ms >= begin_ms && !affinities.is_empty() {
                let news = News {
                    message: GossipMessage {
                        targets: None,
                        affinities,
                    },
                    ..News::default()
                };
                bytes[1] += encoded(&news) * (VMS - 1);
            }
            // The next VMs of the same domain.
            for step in 1..=GOSSIP_PEERS {
                let peer = &mut vms[(sender + step * DOMAINS) % VMS];
                peer.targets.apply_updates(address, &targets, now_ms);
                peer.targets.apply_speeds(&speeds, now_ms);
                peer.admission.apply_admitted(&admitted, now_ms);
            }
        }
    }
    let seconds = (end_ms - begin_ms) as f64 / 1e3;
    bytes.map(|bytes| bytes as f64 / VMS as f64 / seconds)
}

// Guards against gossip that takes more of the links of small VMs than is allowed: 90 VMs
// of three domains before 60 targets, of which each response reports all figures, with up
// to four times the 70 model calls a second of a day.
#[test]
fn gossip_of_90_vms_stays_within_its_bound() {
    for requests_per_s in [75.0, 150.0, 300.0] {
        let [peers, others] = bytes_per_s(requests_per_s);
        println!(
            "{requests_per_s} requests/s: {peers:.0} B/s of loads and estimates, {others:.0} B/s \
             of sessions"
        );
        assert!(peers + others <= MAX_BYTES_PER_S);
    }
}
