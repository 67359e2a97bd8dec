//! Buckets of a failure domain, and transfers between domains.

use std::collections::VecDeque;

use derive_more::Display;
use lagoon_ids::FastMap;
use lagoon_limits::TokenBucket;
use serde::{Deserialize, Serialize};

use crate::order::TAKEOVER_MS;
use crate::rate::RecentRate;
use crate::{QuotaDemand, QuotaTerms};

/// Minimum time between two requests for a transfer, per account and other domain.
pub const TRANSFER_INTERVAL_MS: u64 = 50;

/// Time for which a donor keeps what its own domain needs.
const DONOR_RESERVE_MS: u64 = 200;

/// Time after which transferred tokens that exceed the capacity expire, as a share of
/// the time for which VMs may use tokens.
const TRANSFER_TTL_SHARE: f64 = 0.5;

/// Share of the slack that the buckets of all domains hold together, beside the burst.
/// The rest is left to takeovers, during which two VMs grant tokens of one domain.
const CAPACITY_SLACK_SHARE: f64 = 0.6;

/// Share of the rate that the second VM of the order grants before it has confirmed that
/// the first can't be reached. Each further one grants this share of the one before it,
/// so that substitutes add at most 0.67 where many requests to many VMs are lost.
const SUBSTITUTE_SHARE: f64 = 0.4;

/// Time without a request after which the bucket of a substitute that isn't confirmed
/// begins again, empty. A VM that is refused asks again within 100 ms.
const SUBSTITUTE_IDLE_MS: u64 = 200;

/// Largest share of the rate that an isolated VM grants, beside its substitute. In a
/// domain of a few VMs, the part of one would exceed the bound.
const MAX_ISOLATED_SHARE: f64 = 0.05;

/// Share of the rate that a first-ranked VM grants after its start, as a substitute may
/// not have noticed it yet.
const STARTING_SHARE: f64 = 0.6;

/// Time at the domain's rate whose tokens a bucket holds at least, as a share of the time
/// for which VMs may use tokens. VMs and other domains ask in intervals of 50 to 100 ms;
/// a smaller bucket would lose what accrues between two requests.
const MIN_CAPACITY_SHARE: f64 = 0.5;

/// Capacity below which a new program needs a full bucket, not half of it.
const SMALL_CAPACITY: f64 = 2.0;

/// Bounds of the time for which a VM itself refuses further requests of a class. The
/// lower bound limits the messages for an account that is far above its limit: with 50 ms
/// instead, a peak of the largest account took twice as many.
const RETRY_MS: std::ops::RangeInclusive<f64> = 80.0..=100.0;

/// Maximum time for which a request waits for a reserved token.
const MAX_RESERVED_MS: f64 = 1_000.0;

/// As [`MAX_RESERVED_MS`] until a bucket is [`SETTLED_MS`] old. It reserves no more than
/// what a new bucket grants less than one that continues, so that repeated restarts add
/// nothing.
const MAX_NEW_BUCKET_RESERVED_MS: f64 = 400.0;

/// Bound of what is reserved: tokens of this time at the domain's rate and of this share
/// of the slack. After a takeover, what the old grantor has reserved adds to what the new
/// one grants; see the bound in docs/design/quotas.md.
const RESERVED_RATE_S: f64 = 0.25;
const RESERVED_SLACK_SHARE: f64 = 0.35;

/// Age from which a bucket reserves as much as the other bounds allow: two default windows.
const SETTLED_MS: u64 = 10_000;

/// Time whose expected requests of programs that have begun a bucket keeps when it gives
/// tokens to new programs.
const RUNNING_SOON_MS: u64 = 300;

/// Time whose expected requests a new program that is refused has to let pass. Programs
/// take 3 to 5 s; with 1 s, 3% of the programs of small accounts came back three times in
/// vain.
const NEW_WAIT_MS: u64 = 7_000;

/// Tokens of the account after which the next one of several new programs that were
/// refused comes back. One that comes too early uses up one of its caller's tries.
const NEW_SPACING_TOKENS: f64 = 16.0;

/// Longest times that refused requests are told, by class.
const MAX_RETRY_MS: [u64; 2] = [5_000, 10_000];

/// Share of the slack by which the buckets of all domains refill beyond the rate in a
/// window. Of accounts with a few requests a second it is a tenth of the rate.
const RATE_SLACK_SHARE: f64 = 0.2;

/// Time by which the tokens used in a window may be older than the window.
const HELD_S: f64 = 0.3;

/// Time without a request after which a full bucket is dropped.
const MAX_IDLE_MS: u64 = 60_000;

/// Tolerance for sums of floating-point fractions, in tokens.
const ROUNDING: f64 = 1e-6;

/// What a VM is for an account in its failure domain.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum GrantorRole {
    /// First VM of the order.
    #[display("first")]
    First,
    /// VM that was asked although as many others as `before` come before it.
    #[display("substitute")]
    Substitute {
        /// At least 1.
        before: u32,
    },
    /// VM that reaches no other one of the domain. Another one grants in its place, so it
    /// grants the part of one of as many VMs as `vms`.
    #[display("isolated")]
    Isolated {
        /// VMs in the domain.
        vms: u32,
    },
    /// As `Substitute`, after it has itself failed to reach all VMs before it.
    #[display("confirmed substitute")]
    ConfirmedSubstitute,
}

/// Tokens that a VM gets, by class.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Grant {
    /// Tokens for programs that have begun.
    pub running: u32,
    /// Tokens for new programs.
    pub new_programs: u32,
    /// Time for which the VM refuses requests of a class of which it got fewer tokens
    /// than it asked for.
    pub retry_ms: u32,
}

/// Response to a request for tokens.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum QuotaDecision {
    /// These tokens may be used; none if the account is at its limit.
    #[display("granted")]
    Granted(Grant),
    /// The VM doesn't grant tokens.
    #[display("not the grantor")]
    NotGrantor,
}

/// Tokens that a domain lacks and may ask other domains for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Shortage {
    /// Tokens that are missing.
    pub tokens: u32,
    /// Time of the requests, to be passed to [`Grantor::add_transferred`].
    pub asked_ms: u64,
}

/// Response to a request for tokens of a VM whose requests may wait for theirs.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reservation {
    /// What is granted at once, as to older VMs.
    pub decision: QuotaDecision,
    /// Tokens of programs that have begun that become usable later, one after the other.
    pub reserved: Reserved,
    /// Time after which a request of a program that has begun may get a token, if it has
    /// neither a granted nor a reserved one.
    pub running_retry_ms: u32,
    /// Time after which a new program may get a token.
    pub new_retry_ms: u32,
}

impl From<QuotaDecision> for Reservation {
    fn from(decision: QuotaDecision) -> Reservation {
        let retry_ms = match decision {
            QuotaDecision::Granted(grant) => grant.retry_ms,
            QuotaDecision::NotGrantor => 0,
        };
        Reservation {
            decision,
            reserved: Reserved::default(),
            running_retry_ms: retry_ms,
            new_retry_ms: retry_ms,
        }
    }
}

/// Tokens that become usable one after the other.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reserved {
    /// Number of tokens.
    pub tokens: u32,
    /// Time until the first one is usable.
    pub first_ms: u32,
    /// Time between two of them, in microseconds.
    pub interval_us: u32,
}

impl Reserved {
    /// Time until each token is usable.
    pub fn delays_ms(self) -> impl Iterator<Item = u64> {
        let delay_ms = move |index: u32| {
            let later_us = u64::from(index) * u64::from(self.interval_us);
            u64::from(self.first_ms) + later_us.div_ceil(1_000)
        };
        (0..self.tokens).map(delay_ms)
    }
}

#[derive(Clone, Debug)]
struct DomainBucket {
    terms: QuotaTerms,
    bucket: TokenBucket,
    /// Transferred tokens beyond the capacity, with the time at which they expire.
    extra: Vec<(u64, f64)>,
    /// Tokens reserved that the bucket has yet to make up for.
    debt: f64,
    /// Times that the next refused request of each class is told, at the earliest.
    told_ms: [u64; 2],
    /// Times at which reserved tokens become usable, in order.
    reserved_ms: VecDeque<u64>,
    begun_ms: u64,
    rate_per_s: f64,
    /// Tokens granted or donated lately, with the time; those that other domains
    /// transferred are negative.
    granted: VecDeque<(u64, f64)>,
    demand: RecentRate,
    /// Requests of programs that have begun, and how many of them are expected within
    /// [`RUNNING_SOON_MS`].
    running: RecentRate,
    running_soon: f64,
    transfer_asked_ms: Option<u64>,
    epoch: u64,
    was_first: bool,
}

impl DomainBucket {
    fn extra(&self) -> f64 {
        self.extra.iter().map(|(_, tokens)| tokens).sum()
    }

    fn available(&self) -> f64 {
        self.bucket.tokens() + self.extra() - self.debt + ROUNDING
    }

    /// Makes up for reserved tokens with those of the bucket.
    fn repay(&mut self) {
        let repaid = self.debt.min(self.bucket.tokens());
        self.bucket.remove(repaid);
        self.debt -= repaid;
    }

    /// Reserved tokens that aren't usable yet, and for which the bucket has already made
    /// up. They count as if they were in the bucket.
    fn repaid(&self) -> f64 {
        (self.reserved_ms.len() as f64 - self.debt).max(0.0)
    }

    /// Time until this many tokens accrue, beside those that make up for reserved ones.
    fn accrual_ms(&self, missing: f64) -> f64 {
        missing.max(0.0) / self.rate_per_s * 1e3
    }

    fn take_one(&mut self) {
        for (_, tokens) in &mut self.extra {
            if *tokens >= 1.0 {
                *tokens -= 1.0;
                return;
            }
        }
        self.bucket.remove(1.0);
    }

    /// Takes up to `count` tokens while there are at least `level`.
    fn take_from(&mut self, level: f64, count: u32) -> u32 {
        let mut taken = 0;
        while taken < count && self.available() >= level.max(1.0) {
            self.take_one();
            taken += 1;
        }
        taken
    }

    /// Tokens without which this demand can't be granted.
    fn missing_tokens(&self, demand: QuotaDemand) -> u32 {
        let new_programs = match demand.new_programs {
            0 => 0.0,
            count => f64::from(count - 1) + self.new_program_level().max(1.0),
        };
        let needed = f64::from(demand.running) + new_programs;
        (needed - self.available()).max(0.0).ceil() as u32
    }

    /// Level from which on new programs get tokens: it leaves what programs in progress
    /// are expected to need soon.
    fn new_program_level(&self) -> f64 {
        let capacity = self.bucket.capacity();
        match capacity < SMALL_CAPACITY {
            true => capacity,
            false => (capacity / 2.0 + self.running_soon).min(capacity),
        }
    }
}

/// Buckets of the accounts for which this VM grants tokens in its failure domain.
#[derive(Clone, Debug)]
pub struct Grantor {
    ttl_ms: u64,
    /// Requests beyond rate, burst and excess that each window allows.
    slack: f64,
    /// Tokens per second beyond the rate, in all domains.
    extra_per_s: f64,
    buckets: FastMap<u64, DomainBucket>,
    /// Number of failure domains.
    domains: usize,
    /// Changes of the list of VMs, and the time of the last one. An account for which
    /// this VM is first and has no bucket had none of its tokens granted since then.
    epoch: u64,
    epoch_ms: u64,
    started_ms: u64,
    seen_ms: u64,
}

impl Grantor {
    /// Grantor that has just started. VMs may use tokens for `ttl_ms`; each window may
    /// have `slack` requests more than rate, burst and excess allow.
    pub fn new(ttl_ms: u64, slack: f64, now_ms: u64) -> Grantor {
        Grantor {
            ttl_ms,
            slack,
            extra_per_s: 0.0,
            buckets: FastMap::default(),
            domains: 1,
            epoch: 0,
            epoch_ms: now_ms,
            started_ms: now_ms,
            seen_ms: now_ms,
        }
    }

    /// Refills buckets faster by a part of the slack, for windows of this length.
    pub fn with_window(mut self, window_s: f64) -> Grantor {
        self.extra_per_s = self.slack * RATE_SLACK_SHARE / (window_s + HELD_S);
        self
    }

    /// Records that the list of VMs has changed, and how many failure domains it has.
    pub fn record_list_change(&mut self, domains: usize, now_ms: u64) {
        self.domains = domains.max(1);
        self.epoch += 1;
        self.epoch_ms = now_ms;
    }

    /// Has to be called every 100 ms, so that a suspension of the VM is noticed: others
    /// may have taken over, so it begins again like a VM that has just started. Returns
    /// whether that is so.
    pub fn observe_time(&mut self, now_ms: u64) -> bool {
        let was_suspended = now_ms >= self.seen_ms + TAKEOVER_MS;
        if was_suspended {
            self.buckets.clear();
            self.epoch += 1;
            self.epoch_ms = now_ms;
            self.started_ms = now_ms;
        }
        self.seen_ms = self.seen_ms.max(now_ms);
        was_suspended
    }

    /// Tokens of the slack that a bucket holds. For accounts with a few requests a second
    /// they are several times the burst of a domain, and the calls of a program come
    /// several at a time.
    fn slack_capacity(&self) -> f64 {
        self.slack * CAPACITY_SLACK_SHARE / self.domains as f64
    }

    /// Bucket of an account, filled until now.
    fn bucket(
        &mut self,
        account: u64,
        terms: QuotaTerms,
        role: GrantorRole,
        now_ms: u64,
    ) -> &mut DomainBucket {
        self.observe_time(now_ms);
        let (epoch, epoch_ms) = (self.epoch, self.epoch_ms);
        let extra_per_s = self.extra_per_s;
        let is_starting = now_ms < self.started_ms + TAKEOVER_MS;
        let is_first = role == GrantorRole::First;
        let known = self.buckets.get(&account);
        let terms = match known {
            Some(known) if known.terms.version > terms.version => known.terms,
            _ => terms,
        };
        let domains = self.domains as f64;
        let share_per_s = (terms.rate_per_s + extra_per_s) / domains;
        let min_capacity_s = self.ttl_ms as f64 / 1e3 * MIN_CAPACITY_SHARE;
        let full = (terms.burst / domains).max(share_per_s * min_capacity_s);
        let full = (full + self.slack_capacity()).max(1.0);
        let (rate_per_s, capacity) = match role {
            GrantorRole::First if is_starting => (share_per_s * STARTING_SHARE, full),
            GrantorRole::First | GrantorRole::ConfirmedSubstitute => (share_per_s, full),
            GrantorRole::Isolated { vms } => {
                let share = (1.0 / f64::from(vms.max(1))).min(MAX_ISOLATED_SHARE);
                (share_per_s * share, 1.0)
            }
            GrantorRole::Substitute { before } => {
                let depth = i32::try_from(before).unwrap_or(i32::MAX);
                (share_per_s * SUBSTITUTE_SHARE.powi(depth), 1.0)
            }
        };
        // A bucket from before a change of the list continues only if this VM has been
        // the grantor throughout; another one may have granted meanwhile.
        // That of a substitute ends when it isn't asked: where messages are lost, it would
        // otherwise grant a token each time that it is asked before its probe is answered.
        let is_substitute = matches!(role, GrantorRole::Substitute { .. });
        let continues = |known: &DomainBucket| {
            let is_asked = !is_substitute || known.bucket.idle_ms(now_ms) < SUBSTITUTE_IDLE_MS;
            let is_same = known.epoch + 1 == epoch && known.was_first && is_first;
            is_asked && (known.epoch == epoch || is_same)
        };
        if !known.is_some_and(continues) {
            let begun_ms = if is_first { epoch_ms } else { now_ms };
            let new = DomainBucket {
                debt: 0.0,
                told_ms: [0; 2],
                reserved_ms: VecDeque::new(),
                begun_ms,
                rate_per_s,
                terms,
                bucket: TokenBucket::new(rate_per_s, capacity, begun_ms),
                extra: Vec::new(),
                granted: VecDeque::new(),
                demand: RecentRate::default(),
                running: RecentRate::default(),
                running_soon: 0.0,
                transfer_asked_ms: None,
                epoch,
                was_first: is_first,
            };
            self.buckets.insert(account, new);
        }
        let ttl_ms = self.ttl_ms;
        let bucket = self.buckets.entry(account);
        let bucket = bucket.or_insert_with(|| unreachable!("inserted above"));
        bucket.epoch = epoch;
        bucket.was_first = is_first;
        bucket.terms = terms;
        bucket.rate_per_s = rate_per_s;
        bucket.running_soon = bucket.running.expected(RUNNING_SOON_MS, now_ms);
        while bucket.reserved_ms.front().is_some_and(|at| *at <= now_ms) {
            bucket.reserved_ms.pop_front();
        }
        // Tokens accrue at the rate until now, then make up for what is reserved.
        bucket.bucket.refill(rate_per_s, capacity, now_ms);
        bucket.repay();
        let room = (capacity - bucket.repaid()).max(0.0);
        bucket.bucket.refill(rate_per_s, room, now_ms);
        bucket
            .extra
            .retain(|(expires_ms, tokens)| now_ms < *expires_ms && *tokens >= 1.0);
        while let Some((granted_ms, _)) = bucket.granted.front() {
            if now_ms < granted_ms + ttl_ms {
                break;
            }
            bucket.granted.pop_front();
        }
        bucket
    }

    /// Takes back tokens that a VM did not use. They don't extend the sum of what is in
    /// the bucket and what was granted lately beyond a full bucket and the tokens that
    /// accrue while tokens are usable, as VMs could use those at the same time.
    fn take_back(&mut self, account: u64, tokens: u32) {
        let ttl_s = self.ttl_ms as f64 / 1e3;
        let domains = self.domains as f64;
        let Some(bucket) = self.buckets.get_mut(&account) else {
            return;
        };
        let mut unmatched = f64::from(tokens);
        for (_, granted) in &mut bucket.granted {
            let taken = unmatched.min(granted.max(0.0));
            *granted -= taken;
            unmatched -= taken;
        }
        let granted: f64 = bucket.granted.iter().map(|(_, tokens)| tokens).sum();
        let capacity = bucket.bucket.capacity();
        let accruing = ttl_s * bucket.terms.rate_per_s / domains;
        let max = capacity.min(capacity + accruing - granted);
        // Tokens that were granted too long ago, or by another VM, aren't taken back.
        bucket.bucket.add(f64::from(tokens) - unmatched, max);
    }

    /// Decides on a VM's request for tokens, with those that it returns.
    pub fn decide(
        &mut self,
        account: u64,
        terms: QuotaTerms,
        role: GrantorRole,
        demand: QuotaDemand,
        returned: u32,
        now_ms: u64,
    ) -> QuotaDecision {
        if !terms.is_valid() {
            return QuotaDecision::NotGrantor;
        }
        let bucket = self.bucket(account, terms, role, now_ms);
        bucket.demand.record(f64::from(demand.total()), now_ms);
        bucket.running.record(f64::from(demand.running), now_ms);
        if returned > 0 {
            self.take_back(account, returned);
        }
        self.grant(account, terms, role, demand, now_ms)
    }

    /// Grants what is missing after a transfer, without counting the demand again.
    pub fn grant(
        &mut self,
        account: u64,
        terms: QuotaTerms,
        role: GrantorRole,
        demand: QuotaDemand,
        now_ms: u64,
    ) -> QuotaDecision {
        let bucket = self.bucket(account, terms, role, now_ms);
        let level = bucket.new_program_level();
        let running = bucket.take_from(1.0, demand.running);
        let new_programs = bucket.take_from(level, demand.new_programs);
        let granted = f64::from(running + new_programs);
        if granted > 0.0 {
            bucket.granted.push_back((now_ms, granted));
        }
        let needed = match running < demand.running {
            true => 1.0,
            false => level,
        };
        let missing = (needed - bucket.available()).max(0.0);
        let mut free = bucket.bucket;
        let wait_ms = match free.take(free.tokens() + missing) {
            Ok(()) => 0.0,
            Err(wait_ms) => wait_ms,
        };
        QuotaDecision::Granted(Grant {
            running,
            new_programs,
            retry_ms: wait_ms.clamp(*RETRY_MS.start(), *RETRY_MS.end()).ceil() as u32,
        })
    }

    /// Reserves tokens for `waiting` requests of programs that have begun, as long as each
    /// waits for a limited time. To be called after [`Grantor::grant`].
    pub fn reserve(
        &mut self,
        account: u64,
        terms: QuotaTerms,
        role: GrantorRole,
        waiting: u32,
        now_ms: u64,
    ) -> Reserved {
        let slack = self.slack * RESERVED_SLACK_SHARE / self.domains as f64;
        let is_starting = now_ms < self.started_ms + TAKEOVER_MS;
        let may_reserve = match role {
            GrantorRole::First => !is_starting,
            GrantorRole::ConfirmedSubstitute => true,
            GrantorRole::Substitute { .. } | GrantorRole::Isolated { .. } => false,
        };
        if waiting == 0 || !may_reserve {
            return Reserved::default();
        }
        let bucket = self.bucket(account, terms, role, now_ms);
        let rate_per_s = bucket.rate_per_s;
        let max_ms = match now_ms < bucket.begun_ms + SETTLED_MS {
            true => MAX_NEW_BUCKET_RESERVED_MS,
            false => MAX_RESERVED_MS,
        };
        let max = (rate_per_s * RESERVED_RATE_S + slack).floor();
        let first_ms = bucket.accrual_ms(1.0 - bucket.available()).ceil();
        let interval_ms = 1e3 / rate_per_s;
        let by_time = ((max_ms - first_ms) / interval_ms + 1.0).max(0.0);
        let by_count = (max - bucket.reserved_ms.len() as f64).max(0.0);
        let tokens = waiting.min(by_time as u32).min(by_count as u32);
        let reserved = Reserved {
            tokens,
            first_ms: first_ms as u32,
            interval_us: (interval_ms * 1e3).ceil() as u32,
        };
        if tokens > 0 {
            bucket.debt += f64::from(tokens);
            bucket.repay();
            for delay_ms in reserved.delays_ms() {
                bucket.reserved_ms.push_back(now_ms + delay_ms);
            }
            bucket.granted.push_back((now_ms, f64::from(tokens)));
        }
        reserved
    }

    /// Times after which requests of both classes may get a token, programs that have
    /// begun first, where `refused` have just got none. Each refused request is told a
    /// later time than those before it.
    pub fn retry_ms(&mut self, account: u64, refused: QuotaDemand, now_ms: u64) -> [u32; 2] {
        let domains = self.domains as f64;
        let Some(bucket) = self.buckets.get_mut(&account) else {
            return [0; 2];
        };
        let available = bucket.available();
        let expected = bucket.demand.expected(NEW_WAIT_MS, now_ms);
        let level = bucket.new_program_level().max(1.0);
        let missing = [1.0 - available, level + expected - available];
        let spacing = [1.0, NEW_SPACING_TOKENS / domains];
        let refused = [refused.running, refused.new_programs];
        let mut told_ms = [0; 2];
        for class in 0..2 {
            let max_ms = MAX_RETRY_MS[class];
            let free_ms = bucket.told_ms[class].saturating_sub(now_ms) as f64;
            let mut retry_ms = bucket.accrual_ms(missing[class]);
            if refused[class] > 0 {
                let spacing_ms = spacing[class] / bucket.rate_per_s * 1e3;
                retry_ms = retry_ms.max(free_ms) + spacing_ms * f64::from(refused[class] - 1);
                let next_ms = (retry_ms + spacing_ms).min(max_ms as f64);
                bucket.told_ms[class] = now_ms + next_ms as u64;
            }
            told_ms[class] = retry_ms.min(max_ms as f64).ceil() as u32;
        }
        told_ms
    }

    /// Tokens to ask other domains for, where `missing` could not be granted; `None` if
    /// there are no others, or they were asked a short time ago. A substitute that isn't
    /// confirmed doesn't ask, as the first-ranked VM may.
    pub fn shortage(
        &mut self,
        account: u64,
        role: GrantorRole,
        missing: QuotaDemand,
        now_ms: u64,
    ) -> Option<Shortage> {
        let is_unconfirmed = matches!(role, GrantorRole::Substitute { .. });
        if self.domains < 2 || missing.total() == 0 || is_unconfirmed {
            return None;
        }
        let bucket = self.buckets.get_mut(&account)?;
        let is_recent = |asked_ms: u64| now_ms < asked_ms + TRANSFER_INTERVAL_MS;
        if bucket.transfer_asked_ms.is_some_and(is_recent) {
            return None;
        }
        bucket.transfer_asked_ms = Some(now_ms);
        let soon = bucket.demand.expected(TRANSFER_INTERVAL_MS, now_ms);
        Some(Shortage {
            tokens: bucket
                .missing_tokens(missing)
                .saturating_add(soon.floor() as u32),
            asked_ms: now_ms,
        })
    }

    /// Tokens that are still missing after other domains have transferred some.
    pub fn missing_tokens(&self, account: u64, missing: QuotaDemand) -> u32 {
        let bucket = self.buckets.get(&account);
        bucket.map_or(0, |bucket| bucket.missing_tokens(missing))
    }

    /// Adds tokens that another domain transferred after a request at `asked_ms`.
    /// Returns how many are of use: none if they come too late.
    pub fn add_transferred(
        &mut self,
        account: u64,
        tokens: u32,
        asked_ms: u64,
        now_ms: u64,
    ) -> u32 {
        let ttl_ms = (self.ttl_ms as f64 * TRANSFER_TTL_SHARE) as u64;
        let expires_ms = asked_ms + ttl_ms;
        let Some(bucket) = self.buckets.get_mut(&account) else {
            return 0;
        };
        if now_ms >= expires_ms {
            return 0;
        }
        let repaid = bucket.debt.min(f64::from(tokens));
        bucket.debt -= repaid;
        let left = tokens - repaid as u32;
        let capacity = bucket.bucket.capacity() - bucket.repaid();
        let room = (capacity - bucket.bucket.tokens()).max(0.0).floor() as u32;
        let into_bucket = left.min(room);
        bucket.bucket.add(f64::from(into_bucket), capacity.max(0.0));
        if left > into_bucket {
            let extra = f64::from(left - into_bucket);
            bucket.extra.push((expires_ms, extra));
        }
        bucket.granted.push_back((now_ms, -f64::from(tokens)));
        tokens
    }

    /// Takes tokens off for another domain; returns how many, at most `asked`.
    pub fn donate(
        &mut self,
        account: u64,
        terms: QuotaTerms,
        role: GrantorRole,
        asked: u32,
        now_ms: u64,
    ) -> u32 {
        let is_unconfirmed = matches!(role, GrantorRole::Substitute { .. });
        if !terms.is_valid() || is_unconfirmed {
            return 0;
        }
        let bucket = self.bucket(account, terms, role, now_ms);
        let reserve = bucket.demand.expected(DONOR_RESERVE_MS, now_ms);
        let spare = (bucket.bucket.tokens() + ROUNDING - bucket.debt - reserve)
            .max(0.0)
            .floor();
        let given = asked.min(spare as u32);
        bucket.bucket.remove(f64::from(given));
        if given > 0 {
            bucket.granted.push_back((now_ms, f64::from(given)));
        }
        given
    }

    /// Removes buckets that were not used lately. They were full, and a new one for the
    /// account is, too.
    pub fn remove_idle(&mut self, now_ms: u64) {
        self.buckets.retain(|_, known| {
            let mut filled = known.bucket;
            let rate_per_s = known.terms.rate_per_s / self.domains as f64;
            filled.refill(rate_per_s, known.bucket.capacity(), now_ms);
            let is_full = filled.tokens() >= filled.capacity();
            known.bucket.idle_ms(now_ms) < MAX_IDLE_MS || !is_full
        });
    }

    /// Accounts that have a bucket here.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether no account has a bucket here.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}
