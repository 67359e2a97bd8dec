//! Which VM of a failure domain is an account's grantor.

use std::cmp::Reverse;

use compact_str::CompactString;
use lagoon_ids::FastMap;

use crate::grantor::GrantorRole;

/// Time for which a substitute must have failed to reach the VMs before it until it
/// grants the full share; also the time after its start for which a first-ranked VM
/// grants a part.
pub const TAKEOVER_MS: u64 = 1_000;

/// VMs of one failure domain in the order in which they are an account's grantor.
/// VMs that know the same others give the same.
pub fn grantor_order<'a, I>(account: u64, vms: I) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut order: Vec<&str> = vms.collect();
    order.sort_by_cached_key(|vm| (Reverse(lagoon_limits::rank(account, vm)), *vm));
    order
}

/// Time after a reply for which a substitute refuses the role.
const REPLY_VALID_MS: u64 = 500;

/// Time between two probes of a VM that a substitute makes while it is asked.
const PROBE_INTERVAL_MS: u64 = 250;

/// Time after a sign of another VM of its domain for which a VM isn't isolated. It is
/// longer than the time between two probes and their replies.
const HEARD_VALID_MS: u64 = 400;

/// Time for which a first-ranked VM must have missed others to be isolated. With the time
/// until it notices, it is below [`TAKEOVER_MS`], when a substitute grants the full share.
const ISOLATION_MS: u64 = 200;

/// VMs by which another one finds out whether it is isolated.
const MAX_WITNESSES: usize = 3;

/// Least number of VMs in a domain of which one can tell its own isolation from the end of
/// the others.
const MIN_VMS: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Failing {
    since_ms: u64,
    last_ms: u64,
}

/// Which VMs this one fails to reach, and for how long.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    failing: FastMap<CompactString, Failing>,
    replied_ms: FastMap<CompactString, u64>,
    probed_ms: FastMap<CompactString, u64>,
    /// Time of the last sign of another VM of the domain.
    heard_ms: Option<u64>,
}

impl Reachability {
    /// Records that a VM replied.
    pub fn record_reply(&mut self, vm: &str, now_ms: u64) {
        self.failing.remove(vm);
        self.heard_ms = Some(now_ms);
        self.replied_ms.insert(vm.into(), now_ms);
    }

    /// Records that a VM gave no reply.
    pub fn record_no_reply(&mut self, vm: &str, now_ms: u64) {
        let new = Failing {
            since_ms: now_ms,
            last_ms: now_ms,
        };
        let failing = self.failing.entry(vm.into()).or_insert(new);
        if now_ms > failing.last_ms + TAKEOVER_MS {
            failing.since_ms = now_ms;
        }
        failing.last_ms = now_ms;
    }

    /// Whether a VM was out of reach for this time, by tries of which the last one is
    /// recent.
    fn is_missed(&self, vm: &str, for_ms: u64, now_ms: u64) -> bool {
        self.failing.get(vm).is_some_and(|failing| {
            failing.last_ms >= failing.since_ms + for_ms && now_ms <= failing.last_ms + TAKEOVER_MS
        })
    }

    /// Records that another VM of the domain has asked this one for tokens.
    pub fn record_request(&mut self, now_ms: u64) {
        self.heard_ms = Some(now_ms);
    }

    fn has_heard(&self, now_ms: u64) -> bool {
        let is_recent = |heard_ms: u64| now_ms < heard_ms + HEARD_VALID_MS;
        self.heard_ms.is_some_and(is_recent)
    }

    /// VMs that the one at this position of an account's order has to reach or to miss
    /// before it knows its role: those before it, and the next ones if it has heard of
    /// none of the domain lately.
    pub fn to_probe<'a, S>(&self, order: &'a [S], position: usize, now_ms: u64) -> Vec<&'a S> {
        let witnesses = match self.has_heard(now_ms) || order.len() < MIN_VMS {
            true => 0,
            false => MAX_WITNESSES,
        };
        let next = order.iter().skip(position + 1).take(witnesses);
        order.iter().take(position).chain(next).collect()
    }

    /// Role of the VM at this position of an account's order; `None` if it refuses the
    /// role, as it reaches one before it itself. Otherwise it and the first-ranked VM would
    /// both grant for as long as some VMs reach only one of them. A VM that is partitioned
    /// alone doesn't take over.
    pub fn role<S>(&self, order: &[S], position: usize, now_ms: u64) -> Option<GrantorRole>
    where
        S: AsRef<str>,
    {
        let count = |vms: usize| u32::try_from(vms).unwrap_or(u32::MAX);
        let isolated = GrantorRole::Isolated {
            vms: count(order.len()),
        };
        let may_be_isolated = order.len() >= MIN_VMS && !self.has_heard(now_ms);
        if position == 0 {
            let mut witnesses = order.iter().skip(1).take(MAX_WITNESSES);
            let is_missed = |vm: &S| self.is_missed(vm.as_ref(), ISOLATION_MS, now_ms);
            return Some(match may_be_isolated && witnesses.all(is_missed) {
                true => isolated,
                false => GrantorRole::First,
            });
        }
        let before = &order[..position];
        let is_reached = |vm: &S| {
            let replied_ms = self.replied_ms.get(vm.as_ref());
            replied_ms.is_some_and(|replied_ms| now_ms < replied_ms + REPLY_VALID_MS)
        };
        if before.iter().any(is_reached) {
            return None;
        }
        let is_missed = |vm: &S| self.is_missed(vm.as_ref(), TAKEOVER_MS, now_ms);
        Some(match before.iter().all(is_missed) {
            true if may_be_isolated => isolated,
            true => GrantorRole::ConfirmedSubstitute,
            false => GrantorRole::Substitute {
                before: count(before.len()),
            },
        })
    }

    /// Whether a VM is to be probed now; records that it is.
    pub fn begin_probe(&mut self, vm: &str, now_ms: u64) -> bool {
        let probed_ms = self.probed_ms.get(vm);
        let is_due = probed_ms.is_none_or(|probed_ms| now_ms >= probed_ms + PROBE_INTERVAL_MS);
        if is_due {
            self.probed_ms.insert(vm.into(), now_ms);
        }
        is_due
    }

    /// Forgets VMs that were not tried lately.
    pub fn remove_old(&mut self, now_ms: u64) {
        self.failing
            .retain(|_, failing| now_ms <= failing.last_ms + TAKEOVER_MS);
        let is_recent = |_: &CompactString, at_ms: &mut u64| now_ms <= *at_ms + TAKEOVER_MS;
        self.replied_ms.retain(is_recent);
        self.probed_ms.retain(is_recent);
    }
}
