//! Turns that the store may not have yet.

use std::rc::Rc;

use lagoon_ids::FastMap;

use crate::copies::CopyReply;
use crate::turn::{Turn, TurnId};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// This VM served the turn, and neither the store nor enough VMs have it.
    Pending,
    /// This VM served the turn, and enough VMs have it.
    Safe,
    /// Copy for the VM that served the turn, held since this time.
    Held { since_ms: u64 },
}

#[derive(Debug)]
struct Unsaved {
    turn: Rc<Turn>,
    phase: Phase,
}

/// Turns that are not known to be in the store, bounded in bytes.
#[derive(Debug)]
pub struct UnsavedTurns {
    max_bytes: usize,
    used_bytes: usize,
    turns: FastMap<TurnId, Unsaved>,
}

impl UnsavedTurns {
    /// Empty set that holds at most `max_bytes`.
    pub fn new(max_bytes: usize) -> UnsavedTurns {
        UnsavedTurns {
            max_bytes,
            used_bytes: 0,
            turns: FastMap::default(),
        }
    }

    /// Adds a turn that this VM served and whose end isn't sent yet; `false` if
    /// there is no room, or a version of it is here already.
    pub fn begin(&mut self, turn: Rc<Turn>) -> bool {
        !self.turns.contains_key(&turn.id) && self.add(turn, Phase::Pending)
    }

    /// Adds a copy of a turn that another VM served, if there is room and no other
    /// version of it is here.
    pub fn hold(&mut self, turn: Rc<Turn>, now_ms: u64) -> CopyReply {
        match self.turns.get(&turn.id) {
            Some(known) if known.turn == turn => CopyReply::Held,
            Some(_) => CopyReply::OtherVersion,
            None => match self.add(turn, Phase::Held { since_ms: now_ms }) {
                true => CopyReply::Held,
                false => CopyReply::Refused,
            },
        }
    }

    fn add(&mut self, turn: Rc<Turn>, phase: Phase) -> bool {
        let used_bytes = self.used_bytes + turn.len_bytes();
        if used_bytes > self.max_bytes {
            return false;
        }
        self.used_bytes = used_bytes;
        self.turns.insert(turn.id.clone(), Unsaved { turn, phase });
        true
    }

    /// Records that enough other VMs have a turn that this VM served.
    pub fn mark_safe(&mut self, id: &TurnId) {
        if let Some(unsaved) = self.turns.get_mut(id) {
            unsaved.phase = Phase::Safe;
        }
    }

    /// Removes a turn that the store has, or whose caller got no complete
    /// response.
    pub fn remove(&mut self, id: &TurnId) {
        if let Some(removed) = self.turns.remove(id) {
            self.used_bytes -= removed.turn.len_bytes();
        }
    }

    /// Removes a copy for which `is_version` holds; what this VM served stays.
    pub fn forget<F>(&mut self, id: &TurnId, is_version: F)
    where
        F: FnOnce(&Turn) -> bool,
    {
        let known = self.turns.get(id);
        let is_copy = |unsaved: &Unsaved| matches!(unsaved.phase, Phase::Held { .. });
        if known.is_some_and(|unsaved| is_copy(unsaved) && is_version(&unsaved.turn)) {
            self.remove(id);
        }
    }

    /// A turn that was answered; `None` for one that is pending.
    pub fn get(&self, id: &TurnId) -> Option<Rc<Turn>> {
        let unsaved = self.turns.get(id)?;
        (unsaved.phase != Phase::Pending).then(|| Rc::clone(&unsaved.turn))
    }

    /// All turns that were answered.
    pub fn answered(&self) -> Vec<Rc<Turn>> {
        let turns = self.turns.values();
        let answered = turns.filter(|unsaved| unsaved.phase != Phase::Pending);
        answered.map(|unsaved| Rc::clone(&unsaved.turn)).collect()
    }

    /// Whether the turn is here, in whatever phase.
    pub fn contains(&self, id: &TurnId) -> bool {
        self.turns.contains_key(id)
    }

    /// Takes the copies held since `before_ms` or earlier, which the VMs that
    /// served them should have stored by now; they count as held since `now_ms`.
    pub fn take_due(&mut self, before_ms: u64, now_ms: u64) -> Vec<Rc<Turn>> {
        let mut due = Vec::new();
        for unsaved in self.turns.values_mut() {
            let is_due = matches!(unsaved.phase, Phase::Held { since_ms } if since_ms <= before_ms);
            if is_due {
                unsaved.phase = Phase::Held { since_ms: now_ms };
                due.push(Rc::clone(&unsaved.turn));
            }
        }
        due
    }

    /// Number of turns.
    pub fn len(&self) -> usize {
        self.turns.len()
    }

    /// Whether the store has all turns.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
