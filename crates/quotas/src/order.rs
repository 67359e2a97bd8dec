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
}

impl Reachability {
    /// Records that a VM replied.
    pub fn record_reply(&mut self, vm: &str, now_ms: u64) {
        self.failing.remove(vm);
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

    /// Whether a VM was out of reach for [`TAKEOVER_MS`], by tries of which the last one
    /// is recent.
    fn is_unreached(&self, vm: &str, now_ms: u64) -> bool {
        self.failing.get(vm).is_some_and(|failing| {
            failing.last_ms >= failing.since_ms + TAKEOVER_MS
                && now_ms <= failing.last_ms + TAKEOVER_MS
        })
    }

    /// Role of the VM that has these VMs before it in the order of an account; `None` if
    /// it refuses the role, as it reaches one of them itself. Otherwise it and the
    /// first-ranked VM would both grant for as long as some VMs reach only one of them.
    pub fn role<S>(&self, before: &[S], now_ms: u64) -> Option<GrantorRole>
    where
        S: AsRef<str>,
    {
        if before.is_empty() {
            return Some(GrantorRole::First);
        }
        let is_reached = |vm: &S| {
            let replied_ms = self.replied_ms.get(vm.as_ref());
            replied_ms.is_some_and(|replied_ms| now_ms < replied_ms + REPLY_VALID_MS)
        };
        if before.iter().any(is_reached) {
            return None;
        }
        let is_unreached = |vm: &S| self.is_unreached(vm.as_ref(), now_ms);
        Some(match before.iter().all(is_unreached) {
            true => GrantorRole::ConfirmedSubstitute,
            false => GrantorRole::Substitute {
                before: u32::try_from(before.len()).unwrap_or(u32::MAX),
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
