//! Reserve of a program's budget that its home VM grants without the store.
//!
//! A quarter of each budget is not charged in the program's row: it belongs to
//! one VM, the program's home, from the start. So the home may grant it at any
//! time, whatever it or other VMs reach, and no record of it is needed as long
//! as the home lives. If the row runs out of tokens, a VM asks the home to
//! release the reserve, and adds to the row what was granted of it.
//!
//! The home is chosen by rendezvous hashing over the VMs that are listed or were
//! listed lately. What it has granted is lost when it ends, so a VM is a home
//! only once no program can remember an earlier run of it, or an earlier home
//! instead of it.

use std::collections::BTreeSet;

use compact_str::CompactString;
use lagoon_ids::{rendezvous_hash, FastMap};
use serde::{Deserialize, Serialize};

use crate::budget::{BudgetRow, ProgramKey};
use crate::store::{Row, RowWrite};

/// Part of a budget that is its reserve, as a divisor, where it has one home.
const RESERVE_DIVISOR: u64 = 4;

/// Number of parts that belong to failure domains. Together they are half of the budget.
pub const BUDGET_PARTS: u64 = 4;

/// Lowest [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION) of builds that know parts.
pub const PARTS_PROTOCOL: u32 = 13;

/// Maximum grant as a multiple of the call's expected tokens.
const MAX_GRANT_FACTOR: u64 = 3;

/// Minimum grant as a multiple of the call's expected tokens. With less, the
/// stream would likely be cut, so the call gets no grant.
const MIN_GRANT_NUMERATOR: u64 = 3;
const MIN_GRANT_DENOMINATOR: u64 = 2;

/// Time without a request after which a home finds out whether the program's row is
/// still there, as a multiple of the retention. The row's last writer has deleted
/// it by then, if the program has ended.
const CHECK_RETENTIONS: u64 = 6;

/// Time for which a row must be unchanged until the home deletes it, as a multiple
/// of the retention. That of a program in use is written more often.
const UNCHANGED_RETENTIONS: u64 = 4;

/// Time since the registration from which a VM is a home: programs that an earlier run of it, or
/// another home before it, granted tokens have ended by then.
const MIN_HOME_UPTIME_MS: u64 = 1_800_000;

/// Time after the first start within which a VM must be registered to be a home at
/// once: a later one may be missing in the lists of VMs that granted tokens instead.
const MAX_FIRST_REGISTRATION_MS: u64 = 5_000;

/// Maximum age of a home's list of VMs, and maximum retention of the programs
/// that it grants tokens. Twice this is the minimum uptime, so that a home whose
/// list lacks a newer VM stops a retention before that one starts.
const MAX_LIST_AGE_MS: u64 = 900_000;

/// Time for which a VM that is no longer listed stays the home of its programs,
/// so that no other VM grants them tokens again.
pub(crate) const UNLISTED_HOME_MS: u64 = MIN_HOME_UPTIME_MS;

/// Maximum number of reserves that a VM remembers; beyond that it grants no
/// program its first tokens.
const MAX_RESERVES: usize = 50_000;

/// Tokens of a budget that its row doesn't charge unless they are released.
pub fn reserve_tokens(budget_tokens: u64) -> u64 {
    budget_tokens / RESERVE_DIVISOR
}

/// Tokens of each of the parts of a budget that belong to failure domains.
pub fn part_tokens(budget_tokens: u64) -> u64 {
    budget_tokens / (2 * BUDGET_PARTS)
}

/// Failure domains to which the parts of a program's budget belong, with the number of
/// their parts. The first ones in the program's ranking have one each. Where there are
/// fewer domains than parts, the first one has the rest.
pub fn part_domains(
    program: &ProgramKey,
    domains: &BTreeSet<CompactString>,
) -> Vec<(CompactString, u64)> {
    let mut left = domains.clone();
    let mut ranked = Vec::new();
    while ranked.len() < BUDGET_PARTS as usize {
        let Some(first) = rendezvous_hash(&program.0, &left).cloned() else {
            break;
        };
        left.remove(&first);
        ranked.push((first, 1));
    }
    let rest = BUDGET_PARTS - ranked.len() as u64;
    if let Some((_, parts)) = ranked.first_mut() {
        *parts += rest;
    }
    ranked
}

/// Whether a call's program gets its whole budget where its home can't say what it
/// granted. That may overspend the budget by the reserve. It is for calls that don't
/// fit into the budget without the reserve, and [`max_allowance_tokens`] leaves room.
pub fn may_release_unconfirmed(budget_tokens: u64, max_tokens: u64) -> bool {
    max_tokens > budget_tokens - reserve_tokens(budget_tokens)
}

/// Whether a call's program gets all parts where their homes can't say what they granted.
/// That may overspend the budget by half of it, so it is for calls that need the whole
/// budget only: [`max_allowance_tokens`] leaves room for it.
pub fn may_release_parts_unconfirmed(budget_tokens: u64, max_tokens: u64) -> bool {
    max_tokens >= budget_tokens
}

/// Maximum allowance that a program gets by a call of this size: the call, or less by
/// all parts if they may be released unconfirmed for this or a larger call. Parts and allowance together then stay within the program's largest call.
pub(crate) fn max_allowance_tokens(budget_tokens: u64, max_tokens: u64) -> u64 {
    let parts_tokens = BUDGET_PARTS * part_tokens(budget_tokens);
    let unconfirmed_tokens = parts_tokens.max(reserve_tokens(budget_tokens));
    let rest_tokens = max_tokens.saturating_sub(unconfirmed_tokens);
    max_tokens.min(rest_tokens.max(budget_tokens / 2))
}

/// State of a VM that decides whether it is a home.
#[derive(Clone, Copy, Debug)]
pub struct HomeState {
    /// Time since the start.
    pub uptime_ms: u64,
    /// Whether nothing existed before this VM started.
    pub is_first_start: bool,
    /// Time from the start to the last registration in the list of VMs, which is
    /// repeated if the entry got lost; `None` before it.
    pub registered_ms: Option<u64>,
    /// Time since the list of VMs was known to be current; `None` before it was
    /// read.
    pub list_age_ms: Option<u64>,
}

impl HomeState {
    /// Whether this VM may grant reserves of programs that return within
    /// `retention_ms`, as far as other homes and earlier runs are concerned.
    pub fn is_home(&self, retention_ms: u64) -> bool {
        let Some(registered_ms) = self.registered_ms else {
            return false;
        };
        let is_first = self.is_first_start && registered_ms <= MAX_FIRST_REGISTRATION_MS;
        let is_settled = is_first || self.uptime_ms >= registered_ms + MIN_HOME_UPTIME_MS;
        let knows_others = self.list_age_ms.is_some_and(|age| age <= MAX_LIST_AGE_MS);
        is_settled && knows_others && retention_ms <= MAX_LIST_AGE_MS
    }
}

/// Time since an older build was listed until a home grants parts, and since it appeared
/// until the only home of a reserve grants it: the longest time that a program lasts,
/// and the maximum age of a list that shows otherwise.
const MODE_CHANGE_MS: u64 = MIN_HOME_UPTIME_MS + MAX_LIST_AGE_MS;

/// What this VM may do with reserves beside builds that don't know parts. They charge three
/// quarters of a budget in the row, and have one home grant the last one.
#[derive(Clone, Copy, Debug)]
pub struct PartsGate {
    is_first_start: bool,
    /// Times of the first and the last look at the present series of lists with an older
    /// build; `None` if there was none.
    older: Option<(u64, u64)>,
    lists_older: bool,
}

impl PartsGate {
    /// Gate of a VM that starts now.
    pub fn new(is_first_start: bool) -> PartsGate {
        PartsGate {
            is_first_start,
            older: None,
            lists_older: false,
        }
    }

    /// Records whether the list of VMs has an older build.
    pub fn record(&mut self, lists_older: bool, now_ms: u64) {
        if lists_older {
            let is_new = !self.lists_older;
            let known = self.older.filter(|_| !is_new);
            let since_ms = known.map_or(now_ms, |(since_ms, _)| since_ms);
            self.older = Some((since_ms, now_ms));
        }
        self.lists_older = lists_older;
    }

    /// Whether the first row of a program charges the parts of the failure domains. Also
    /// in doubt, as all builds keep the budget by such a row.
    pub fn charges_parts(&self, list_age_ms: Option<u64>) -> bool {
        let is_current = list_age_ms.is_some_and(|age_ms| age_ms <= MAX_LIST_AGE_MS);
        !(self.lists_older && is_current)
    }

    /// Whether a home may grant parts: no program can have a row without them.
    pub fn may_grant_parts(&self, now_ms: u64) -> bool {
        match self.older {
            None => self.is_first_start || now_ms >= MODE_CHANGE_MS,
            Some((_, last_ms)) => !self.lists_older && now_ms >= last_ms + MODE_CHANGE_MS,
        }
    }

    /// Whether the only home of a reserve may release it: it may grant it, or might until
    /// the last older build was no longer listed.
    pub fn may_release_reserve(&self, now_ms: u64) -> bool {
        let (Some((_, last_ms)), false) = (self.older, self.lists_older) else {
            return self.may_grant_reserve(now_ms);
        };
        let before = PartsGate {
            lists_older: true,
            ..*self
        };
        before.may_grant_reserve(last_ms)
    }

    /// Whether the only home of a reserve may grant it: no program can have got parts.
    pub fn may_grant_reserve(&self, now_ms: u64) -> bool {
        let since = self.older.filter(|_| self.lists_older);
        since.is_some_and(|(since_ms, _)| {
            let is_first = self.is_first_start && since_ms <= MAX_FIRST_REGISTRATION_MS;
            is_first || now_ms >= since_ms + MODE_CHANGE_MS
        })
    }
}

impl HomeState {
    /// Whether this VM's list has all failure domains whose homes may grant parts: it is at
    /// most as old as a home's, and after a first start it was current once the first VMs
    /// had registered.
    pub fn knows_domains(&self) -> bool {
        self.list_age_ms.is_some_and(|age_ms| {
            let current_ms = self.uptime_ms.saturating_sub(age_ms);
            let is_complete = !self.is_first_start || current_ms > MAX_FIRST_REGISTRATION_MS;
            age_ms <= MAX_LIST_AGE_MS && is_complete
        })
    }

    /// Whether the list must be read again to know the failure domains, as the first VMs
    /// have registered since it was current.
    pub fn must_check_domains(&self) -> bool {
        let has_registered = self.uptime_ms > MAX_FIRST_REGISTRATION_MS;
        has_registered && self.list_age_ms.is_some() && !self.knows_domains()
    }
}

/// Request of a VM to a program's home.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReserveRequest {
    /// Program, by the name that its caller gives.
    pub program: CompactString,
    /// Tokens that all calls of the program may generate together.
    pub budget_tokens: u64,
    /// Output tokens that the call may use at most.
    pub max_tokens: u64,
    /// Output tokens that the caller expects, or an estimate if it states none.
    pub expected_tokens: u64,
    /// Whether fewer than the maximum may be granted, so that the response may be
    /// cut off. Only where the call would be refused otherwise.
    pub accepts_fewer: bool,
    /// Time within which the program may return.
    pub retention_ms: u64,
}

impl ReserveRequest {
    /// Tokens to grant of those that are left. While they last for another call of
    /// the maximum size, the whole maximum.
    fn share_of(&self, left_tokens: u64) -> u64 {
        let is_ample = left_tokens >= 2 * self.max_tokens;
        let is_all_or_nothing = is_ample || !self.accepts_fewer;
        if is_all_or_nothing {
            return if left_tokens >= self.max_tokens {
                self.max_tokens
            } else {
                0
            };
        }
        let expected_tokens = self.expected_tokens.max(1);
        let min_tokens = expected_tokens * MIN_GRANT_NUMERATOR / MIN_GRANT_DENOMINATOR;
        if left_tokens < min_tokens.min(self.max_tokens) {
            return 0;
        }
        let wanted_tokens = self.max_tokens.min(expected_tokens * MAX_GRANT_FACTOR);
        left_tokens.min(wanted_tokens)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Reserve {
    /// Tokens granted to calls, less those they did not use.
    granted_tokens: u64,
    /// Whether the row has the rest.
    is_released: bool,
    last_used_ms: u64,
    retention_ms: u64,
    /// Version of the program's row at the last check, and the time of the check; 0
    /// before the first.
    row_version: u64,
    checked_ms: u64,
}

impl Reserve {
    fn is_check_due(&self, now_ms: u64) -> bool {
        let retention_ms = self.retention_ms;
        now_ms > self.last_used_ms + CHECK_RETENTIONS * retention_ms
            && now_ms > self.checked_ms + UNCHANGED_RETENTIONS * retention_ms
    }
}

/// Read of a program's row.
#[derive(Clone, Copy, Debug)]
pub struct RowCheck<'a> {
    /// Row found; `None` if there is none.
    pub row: Option<&'a Row>,
    /// Time at which the read began.
    pub began_ms: u64,
}

/// Reserves of the programs whose home this VM is.
#[derive(Debug, Default)]
pub struct Reserves {
    programs: FastMap<ProgramKey, Reserve>,
}

impl Reserves {
    /// Tokens granted to a call of the reserve that has one home; 0 if too few are left.
    pub fn grant(&mut self, request: &ReserveRequest, now_ms: u64) -> u64 {
        let total_tokens = reserve_tokens(request.budget_tokens);
        self.grant_of(request, total_tokens, now_ms)
    }

    /// Tokens granted to a call of a failure domain's parts; 0 if too few are left.
    pub fn grant_of_parts(&mut self, request: &ReserveRequest, parts: u64, now_ms: u64) -> u64 {
        let total_tokens = parts * part_tokens(request.budget_tokens);
        self.grant_of(request, total_tokens, now_ms)
    }

    fn grant_of(&mut self, request: &ReserveRequest, total_tokens: u64, now_ms: u64) -> u64 {
        let Some(reserve) = self.reserve(request, now_ms) else {
            return 0;
        };
        if reserve.is_released {
            return 0;
        }
        let left_tokens = total_tokens.saturating_sub(reserve.granted_tokens);
        let granted_tokens = request.share_of(left_tokens);
        reserve.granted_tokens += granted_tokens;
        granted_tokens
    }

    /// Takes back tokens that a call did not use. They stay spent if the reserve
    /// was released in the meantime, as the row counts them.
    pub fn return_unused(&mut self, program: &ProgramKey, tokens: u64) {
        if let Some(reserve) = self.programs.get_mut(program) {
            if !reserve.is_released {
                reserve.granted_tokens = reserve.granted_tokens.saturating_sub(tokens);
            }
        }
    }

    /// Releases the reserve for the program's row, for good; returns the tokens
    /// granted of it, which the row must count. `None` if this VM remembers too
    /// many reserves.
    pub fn release(&mut self, request: &ReserveRequest, now_ms: u64) -> Option<u64> {
        let reserve = self.reserve(request, now_ms)?;
        reserve.is_released = true;
        Some(reserve.granted_tokens)
    }

    fn reserve(&mut self, request: &ReserveRequest, now_ms: u64) -> Option<&mut Reserve> {
        let program = ProgramKey(request.program.clone());
        let is_full = self.programs.len() >= MAX_RESERVES;
        if is_full && !self.programs.contains_key(&program) {
            return None;
        }
        let reserve = self.programs.entry(program).or_default();
        reserve.last_used_ms = now_ms;
        reserve.retention_ms = reserve.retention_ms.max(request.retention_ms);
        Some(reserve)
    }

    /// Programs that may have ended: no request has come for long, which their calls
    /// need not cause. Their rows decide, see [`Reserves::on_row_read`].
    pub fn programs_to_check(&self, now_ms: u64) -> Vec<ProgramKey> {
        let due = self.programs.iter();
        due.filter(|(_, reserve)| reserve.is_check_due(now_ms))
            .map(|(program, _)| program.clone())
            .collect()
    }

    /// Forgets the reserve of a program that has no row any more: its calls at any VM
    /// would have kept it. Returns the write that deletes a row that has not changed
    /// for long, as its last writer may have ended; once that is applied, the row is
    /// to be checked again.
    pub fn on_row_read(&mut self, program: &ProgramKey, check: RowCheck<'_>) -> Option<RowWrite> {
        let reserve = self.programs.get_mut(program)?;
        if reserve.last_used_ms >= check.began_ms {
            return None;
        }
        let Some(row) = check.row.filter(|row| row.value.is_some()) else {
            self.programs.remove(program);
            return None;
        };
        let value = row.value.as_deref().unwrap_or_default();
        if let Ok(budget_row) = serde_json::from_slice::<BudgetRow>(value) {
            reserve.retention_ms = reserve.retention_ms.max(budget_row.retention_ms);
        }
        let is_unchanged = reserve.row_version == row.version
            && check.began_ms > reserve.checked_ms + UNCHANGED_RETENTIONS * reserve.retention_ms;
        if is_unchanged {
            return Some(RowWrite {
                key: program.row_key(),
                expected_version: row.version,
                value: None,
            });
        }
        if reserve.row_version != row.version {
            reserve.row_version = row.version;
            reserve.checked_ms = check.began_ms;
        }
        None
    }

    /// Number of programs.
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Whether no reserve was granted or released.
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }
}
