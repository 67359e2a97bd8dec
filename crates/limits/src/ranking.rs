//! Which VMs grant permits for a run.

use lagoon_ids::hash64;

use crate::statement::RunId;

/// Weight of a VM for a key. The VM with the highest one comes first in the order of
/// those that may grant for the key.
pub fn rank(key: u64, vm: &str) -> u64 {
    hash64(&(hash64(vm.as_bytes()) ^ key).to_le_bytes())
}

/// VMs that grant permits for a run of a target in `domain`, of the given names and
/// failure domains: the primary, then the standby. The primary is of the target's
/// domain if that has VMs, so that the domain keeps it when it is cut off; the standby
/// is of another one if there is one. VMs that know the same others give the same.
pub fn grantors<'a, I>(run: RunId, domain: &str, vms: I) -> Vec<&'a str>
where
    I: Iterator<Item = (&'a str, &'a str)>,
{
    let mut ranked: Vec<(&str, &str)> = vms.collect();
    ranked.sort_by_key(|(name, vm_domain)| {
        (
            *vm_domain != domain,
            std::cmp::Reverse(rank(run.0, name)),
            *name,
        )
    });
    let Some(&(primary, primary_domain)) = ranked.first() else {
        return Vec::new();
    };
    let others = &ranked[1..];
    let is_remote = |vm: &&(&str, &str)| vm.1 != primary_domain;
    let standby = others.iter().find(is_remote).or(others.first());
    let standby = standby.map(|(name, _)| *name);
    [primary].into_iter().chain(standby).collect()
}
