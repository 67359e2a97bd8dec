//! Quotas in fleets of VMs, under virtual time: the sum that reaches targets.

mod simulation;

use std::time::Duration;

use lagoon_accounts::Quota;
use lagoon_quotas::{
    grantor_order, Grant, Grantor, GrantorRole, QuotaDecision, QuotaDemand, QuotaTerms,
    RequestClass, Reservation, Reserved, Stock, Take,
};
use nix::time::{clock_gettime, ClockId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use simulation::{Fault, ProgramSource, Simulation, Source};
use yare::parameterized;

/// Account of most tests.
const ACCOUNT: u64 = 42;

const RUNNING: RequestClass = RequestClass::Running;

fn quota(rate_per_s: f64, burst: f64) -> Quota {
    Quota { rate_per_s, burst }
}

/// Requests a second as a multiple of the account's rate, through all VMs.
fn everywhere(account: u64, per_s: f64) -> Source {
    Source::new(account, per_s)
}

/// Guards against sums over the quota, and against refusals below it, where the load is
/// spread over 90 VMs.
#[parameterized(
    usual_traffic = { 40.0, 40.0, 0.625 },
    at_the_limit = { 40.0, 40.0, 1.5 },
    ten_times = { 40.0, 40.0, 10.0 },
    ten_times_a_small_limit = { 4.0, 4.0, 10.0 },
    ten_times_the_largest_account = { 600.0, 600.0, 10.0 },
    ten_times_without_burst = { 200.0, 0.0, 10.0 },
    ten_times_with_a_large_burst = { 20.0, 200.0, 10.0 },
)]
fn spread_load_uses_its_limit(rate_per_s: f64, burst: f64, demand: f64) {
    let mut simulation = Simulation::new(4, 90, 1);
    simulation.set_quota(ACCOUNT, quota(rate_per_s, burst));
    simulation.add_source(everywhere(ACCOUNT, rate_per_s * demand));
    simulation.run(25_000);
    simulation.assert_within_quotas();
    let used = simulation.used(ACCOUNT, 5_000, 25_000);
    let due = rate_per_s * demand.min(1.0) * 20.0;
    assert!(used >= 0.9 * due, "{used} of {due}");
    if demand < 1.0 {
        let refused = simulation.refused(ACCOUNT, 5_000);
        assert!(
            refused * 100 <= used as usize,
            "{refused} refused, {used} used"
        );
    }
}

/// Guards against an account at ten times its usual traffic for 6 s that exceeds its
/// quota or takes tokens of others.
#[test]
fn peak_of_one_account_stays_within_its_quota() {
    // One run alone has 1.2 to 2.0 percent of refusals.
    let runs = [1, 2, 3, 4].map(run_with_peak);
    let refused: usize = runs.iter().map(|(refused, _)| refused).sum();
    let used: f64 = runs.iter().map(|(_, used)| used).sum();
    println!("others: {refused} refused, {used} used");
    assert!(
        refused as f64 <= 0.02 * used,
        "{refused} refused, {used} used"
    );
}

/// Runs a fleet in which one account peaks; returns how many requests of the others were
/// refused, and how many ran.
fn run_with_peak(seed: u64) -> (usize, f64) {
    let mut simulation = Simulation::new(3, 90, seed);
    for account in 0..86 {
        let usual_per_s = if account == 0 { 150.0 } else { 5.0 };
        simulation.set_quota(account, quota(1.6 * usual_per_s, 1.6 * usual_per_s));
        simulation.add_source(everywhere(account, usual_per_s));
    }
    simulation.run(4_000);
    let messages = simulation.messages();
    simulation.run(4_000);
    let usual = simulation.messages() - messages;
    simulation.add_source(everywhere(0, 9.0 * 150.0).until(14_000));
    simulation.run(6_000);
    let peak = simulation.messages() - messages - usual;
    println!(
        "{:.1} and {:.1} messages and replies per VM and second",
        usual as f64 / 4.0 / 90.0,
        peak as f64 / 6.0 / 90.0
    );
    simulation.run(6_000);
    simulation.assert_within_quotas();
    let used = simulation.used(0, 9_000, 14_000);
    assert!(used >= 0.9 * 240.0 * 5.0, "{used}");
    let others = 1..86;
    let used: f64 = others
        .clone()
        .map(|account| simulation.used(account, 8_000, 20_000))
        .sum();
    let refused: usize = others
        .map(|account| simulation.refused(account, 8_000))
        .sum();
    let running = (1..86).map(|account| simulation.refused_running(account, 8_000));
    let running: usize = running.sum();
    println!("others: {refused} refused, {running} of programs that have begun, {used} used");
    (refused, used)
}

/// Guards against a domain that uses its own part alone while others need nothing.
#[parameterized(
    usual = { 60.0, 60.0 },
    small = { 8.0, 8.0 },
    without_burst = { 100.0, 0.0 },
    large = { 600.0, 600.0 },
)]
fn demand_in_one_domain_uses_the_whole_limit(rate_per_s: f64, burst: f64) {
    let mut simulation = Simulation::new(4, 40, 3);
    simulation.set_quota(ACCOUNT, quota(rate_per_s, burst));
    let vms = simulation.vms_of_domain(1);
    simulation.add_source(everywhere(ACCOUNT, 5.0 * rate_per_s).through(vms));
    simulation.run(25_000);
    simulation.assert_within_quotas();
    let used = simulation.used(ACCOUNT, 5_000, 25_000);
    let due = rate_per_s * 20.0;
    assert!(used >= 0.9 * due, "{used} of {due}");
}

/// Guards against partitioned domains that together exceed the quota, or of which one
/// gets less than its part.
#[parameterized(three = { 3 }, four = { 4 }, five = { 5 })]
fn partitioned_domain_has_its_own_share(domains: usize) {
    let mut simulation = Simulation::new(domains, 30, 4);
    simulation.set_quota(ACCOUNT, quota(100.0, 100.0));
    simulation.add_source(everywhere(ACCOUNT, 1_000.0));
    simulation.run(8_000);
    simulation.apply(Fault::CutDomain {
        domain: 0,
        for_ms: 15_000,
    });
    simulation.run(15_000);
    let inside = simulation.used_in_domain(ACCOUNT, 0, 10_000, 23_000);
    let due = 100.0 / domains as f64 * 13.0;
    assert!(inside >= 0.9 * due, "{inside} of {due}");
    simulation.run(8_000);
    simulation.assert_within_quotas();
}

/// Guards against the sum of two grantors during a takeover, after which the limit is
/// still used.
#[parameterized(
    killed = { |vm| Fault::Kill { vm, for_ms: 6_000 } },
    killed_shortly = { |vm| Fault::Kill { vm, for_ms: 300 } },
    frozen = { |vm| Fault::Freeze { vm, for_ms: 6_000 } },
    frozen_shortly = { |vm| Fault::Freeze { vm, for_ms: 700 } },
    left = { |vm| Fault::Leave { vm } },
)]
fn takeover_stays_within_the_quota(fault: fn(usize) -> Fault) {
    for (domains, rate_per_s, demand) in [(1, 200.0, 10.0), (3, 200.0, 10.0), (3, 200.0, 0.5)] {
        let mut simulation = Simulation::new(domains, 12 * domains, 5);
        simulation.set_quota(ACCOUNT, quota(rate_per_s, rate_per_s));
        simulation.add_source(everywhere(ACCOUNT, demand * rate_per_s));
        simulation.run(8_000);
        // All first-ranked VMs at once, at the worst a full bucket in each.
        for domain in 0..domains {
            let first = simulation.first_grantor(ACCOUNT, domain);
            simulation.apply(fault(first));
        }
        if demand < 1.0 {
            simulation.run(3_000);
            let end_ms = simulation.now_ms() + 6_000;
            simulation.add_source(everywhere(ACCOUNT, 10.0 * rate_per_s).until(end_ms));
        }
        simulation.run(14_000);
        simulation.assert_within_quotas();
        let used = simulation.used(ACCOUNT, 18_000, 22_000);
        let due = rate_per_s * demand.min(1.0) * 4.0;
        assert!(used >= 0.85 * due, "{used} of {due}");
    }
}

/// Guards against tokens of a new first-ranked VM on top of those of the one before it.
#[test]
fn vm_that_joins_adds_nothing_to_the_quota() {
    let mut simulation = Simulation::new(3, 12, 6);
    simulation.set_quota(ACCOUNT, quota(200.0, 200.0));
    simulation.add_source(everywhere(ACCOUNT, 2_000.0));
    simulation.run(8_000);
    let before = simulation.first_grantors(ACCOUNT);
    while simulation.first_grantors(ACCOUNT) == before {
        simulation.apply(Fault::Join { domain: 0 });
    }
    simulation.run(10_000);
    simulation.assert_within_quotas();
}

/// Guards against tokens that a VM uses after a freeze, beside those that others got
/// meanwhile.
#[test]
fn tokens_expire_while_their_vm_is_frozen() {
    let mut simulation = Simulation::new(2, 8, 7);
    simulation.set_quota(ACCOUNT, quota(100.0, 100.0));
    simulation.add_source(everywhere(ACCOUNT, 1_000.0));
    simulation.run(6_000);
    for vm in 0..4 {
        simulation.apply(Fault::Freeze { vm, for_ms: 400 });
        simulation.run(1_000);
    }
    // Requests that wait with their token for half a second are sent with a new one.
    simulation.set_hold_ms(400..600);
    simulation.run(8_000);
    simulation.assert_within_quotas();
}

/// Guards against replies and transfers that count twice when they are lost.
#[test]
fn lost_messages_lose_tokens_and_add_none() {
    let mut simulation = Simulation::new(4, 40, 8);
    simulation.set_quota(ACCOUNT, quota(100.0, 100.0));
    simulation.add_source(everywhere(ACCOUNT, 1_000.0));
    simulation.set_loss(0.2);
    simulation.run(25_000);
    simulation.assert_within_quotas();
    let used = simulation.used(ACCOUNT, 5_000, 25_000);
    assert!(used >= 0.4 * 2_000.0, "{used}");
}

/// Guards against substitutes that grant a token each time that the request or the reply
/// of the first-ranked VM is lost. With a bucket that fills up while they aren't asked,
/// this took 189 requests of 185 allowed.
#[parameterized(
    programs_some = { true, 0.1 },
    programs_many = { true, 0.2 },
    requests_some = { false, 0.1 },
    requests_many = { false, 0.2 },
)]
fn substitutes_add_little_where_messages_are_lost(has_programs: bool, loss: f64) {
    for (seed, burst) in [(3, 0.0), (5, 6.0), (6, 6.0), (5, 30.0)] {
        let mut simulation = Simulation::new(4, 16, seed);
        simulation.set_quota(ACCOUNT, quota(30.0, burst));
        match has_programs {
            true => simulation.add_programs(crowd(30.0, 4.0)),
            false => simulation.add_source(everywhere(ACCOUNT, 120.0)),
        }
        simulation.set_loss(loss);
        simulation.run(20_000);
        simulation.assert_within_quotas();
    }
}

/// Guards against buckets that begin full when all VMs start again.
#[test]
fn restart_of_all_vms_adds_nothing_to_the_quota() {
    let mut simulation = Simulation::new(4, 40, 9);
    simulation.set_quota(ACCOUNT, quota(100.0, 100.0));
    simulation.add_source(everywhere(ACCOUNT, 1_000.0));
    for _ in 0..6 {
        simulation.run(2_500);
        for vm in 0..40 {
            simulation.apply(Fault::Kill { vm, for_ms: 100 });
        }
    }
    simulation.run(10_000);
    simulation.assert_within_quotas();
    let used = simulation.used(ACCOUNT, 18_000, 25_000);
    assert!(used >= 0.9 * 700.0, "{used}");
}

/// Guards against a lower limit that isn't binding one window after it is in force.
#[test]
fn lower_limit_is_binding_after_one_window() {
    let mut simulation = Simulation::new(4, 40, 10);
    simulation.set_quota(ACCOUNT, quota(200.0, 200.0));
    simulation.add_source(everywhere(ACCOUNT, 2_000.0));
    simulation.run(10_000);
    simulation.assert_within_quotas();
    let from_ms = simulation.change_quota(ACCOUNT, quota(20.0, 20.0));
    simulation.run(15_000);
    simulation.assert_within(ACCOUNT, quota(20.0, 20.0), from_ms);
}

/// Guards against sums over the quota, and against messages that grow with accounts, in
/// a fleet of 330 VMs and 4,100 accounts.
#[test]
fn many_accounts_stay_within_their_quotas() {
    let mut simulation = Simulation::new(5, 330, 11);
    // A quarter of 8,900 requests a second is the largest account's.
    simulation.set_quota(0, quota(1.6 * 2_225.0, 1.6 * 2_225.0));
    simulation.add_source(everywhere(0, 2_225.0));
    for account in 1..4_100 {
        simulation.set_quota(account, quota(1.6 * 1.63, 1.6 * 1.63));
    }
    simulation.add_source(Source::new(1, 6_675.0).of_accounts(1..4_100));
    simulation.run(4_000);
    let messages = simulation.messages();
    simulation.run(4_000);
    let usual_per_vm_s = (simulation.messages() - messages) as f64 / 4.0 / 330.0;
    simulation.add_source(everywhere(0, 9.0 * 2_225.0).until(14_000));
    let messages = simulation.messages();
    simulation.run(6_000);
    println!("{:?}", simulation.kinds());
    let per_vm_s = (simulation.messages() - messages) as f64 / 6.0 / 330.0;
    println!("{usual_per_vm_s:.1} and {per_vm_s:.1} messages and replies per VM and second");
    simulation.assert_within_quotas();
    let used = simulation.used(0, 9_000, 14_000);
    assert!(used >= 0.9 * 1.6 * 2_225.0 * 5.0, "{used}");
    // A message and its reply take some 350 bytes, so 14 KB/s are 80 of either.
    assert!(usual_per_vm_s <= 75.0, "{usual_per_vm_s}");
    assert!(per_vm_s <= 95.0, "{per_vm_s}");
}

/// Rates of small accounts of the measured day.
const SMALL_RATES: [f64; 7] = [5.0, 6.0, 8.0, 9.0, 10.0, 10.0, 21.0];

/// Fleet of 90 VMs in which 86 small accounts run programs of 20 to 45 requests.
fn fleet_with_programs(domains: usize, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(domains, 90, seed);
    for account in 0..86 {
        let rate_per_s = SMALL_RATES[account as usize % SMALL_RATES.len()];
        simulation.set_quota(account, quota(rate_per_s, rate_per_s));
        simulation.add_programs(ProgramSource {
            account,
            requests_per_s: 0.625 * rate_per_s,
            requests: 20..46,
            at_once: 12,
            duration_ms: 3_000..4_000,
        });
    }
    simulation
}

/// Guards against programs of small accounts that are lost while the account is below
/// what its limit allows in a window.
#[parameterized(
    three_domains = { 3, 13 },
    four_domains = { 4, 14 },
)]
fn programs_of_small_accounts_are_not_lost(domains: usize, seed: u64) {
    let mut begun = 0;
    let mut lost = 0;
    // One run alone has 4 to 12 lost programs.
    for seed in [seed, seed + 2] {
        let mut simulation = fleet_with_programs(domains, seed);
        simulation.run(75_000);
        simulation.print_lost();
        let counts = simulation.program_counts(3_000, 60_000);
        println!(
            "{counts:?}, {} and {} ms at the median and 95%",
            simulation.program_duration_ms(0.5),
            simulation.program_duration_ms(0.95)
        );
        let per_vm_s = simulation.messages() as f64 / 75.0 / 90.0;
        println!("{per_vm_s:.1} messages and replies per VM and second");
        simulation.assert_within_quotas();
        let late = counts.refused_after_wait * 100;
        assert!(late <= counts.refusals, "refused after a wait: {counts:?}");
        // As in the other tests: 80 of either are 14 KB/s.
        assert!(per_vm_s <= 75.0, "{per_vm_s}");
        begun += counts.begun;
        lost += counts.lost;
    }
    assert!(begun > 1_000);
    assert!(lost * 100 <= begun, "{lost} of {begun}");
}

/// Programs of this account that ask for more than its limit, many requests at once.
fn crowd(rate_per_s: f64, demand: f64) -> ProgramSource {
    ProgramSource {
        account: ACCOUNT,
        requests_per_s: demand * rate_per_s,
        requests: 20..46,
        at_once: 30,
        duration_ms: 2_000..4_000,
    }
}

/// Guards against a limit of which programs that ask for more use less than 0.9, and
/// against reserved tokens beyond the quota, in the absence of faults.
#[parameterized(small = { 10.0 }, usual = { 60.0 }, large = { 300.0 })]
fn programs_use_their_limit(rate_per_s: f64) {
    let mut simulation = Simulation::new(4, 40, 21);
    simulation.set_quota(ACCOUNT, quota(rate_per_s, rate_per_s));
    simulation.add_programs(crowd(rate_per_s, 5.0));
    simulation.run(35_000);
    simulation.assert_within_quotas();
    let used = simulation.used(ACCOUNT, 15_000, 35_000);
    let due = rate_per_s * 20.0;
    assert!(used >= 0.9 * due, "{used} of {due}");
}

/// Guards against tokens that are reserved by a grantor that ends, on top of what its
/// successor grants.
#[parameterized(
    killed = { |vm| Fault::Kill { vm, for_ms: 6_000 } },
    killed_shortly = { |vm| Fault::Kill { vm, for_ms: 100 } },
    frozen = { |vm| Fault::Freeze { vm, for_ms: 3_000 } },
    frozen_shortly = { |vm| Fault::Freeze { vm, for_ms: 700 } },
    partitioned = { |vm| Fault::CutVm { vm, for_ms: 4_000 } },
    left = { |vm| Fault::Leave { vm } },
)]
fn reserved_tokens_stay_within_the_quota_at_takeovers(fault: fn(usize) -> Fault) {
    for (domains, rate_per_s, burst) in [
        (1, 13.0, 0.0),
        (3, 5.0, 5.0),
        (3, 20.0, 20.0),
        (4, 13.0, 13.0),
        (4, 100.0, 100.0),
    ] {
        let mut simulation = Simulation::new(domains, 8 * domains, 22);
        simulation.set_quota(ACCOUNT, quota(rate_per_s, burst));
        simulation.run(15_000);
        // Full buckets, then more than they hold.
        simulation.add_programs(crowd(rate_per_s, 4.0));
        simulation.run(1_500);
        for _ in 0..3 {
            for vm in simulation.first_grantors(ACCOUNT) {
                simulation.apply(fault(vm));
            }
            simulation.run(2_400);
        }
        simulation.run(8_000);
        simulation.assert_within_quotas();
    }
}

/// Guards against tokens that are reserved before each restart of all VMs and used
/// beside those of the buckets that begin.
#[parameterized(each_second = { 1_100 }, each_window = { 2_500 }, late = { 12_000 })]
fn restarts_of_all_vms_add_no_reserved_tokens(interval_ms: u64) {
    for rate_per_s in [5.0, 13.0, 60.0] {
        let mut simulation = Simulation::new(4, 40, 23);
        simulation.set_quota(ACCOUNT, quota(rate_per_s, rate_per_s));
        simulation.add_programs(crowd(rate_per_s, 4.0));
        for _ in 0..6 {
            simulation.run(interval_ms);
            for vm in 0..40 {
                simulation.apply(Fault::Kill { vm, for_ms: 100 });
            }
        }
        simulation.run(10_000);
        simulation.assert_within_quotas();
    }
}

/// Guards against tokens reserved at a higher limit that are used when a lower one has
/// been in force for a window.
#[test]
fn reserved_tokens_end_with_a_lower_limit() {
    let mut simulation = Simulation::new(4, 40, 24);
    simulation.set_quota(ACCOUNT, quota(60.0, 60.0));
    simulation.add_programs(crowd(60.0, 4.0));
    simulation.run(15_000);
    simulation.assert_within_quotas();
    let from_ms = simulation.change_quota(ACCOUNT, quota(6.0, 6.0));
    simulation.run(15_000);
    simulation.assert_within(ACCOUNT, quota(6.0, 6.0), from_ms);
}

/// Guards against reserved tokens beyond the quota in whatever fleet of programs, with
/// one fault after the other and lost messages.
#[test]
fn programs_stay_within_the_quota_with_random_faults() {
    let first = setting("QUOTA_SEED", 1);
    for seed in first..first + setting("QUOTA_FLEETS", 20) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let domains = random.random_range(1..6);
        let vms = domains * random.random_range(3..10);
        let rate_per_s = [5.0, 13.0, 30.0, 100.0][random.random_range(0..4)];
        let burst = rate_per_s * [0.0, 0.2, 1.0, 3.0][random.random_range(0..4)];
        let demand = [0.6, 1.5, 4.0][random.random_range(0..3)];
        println!("seed {seed}: {domains} domains, {vms} VMs, {rate_per_s} + {burst}, {demand}");
        let mut simulation = Simulation::new(domains, vms, seed);
        simulation.set_quota(ACCOUNT, quota(rate_per_s, burst));
        simulation.add_programs(crowd(rate_per_s, demand));
        if random.random() {
            simulation.set_loss(0.1);
        }
        simulation.run(random.random_range(4_000..16_000));
        for _ in 0..random.random_range(2..7) {
            let domain = random.random_range(0..domains);
            let vm = match random.random() {
                true => simulation.first_grantor(ACCOUNT, domain),
                false => random.random_range(0..vms),
            };
            let for_ms = random.random_range(100..6_000);
            match random.random_range(0..6) {
                0 => simulation.apply(Fault::Kill { vm, for_ms }),
                1 => simulation.apply(Fault::Freeze { vm, for_ms }),
                2 => simulation.apply(Fault::Join { domain }),
                3 => simulation.apply(Fault::CutVm { vm, for_ms }),
                4 => simulation.apply(Fault::CutDomain { domain, for_ms }),
                _ => (0..vms).for_each(|vm| simulation.apply(Fault::Kill { vm, for_ms: 100 })),
            }
            simulation.run(random.random_range(100..5_000));
        }
        simulation.run(6_000);
        simulation.assert_within_quotas();
    }
}

/// Guards against reservations without an end, by grantors that may not be the only ones,
/// and against tokens that are reserved and granted again.
#[test]
fn grantor_reserves_what_accrues_soon() {
    let mut grantor = Grantor::new(200, 20.0, 0);
    let terms = terms(10.0, 10.0);
    let role = GrantorRole::First;
    let reserve = |grantor: &mut Grantor, role, waiting, now_ms| {
        let reserved = grantor.reserve(ACCOUNT, terms, role, waiting, now_ms);
        reserved.delays_ms().collect::<Vec<u64>>()
    };
    wait(&mut grantor, 0, 500);
    assert_eq!(ask(&mut grantor, role, [20, 0], 500), [3, 0]);
    let starting = reserve(&mut grantor, role, 5, 500);
    assert!(starting.is_empty(), "{starting:?}");
    wait(&mut grantor, 600, 20_000);
    assert_eq!(ask(&mut grantor, role, [30, 0], 20_000), [22, 0]);
    for substitute in [
        GrantorRole::Substitute { before: 1 },
        GrantorRole::Isolated { vms: 9 },
    ] {
        assert_eq!(reserve(&mut grantor.clone(), substitute, 5, 20_000), []);
    }
    assert_eq!(reserve(&mut grantor, role, 3, 20_000), [100, 200, 300]);
    let rest = reserve(&mut grantor, role, 30, 20_000);
    assert_eq!(rest, [400, 500, 600, 700, 800, 900]);
    assert_eq!(ask(&mut grantor, role, [1, 0], 20_900), [0, 0]);
    assert_eq!(reserve(&mut grantor, role, 1, 20_900), [100]);
    // The bucket is as full as if the tokens had been granted when they became usable.
    wait(&mut grantor, 21_000, 21_600);
    assert_eq!(ask(&mut grantor, role, [30, 0], 21_600), [6, 0]);
}

/// Guards against reserved tokens that a VM uses too early or too late, or that are lost
/// with a caller that leaves.
#[test]
fn stock_keeps_reserved_tokens_until_they_are_usable() {
    let mut stock = Stock::new(200);
    stock.begin_reserving_wait(ACCOUNT);
    stock.begin_reserving_wait(ACCOUNT);
    assert_eq!(stock.demand(ACCOUNT, 0).running, 2);
    assert_eq!(stock.reserving(ACCOUNT), 2);
    let reservation = Reservation {
        decision: QuotaDecision::Granted(Grant::default()),
        reserved: Reserved {
            tokens: 2,
            first_ms: 100,
            interval_us: 50_000,
        },
        running_retry_ms: 200,
        new_retry_ms: 900,
    };
    stock.add_reservation(ACCOUNT, reservation, 0, 10);
    stock.end_reserving_wait(ACCOUNT);
    stock.end_reserving_wait(ACCOUNT);
    assert_eq!(stock.reserving(ACCOUNT), 0);
    // Usable from the arrival of the reply on, and until the time of the request.
    let first = Take::Reserved {
        usable_ms: 110,
        expires_ms: 300,
    };
    assert_eq!(stock.take_or_reserve(ACCOUNT, 20), first);
    assert_eq!(stock.take(ACCOUNT, RUNNING, 20), Take::Ask, "reserved");
    stock.put_back_reserved(ACCOUNT, 110, 300);
    assert_eq!(stock.take_or_reserve(ACCOUNT, 20), first);
    stock.put_back_reserved(ACCOUNT, 110, 300);
    let usable = Take::Token { expires_ms: 300 };
    assert_eq!(stock.take(ACCOUNT, RUNNING, 120), usable);
    assert_eq!(stock.take(ACCOUNT, RUNNING, 355), Take::Ask);
    assert_eq!(stock.take_expired(), 1);
}

fn terms(rate_per_s: f64, burst: f64) -> QuotaTerms {
    QuotaTerms::new(1, quota(rate_per_s, burst))
}

fn ask(grantor: &mut Grantor, role: GrantorRole, demand: [u32; 2], now_ms: u64) -> [u32; 2] {
    let demand = QuotaDemand {
        running: demand[0],
        new_programs: demand[1],
    };
    grantor.observe_time(now_ms);
    match grantor.decide(ACCOUNT, terms(10.0, 10.0), role, demand, 0, now_ms) {
        QuotaDecision::Granted(grant) => [grant.running, grant.new_programs],
        QuotaDecision::NotGrantor => panic!("grants"),
    }
}

fn wait(grantor: &mut Grantor, from_ms: u64, until_ms: u64) {
    for now_ms in (from_ms..=until_ms).step_by(100) {
        grantor.observe_time(now_ms);
    }
}

/// Guards against new programs that take the tokens of programs that have begun.
#[test]
fn new_programs_get_tokens_while_the_bucket_is_half_full() {
    let mut grantor = Grantor::new(200, 0.0, 0);
    wait(&mut grantor, 0, 10_000);
    let first = ask(&mut grantor, GrantorRole::First, [0, 20], 10_000);
    assert_eq!(first, [0, 6]);
    let second = ask(&mut grantor, GrantorRole::First, [20, 0], 10_000);
    assert_eq!(second, [4, 0]);
}

/// Guards against a substitute that grants as much as the first-ranked VM before it
/// knows that this one is gone.
#[test]
fn substitute_grants_a_part_until_it_is_confirmed() {
    let mut granted = [0; 2];
    let second = GrantorRole::Substitute { before: 1 };
    for (role, granted) in [second, GrantorRole::ConfirmedSubstitute]
        .into_iter()
        .zip(&mut granted)
    {
        let mut grantor = Grantor::new(200, 20.0, 0);
        for now_ms in (0..=10_000).step_by(50) {
            *granted += ask(&mut grantor, role, [10, 0], now_ms)[0];
        }
    }
    assert_eq!(granted, [40, 100]);
}

/// Guards against a VM that goes on with a full bucket after it was suspended.
#[test]
fn suspended_grantor_begins_again() {
    let mut grantor = Grantor::new(200, 20.0, 0);
    wait(&mut grantor, 0, 5_000);
    assert_eq!(ask(&mut grantor, GrantorRole::First, [3, 0], 5_000), [3, 0]);
    assert_eq!(
        ask(&mut grantor, GrantorRole::First, [10, 0], 9_000),
        [0, 0]
    );
    let after = ask(&mut grantor, GrantorRole::First, [10, 0], 9_500);
    assert_eq!(after, [3, 0], "0.6 of the rate");
}

/// Guards against a donor that gives away what its own domain needs.
#[test]
fn donor_keeps_what_its_domain_needs() {
    let mut grantor = Grantor::new(200, 0.0, 0);
    grantor.record_list_change(2, 0);
    wait(&mut grantor, 0, 5_000);
    let give = |grantor: &mut Grantor, role, now_ms| {
        grantor.donate(ACCOUNT, terms(10.0, 10.0), role, 100, now_ms)
    };
    assert_eq!(
        give(&mut grantor, GrantorRole::Substitute { before: 1 }, 5_000),
        0
    );
    let mut own = 0;
    for now_ms in (5_000..6_000).step_by(50) {
        own += ask(&mut grantor, GrantorRole::First, [1, 0], now_ms)[0];
    }
    assert_eq!(own, 9, "a full bucket and what accrues");
    assert_eq!(give(&mut grantor, GrantorRole::First, 6_000), 0);
    wait(&mut grantor, 6_000, 10_000);
    assert_eq!(give(&mut grantor, GrantorRole::First, 10_000), 4);
}

/// Guards against a stock whose tokens stay usable, and against requests that ask the
/// grantor though it has just refused them.
#[test]
fn stock_uses_returns_and_refuses() {
    let mut stock = Stock::new(200);
    let grant = |running, retry_ms| lagoon_quotas::Grant {
        running,
        new_programs: 0,
        retry_ms,
    };
    assert_eq!(stock.take(ACCOUNT, RUNNING, 0), Take::Ask);
    stock.begin_wait(ACCOUNT, RUNNING);
    assert_eq!(stock.demand(ACCOUNT, 0).running, 1);
    stock.add(ACCOUNT, grant(2, 50), 0, 10);
    stock.end_wait(ACCOUNT, RUNNING);
    let expires_ms = 200;
    let new_program = stock.take(ACCOUNT, RequestClass::NewProgram, 20);
    assert_eq!(new_program, Take::Ask, "tokens of running programs");
    assert_eq!(stock.take(ACCOUNT, RUNNING, 20), Take::Token { expires_ms });
    stock.put_back(ACCOUNT, RUNNING, expires_ms, 30);
    assert_eq!(stock.take_returned(ACCOUNT, 40), 2);
    stock.begin_wait(ACCOUNT, RUNNING);
    stock.demand(ACCOUNT, 40);
    stock.add(ACCOUNT, grant(0, 50), 40, 50);
    let refused = stock.take(ACCOUNT, RUNNING, 60);
    assert_eq!(refused, Take::Refused { retry_ms: 40 });
    stock.add(ACCOUNT, grant(1, 50), 60, 70);
    assert_eq!(stock.take(ACCOUNT, RUNNING, 260), Take::Ask);
    assert_eq!(stock.take_expired(), 1);
}

/// Guards against VMs that disagree on the order, and one VM that is first for all.
#[test]
fn order_is_the_same_everywhere_and_differs_by_account() {
    let vms = ["a", "b", "c", "d"];
    let mut firsts = std::collections::BTreeSet::new();
    for account in 0..64 {
        let order = grantor_order(account, vms.into_iter());
        assert_eq!(order, grantor_order(account, vms.into_iter().rev()));
        firsts.insert(order[0]);
    }
    assert_eq!(firsts.len(), vms.len());
}

/// Processor time that this thread has used. Other load doesn't count, as it does in the
/// time that passes.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    time.expect("clock of the thread").into()
}

/// Guards against decisions whose cost grows with accounts or VMs.
#[test]
fn decision_takes_little_time() {
    const DECISIONS: u64 = 20_000;
    let vms: Vec<String> = (0..66).map(|vm| format!("front-zone-{vm}")).collect();
    let mut grantor = Grantor::new(200, 20.0, 0);
    let started = thread_time();
    for number in 0..DECISIONS {
        let account = number % 4_100;
        let order = grantor_order(account, vms.iter().map(String::as_str));
        assert_eq!(order.len(), vms.len());
        let demand = QuotaDemand {
            running: 3,
            new_programs: 1,
        };
        let now_ms = number / 10;
        grantor.observe_time(now_ms);
        let role = GrantorRole::First;
        grantor.decide(account, terms(10.0, 10.0), role, demand, 1, now_ms);
    }
    let took = thread_time() - started;
    let took_us = took.as_secs_f64() * 1e6 / DECISIONS as f64;
    println!("{took_us:.1} us for an order and a decision");
    // Of an unoptimized build.
    assert!(took_us <= 500.0, "{took_us}");
}

/// Guards against a first-ranked VM that alone is partitioned, and that grants beside its
/// substitute.
#[parameterized(one = { 1 }, three = { 3 }, four = { 4 })]
fn partitioned_first_vm_grants_the_part_of_one(domains: usize) {
    let mut simulation = Simulation::new(domains, 24 * domains, 12);
    simulation.set_quota(ACCOUNT, quota(200.0, 200.0));
    simulation.add_source(everywhere(ACCOUNT, 20_000.0));
    simulation.run(8_000);
    let vm = simulation.first_grantor(ACCOUNT, 0);
    simulation.apply(Fault::CutVm { vm, for_ms: 10_000 });
    simulation.run(14_000);
    simulation.assert_within_quotas();
    let used = simulation.used(ACCOUNT, 11_000, 18_000);
    assert!(used >= 0.9 * 7.0 * 200.0, "{used}");
}

/// Number in an environment variable, for longer runs by hand.
fn setting(variable: &str, default: u64) -> u64 {
    std::env::var(variable).map_or(default, |text| text.parse().expect("a number"))
}

/// Guards against sums over the quota in whatever fleet, with one fault after the other.
/// The faults partition whole domains and end, suspend and add single VMs.
#[test]
fn sum_stays_within_the_quota_with_random_faults() {
    let first = setting("QUOTA_SEED", 1);
    for seed in first..first + setting("QUOTA_FLEETS", 12) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let domains = random.random_range(1..6);
        let vms = domains * random.random_range(3..10);
        let rate_per_s = [2.0, 20.0, 100.0, 300.0][random.random_range(0..4)];
        let burst = rate_per_s * [0.0, 0.2, 1.0, 3.0][random.random_range(0..4)];
        let demand = [0.5, 1.2, 10.0][random.random_range(0..3)];
        println!("seed {seed}: {domains} domains, {vms} VMs, {rate_per_s} + {burst}, {demand}");
        let mut simulation = Simulation::new(domains, vms, seed);
        simulation.set_quota(ACCOUNT, quota(rate_per_s, burst));
        simulation.add_source(everywhere(ACCOUNT, demand * rate_per_s));
        simulation.run(4_000);
        for _ in 0..random.random_range(1..6) {
            // Half of the faults hit a first-ranked VM.
            let domain = random.random_range(0..domains);
            let vm = match random.random() {
                true => simulation.first_grantor(ACCOUNT, domain),
                false => random.random_range(0..vms),
            };
            let for_ms = random.random_range(100..6_000);
            simulation.apply(match random.random_range(0..5) {
                0 => Fault::Kill { vm, for_ms },
                1 => Fault::Freeze { vm, for_ms },
                2 => Fault::Join { domain },
                3 => Fault::CutVm { vm, for_ms },
                _ => Fault::CutDomain { domain, for_ms },
            });
            let end_ms = simulation.now_ms() + 2_000;
            if random.random() {
                simulation.add_source(everywhere(ACCOUNT, 8.0 * rate_per_s).until(end_ms));
            }
            simulation.run(random.random_range(100..5_000));
        }
        simulation.run(6_000);
        simulation.assert_within_quotas();
    }
}
