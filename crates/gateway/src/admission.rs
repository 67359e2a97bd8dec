//! Admission of new programs.
//!
//! Programs in progress have prompts cached at their targets. With more of them
//! than slots, all become late together and evict each other's prompts. So a
//! new program waits for a slot and is told to retry later if none gets free
//! soon.
//!
//! Where capacities are estimated, or the configuration has accounts, [`ProgramAdmission`]
//! decides instead of [`admit`].

use std::collections::VecDeque;

use lagoon_ids::FastMap;
use serde::{Deserialize, Serialize};

use crate::placement::Placement;

/// Limits on load and waiting time by which [`admit`] decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Load up to which a target takes new programs, as a share of its slots.
    pub max_load_share: f64,
    /// Maximum time that a new program waits for a slot.
    pub max_wait_ms: u64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            max_load_share: 0.9,
            // Half of the time within which the first token of a call is due.
            max_wait_ms: 120,
        }
    }
}

/// Decision on a new program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The program may start.
    Admit,
    /// The program waits for a slot.
    Wait,
    /// The program is refused and should retry later.
    Refuse,
}

/// Decision on a new program that has waited for `waited_ms` and would run at
/// `placement`.
pub fn admit(settings: &AdmissionSettings, placement: &Placement, waited_ms: u64) -> Admission {
    if placement.load < placement.slots * settings.max_load_share {
        Admission::Admit
    } else if waited_ms < settings.max_wait_ms {
        Admission::Wait
    } else {
        Admission::Refuse
    }
}

/// Share of a target's capacity that new programs may fill, by priority from the most
/// urgent on. The rest is kept for calls of running programs and for more urgent ones.
const PRIORITY_SHARES: [f64; 4] = [1.0, 0.93, 0.86, 0.8];

/// Share of new programs that are admitted as the most urgent ones are, whatever their
/// priority and account. None is then served less than a quarter as often as all.
const FLOOR: f64 = 0.25;

/// Smallest factor of the share that an account over its share of the programs gets.
const MIN_ACCOUNT_FACTOR: f64 = 0.5;

/// Multiple of its share from which an account counts as over its share, and the
/// admitted programs it needs at least. Below, a VM's counts are mostly chance.
const TOLERATED_SHARES: f64 = 2.0;
const MIN_PROGRAMS: f64 = 4.0;

/// Half-life of the count of an account's admitted programs: about as long as a program
/// runs under load.
const PROGRAM_HALF_LIFE_MS: f64 = 3_000.0;

/// Calls of a mean program. A place for a new program gets free only when one ends.
const CALLS_PER_PROGRAM: f64 = 6.0;

/// Share of the capacity that counts as the last places, for which programs contend by
/// chance, as loads are some 100 ms old. With 0.3, simulated programs at nearly the usual
/// load waited longer (0.83 in time instead of 0.96); with 0, targets got 16 programs for 8
/// places in a burst.
const LAST_PLACES_SHARE: f64 = 0.15;

/// Bounds of the time after which a refused program should retry, before it is spread.
const RETRY_AFTER_MS: std::ops::RangeInclusive<f64> = 300.0..=3_000.0;

/// Time for which a refused program is known, and the maximum number of them.
const REFUSED_TTL_MS: u64 = 6_000;
const MAX_REFUSED: usize = 512;

/// Maximum number of accounts whose admitted programs are counted.
const MAX_ACCOUNTS: usize = 8_192;

/// New program as admission sees it.
#[derive(Clone, Copy, Debug)]
pub struct NewProgram {
    /// Hash of the program's name.
    pub program: u64,
    /// Hash of its account; 0 without one.
    pub account: u32,
    /// Its priority, 0 the highest.
    pub priority: u32,
    /// Hash of its service.
    pub service: u64,
    /// Random number from 0 to 1, by which it may count as most urgent.
    pub random: f64,
    /// Random number from 0 to 1 that spreads its return.
    pub spread: f64,
}

/// Decision on a new program that has no place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProgramDecision {
    /// The program waits for a place.
    Wait,
    /// The program is refused.
    Refuse {
        /// Time after which it should retry.
        retry_after_ms: u64,
    },
}

fn capacity(placement: &Placement) -> f64 {
    let estimate = placement.estimate;
    estimate.map_or(placement.slots, |estimate| estimate.capacity)
}

/// A waiting program in [`ProgramAdmission`].
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Ticket(u64);

/// Programs that were admitted for an account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdmittedPrograms {
    /// Hash of the account.
    pub account: u32,
    /// Their number.
    pub count: u16,
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    program: NewProgram,
    /// Those that come back first, then by priority, then by virtual time of the account.
    rank: (bool, u32, u64),
}

#[derive(Clone, Copy, Debug, Default)]
struct AccountPrograms {
    admitted: f64,
    updated_ms: u64,
    unsent: u16,
    /// Virtual time at which the account's next program is due.
    next_turn: u64,
}

impl AccountPrograms {
    fn admitted(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.admitted * 0.5_f64.powf(age_ms / PROGRAM_HALF_LIFE_MS)
    }

    fn add(&mut self, count: f64, now_ms: u64) {
        self.admitted = self.admitted(now_ms) + count;
        self.updated_ms = now_ms;
    }
}

/// Rates of accounts' quotas, by which their shares of the programs are measured. With
/// equal shares, an account that has a third of all quotas and uses them would be refused
/// before targets that are half empty.
#[derive(Clone, Debug)]
pub struct AccountRates {
    by_account: FastMap<u32, f64>,
    /// Rate of an account without a quota.
    default_per_s: f64,
}

impl Default for AccountRates {
    fn default() -> Self {
        AccountRates::new(FastMap::default())
    }
}

impl AccountRates {
    /// Rates in requests per second by hash of the account. Accounts without one count as
    /// a mean account.
    pub fn new(by_account: FastMap<u32, f64>) -> AccountRates {
        let count = by_account.len().max(1) as f64;
        let sum: f64 = by_account.values().sum();
        AccountRates {
            default_per_s: if sum > 0.0 { sum / count } else { 1.0 },
            by_account,
        }
    }

    fn of(&self, account: u32) -> f64 {
        let rate_per_s = self.by_account.get(&account);
        rate_per_s.copied().unwrap_or(self.default_per_s)
    }
}

/// Admission of new programs by capacity, priority and account, with the programs that
/// wait at this VM.
#[derive(Debug, Default)]
pub struct ProgramAdmission {
    waiting: Vec<Waiting>,
    last_ticket: u64,
    accounts: FastMap<u32, AccountPrograms>,
    /// Sum of the accounts' admitted programs, and of the rates of accounts with any.
    totals: (f64, f64),
    rates: AccountRates,
    totals_ms: u64,
    virtual_time: u64,
    refused: VecDeque<(u64, u64)>,
}

impl ProgramAdmission {
    /// Sets the rates by which the shares of accounts are measured.
    pub fn set_account_rates(&mut self, rates: AccountRates) {
        self.rates = rates;
    }

    /// Adds a program that waits until [`ProgramAdmission::leave`].
    pub fn enter(&mut self, program: NewProgram, now_ms: u64) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        while self
            .refused
            .front()
            .is_some_and(|(_, at_ms)| now_ms >= at_ms + REFUSED_TTL_MS)
        {
            self.refused.pop_front();
        }
        let returned = self
            .refused
            .iter()
            .position(|(refused, _)| *refused == program.program);
        if let Some(index) = returned {
            self.refused.remove(index);
        }
        // Start-time fair queueing: each program advances its account by one turn.
        let mut turn = self.virtual_time;
        if program.account != 0 && self.accounts.len() < MAX_ACCOUNTS {
            let account = self.accounts.entry(program.account).or_default();
            turn = turn.max(account.next_turn);
            account.next_turn = turn + 1;
        }
        self.waiting.push(Waiting {
            ticket,
            program,
            rank: (returned.is_none(), program.priority, turn),
        });
        ticket
    }

    /// Removes a program that no longer waits.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Share of the capacity that a program may fill.
    fn share(&mut self, program: &NewProgram, now_ms: u64) -> f64 {
        if program.random < FLOOR {
            return PRIORITY_SHARES[0];
        }
        let last = PRIORITY_SHARES.len() - 1;
        let share = PRIORITY_SHARES[(program.priority as usize).min(last)];
        share * self.account_factor(program.account, now_ms)
    }

    fn account_factor(&mut self, account: u32, now_ms: u64) -> f64 {
        let Some(programs) = self.accounts.get(&account) else {
            return 1.0;
        };
        let admitted = programs.admitted(now_ms);
        if admitted < MIN_PROGRAMS {
            return 1.0;
        }
        if now_ms >= self.totals_ms + 100 {
            self.totals_ms = now_ms;
            // Those without a recent program don't count as accounts.
            self.accounts
                .retain(|_, programs| programs.admitted(now_ms) > 0.05 || programs.unsent > 0);
            let shares = self
                .accounts
                .iter()
                .map(|(account, programs)| (programs.admitted(now_ms), self.rates.of(*account)));
            self.totals = shares.fold((0.0, 0.0), |(sum, rates), (admitted, rate_per_s)| {
                (sum + admitted, rates + rate_per_s)
            });
        }
        let (sum, rates) = self.totals;
        if rates <= 0.0 {
            return 1.0;
        }
        let tolerated = TOLERATED_SHARES * sum * self.rates.of(account) / rates;
        (tolerated / admitted).clamp(MIN_ACCOUNT_FACTOR, 1.0)
    }

    /// Admits a program that would run at `placement` if that has room for it and for those
    /// of the service that come before it here. Returns the places that are missing.
    pub fn try_admit(
        &mut self,
        ticket: Ticket,
        placement: &Placement,
        now_ms: u64,
    ) -> Result<(), f64> {
        let mut waiting = self.waiting.iter();
        let own = waiting.find(|waiting| waiting.ticket == ticket).copied();
        let Some(own) = own else {
            return Err(0.0);
        };
        let ahead = self.waiting.iter().filter(|other| {
            other.program.service == own.program.service
                && (other.rank, other.ticket.0) < (own.rank, ticket.0)
        });
        let ahead = ahead.count() as f64;
        let limit = capacity(placement) * self.share(&own.program, now_ms);
        let missing = placement.load + ahead - limit;
        // Each program needs another part of the last places to be free, however often it
        // checks, so that few of those that see the same place take it.
        let spread = (own.program.random * 64.0).fract() * LAST_PLACES_SHARE;
        let needed = spread * capacity(placement);
        if missing + needed >= 0.0 {
            return Err((missing + needed).max(0.0));
        }
        self.record_admitted(&own, now_ms);
        Ok(())
    }

    /// Decision on a program that has waited for `waited_ms`, and for which `missing`
    /// places are missing at `placement`, where calls take `service_ms`.
    pub fn decide_wait(
        &mut self,
        settings: &AdmissionSettings,
        program: &NewProgram,
        (placement, missing): (&Placement, f64),
        service_ms: f64,
        waited_ms: u64,
        now_ms: u64,
    ) -> ProgramDecision {
        // Places that must get free, each when a program ends.
        let place_ms = service_ms * CALLS_PER_PROGRAM / capacity(placement);
        let wait_ms = missing * place_ms;
        if waited_ms as f64 + wait_ms < settings.max_wait_ms as f64 {
            return ProgramDecision::Wait;
        }
        let queue = missing + 1.0 + self.refused.len() as f64;
        if self.refused.len() == MAX_REFUSED {
            self.refused.pop_front();
        }
        self.refused.push_back((program.program, now_ms));
        let retry_ms = (queue * place_ms).clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end());
        ProgramDecision::Refuse {
            retry_after_ms: (retry_ms * (0.7 + 0.6 * program.spread)) as u64,
        }
    }

    fn record_admitted(&mut self, waiting: &Waiting, now_ms: u64) {
        self.virtual_time = self.virtual_time.max(waiting.rank.2);
        if waiting.program.account == 0 {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&waiting.program.account) {
            account.add(1.0, now_ms);
            account.unsent = account.unsent.saturating_add(1);
        }
    }

    /// At most `count` accounts with the programs that this VM has admitted since the
    /// last call, for gossip peers.
    pub fn take_admitted(&mut self, count: usize) -> Vec<AdmittedPrograms> {
        let unsent = self
            .accounts
            .iter_mut()
            .filter(|(_, programs)| programs.unsent > 0);
        unsent
            .take(count)
            .map(|(account, programs)| AdmittedPrograms {
                account: *account,
                count: std::mem::take(&mut programs.unsent),
            })
            .collect()
    }

    /// Counts programs that a gossip peer has admitted.
    pub fn apply_admitted(&mut self, admitted: &[AdmittedPrograms], now_ms: u64) {
        for update in admitted {
            if self.accounts.len() < MAX_ACCOUNTS || self.accounts.contains_key(&update.account) {
                let account = self.accounts.entry(update.account).or_default();
                account.add(f64::from(update.count), now_ms);
            }
        }
    }
}
