//! Admission of new programs.

use lagoon_gateway::{
    admit, AccountRates, Admission, AdmissionSettings, NewProgram, Placement, ProgramAdmission,
    ProgramDecision, TargetKey,
};
use yare::parameterized;

fn placement(load: f64) -> Placement {
    Placement {
        key: TargetKey::default(),
        load,
        load_age_ms: None,
        slots: 10.0,
        is_preferred: true,
        cost_ms: 0.0,
        estimate: None,
        is_changed_by_estimate: false,
    }
}

#[parameterized(
    slot_free = { 8.9, 0, Admission::Admit },
    slot_free_after_a_wait = { 8.9, 200, Admission::Admit },
    full = { 9.0, 0, Admission::Wait },
    full_shortly_before_the_maximum_wait = { 12.0, 119, Admission::Wait },
    full_until_the_maximum_wait = { 9.0, 120, Admission::Refuse },
)]
fn admit_new_program(load: f64, waited_ms: u64, expected: Admission) {
    let settings = AdmissionSettings::default();
    assert_eq!(admit(&settings, &placement(load), waited_ms), expected);
}

fn program(number: u64, account: u32, priority: u32) -> NewProgram {
    NewProgram {
        program: number,
        account,
        priority,
        service: 1,
        // Neither one that counts as most urgent nor one that contends for the last places.
        random: 0.5,
        spread: 0.5,
    }
}

fn refuse(admission: &mut ProgramAdmission, program: &NewProgram, load: f64) -> ProgramDecision {
    let settings = AdmissionSettings::default();
    let placement = placement(load);
    admission.decide_wait(&settings, program, (&placement, load - 10.0), 250.0, 0, 0)
}

// Guards against waiting programs that are admitted in no order: with one place, only the
// first is admitted, whichever checks first.
#[test]
fn waiting_programs_are_admitted_in_order() {
    // All may fill the same share, so that the order alone decides.
    let program = |number, account, priority| NewProgram {
        random: 0.125,
        ..program(number, account, priority)
    };
    let mut admission = ProgramAdmission::default();
    let refused = program(1, 7, 2);
    refuse(&mut admission, &refused, 15.0);
    let of_first_account = [program(2, 7, 1), program(3, 7, 1)];
    let first = of_first_account.map(|program| admission.enter(program, 10));
    let other_account = admission.enter(program(4, 8, 1), 10);
    let urgent = admission.enter(program(5, 7, 0), 10);
    let returned = admission.enter(refused, 10);
    let placement = placement(9.5);
    let mut order = Vec::new();
    let mut waiting = vec![first[1], first[0], other_account, urgent, returned];
    while !waiting.is_empty() {
        let admitted = waiting
            .iter()
            .position(|ticket| admission.try_admit(*ticket, &placement, 20).is_ok());
        let ticket = waiting.remove(admitted.expect("one has a place"));
        admission.leave(ticket);
        order.push(ticket);
    }
    assert_eq!(order[..2], [returned, urgent]);
    // The second program of an account comes after the first of another.
    assert_eq!(order[2], first[0]);
    assert_eq!(order[3..], [other_account, first[1]]);
}

// Guards against less urgent programs that fill the places of urgent ones, and against
// those that are never admitted.
#[test]
fn less_urgent_programs_fill_a_smaller_share() {
    let mut admission = ProgramAdmission::default();
    let mut fits = |priority, random, load| {
        let new = NewProgram {
            random,
            ..program(1, 0, priority)
        };
        let ticket = admission.enter(new, 0);
        let is_admitted = admission.try_admit(ticket, &placement(load), 0).is_ok();
        admission.leave(ticket);
        is_admitted
    };
    assert!(fits(0, 0.5, 9.5));
    assert!(!fits(3, 0.5, 9.5));
    assert!(fits(3, 0.5, 7.5));
    assert!(fits(3, 0.125, 9.5), "one of a quarter counts as urgent");
}

// Guards against an account that holds most programs, also as gossip peers tell.
#[test]
fn an_account_over_its_share_fills_a_smaller_share() {
    let mut admission = ProgramAdmission::default();
    let mut peer = ProgramAdmission::default();
    for number in 0..60 {
        let account = if number % 2 == 0 { 1 } else { number as u32 };
        let ticket = peer.enter(program(number, account, 0), 0);
        peer.try_admit(ticket, &placement(0.0), 0).expect("fits");
        peer.leave(ticket);
    }
    let told = peer.take_admitted(100);
    assert_eq!(told.iter().map(|admitted| admitted.count).sum::<u16>(), 60);
    assert_eq!(peer.take_admitted(100), []);
    admission.apply_admitted(&told, 200);
    let greedy = admission.enter(program(100, 1, 0), 200);
    assert!(admission.try_admit(greedy, &placement(7.0), 200).is_err());
    admission.leave(greedy);
    let other = admission.enter(program(101, 3, 0), 200);
    assert_eq!(admission.try_admit(other, &placement(7.0), 200), Ok(()));
}

// Guards against refused programs that come back at the same time, or before there can be
// a place.
#[test]
fn retry_after_grows_with_the_queue_and_is_spread() {
    let retry_ms = |load, spread| {
        let new = NewProgram {
            spread,
            ..program(1, 0, 0)
        };
        match refuse(&mut ProgramAdmission::default(), &new, load) {
            ProgramDecision::Refuse { retry_after_ms } => retry_after_ms,
            ProgramDecision::Wait => 0,
        }
    };
    assert_eq!(retry_ms(10.5, 0.5), 0, "a place is soon free");
    assert!(retry_ms(20.0, 0.5) > 3 * retry_ms(12.0, 0.5));
    assert!(retry_ms(20.0, 1.0) >= 3 * retry_ms(20.0, 0.0) / 2);
}

// Guards against an account with a large quota that is refused while it uses no more than
// its part, and against one with a small quota that fills as much as the large one.
#[test]
fn shares_of_accounts_follow_their_quotas() {
    const LARGE: u32 = 1;
    const SMALL: u32 = 2;
    let mut admission = ProgramAdmission::default();
    let rates = (2..=31).map(|account| (account, 10.0));
    let rates = rates.chain([(LARGE, 150.0)]).collect();
    admission.set_account_rates(AccountRates::new(rates));
    let mut admit = |number: u64, account: u32, load: f64, now_ms: u64| {
        let ticket = admission.enter(program(number, account, 0), now_ms);
        let admitted = admission.try_admit(ticket, &placement(load), now_ms);
        admission.leave(ticket);
        admitted.is_ok()
    };
    for number in 0..90 {
        let account = match number % 3 {
            0 => LARGE,
            _ => 2 + number as u32 / 3,
        };
        assert!(admit(number, account, 0.0, 0));
    }
    assert!(admit(100, LARGE, 7.0, 200));
    for number in 200..220 {
        admit(number, SMALL, 0.0, 200);
    }
    assert!(!admit(300, SMALL, 7.0, 400));
    assert!(admit(301, LARGE, 7.0, 400));
}
