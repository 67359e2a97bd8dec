//! Generated plans that violated a property, kept as regression tests.

use lagoon_testkit::{StoreMode, TargetMode};

use super::faults::FaultKind::{Isolate, Kill, MessageLoss, NoFault, Pause, Stop, Store, Target};
use super::faults::{Fault, FaultKind, Plan};

fn fault(first: FaultKind, second: FaultKind, steps: u64) -> Fault {
    Fault {
        first,
        second,
        steps,
    }
}

/// A call that waited for its program was not advanced when a takeover imported the program.
pub(crate) fn waiting_call_after_takeover() -> Plan {
    Plan {
        seed: 7478724590627483792,
        programs: vec![vec![0, 0, 0], vec![0, 0, 0], vec![3, 0, 0]],
        faults: vec![fault(Isolate(2), NoFault, 21)],
    }
}

/// Two stopping VMs sealed their incarnations in favour of each other.
pub(crate) fn mutual_seals_of_stopping_vms() -> Plan {
    Plan {
        seed: 0,
        programs: vec![vec![0, 0, 0]],
        faults: vec![
            fault(Stop(2), Store(StoreMode::Down), 3),
            fault(Stop(1), Isolate(0), 3),
            fault(Stop(0), Target(0, TargetMode::RefuseConnection), 3),
        ],
    }
}

/// A restarted VM waited for earlier calls of a program that another VM owned.
pub(crate) fn later_call_of_claimed_program() -> Plan {
    Plan {
        seed: 17568724534798375933,
        programs: vec![
            vec![2, 2, 3, 2, 1, 3, 2, 0, 1],
            vec![0, 3, 1],
            vec![0, 3, 3],
            vec![2, 1, 1, 0, 0, 2],
        ],
        faults: vec![
            fault(Isolate(2), Store(StoreMode::Down), 46),
            fault(Stop(2), MessageLoss(21), 6),
            fault(Kill(1), Pause(0), 31),
            fault(MessageLoss(27), Isolate(0), 40),
            fault(Store(StoreMode::LoseReplies), NoFault, 38),
            fault(Stop(1), Isolate(0), 17),
        ],
    }
}

/// An owner with responses that were not durable crashed during a store outage.
pub(crate) fn owner_crash_during_store_outage() -> Plan {
    Plan {
        seed: 17336730072542398275,
        programs: vec![vec![0, 3, 2]],
        faults: vec![
            fault(MessageLoss(25), Isolate(0), 38),
            fault(NoFault, Store(StoreMode::Down), 18),
            fault(Kill(1), NoFault, 3),
        ],
    }
}

/// An owner resumed after a pause and ran an idempotent call although its
/// successor had taken over.
pub(crate) fn idempotent_call_after_pause() -> Plan {
    Plan {
        seed: 3632244677801562029,
        programs: vec![
            vec![1, 0, 2, 1, 1],
            vec![0, 2, 1, 1, 2],
            vec![1, 3, 0, 1, 3],
        ],
        faults: vec![
            fault(Pause(0), Target(2, TargetMode::Disconnect), 17),
            fault(Target(0, TargetMode::RefuseConnection), Pause(1), 55),
            fault(Target(2, TargetMode::RefuseConnection), Pause(0), 38),
            fault(Stop(1), Store(StoreMode::Down), 57),
            fault(Pause(2), Isolate(0), 32),
        ],
    }
}

/// A VM was declared dead and sealed during its planned stop and never exited.
pub(crate) fn sealed_during_planned_stop() -> Plan {
    Plan {
        seed: 16787343837835871919,
        programs: vec![
            vec![1, 2, 0, 2, 1],
            vec![3, 0, 2, 1, 3, 2, 0, 1],
            vec![0, 0, 1, 1, 2],
        ],
        faults: vec![
            fault(Stop(1), Stop(0), 4),
            fault(Isolate(1), Target(4, TargetMode::Hang), 10),
            fault(Stop(2), NoFault, 52),
            fault(Stop(0), NoFault, 11),
            fault(Isolate(2), Target(1, TargetMode::NotRun), 27),
        ],
    }
}

/// A VM whose own incarnation row was sealed retried forever to seal another VM's row.
pub(crate) fn seal_by_sealed_vm() -> Plan {
    Plan {
        seed: 7409967927738293,
        programs: vec![
            vec![1, 1, 3, 1, 3, 1, 0, 0, 3],
            vec![3, 3, 2],
            vec![2, 0, 0, 2, 3, 2, 0, 3, 0],
            vec![1, 1, 3, 0],
        ],
        faults: vec![
            fault(Store(StoreMode::Down), Isolate(2), 51),
            fault(Store(StoreMode::Down), Stop(0), 18),
        ],
    }
}

/// A takeover imported a program whose claim was in flight, and the failed
/// claim then removed the program.
pub(crate) fn import_during_claim() -> Plan {
    Plan {
        seed: 14842222457233456072,
        programs: vec![
            vec![2, 2, 0, 2, 3, 1],
            vec![3, 3, 2, 3, 1],
            vec![2, 2, 0, 3, 0],
            vec![3, 0, 1, 2, 1, 1, 0, 0, 2],
        ],
        faults: vec![
            fault(Stop(1), MessageLoss(24), 3),
            fault(MessageLoss(33), Target(0, TargetMode::Hang), 47),
            fault(Pause(1), MessageLoss(53), 19),
            fault(MessageLoss(34), Pause(0), 10),
            fault(MessageLoss(58), NoFault, 24),
        ],
    }
}

/// A VM imported the programs of the incarnations that a dead VM had sealed, although it had
/// not sealed the dead VM's own incarnation yet. Another VM sealed that first and imported
/// the same programs.
pub(crate) fn two_importers_of_one_incarnation() -> Plan {
    Plan {
        seed: 2846967204945078748,
        programs: vec![vec![2, 3, 2, 3, 3, 2, 1], vec![0, 0, 1, 0, 3, 3, 3, 3, 1]],
        faults: vec![
            fault(Stop(2), Store(StoreMode::Down), 16),
            fault(Pause(0), Kill(1), 50),
            fault(Stop(0), Isolate(2), 42),
            fault(Kill(1), Target(2, TargetMode::Disconnect), 25),
        ],
    }
}

/// Two VMs permanently considered each other dead, and the third VM agreed with neither.
pub(crate) fn mutual_death_declarations() -> Plan {
    Plan {
        seed: 4906019519352391434,
        programs: vec![
            vec![0, 1, 1, 3, 3, 1],
            vec![0, 3, 1, 0, 0, 0, 1, 2, 0],
            vec![1, 1, 1, 3, 0, 3],
            vec![0, 0, 2, 1, 2, 2, 3],
        ],
        faults: vec![
            fault(MessageLoss(25), Store(StoreMode::LoseReplies), 18),
            fault(MessageLoss(59), Kill(0), 55),
            fault(Isolate(1), MessageLoss(28), 3),
            fault(Pause(2), Store(StoreMode::Down), 48),
            fault(Isolate(2), Pause(1), 25),
            fault(NoFault, MessageLoss(44), 13),
        ],
    }
}
