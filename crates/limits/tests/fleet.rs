//! Permits in fleets of VMs, in virtual time: the sum that reaches a target.

use lagoon_ids::FastSet;
use lagoon_limits::{grantors, Demand, Grantor, GrantorRank, PermitDecision, RunId};
use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const RUN: RunId = RunId(42);
const TARGET_DOMAIN: usize = 0;

const TICK_MS: u64 = 5;
const WINDOW_MS: u64 = 4_000;

/// Maximum time from a permit to the arrival of its request.
const MAX_SEND_MS: u64 = 250;

/// Maximum time until a VM has read a change of the list of VMs.
const MAX_READ_MS: u64 = 1_200;

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

fn domain_name(domain: usize) -> String {
    format!("domain-{domain}")
}

/// Requests that the target may get in a window.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW_MS as f64 / 1e3 + 5.0) as usize
}

fn most_in_window(arrivals: &[u64]) -> usize {
    let ends = arrivals.iter().map(|start| {
        let in_window = |at: &&u64| (*start..*start + WINDOW_MS).contains(*at);
        arrivals.iter().filter(in_window).count()
    });
    ends.max().unwrap_or_default()
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The VM is killed and back, knowing nothing, after this time.
    Kill { vm: usize, for_ms: u64 },
    /// The VM is neither asked nor asks for this time, and then goes on.
    Freeze { vm: usize, for_ms: u64 },
    /// A new VM joins a failure domain.
    Join { domain: usize },
    /// The VM leaves the list and the fleet.
    Leave { vm: usize },
    /// The VM reaches no other one for this time, but the target.
    CutVm { vm: usize, for_ms: u64 },
    /// The VMs of a failure domain and those of the others don't reach each other for
    /// this time; the target is reached from its own domain only.
    CutDomain { domain: usize, for_ms: u64 },
}

#[derive(Debug)]
struct Vm {
    domain: usize,
    grantor: Grantor,
    is_gone: bool,
    down_until_ms: u64,
    cut_until_ms: u64,
    /// VMs that it has read of, with the time of the change that it hasn't read yet.
    known: FastSet<usize>,
    unread: Vec<(u64, usize, bool)>,
    /// Share of all requests that come to this VM.
    share: f64,
    /// Grantors by what it has read; empty if that has to be computed.
    ranked: Vec<usize>,
}

struct Fleet {
    now_ms: u64,
    limit_per_s: f64,
    vms: Vec<Vm>,
    cut_domain: Option<(usize, u64)>,
    random: Pcg64Mcg,
    arrivals: Vec<u64>,
    asked: usize,
    granted_by: [usize; 2],
}

impl Fleet {
    fn new(domains: usize, vms: usize, limit_per_s: f64, skew: f64, seed: u64) -> Fleet {
        let shares: Vec<f64> = (0..vms).map(|vm| (1.0 + vm as f64).powf(-skew)).collect();
        let sum: f64 = shares.iter().sum();
        let vms = (0..vms).map(|vm| Vm {
            domain: vm % domains,
            grantor: Grantor::default(),
            is_gone: false,
            down_until_ms: 0,
            cut_until_ms: 0,
            known: (0..vms).collect(),
            unread: Vec::new(),
            share: shares[vm] / sum,
            ranked: Vec::new(),
        });
        Fleet {
            now_ms: 0,
            limit_per_s,
            vms: vms.collect(),
            cut_domain: None,
            random: Pcg64Mcg::seed_from_u64(seed),
            arrivals: Vec::new(),
            asked: 0,
            granted_by: [0; 2],
        }
    }

    fn is_up(&self, vm: usize) -> bool {
        !self.vms[vm].is_gone && self.now_ms >= self.vms[vm].down_until_ms
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_cut = |vm: usize| self.now_ms < self.vms[vm].cut_until_ms;
        let crosses_cut = self.cut_domain.is_some_and(|(domain, until_ms)| {
            let is_inside = |vm: usize| self.vms[vm].domain == domain;
            self.now_ms < until_ms && is_inside(from) != is_inside(to)
        });
        from == to || (!is_cut(from) && !is_cut(to) && !crosses_cut)
    }

    fn reaches_target(&self, from: usize) -> bool {
        self.cut_domain.is_none_or(|(domain, until_ms)| {
            let is_inside = self.vms[from].domain == domain;
            self.now_ms >= until_ms || is_inside == (domain == TARGET_DOMAIN)
        })
    }

    fn announce(&mut self, changed: usize, is_listed: bool) {
        for vm in 0..self.vms.len() {
            let delay_ms = if vm == changed {
                0
            } else {
                self.random.random_range(0..MAX_READ_MS)
            };
            let change = (self.now_ms + delay_ms, changed, is_listed);
            self.vms[vm].unread.push(change);
        }
    }

    fn apply(&mut self, fault: Fault) {
        let now_ms = self.now_ms;
        match fault {
            Fault::Kill { vm, for_ms } => {
                let vm = vm % self.vms.len();
                self.vms[vm].grantor = Grantor::default();
                self.vms[vm].down_until_ms = now_ms + for_ms;
            }
            Fault::Freeze { vm, for_ms } => {
                let vm = vm % self.vms.len();
                self.vms[vm].down_until_ms = now_ms + for_ms;
            }
            Fault::Join { domain } => {
                let joined = self.vms.len();
                let listed = (0..joined).filter(|vm| !self.vms[*vm].is_gone);
                let known = listed.collect();
                self.vms.push(Vm {
                    domain,
                    grantor: Grantor::default(),
                    is_gone: false,
                    down_until_ms: 0,
                    cut_until_ms: 0,
                    known,
                    unread: Vec::new(),
                    share: 0.1,
                    ranked: Vec::new(),
                });
                self.announce(joined, true);
            }
            Fault::Leave { vm } => {
                let vm = vm % self.vms.len();
                self.vms[vm].is_gone = true;
                self.announce(vm, false);
            }
            Fault::CutVm { vm, for_ms } => {
                let vm = vm % self.vms.len();
                self.vms[vm].cut_until_ms = now_ms + for_ms;
            }
            Fault::CutDomain { domain, for_ms } => {
                self.cut_domain = Some((domain, now_ms + for_ms));
            }
        }
    }

    fn ranked(&mut self, vm: usize) -> Vec<usize> {
        if self.vms[vm].ranked.is_empty() {
            self.vms[vm].ranked = self.rank(vm);
        }
        self.vms[vm].ranked.clone()
    }

    fn rank(&self, vm: usize) -> Vec<usize> {
        let known = self.vms[vm].known.iter();
        let names: Vec<(String, String)> = known
            .map(|vm| (name(*vm), domain_name(self.vms[*vm].domain)))
            .collect();
        let listed = names.iter().map(|(vm, domain)| (&**vm, &**domain));
        let ranked = grantors(RUN, &domain_name(TARGET_DOMAIN), listed);
        let index = |vm: &str| vm["vm-".len()..].parse().expect("index");
        ranked.into_iter().map(index).collect()
    }

    /// Asks for a permit as a VM does; returns whether it got one.
    fn request_permit(&mut self, vm: usize) -> bool {
        self.asked += 1;
        for grantor in self.ranked(vm) {
            if !self.is_up(grantor) || !self.reaches(vm, grantor) {
                continue;
            }
            let own_rank = self.ranked(grantor).iter().position(|vm| *vm == grantor);
            let rank = match own_rank {
                Some(0) => GrantorRank::Primary,
                Some(_) => GrantorRank::Standby,
                None => continue,
            };
            let decision = self.vms[grantor].grantor.decide(
                RUN,
                self.limit_per_s,
                rank,
                Demand::Running,
                self.now_ms,
            );
            let is_granted = decision == PermitDecision::Granted;
            self.granted_by[rank as usize] += usize::from(is_granted);
            return is_granted;
        }
        false
    }

    /// Runs for this time, with this number of requests a second in all.
    fn run(&mut self, for_ms: u64, requests_per_s: f64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            for vm in 0..self.vms.len() {
                let now_ms = self.now_ms;
                let unread = std::mem::take(&mut self.vms[vm].unread);
                for (read_ms, changed, is_listed) in unread {
                    let state = &mut self.vms[vm];
                    if read_ms > now_ms {
                        state.unread.push((read_ms, changed, is_listed));
                        continue;
                    }
                    state.ranked.clear();
                    if is_listed {
                        state.known.insert(changed);
                    } else {
                        state.known.remove(&changed);
                    }
                }
                let expected = self.vms[vm].share * requests_per_s * TICK_MS as f64 / 1e3;
                let mut requests = expected.trunc() as usize;
                requests += usize::from(self.random.random::<f64>() < expected.fract());
                for _ in 0..requests {
                    if self.is_up(vm) && self.reaches_target(vm) && self.request_permit(vm) {
                        let delay_ms = self.random.random_range(0..MAX_SEND_MS);
                        self.arrivals.push(self.now_ms + delay_ms);
                    }
                }
            }
        }
    }
}

fn faults(vms: usize, domains: usize) -> impl Strategy<Value = Fault> {
    let for_ms = 200..8_000_u64;
    prop_oneof![
        (0..vms, for_ms.clone()).prop_map(|(vm, for_ms)| Fault::Kill { vm, for_ms }),
        (0..vms, for_ms.clone()).prop_map(|(vm, for_ms)| Fault::Freeze { vm, for_ms }),
        (0..domains).prop_map(|domain| Fault::Join { domain }),
        (0..vms).prop_map(|vm| Fault::Leave { vm }),
        (0..vms, for_ms.clone()).prop_map(|(vm, for_ms)| Fault::CutVm { vm, for_ms }),
        (0..domains, for_ms).prop_map(|(domain, for_ms)| Fault::CutDomain { domain, for_ms }),
    ]
}

/// Fleet: domains, VMs, limit, skew of the callers, demand as a multiple of the limit.
fn fleets() -> impl Strategy<Value = (usize, usize, f64, f64, f64)> {
    (
        1..5_usize,
        1..40_usize,
        prop_oneof![0.1..2.0_f64, 2.0..40.0],
        0.0..2.0_f64,
        0.5..8.0_f64,
    )
}

/// Number in an environment variable, for longer runs by hand.
fn setting(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

fn cases() -> u32 {
    setting("FLEETS", 64) as u32
}

fn rng_seed() -> u64 {
    setting("FLEET_SEED", 32)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), rng_seed: proptest::test_runner::RngSeed::Fixed(rng_seed()), ..ProptestConfig::default() })]

    // Guards against VMs that together send a target more than its limit allows,
    // whatever the fleet, its callers and one fault after the other.
    #[test]
    fn sum_stays_within_the_bound_in_each_window(
        (domains, vms, limit_per_s, skew, demand) in fleets(),
        faults in prop::collection::vec((faults(40, 4), 0..6_000_u64), 0..4),
        seed: u64,
    ) {
        let mut fleet = Fleet::new(domains, vms, limit_per_s, skew, seed);
        let requests_per_s = limit_per_s * demand;
        fleet.run(3_000, requests_per_s);
        for (fault, pause_ms) in faults {
            fleet.apply(fault);
            fleet.run(pause_ms, requests_per_s);
        }
        fleet.run(6_000, requests_per_s);
        let most = most_in_window(&fleet.arrivals);
        prop_assert!(most <= allowed(limit_per_s), "{} in a window, {} allowed", most, allowed(limit_per_s));
    }

    // Guards against parts of a limit that VMs without callers keep from the others.
    #[test]
    fn demand_uses_the_whole_limit_wherever_its_callers_are(
        (domains, vms, limit_per_s, skew, _) in fleets(),
        seed: u64,
    ) {
        let mut fleet = Fleet::new(domains, vms, limit_per_s, skew, seed);
        fleet.run(40_000, 20.0 * limit_per_s);
        let used = fleet.arrivals.len() as f64;
        // Buckets begin empty, and one request may be about to come.
        prop_assert!(used >= 0.9 * 40.0 * limit_per_s - 2.0, "{} of {}", used, 40.0 * limit_per_s);
    }
}

/// The bound holds, and the fault had an effect: both VMs granted permits.
fn assert_both_grant(mut fleet: Fleet, fault: Fault) {
    fleet.run(4_000, 200.0);
    fleet.apply(fault);
    fleet.run(8_000, 200.0);
    let most = most_in_window(&fleet.arrivals);
    assert!(most <= allowed(fleet.limit_per_s), "{most}");
    let [primary, standby] = fleet.granted_by;
    assert!(primary > 10 && standby > 5, "{primary} and {standby}");
}

// Guards against a standby that adds up with a primary that some VMs still reach.
#[test]
fn primary_and_standby_of_a_cut_vm_stay_within_the_bound() {
    let mut fleet = Fleet::new(3, 12, 10.0, 0.0, 1);
    let primary = fleet.ranked(0)[0];
    let fault = Fault::CutVm {
        vm: primary,
        for_ms: 6_000,
    };
    assert_both_grant(fleet, fault);
}

// Guards against a limit that nobody uses once its primary is gone.
#[test]
fn standby_grants_while_the_primary_is_down() {
    let mut fleet = Fleet::new(3, 12, 10.0, 0.0, 2);
    let primary = fleet.ranked(0)[0];
    let fault = Fault::Kill {
        vm: primary,
        for_ms: 6_000,
    };
    assert_both_grant(fleet, fault);
}

// Guards against a failure domain that loses the limits of its own targets when it is
// cut off.
#[test]
fn domain_that_is_cut_off_keeps_the_limits_of_its_targets() {
    let mut fleet = Fleet::new(3, 12, 10.0, 0.0, 3);
    fleet.run(4_000, 200.0);
    fleet.apply(Fault::CutDomain {
        domain: TARGET_DOMAIN,
        for_ms: 8_000,
    });
    let before = fleet.arrivals.len();
    fleet.run(8_000, 200.0);
    let during = fleet.arrivals.len() - before;
    assert!(during >= 70, "{during} of 80");
    assert!(most_in_window(&fleet.arrivals) <= allowed(10.0));
    assert_eq!(fleet.granted_by[GrantorRank::Standby as usize], 0);
}

// Guards against limits below one request in a window that no VM may use.
#[test]
fn limit_below_one_request_in_a_window_is_used() {
    let mut fleet = Fleet::new(5, 295, 0.2, 0.5, 4);
    fleet.run(60_000, 20.0);
    let used = fleet.arrivals.len();
    assert!((10..=14).contains(&used), "{used}");
    assert!(most_in_window(&fleet.arrivals) <= allowed(0.2));
}

// Guards against new programs that take the permits of programs that have begun.
#[test]
fn running_programs_go_before_new_ones() {
    let mut grantor = Grantor::default();
    let mut granted = [0; 3];
    for now_ms in (0..20_000).step_by(25) {
        let demands = [
            Demand::NewProgram { priority: 1 },
            Demand::NewProgram { priority: 0 },
            Demand::Running,
        ];
        for (demand, granted) in demands.into_iter().zip(&mut granted) {
            let decision = grantor.decide(RUN, 4.0, GrantorRank::Primary, demand, now_ms);
            *granted += usize::from(decision == PermitDecision::Granted);
        }
    }
    assert_eq!((granted[0], granted[1]), (0, 0));
    assert!(granted[2] >= 78, "{}", granted[2]);
}

// Guards against worth that yields to order of arrival among new programs.
#[test]
fn urgent_new_programs_go_before_others() {
    let mut grantor = Grantor::default();
    let mut granted = [0; 2];
    for now_ms in (0..20_000).step_by(25) {
        for (priority, granted) in [1, 0].into_iter().zip(&mut granted) {
            let demand = Demand::NewProgram { priority };
            let decision = grantor.decide(RUN, 4.0, GrantorRank::Primary, demand, now_ms);
            *granted += usize::from(decision == PermitDecision::Granted);
        }
    }
    assert!(granted[1] >= 70 && granted[0] <= 2, "{granted:?}");
}

// Guards against a VM that starts again with the permits of the one before it.
#[test]
fn new_grantor_begins_with_an_empty_bucket() {
    let mut grantor = Grantor::default();
    let rank = GrantorRank::Primary;
    let first = grantor.decide(RUN, 2.0, rank, Demand::Running, 10_000);
    assert_eq!(first, PermitDecision::Refused { retry_ms: 500 });
    let second = grantor.decide(RUN, 2.0, rank, Demand::Running, 10_500);
    assert_eq!(second, PermitDecision::Granted);
}
