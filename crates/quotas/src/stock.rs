//! Tokens that a VM holds.

use std::collections::VecDeque;

use lagoon_ids::FastMap;

use crate::grantor::{Grant, QuotaDecision, Reservation};
use crate::rate::RecentRate;
use crate::{QuotaDemand, RequestClass};

/// Time whose expected requests a VM asks tokens for.
const LOOK_AHEAD_MS: u64 = 100;

/// Time without a request after which an account's state is dropped.
const MAX_IDLE_MS: u64 = 10_000;

/// Largest number of tokens in one request of a class; bounds the work of a grantor.
const MAX_BATCH: f64 = 10_000.0;

/// What a request for a token gets at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Take {
    /// A token that is usable until this time.
    Token {
        /// Time at which it expires.
        expires_ms: u64,
    },
    /// A token that is usable from a later time on.
    Reserved {
        /// Time from which it is usable.
        usable_ms: u64,
        /// Time at which it expires.
        expires_ms: u64,
    },
    /// The account is at its limit.
    Refused {
        /// Time until a token may be granted.
        retry_ms: u64,
    },
    /// There is none; the grantor has to be asked.
    Ask,
}

#[derive(Clone, Copy, Debug)]
struct Batch {
    expires_ms: u64,
    running: u32,
    new_programs: u32,
}

#[derive(Clone, Debug, Default)]
struct AccountStock {
    batches: Vec<Batch>,
    /// Requests that wait for the reply of the grantor, by class.
    waiting: [u32; 2],
    /// Value of `waiting` when the grantor was last asked.
    asked_waiting: [u32; 2],
    rate: [RecentRate; 2],
    /// Times until which requests of a class are refused without asking the grantor.
    refused_until_ms: [u64; 2],
    /// Times at which refused requests of a class are told to come back.
    available_ms: [u64; 2],
    /// Requests among those that wait that may wait for a reserved token.
    reserving: u32,
    /// Times from which and until which reserved tokens are usable, in order.
    reserved_ms: VecDeque<(u64, u64)>,
    used_ms: u64,
}

impl AccountStock {
    /// Drops expired tokens; returns how many.
    fn expire(&mut self, now_ms: u64) -> u64 {
        let mut expired = 0;
        while let Some((usable_ms, expires_ms)) = self.reserved_ms.front().copied() {
            if now_ms < usable_ms {
                break;
            }
            self.reserved_ms.pop_front();
            self.batches.push(Batch {
                expires_ms,
                running: 1,
                new_programs: 0,
            });
            self.batches.sort_by_key(|batch| batch.expires_ms);
        }
        self.batches.retain(|batch| {
            let is_usable = now_ms < batch.expires_ms;
            let tokens = batch.running + batch.new_programs;
            expired += if is_usable { 0 } else { u64::from(tokens) };
            is_usable && tokens > 0
        });
        expired
    }

    /// Token that expires first. A program that has begun may use one for new programs.
    fn take(&mut self, class: RequestClass) -> Option<u64> {
        if class == RequestClass::Running {
            if let Some(batch) = self.batches.iter_mut().find(|batch| batch.running > 0) {
                batch.running -= 1;
                return Some(batch.expires_ms);
            }
        }
        let with_new = |batch: &&mut Batch| batch.new_programs > 0;
        let batch = self.batches.iter_mut().find(with_new)?;
        batch.new_programs -= 1;
        Some(batch.expires_ms)
    }
}

/// Tokens that a VM holds, by account.
#[derive(Clone, Debug)]
pub struct Stock {
    ttl_ms: u64,
    accounts: FastMap<u64, AccountStock>,
    /// Tokens that have expired since the last call of [`Stock::take_expired`].
    expired: u64,
}

impl Stock {
    /// Stock without tokens, which are usable for `ttl_ms`.
    pub fn new(ttl_ms: u64) -> Stock {
        Stock {
            ttl_ms,
            accounts: FastMap::default(),
            expired: 0,
        }
    }

    /// Records that a request of this account needs a token.
    pub fn record_need(&mut self, account: u64, class: RequestClass, now_ms: u64) {
        let state = self.accounts.entry(account).or_default();
        state.rate[class as usize].record(1.0, now_ms);
    }

    /// Takes a token, if there is one.
    pub fn take(&mut self, account: u64, class: RequestClass, now_ms: u64) -> Take {
        let state = self.accounts.entry(account).or_default();
        state.used_ms = now_ms;
        self.expired += state.expire(now_ms);
        if let Some(expires_ms) = state.take(class) {
            return Take::Token { expires_ms };
        }
        let refused_until_ms = state.refused_until_ms[class as usize];
        if now_ms >= refused_until_ms {
            return Take::Ask;
        }
        let available_ms = state.available_ms[class as usize].max(refused_until_ms);
        Take::Refused {
            retry_ms: available_ms - now_ms,
        }
    }

    /// As [`Stock::take`] for a request of a program that has begun, which may wait: takes
    /// the next reserved token, if there is none that is usable at once.
    pub fn take_or_reserve(&mut self, account: u64, now_ms: u64) -> Take {
        let take = self.take(account, RequestClass::Running, now_ms);
        if matches!(take, Take::Token { .. }) {
            return take;
        }
        let state = self.accounts.entry(account).or_default();
        match state.reserved_ms.pop_front() {
            Some((usable_ms, expires_ms)) => Take::Reserved {
                usable_ms,
                expires_ms,
            },
            None => take,
        }
    }

    /// Puts a reserved token back whose request has left before it was usable.
    pub fn put_back_reserved(&mut self, account: u64, usable_ms: u64, expires_ms: u64) {
        let state = self.accounts.entry(account).or_default();
        let at = state
            .reserved_ms
            .partition_point(|known| known.0 <= usable_ms);
        state.reserved_ms.insert(at, (usable_ms, expires_ms));
    }

    /// Puts a token back that was not used.
    pub fn put_back(&mut self, account: u64, class: RequestClass, expires_ms: u64, now_ms: u64) {
        if now_ms >= expires_ms {
            self.expired += 1;
            return;
        }
        let state = self.accounts.entry(account).or_default();
        let (running, new_programs) = match class {
            RequestClass::Running => (1, 0),
            RequestClass::NewProgram => (0, 1),
        };
        // In order of expiry.
        let at = state
            .batches
            .partition_point(|batch| batch.expires_ms <= expires_ms);
        let batch = Batch {
            expires_ms,
            running,
            new_programs,
        };
        state.batches.insert(at, batch);
    }

    /// Counts a request that waits for the grantor's reply.
    pub fn begin_wait(&mut self, account: u64, class: RequestClass) {
        let state = self.accounts.entry(account).or_default();
        state.waiting[class as usize] += 1;
    }

    /// Ends a wait.
    pub fn end_wait(&mut self, account: u64, class: RequestClass) {
        if let Some(state) = self.accounts.get_mut(&account) {
            let waiting = &mut state.waiting[class as usize];
            *waiting = waiting.saturating_sub(1);
        }
    }

    /// Counts a request that waits for the grantor's reply and may wait for a reserved
    /// token then.
    pub fn begin_reserving_wait(&mut self, account: u64) {
        self.begin_wait(account, RequestClass::Running);
        self.accounts.entry(account).or_default().reserving += 1;
    }

    /// Ends a wait that began with [`Stock::begin_reserving_wait`].
    pub fn end_reserving_wait(&mut self, account: u64) {
        self.end_wait(account, RequestClass::Running);
        if let Some(state) = self.accounts.get_mut(&account) {
            state.reserving = state.reserving.saturating_sub(1);
        }
    }

    /// Requests that may wait for a reserved token.
    pub fn reserving(&self, account: u64) -> u32 {
        self.accounts
            .get(&account)
            .map_or(0, |state| state.reserving)
    }

    /// Tokens to ask the grantor for: for what waits and what is expected.
    pub fn demand(&mut self, account: u64, now_ms: u64) -> QuotaDemand {
        let state = self.accounts.entry(account).or_default();
        state.asked_waiting = state.waiting;
        let mut tokens = |class: RequestClass| {
            let index = class as usize;
            let expected = state.rate[index].expected(LOOK_AHEAD_MS, now_ms);
            let asked = f64::from(state.waiting[index]) + expected.floor();
            asked.min(MAX_BATCH) as u32
        };
        QuotaDemand {
            running: tokens(RequestClass::Running),
            new_programs: tokens(RequestClass::NewProgram),
        }
    }

    /// Removes all tokens of an account, to return them to the grantor.
    pub fn take_returned(&mut self, account: u64, now_ms: u64) -> u32 {
        let Some(state) = self.accounts.get_mut(&account) else {
            return 0;
        };
        self.expired += state.expire(now_ms);
        let batches = std::mem::take(&mut state.batches);
        let tokens = batches
            .iter()
            .map(|batch| batch.running + batch.new_programs);
        tokens.sum()
    }

    /// Adds what the grantor granted of the last [`Stock::demand`], which was sent at
    /// `asked_ms`. A class is refused for a time if it got less than what waited; that
    /// there is nothing for what is expected is no reason to refuse it unasked.
    pub fn add(&mut self, account: u64, grant: Grant, asked_ms: u64, now_ms: u64) {
        let ttl_ms = self.ttl_ms;
        let state = self.accounts.entry(account).or_default();
        state.batches.push(Batch {
            expires_ms: asked_ms + ttl_ms,
            running: grant.running,
            new_programs: grant.new_programs,
        });
        state.batches.sort_by_key(|batch| batch.expires_ms);
        let until_ms = now_ms + u64::from(grant.retry_ms);
        let [running, new_programs] = state.asked_waiting;
        if grant.running < running {
            // New programs come after those that have begun.
            state.refused_until_ms = [until_ms; 2];
        }
        if grant.new_programs < new_programs {
            state.refused_until_ms[RequestClass::NewProgram as usize] = until_ms;
        }
        self.expired += state.expire(now_ms);
    }

    /// Adds what the grantor granted and reserved of the last [`Stock::demand`]. Reserved
    /// tokens are usable after their delay from now on, when the reply has arrived, and
    /// expire as if they had been granted then.
    pub fn add_reservation(
        &mut self,
        account: u64,
        reservation: Reservation,
        asked_ms: u64,
        now_ms: u64,
    ) {
        let QuotaDecision::Granted(grant) = reservation.decision else {
            return;
        };
        let ttl_ms = self.ttl_ms;
        let state = self.accounts.entry(account).or_default();
        for delay_ms in reservation.reserved.delays_ms() {
            let times_ms = (now_ms + delay_ms, asked_ms + delay_ms + ttl_ms);
            state.reserved_ms.push_back(times_ms);
        }
        state.reserved_ms.make_contiguous().sort_unstable();
        let told_ms = [reservation.running_retry_ms, reservation.new_retry_ms];
        state.available_ms = told_ms.map(|retry_ms| now_ms + u64::from(retry_ms));
        let reserved = reservation.reserved.tokens;
        self.add(account, grant, asked_ms, now_ms);
        // Requests that have a reserved token aren't refused.
        let state = self.accounts.entry(account).or_default();
        let [running, _] = state.asked_waiting;
        if grant.running < running && grant.running + reserved >= running {
            state.refused_until_ms[RequestClass::Running as usize] = now_ms;
        }
    }

    /// Number of tokens that expired since the last call.
    pub fn take_expired(&mut self) -> u64 {
        std::mem::take(&mut self.expired)
    }

    /// Drops the state of accounts without requests, and expired tokens.
    pub fn remove_idle(&mut self, now_ms: u64) {
        let mut expired = 0;
        self.accounts.retain(|_, state| {
            expired += state.expire(now_ms);
            let is_idle = now_ms >= state.used_ms + MAX_IDLE_MS;
            !is_idle || state.waiting != [0; 2] || !state.batches.is_empty()
        });
        self.expired += expired;
    }
}
