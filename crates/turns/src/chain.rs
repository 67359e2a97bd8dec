//! Chain of the turns before a call.

use std::rc::Rc;

use bytes::Bytes;
use thiserror::Error;

use crate::turn::{Turn, TurnId};

/// Maximum number of turns in a chain; a longer one is taken for a cycle.
const MAX_TURNS: usize = 10_000;

/// Why a chain can't be collected.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ChainError {
    /// Turns of the chain that are not in memory; the first is the nearest one.
    #[error("turn {} is not in memory", .0[0])]
    Missing(Vec<TurnId>),
    /// The chain has no start.
    #[error("the chain of turn {0} has no start")]
    Endless(TurnId),
}

/// Complete chain, the oldest turn first.
#[derive(Clone, Debug, Default)]
pub struct Chain {
    turns: Vec<Rc<Turn>>,
}

/// Collects the chain that ends with `last` from the turns that `get` finds.
///
/// # Errors
///
/// Fails if a turn of the chain isn't found, or the chain has no start.
pub fn collect_chain<G>(last: &TurnId, mut get: G) -> Result<Chain, ChainError>
where
    G: FnMut(&TurnId) -> Option<Rc<Turn>>,
{
    let mut turns: Vec<Rc<Turn>> = Vec::new();
    let mut next = Some(last.clone());
    while let Some(id) = next {
        let Some(turn) = get(&id) else {
            return Err(ChainError::Missing(missing_from(
                turns.last(),
                id,
                &mut get,
            )));
        };
        next = turn.previous().cloned();
        turns.push(turn);
        if turns.len() > MAX_TURNS {
            return Err(ChainError::Endless(last.clone()));
        }
    }
    turns.reverse();
    Ok(Chain { turns })
}

/// The missing turn and those of its ancestors that `found`, the turn after it,
/// lists and that are missing too.
fn missing_from<G>(found: Option<&Rc<Turn>>, missing: TurnId, get: &mut G) -> Vec<TurnId>
where
    G: FnMut(&TurnId) -> Option<Rc<Turn>>,
{
    let listed = found.map_or(&[][..], |turn| &turn.ancestors);
    let mut all = vec![missing];
    for id in listed.iter().skip(1) {
        if get(id).is_none() {
            all.push(id.clone());
        }
    }
    all
}

impl Chain {
    /// Turns, the oldest first.
    pub fn turns(&self) -> &[Rc<Turn>] {
        &self.turns
    }

    /// Bytes that precede the new input of a call; they are shared with the
    /// turns, not copied.
    pub fn chunks(&self) -> Vec<Bytes> {
        let chunks = self.turns.iter();
        let chunks = chunks.flat_map(|turn| [turn.input.clone(), turn.output.clone()]);
        chunks.filter(|chunk| !chunk.is_empty()).collect()
    }
}
