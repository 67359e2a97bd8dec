//! Which VMs hold the record of a stream.

use std::cmp::Reverse;

use lagoon_ids::{hash64, FastMap};

use crate::origin::StreamId;

/// VMs that get a record.
const HOLDERS: usize = 2;

/// VMs of each failure domain that are asked: the first may have joined or restarted
/// after the record was sent, or may be stopping.
const ASKED_PER_DOMAIN: usize = 2;

/// VMs that are asked in a fleet of one failure domain, which has both holders.
const ASKED_IN_ONE_DOMAIN: usize = 3;

fn rank(stream: StreamId, vm: &str) -> Reverse<u64> {
    Reverse(hash64(&(hash64(vm.as_bytes()) ^ stream.0).to_le_bytes()))
}

/// VMs, given as name and failure domain, that get the record of a stream from a VM of
/// `domain`: the first of this domain and the first of all others. Two of the same
/// domain if there is no other.
pub fn holders<'a, I>(stream: StreamId, domain: &str, vms: I) -> Vec<&'a str>
where
    I: Iterator<Item = (&'a str, &'a str)>,
{
    let (mut own, mut others): (Vec<_>, Vec<_>) = vms.partition(|vm| vm.1 == domain);
    for vms in [&mut own, &mut others] {
        vms.sort_by_cached_key(|(vm, _)| (rank(stream, vm), *vm));
    }
    let (first, second) = match (own.is_empty(), others.is_empty()) {
        (false, false) => (&own[..1], &others[..1]),
        _ => (&own[..], &others[..]),
    };
    let both = first.iter().chain(second).take(HOLDERS);
    both.map(|(vm, _)| *vm).collect()
}

/// VMs that may hold the record of a stream of any domain: the first two of each, or
/// three of the only one.
pub fn holder_candidates<'a, I>(stream: StreamId, vms: I) -> Vec<&'a str>
where
    I: Iterator<Item = (&'a str, &'a str)>,
{
    let mut ranked: Vec<(&str, &str)> = vms.collect();
    ranked.sort_by_cached_key(|(vm, _)| (rank(stream, vm), *vm));
    let has_one_domain = ranked.windows(2).all(|pair| pair[0].1 == pair[1].1);
    let max_asked = if has_one_domain {
        ASKED_IN_ONE_DOMAIN
    } else {
        ASKED_PER_DOMAIN
    };
    let mut asked: FastMap<&str, usize> = FastMap::default();
    let is_asked = |(_, domain): &(&'a str, &'a str)| {
        let count = asked.entry(*domain).or_default();
        *count += 1;
        *count <= max_asked
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
