//! Which VMs hold the record of a stream.

use std::cmp::Reverse;

use lagoon_ids::{hash64, FastMap};

use crate::origin::StreamId;

/// VMs of each failure domain that are asked: the first may have joined or restarted
/// after the record was sent, or may be stopping.
const ASKED_PER_DOMAIN: usize = 2;

fn rank(stream: StreamId, vm: &str) -> Reverse<u64> {
    Reverse(hash64(&(hash64(vm.as_bytes()) ^ stream.0).to_le_bytes()))
}

/// VMs, given as name and failure domain, that get the record of a stream from a VM of
/// `domain`: the first of this domain and the first of all others.
pub fn holders<'a, I>(stream: StreamId, domain: &str, vms: I) -> Vec<&'a str>
where
    I: Iterator<Item = (&'a str, &'a str)>,
{
    let mut first = [None; 2];
    for (vm, vm_domain) in vms {
        let candidate = Some((rank(stream, vm).0, vm));
        let first = &mut first[usize::from(vm_domain != domain)];
        *first = candidate.max(*first);
    }
    first.into_iter().flatten().map(|(_, vm)| vm).collect()
}

/// VMs that may hold the record of a stream of any domain: the first two of each.
pub fn holder_candidates<'a, I>(stream: StreamId, vms: I) -> Vec<&'a str>
where
    I: Iterator<Item = (&'a str, &'a str)>,
{
    let mut ranked: Vec<(&str, &str)> = vms.collect();
    ranked.sort_by_key(|(vm, _)| (rank(stream, vm), *vm));
    let mut asked: FastMap<&str, usize> = FastMap::default();
    let is_asked = |(_, domain): &(&'a str, &'a str)| {
        let count = asked.entry(*domain).or_default();
        *count += 1;
        *count <= ASKED_PER_DOMAIN
    };
    let candidates = ranked.into_iter().filter(is_asked);
    candidates.map(|(vm, _)| vm).collect()
}

/// VM that takes over a record from a VM of `domain` that stops: the first of the
/// others of this domain, or of all if it has none. `vms` doesn't list the one that
/// stops.
pub fn heir<'a, I>(stream: StreamId, domain: &str, vms: I) -> Option<&'a str>
where
    I: Iterator<Item = (&'a str, &'a str)>,
{
    holders(stream, domain, vms).into_iter().next()
}
