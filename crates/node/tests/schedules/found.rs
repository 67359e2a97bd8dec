//! Plans that once failed, as they were found.

use lagoon_testkit::{StoreMode, TargetMode};

use super::faults::Kind::{Cut, Kill, Loss, Nothing, Pause, Stop, Store, Target};
use super::faults::{Fault, Kind, Plan};

fn fault(kind: Kind, also: Kind, steps: u64) -> Fault {
    Fault { kind, also, steps }
}

/// Call waited for a program that a takeover brought, and nobody looked.
pub(crate) fn waiting_call_after_takeover() -> Plan {
    Plan {
        seed: 7478724590627483792,
        programs: vec![vec![0, 0, 0], vec![0, 0, 0], vec![3, 0, 0]],
        faults: vec![fault(Cut(2), Nothing, 21)],
    }
}

/// Two VMs sealed themselves in favour of each other.
pub(crate) fn stops_naming_each_other() -> Plan {
    Plan {
        seed: 0,
        programs: vec![vec![0, 0, 0]],
        faults: vec![
            fault(Stop(2), Store(StoreMode::Down), 3),
            fault(Stop(1), Cut(0), 3),
            fault(Stop(0), Target(0, TargetMode::Refuse), 3),
        ],
    }
}

/// Restarted VM waited for a gap in a program that another one held.
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
            fault(Cut(2), Store(StoreMode::Down), 46),
            fault(Stop(2), Loss(21), 6),
            fault(Kill(1), Pause(0), 31),
            fault(Loss(27), Cut(0), 40),
            fault(Store(StoreMode::LoseReplies), Nothing, 38),
            fault(Stop(1), Cut(0), 17),
        ],
    }
}

/// Owner died in an outage with answers that were not durable.
pub(crate) fn owner_lost_in_outage() -> Plan {
    Plan {
        seed: 17336730072542398275,
        programs: vec![vec![0, 3, 2]],
        faults: vec![
            fault(Loss(25), Cut(0), 38),
            fault(Nothing, Store(StoreMode::Down), 18),
            fault(Kill(1), Nothing, 3),
        ],
    }
}

/// Woken owner ran a repeatable call after its successor had gone on.
pub(crate) fn repeatable_call_after_pause() -> Plan {
    Plan {
        seed: 3632244677801562029,
        programs: vec![
            vec![1, 0, 2, 1, 1],
            vec![0, 2, 1, 1, 2],
            vec![1, 3, 0, 1, 3],
        ],
        faults: vec![
            fault(Pause(0), Target(2, TargetMode::Break), 17),
            fault(Target(0, TargetMode::Refuse), Pause(1), 55),
            fault(Target(2, TargetMode::Refuse), Pause(0), 38),
            fault(Stop(1), Store(StoreMode::Down), 57),
            fault(Pause(2), Cut(0), 32),
        ],
    }
}

/// VM was held for dead and sealed while it stopped, and stayed for good.
pub(crate) fn sealed_during_its_stop() -> Plan {
    Plan {
        seed: 16787343837835871919,
        programs: vec![
            vec![1, 2, 0, 2, 1],
            vec![3, 0, 2, 1, 3, 2, 0, 1],
            vec![0, 0, 1, 1, 2],
        ],
        faults: vec![
            fault(Stop(1), Stop(0), 4),
            fault(Cut(1), Target(4, TargetMode::Hang), 10),
            fault(Stop(2), Nothing, 52),
            fault(Stop(0), Nothing, 11),
            fault(Cut(2), Target(1, TargetMode::NotRun), 27),
        ],
    }
}

/// VM whose own row was sealed tried to seal another one without end.
pub(crate) fn seal_by_a_sealed_vm() -> Plan {
    Plan {
        seed: 7409967927738293,
        programs: vec![
            vec![1, 1, 3, 1, 3, 1, 0, 0, 3],
            vec![3, 3, 2],
            vec![2, 0, 0, 2, 3, 2, 0, 3, 0],
            vec![1, 1, 3, 0],
        ],
        faults: vec![
            fault(Store(StoreMode::Down), Cut(2), 51),
            fault(Store(StoreMode::Down), Stop(0), 18),
        ],
    }
}

/// Takeover brought a program whose claim was under way, and it was dropped.
pub(crate) fn import_during_a_claim() -> Plan {
    Plan {
        seed: 14842222457233456072,
        programs: vec![
            vec![2, 2, 0, 2, 3, 1],
            vec![3, 3, 2, 3, 1],
            vec![2, 2, 0, 3, 0],
            vec![3, 0, 1, 2, 1, 1, 0, 0, 2],
        ],
        faults: vec![
            fault(Stop(1), Loss(24), 3),
            fault(Loss(33), Target(0, TargetMode::Hang), 47),
            fault(Pause(1), Loss(53), 19),
            fault(Loss(34), Pause(0), 10),
            fault(Loss(58), Nothing, 24),
        ],
    }
}

/// VM that had not sealed an incarnation yet imported what that one had
/// sealed, and so did the one that came first.
pub(crate) fn two_successors_of_one_chain() -> Plan {
    Plan {
        seed: 2846967204945078748,
        programs: vec![vec![2, 3, 2, 3, 3, 2, 1], vec![0, 0, 1, 0, 3, 3, 3, 3, 1]],
        faults: vec![
            fault(Stop(2), Store(StoreMode::Down), 16),
            fault(Pause(0), Kill(1), 50),
            fault(Stop(0), Cut(2), 42),
            fault(Kill(1), Target(2, TargetMode::Break), 25),
        ],
    }
}

/// Two VMs held each other for dead for good, and no third one agreed.
pub(crate) fn each_holds_the_other_for_dead() -> Plan {
    Plan {
        seed: 4906019519352391434,
        programs: vec![
            vec![0, 1, 1, 3, 3, 1],
            vec![0, 3, 1, 0, 0, 0, 1, 2, 0],
            vec![1, 1, 1, 3, 0, 3],
            vec![0, 0, 2, 1, 2, 2, 3],
        ],
        faults: vec![
            fault(Loss(25), Store(StoreMode::LoseReplies), 18),
            fault(Loss(59), Kill(0), 55),
            fault(Cut(1), Loss(28), 3),
            fault(Pause(2), Store(StoreMode::Down), 48),
            fault(Cut(2), Pause(1), 25),
            fault(Nothing, Loss(44), 13),
        ],
    }
}
