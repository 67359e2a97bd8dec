//! Simulated fleet of plain targets, in steps of a millisecond.

use lagoon_capacity::{
    CapacitySettings, Sample, SampleKind, ServiceEstimates, TargetEstimates, TargetSpeed,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const SEED: u64 = 11;
const TARGETS: usize = 24;
const SLOTS: usize = 6;
const SERVICE_MS: f64 = 60.0;
const GOSSIP_PERIOD_MS: u64 = 100;
const END_MS: u64 = 20_000;
/// Requests before this aren't counted, as nothing is known yet.
const MEASURED_MS: u64 = 3_000;
const CALLS: usize = 7;
/// Candidates of a choice, with a random factor up to 1.3: more, or no random factor,
/// made VMs choose the same targets.
const CANDIDATES: usize = 3;
const NEIGHBOR_MS: u64 = 600;
const WINDOW_MS: u64 = 250;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Figures {
    True,
    /// Fast targets report that they are slow, and slow ones that they are fast.
    Inverted,
    StopAt(u64),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Pattern {
    /// Slowness of each third target.
    pub(crate) slow_third: f64,
    /// Slowness of a target while a neighbour is busy: 600 ms, 15% of the time.
    pub(crate) neighbors: f64,
    /// Slowness of each third target with more than half of its slots taken.
    pub(crate) knee_third: f64,
    pub(crate) fails_fast: bool,
    pub(crate) release_at_ms: Option<u64>,
    pub(crate) figures: Figures,
    pub(crate) has_mixed_sizes: bool,
    /// Share of all slots that requests take on average.
    pub(crate) load: f64,
    pub(crate) vms: usize,
    /// Bounds of the time for which an update of another VM is under way.
    pub(crate) gossip_delay_ms: (u64, u64),
}

impl Default for Pattern {
    fn default() -> Self {
        Pattern {
            slow_third: 1.0,
            neighbors: 1.0,
            knee_third: 1.0,
            fails_fast: false,
            release_at_ms: None,
            figures: Figures::True,
            has_mixed_sizes: false,
            load: 0.35,
            vms: 12,
            gossip_delay_ms: (5, 20),
        }
    }
}

#[derive(Debug)]
pub(crate) struct Outcome {
    /// Mean time over that at the best target of the moment.
    pub(crate) mean_ratio: f64,
    /// Share of programs that took more than the objective times the best.
    pub(crate) late_share: f64,
    /// Mean over VMs of the estimate of the first target, over that of all targets.
    pub(crate) first_target_slowness: f64,
    /// Largest share of one target in the requests of a window.
    pub(crate) max_window_share: f64,
}

#[derive(Clone, Default)]
struct Vm {
    service: ServiceEstimates,
    targets: Vec<TargetEstimates>,
    /// Requests that a target reported to this VM, and when.
    reported: Vec<(usize, u64)>,
}

struct Request {
    vm: usize,
    target: usize,
    bytes: u64,
    size: f64,
    sent_ms: u64,
    ends_ms: u64,
    running: usize,
    figure: Option<u32>,
    is_success: bool,
    release: u32,
}

struct Message {
    arrives_ms: u64,
    sender: usize,
    speeds: Vec<TargetSpeed>,
    reported: Vec<(usize, u64)>,
}

pub(crate) struct Simulation {
    pattern: Pattern,
    uses_estimates: bool,
    settings: CapacitySettings,
    random: Pcg64,
    vms: Vec<Vm>,
    running: Vec<usize>,
    neighbors_until_ms: Vec<u64>,
    requests: Vec<Request>,
    gossip: Vec<Message>,
    release: u32,
    ratios: Vec<f64>,
    window: Vec<usize>,
    max_window_share: f64,
}

impl Simulation {
    pub(crate) fn new(pattern: Pattern, uses_estimates: bool) -> Simulation {
        let vm = Vm {
            service: ServiceEstimates::default(),
            targets: vec![TargetEstimates::default(); TARGETS],
            reported: vec![(0, 0); TARGETS],
        };
        Simulation {
            pattern,
            uses_estimates,
            settings: CapacitySettings::default(),
            random: Pcg64::seed_from_u64(SEED),
            vms: vec![vm; pattern.vms],
            running: vec![0; TARGETS],
            neighbors_until_ms: vec![0; TARGETS],
            requests: Vec::new(),
            gossip: Vec::new(),
            release: 0,
            ratios: Vec::new(),
            window: vec![0; TARGETS],
            max_window_share: 0.0,
        }
    }

    fn slowness(&self, target: usize, running: usize, now_ms: u64) -> f64 {
        let third = (target + self.release as usize).is_multiple_of(3);
        let mut slowness = if third { self.pattern.slow_third } else { 1.0 };
        if now_ms < self.neighbors_until_ms[target] {
            slowness *= self.pattern.neighbors;
        }
        if third && running * 2 > SLOTS {
            slowness *= self.pattern.knee_third;
        }
        // Requests above the slots wait.
        slowness * (running as f64 / SLOTS as f64).max(1.0)
    }

    fn figure(&self, target: usize, now_ms: u64) -> Option<u32> {
        let slowness = self.slowness(target, 1, now_ms);
        match self.pattern.figures {
            Figures::True => Some((slowness * 100.0) as u32),
            Figures::Inverted => Some((100.0 / slowness) as u32),
            Figures::StopAt(at_ms) => (now_ms < at_ms).then_some((slowness * 100.0) as u32),
        }
    }

    fn choose(&mut self, vm: usize, now_ms: u64) -> usize {
        if !self.uses_estimates {
            return self.random.random_range(0..TARGETS);
        }
        let candidates: Vec<(usize, f64)> = (0..CANDIDATES)
            .map(|_| {
                let target = self.random.random_range(0..TARGETS);
                (target, self.random.random_range(1.0..1.3))
            })
            .collect();
        let Vm {
            service,
            targets,
            reported,
        } = &self.vms[vm];
        let sum: usize = reported.iter().map(|(requests, _)| requests).sum();
        let mean_load = sum as f64 / TARGETS as f64;
        let cost = |(target, noise): &(usize, f64)| {
            let estimates = &targets[*target];
            let (requests, at_ms) = reported[*target];
            // As loads of targets decay in `lagoon-gateway`.
            let weight = 0.5_f64.powf((now_ms - at_ms) as f64 / 500.0);
            let load = requests as f64 * weight + mean_load * (1.0 - weight);
            let slots = SLOTS as f64;
            let capacity = service.capacity(&self.settings, estimates, slots, now_ms);
            // As the expected delay in `lagoon-gateway`: beyond the capacity, requests
            // slow each other down.
            let excess = (load + 1.0 - capacity).max(0.0) / capacity;
            estimates.slowness(&self.settings, service, now_ms) * (1.0 + excess) * noise
        };
        let best = candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.expect("there are candidates").0
    }

    fn send(&mut self, now_ms: u64) {
        let vm = self.random.random_range(0..self.pattern.vms);
        let target = self.choose(vm, now_ms);
        let bytes = match self.pattern.has_mixed_sizes {
            true => 256 << (2 * self.random.random_range(0..4)),
            false => 256,
        };
        let size = bytes as f64 / 256.0;
        let size = SERVICE_MS * (1.0 + size.log2() / 2.0) * self.random.random_range(0.8..1.2);
        self.running[target] += 1;
        let running = self.running[target];
        let slowness = self.slowness(target, running, now_ms);
        let fails = self.pattern.fails_fast && target == 0;
        let took_ms = if fails { 2.0 } else { size * slowness };
        if now_ms >= MEASURED_MS {
            let best = (0..TARGETS)
                .map(|other| {
                    let others = self.running[other] + usize::from(other != target);
                    self.slowness(other, others, now_ms)
                })
                .fold(f64::INFINITY, f64::min);
            self.ratios.push(slowness / best);
            self.window[target] += 1;
        }
        self.requests.push(Request {
            vm,
            target,
            bytes,
            size,
            sent_ms: now_ms,
            ends_ms: now_ms + took_ms.round() as u64,
            running,
            figure: None,
            is_success: !fails,
            release: self.release,
        });
    }

    fn end_requests(&mut self, now_ms: u64) {
        let mut index = 0;
        while index < self.requests.len() {
            if self.requests[index].ends_ms > now_ms {
                index += 1;
                continue;
            }
            let mut request = self.requests.swap_remove(index);
            if request.release != self.release {
                continue;
            }
            self.running[request.target] -= 1;
            request.figure = self.figure(request.target, now_ms);
            let running = self.running[request.target];
            let vm = &mut self.vms[request.vm];
            let target = &mut vm.targets[request.target];
            vm.reported[request.target] = (running, now_ms);
            let sample = Sample {
                kind: SampleKind::Response {
                    kind: 1,
                    bytes: request.bytes,
                },
                took_ms: (now_ms - request.sent_ms) as f64,
                load_share: request.running as f64 / SLOTS as f64,
                is_success: request.is_success,
            };
            debug_assert!(request.size > 0.0);
            if let Some(figure) = request.figure {
                target.record_figure(&self.settings, &mut vm.service, figure, now_ms);
            }
            vm.service.record(&self.settings, target, &sample, now_ms);
        }
    }

    fn gossip(&mut self, now_ms: u64) {
        if now_ms.is_multiple_of(GOSSIP_PERIOD_MS) {
            for sender in 0..self.vms.len() {
                let targets = self.vms[sender].targets.iter_mut().enumerate();
                let news = targets.filter(|(_, target)| target.has_news());
                let updates: Vec<_> = news
                    .map(|(number, target)| target.take_update(number as u32, now_ms))
                    .collect();
                let (min_ms, max_ms) = self.pattern.gossip_delay_ms;
                let delay_ms = self.random.random_range(min_ms..max_ms);
                self.gossip.push(Message {
                    arrives_ms: now_ms + delay_ms,
                    sender,
                    speeds: updates,
                    reported: self.vms[sender].reported.clone(),
                });
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.gossip)
            .into_iter()
            .partition(|message| message.arrives_ms <= now_ms);
        self.gossip = later;
        for message in due {
            // As many receivers as a VM has gossip peers.
            for step in 1..=12.min(self.vms.len() - 1) {
                let receiver = (message.sender + step) % self.vms.len();
                let vm = &mut self.vms[receiver];
                for update in &message.speeds {
                    let target = &mut vm.targets[update.target as usize];
                    target.apply_update(&self.settings, &mut vm.service, update, now_ms);
                }
                for (known, received) in vm.reported.iter_mut().zip(&message.reported) {
                    if received.1 > known.1 {
                        *known = *received;
                    }
                }
            }
        }
    }

    fn step_targets(&mut self, now_ms: u64) {
        for until_ms in &mut self.neighbors_until_ms {
            // Busy for 15% of the time.
            let starts = self.random.random::<f64>() < 0.15 / 0.85 / NEIGHBOR_MS as f64;
            if now_ms >= *until_ms && starts {
                *until_ms = now_ms + NEIGHBOR_MS;
            }
        }
        if self.pattern.release_at_ms == Some(now_ms) {
            self.release += 1;
            self.running = vec![0; TARGETS];
            for vm in &mut self.vms {
                vm.targets = vec![TargetEstimates::default(); TARGETS];
                vm.reported = vec![(0, 0); TARGETS];
            }
        }
        if now_ms.is_multiple_of(WINDOW_MS) {
            let sum: usize = self.window.iter().sum();
            let max = self.window.iter().max().copied().unwrap_or_default();
            if sum > 50 {
                let share = max as f64 / sum as f64;
                self.max_window_share = self.max_window_share.max(share);
            }
            self.window = vec![0; TARGETS];
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        // Sizes are 1 to 4 times the smallest.
        let mean_size = if self.pattern.has_mixed_sizes {
            2.5
        } else {
            1.0
        };
        let slots = (TARGETS * SLOTS) as f64;
        let per_ms = self.pattern.load * slots / (SERVICE_MS * mean_size);
        let mut due = 0.0;
        for now_ms in 1..END_MS {
            self.step_targets(now_ms);
            self.end_requests(now_ms);
            self.gossip(now_ms);
            due += per_ms * self.random.random_range(0.0..2.0);
            while due >= 1.0 {
                due -= 1.0;
                self.send(now_ms);
            }
        }
        let objective = self.settings.objective;
        let count = self.ratios.len() as f64;
        // Calls of a program are spread over the run, as the turns of programs are.
        let programs = self.ratios.len() / CALLS;
        let late = (0..programs).filter(|program| {
            let calls = (0..CALLS).map(|call| self.ratios[call * programs + program]);
            calls.sum::<f64>() > objective * CALLS as f64
        });
        let slowness = |vm: &Vm, target: usize| {
            let estimates = &vm.targets[target];
            estimates.slowness(&self.settings, &vm.service, END_MS)
        };
        let of_first: f64 = self.vms.iter().map(|vm| slowness(vm, 0)).sum();
        let of_all = self.vms.iter();
        let of_all = of_all.flat_map(|vm| (0..TARGETS).map(move |target| slowness(vm, target)));
        let first_target_slowness = of_first * TARGETS as f64 / of_all.sum::<f64>();
        Outcome {
            mean_ratio: self.ratios.iter().sum::<f64>() / count,
            late_share: late.count() as f64 / programs as f64,
            first_target_slowness,
            max_window_share: self.max_window_share,
        }
    }
}
