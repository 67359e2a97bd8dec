//! Streams in fleets of VMs, in virtual time, with releases that overlap and faults:
//! the versions of the events that callers hold.

use lagoon_ids::hash64;
use lagoon_streams::{
    decide_origin, heir, holder_candidates, holders, OriginAnswer, OriginRecord, OriginReply,
    Origins, SoftwareId, StreamId, VersionHistory,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SERVICE: &str = "engines";
const TICK_MS: u64 = 10;
const END_MS: u64 = 40_000;

/// Time for which VMs watch the only version before the first release.
const CALM_MS: u64 = 12_000;

/// Longest time until a VM whose list of targets is current has read a change.
const MAX_LAG_MS: u64 = 2_000;

/// Length of a stream that isn't interrupted, and time of its first event.
const STREAM_MS: u64 = 400;
const FIRST_EVENT_MS: u64 = 50;

const MAX_TAKE_UPS: usize = 3;

/// Part of the design that a test switches off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Without {
    Nothing,
    /// A stream goes on at any version that is up.
    Versions,
    /// No record leaves the VM that relays the first event.
    Records,
    /// The only version that VMs have read is taken for the only one there is.
    Confirmation,
}

struct Vm {
    name: String,
    domain: String,
    origins: Origins,
    history: VersionHistory,
    /// Versions that it has read, at the same time of the last reading.
    view: Vec<SoftwareId>,
    lag_ms: u64,
    /// Times until which it is dead, frozen, and without the store.
    dead_until_ms: u64,
    frozen_until_ms: u64,
    blind_until_ms: u64,
    /// Whether it is no longer listed.
    has_left: bool,
}

struct Stream {
    id: StreamId,
    vm: usize,
    /// Version of its events; `None` between two VMs.
    runs_at: Option<SoftwareId>,
    began_ms: u64,
    has_event: bool,
    held: Vec<SoftwareId>,
    take_up_ms: u64,
    take_ups: usize,
    /// Whether the last interruption is in [`Counts::taken_up`].
    is_counted: bool,
    is_over: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Interruptions after which the caller asked for the stream at a VM that has read
    /// its version.
    taken_up: usize,
    /// Of these, the ones after which the stream went on, at one of the tries.
    gone_on: usize,
    mixed: usize,
}

struct Fleet {
    random: Pcg64Mcg,
    without: Without,
    now_ms: u64,
    vms: Vec<Vm>,
    /// Versions that are up in the periods from each time on.
    releases: Vec<(u64, Vec<SoftwareId>)>,
    loss: f64,
    cut_domain: Option<(usize, u64)>,
    streams: Vec<Stream>,
    counts: Counts,
}

fn software(version: u64) -> SoftwareId {
    SoftwareId::new(SERVICE, &format!("v{version}"))
}

impl Fleet {
    fn new(seed: u64, without: Without) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let domains = random.random_range(2..=4);
        let vms = random.random_range(2..=5) * domains;
        let vms = (0..vms).map(|vm| Vm {
            name: format!("vm-{vm}"),
            domain: format!("domain-{}", vm % domains),
            origins: Origins::default(),
            history: VersionHistory::default(),
            view: Vec::new(),
            lag_ms: random.random_range(0..MAX_LAG_MS),
            dead_until_ms: 0,
            frozen_until_ms: 0,
            blind_until_ms: 0,
            has_left: false,
        });
        let vms = vms.collect();
        let mut releases = vec![(0, vec![software(0)])];
        let mut at_ms = CALM_MS + random.random_range(0..3_000);
        let mut next = 1;
        while at_ms < END_MS {
            let (_, mut up) = releases.last().cloned().unwrap_or_default();
            // At most three versions side by side, for five seconds at least.
            if up.len() == 3 || (up.len() > 1 && random.random_bool(0.5)) {
                up.remove(0);
            } else {
                up.push(software(next));
                next += 1;
            }
            releases.push((at_ms, up));
            at_ms += random.random_range(5_000..9_000);
        }
        let loss = random.random_range(0.0..0.1);
        Fleet {
            random,
            without,
            now_ms: 0,
            vms,
            releases,
            loss,
            cut_domain: None,
            streams: Vec::new(),
            counts: Counts::default(),
        }
    }

    fn versions_at(&self, at_ms: u64) -> Vec<SoftwareId> {
        let before = self.releases.iter().rev();
        let mut before = before.skip_while(|(from_ms, _)| *from_ms > at_ms);
        before.next().map_or_else(Vec::new, |(_, up)| up.clone())
    }

    fn is_up(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        self.now_ms >= vm.dead_until_ms && self.now_ms >= vm.frozen_until_ms
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = self.cut_domain.is_some_and(|(domain, until_ms)| {
            let name = format!("domain-{domain}");
            let is_inside = |vm: usize| self.vms[vm].domain == name;
            self.now_ms < until_ms && is_inside(from) != is_inside(to)
        });
        !is_cut && self.is_up(to)
    }

    fn listed(&self, except: usize) -> Vec<(String, String)> {
        let vms = self.vms.iter().enumerate();
        let others = vms.filter(|(vm, state)| *vm != except && !state.has_left);
        others
            .map(|(_, state)| (state.name.clone(), state.domain.clone()))
            .collect()
    }

    fn named(&self, name: &str) -> usize {
        let found = self.vms.iter().position(|vm| vm.name == name);
        found.expect("a VM of the fleet")
    }

    /// Lets VMs read the list of targets.
    fn read_targets(&mut self) {
        for vm in 0..self.vms.len() {
            let is_blind = self.now_ms < self.vms[vm].blind_until_ms;
            if !self.is_up(vm) || is_blind {
                continue;
            }
            let up = self.versions_at(self.now_ms.saturating_sub(self.vms[vm].lag_ms));
            let state = &mut self.vms[vm];
            for version in &up {
                if !state.view.contains(version) {
                    state
                        .history
                        .target_added(hash64(SERVICE.as_bytes()), *version);
                }
            }
            for version in &state.view {
                if !up.contains(version) {
                    state
                        .history
                        .target_removed(hash64(SERVICE.as_bytes()), *version);
                }
            }
            state.view = up;
            state.history.observe(self.now_ms);
        }
    }

    /// Keeps a record at the VM and sends it to its holders.
    fn record(&mut self, vm: usize, record: OriginRecord) {
        self.vms[vm].origins.insert(record, self.now_ms);
        if self.without == Without::Records {
            return;
        }
        let listed = self.listed(vm);
        let listed = listed.iter().map(|(n, d)| (n.as_str(), d.as_str()));
        let names = holders(record.stream, &self.vms[vm].domain, listed);
        let receivers: Vec<usize> = names.into_iter().map(|name| self.named(name)).collect();
        for receiver in receivers {
            if self.reaches(vm, receiver) && !self.random.random_bool(self.loss) {
                self.vms[receiver].origins.insert(record, self.now_ms);
            }
        }
    }

    fn answer(&self, vm: usize, stream: StreamId) -> OriginAnswer {
        let state = &self.vms[vm];
        let is_current = self.now_ms >= state.blind_until_ms;
        let sole = state.history.sole_version(hash64(SERVICE.as_bytes()));
        OriginAnswer {
            reply: state.origins.get(stream),
            sole: sole.filter(|_| is_current),
        }
    }

    /// Version at which a VM takes a stream up, as the daemon finds it.
    fn find(&mut self, vm: usize, stream: StreamId) -> Option<SoftwareId> {
        if self.without == Without::Versions {
            return self.vms[vm].view.last().copied();
        }
        let mut answers = vec![self.answer(vm, stream)];
        let listed = self.listed(vm);
        let listed = listed.iter().map(|(n, d)| (n.as_str(), d.as_str()));
        let asked = holder_candidates(stream, listed);
        let asked: Vec<usize> = asked.into_iter().map(|name| self.named(name)).collect();
        for other in asked {
            if answers.iter().any(|a| a.reply != OriginReply::Unknown) {
                break;
            }
            if self.reaches(vm, other) && !self.random.random_bool(self.loss) {
                answers.push(self.answer(other, stream));
            }
        }
        let has_record = answers.iter().any(|a| a.reply != OriginReply::Unknown);
        let mut versions = self.vms[vm].history.versions(hash64(SERVICE.as_bytes()));
        if !has_record && self.without != Without::Confirmation {
            if self.now_ms < self.vms[vm].blind_until_ms {
                return None;
            }
            versions.extend(self.versions_at(self.now_ms));
        }
        decide_origin(&answers, &versions, |_| false).ok()
    }

    fn kill(&mut self, vm: usize, for_ms: u64) {
        self.vms[vm].dead_until_ms = self.now_ms + for_ms;
        self.vms[vm].origins = Origins::default();
        self.vms[vm].history = VersionHistory::default();
        self.vms[vm].view = Vec::new();
        self.interrupt(vm);
    }

    fn interrupt(&mut self, vm: usize) {
        for stream in &mut self.streams {
            if stream.vm == vm && stream.runs_at.is_some() && !stream.is_over {
                stream.runs_at = None;
                stream.take_up_ms = self.now_ms + self.random.random_range(0..300);
            }
        }
    }

    /// Stops a VM, which hands its records over, and starts it again.
    fn restart(&mut self, vm: usize) {
        let records: Vec<OriginRecord> = self.vms[vm].origins.open_records(self.now_ms).collect();
        let listed = self.listed(vm);
        for record in records {
            let listed = listed.iter().map(|(n, d)| (n.as_str(), d.as_str()));
            let heir = heir(record.stream, &self.vms[vm].domain, listed);
            let heir = heir.map(|name| self.named(name));
            if let Some(heir) = heir.filter(|heir| self.reaches(vm, *heir)) {
                self.vms[heir].origins.insert(record, self.now_ms);
            }
        }
        self.kill(vm, 500);
    }

    fn inject_fault(&mut self) {
        let vm = self.random.random_range(0..self.vms.len());
        match self.random.random_range(0..8) {
            0..=1 => self.kill(vm, 1_000),
            2 => {
                let killed = (0..self.vms.len()).filter(|_| self.random.random_bool(0.4));
                let killed: Vec<usize> = killed.collect();
                killed.into_iter().for_each(|vm| self.kill(vm, 1_000));
            }
            3 => self.restart(vm),
            4 => self.interrupt(vm),
            5 => self.vms[vm].frozen_until_ms = self.now_ms + 1_500,
            6 => self.vms[vm].blind_until_ms = self.now_ms + 4_000,
            _ => {
                let domain = self.random.random_range(0..4);
                self.cut_domain = Some((domain, self.now_ms + 2_000));
            }
        }
    }

    fn begin_stream(&mut self) {
        let vm = self.random.random_range(0..self.vms.len());
        let id = StreamId(self.random.random());
        let view = self.vms[vm].view.clone();
        if !self.is_up(vm) || view.is_empty() {
            return;
        }
        let version = view[self.random.random_range(0..view.len())];
        self.streams.push(Stream {
            id,
            vm,
            runs_at: Some(version),
            began_ms: self.now_ms,
            has_event: false,
            held: Vec::new(),
            take_up_ms: 0,
            take_ups: 0,
            is_counted: false,
            is_over: false,
        });
    }

    /// Passes events on, and has callers take up what was interrupted.
    fn advance(&mut self, index: usize) {
        let (vm, id) = (self.streams[index].vm, self.streams[index].id);
        let elapsed_ms = self.now_ms - self.streams[index].began_ms;
        if let Some(version) = self.streams[index].runs_at {
            if !self.is_up(vm) {
                return;
            }
            if elapsed_ms >= FIRST_EVENT_MS {
                if !std::mem::replace(&mut self.streams[index].has_event, true) {
                    self.record(
                        vm,
                        OriginRecord {
                            stream: id,
                            software: version,
                            target: 0,
                        },
                    );
                }
                self.streams[index].held.push(version);
            }
            self.streams[index].is_over = elapsed_ms >= STREAM_MS;
            return;
        }
        if self.now_ms < self.streams[index].take_up_ms {
            return;
        }
        if self.streams[index].held.is_empty() || self.streams[index].take_ups == MAX_TAKE_UPS {
            self.streams[index].is_over = true;
            return;
        }
        let next = self.random.random_range(0..self.vms.len());
        if !self.is_up(next) || self.vms[next].view.is_empty() {
            return;
        }
        self.streams[index].take_ups += 1;
        self.streams[index].take_up_ms = self.now_ms + 200;
        let found = self.find(next, id);
        let up = &self.vms[next].view;
        // A version that has left can't go on, whoever knows it.
        let is_up = up.contains(&self.streams[index].held[0]);
        let is_first = !std::mem::replace(&mut self.streams[index].is_counted, is_up);
        self.counts.taken_up += usize::from(is_up && is_first);
        self.streams[index].is_counted |= !is_first;
        if let Some(version) = found.filter(|version| up.contains(version)) {
            self.counts.gone_on += 1;
            self.streams[index].is_counted = false;
            let stream = &mut self.streams[index];
            stream.vm = next;
            stream.runs_at = Some(version);
            stream.began_ms = self.now_ms;
            stream.has_event = false;
        }
    }

    fn run(mut self) -> Counts {
        while self.now_ms < END_MS {
            self.read_targets();
            if self.now_ms > CALM_MS {
                (0..2).for_each(|_| self.begin_stream());
                if self.random.random_bool(0.02) {
                    self.inject_fault();
                }
            }
            (0..self.streams.len()).for_each(|index| self.advance(index));
            for stream in &self.streams {
                let is_mixed = stream.held.iter().any(|held| *held != stream.held[0]);
                self.counts.mixed += usize::from(stream.is_over && is_mixed);
            }
            self.streams.retain(|stream| !stream.is_over);
            self.now_ms += TICK_MS;
        }
        self.counts
    }
}

fn run_all(seeds: std::ops::Range<u64>, without: Without) -> Counts {
    let mut sum = Counts::default();
    for seed in seeds {
        let counts = Fleet::new(seed, without).run();
        if without == Without::Nothing {
            assert_eq!(counts.mixed, 0, "seed {seed}: {counts:?}");
        }
        sum.taken_up += counts.taken_up;
        sum.gone_on += counts.gone_on;
        sum.mixed += counts.mixed;
    }
    println!("{without:?}: {sum:?}");
    sum
}

// Guards against streams whose events are of two versions, whatever is killed, cut off,
// lost or released meanwhile, and against refusals of all that are taken up.
#[test]
fn streams_stay_at_their_version_in_fleets_with_faults() {
    let counts = run_all(0..60, Without::Nothing);
    assert!(counts.taken_up > 1_000, "{counts:?}");
    // New streams all begin here; at least half as many are to go on.
    assert!(counts.gone_on * 2 >= counts.taken_up, "{counts:?}");
}

// Guards against schedules that bring no hard case: a fleet that ignores versions must
// mix them.
#[test]
fn fleets_that_ignore_versions_mix_them() {
    let counts = run_all(0..10, Without::Versions);
    assert!(counts.mixed > 20, "{counts:?}");
}

// Guards against schedules in which records make no difference.
#[test]
fn fleets_without_records_refuse_more() {
    let with = run_all(0..10, Without::Nothing);
    let without = run_all(0..10, Without::Records);
    assert!(without.gone_on * 2 < with.gone_on, "{without:?}, {with:?}");
}

// Guards against schedules in which no version is unread at a VM whose list counts as
// current.
#[test]
fn fleets_that_do_not_confirm_the_only_version_mix_versions() {
    let counts = run_all(0..60, Without::Confirmation);
    assert!(counts.mixed > 0, "{counts:?}");
}
