//! Placement: the choice of a target for one request.

use lagoon_ids::hash64;
use lagoon_limits::Demand;
use lagoon_streams::SoftwareId;

use crate::request_metadata::RequestMetadata;
use crate::targets::{CapacityEstimate, Target, TargetKey, Targets};

/// Parameters of a target's cost, which is an expected delay in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Cost of a target in another failure domain: the round trip and the
    /// transfer of the bytes.
    pub cross_domain_ms: f64,
    /// Prompt tokens that an engine prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Weight of the prefill of a whole prompt. It is above 1 because a
    /// session that moves also evicts cached prompts of others, which then need
    /// a prefill themselves.
    pub prefill_weight: f64,
    /// Delay added by each concurrent request at the target.
    pub contention_ms: f64,
    /// Cost of a target with a limit: the request for a permit.
    pub permit_ms: f64,
    /// Cost of a target that is reached through another VM: two more hops.
    pub distant_ms: f64,
    /// Cost of a target with a failure rate of 1.
    pub failure_ms: f64,
    /// Time without progress on requests after which a target counts as stalled;
    /// the time beyond it is added to the cost.
    pub stall_ms: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            cross_domain_ms: 4.0,
            prefill_tokens_per_ms: 102.0,
            // With a weight of at least 3, targets recover from an overload by
            // many callers.
            prefill_weight: 3.0,
            contention_ms: 1.0,
            // A round trip within a failure domain.
            permit_ms: 3.0,
            distant_ms: 4.0,
            failure_ms: 2_000.0,
            stall_ms: 250,
        }
    }
}

/// Inputs of [`place`] that differ from request to request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Name of the service whose targets are the candidates.
    pub service: &'a str,
    /// Metadata that decides which targets need no prefill: program, affinity key
    /// and prompt.
    pub metadata: &'a RequestMetadata,
    /// Failure domain of this VM.
    pub domain: &'a str,
    /// Target that served the session last; `None` if it isn't known.
    pub last_target: Option<TargetKey>,
    /// Targets that are not to be chosen, as earlier attempts at them failed.
    pub excluded_targets: &'a [TargetKey],
    /// Whether the request begins a program. A target at its limit may have room for
    /// one that doesn't.
    pub demand: Demand,
    /// Whether targets with limits are left out.
    pub skips_limited: bool,
    /// Software version at which the request's stream began; `None` if it may run at
    /// any.
    pub software: Option<SoftwareId>,
    /// Targets that this VM reaches through another one only.
    pub distant_targets: &'a [TargetKey],
    /// Random number that breaks ties, so that VMs don't all choose the same.
    pub random: u64,
}

/// Chosen target with the inputs of the choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Chosen target.
    pub key: TargetKey,
    /// Estimated number of requests that run or wait at the target.
    pub load: f64,
    /// Age of the target's newest load report; `None` without one.
    pub load_age_ms: Option<u64>,
    /// Requests that the target runs concurrently at most; at least 1.
    pub slots: f64,
    /// Whether the cost includes no prefill: the target probably has the prompt
    /// cached, or is one of the two at which the program may start.
    pub is_preferred: bool,
    /// Expected delay, by which the target was chosen.
    pub cost_ms: f64,
    /// Estimates of the target by which its delay was computed; `None` if its service
    /// has none.
    pub estimate: Option<CapacityEstimate>,
    /// Whether another target would have been chosen without the estimates.
    pub is_changed_by_estimate: bool,
}

/// Candidates of this VM's failure domain that are weighed against each other where
/// there are estimates, and of others. With more, VMs that know the same all choose the
/// same target: simulated with 12 VMs before 24 equal targets, four candidates took 1.08
/// of the best time and three took 1.04.
const LOCAL_CANDIDATES: usize = 3;
const REMOTE_CANDIDATES: usize = 2;

/// Range of the random part of the delay where there are estimates, as a share of the
/// service time. Smaller differences of speed are within the noise of the estimates.
const RANDOM_SHARE: f64 = 0.3;

/// Target with the smallest expected delay; `None` if no target of the service
/// accepts requests, is not excluded and may have room within its limit.
///
/// Ejected targets are used only if there is no other.
pub fn place(
    targets: &Targets,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    now_ms: u64,
) -> Option<Placement> {
    let usable = |(key, target): &(TargetKey, &Target)| {
        target.accepts_requests()
            && !request.excluded_targets.contains(key)
            && request
                .software
                .is_none_or(|software| target.software == software)
            && !(request.skips_limited && targets.is_limited(target))
            && targets.has_room(target, request.demand, now_ms)
    };
    let healthy = targets
        .of_service(request.service)
        .filter(usable)
        .filter(|(_, target)| !target.is_ejected(now_ms));
    let placement = min_cost(targets, settings, request, now_ms, healthy);
    placement.or_else(|| {
        let ejected = targets.of_service(request.service).filter(usable);
        min_cost(targets, settings, request, now_ms, ejected)
    })
}

fn min_cost<'a, I>(
    targets: &Targets,
    settings: &PlacementSettings,
    request: &PlacementRequest<'_>,
    now_ms: u64,
    candidates: I,
) -> Option<Placement>
where
    I: Iterator<Item = (TargetKey, &'a Target)>,
{
    let candidates: Vec<_> = candidates.collect();
    let preferred = preferred_targets(targets, &candidates, request);
    let costs = Costs {
        targets,
        settings,
        request,
        now_ms,
        preferred,
        service_ms: targets.service_ms(request.service),
    };
    let Some(estimates) = targets.service_estimates(request.service) else {
        let mean_load = mean_local_load(targets, &candidates, request, now_ms);
        return candidates
            .into_iter()
            .map(|(key, target)| {
                let load = costs.load(target, mean_load);
                costs.placement(key, target, load, None)
            })
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    };
    let sampled = costs.sample(&candidates);
    let weighed = sampled.into_iter().map(|(key, target, load)| {
        let estimate = targets.estimate_in(estimates, target, now_ms);
        let usual = CapacityEstimate {
            slowness: 1.0,
            capacity: f64::from(target.entry.slots.max(1)),
            age_ms: None,
        };
        let without = costs.placement(key, target, load, Some(usual));
        (
            costs.placement(key, target, load, Some(estimate)),
            without.cost_ms,
        )
    });
    let weighed: Vec<(Placement, f64)> = weighed.collect();
    let unchanged = weighed.iter().min_by(|a, b| a.1.total_cmp(&b.1))?.0.key;
    let chosen = weighed
        .into_iter()
        .map(|(placement, _)| placement)
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))?;
    Some(Placement {
        is_changed_by_estimate: chosen.key != unchanged,
        ..chosen
    })
}

/// Inputs of the expected delays of all candidates.
struct Costs<'a, 'r> {
    targets: &'a Targets,
    settings: &'a PlacementSettings,
    request: &'a PlacementRequest<'r>,
    now_ms: u64,
    preferred: [Option<TargetKey>; 2],
    service_ms: f64,
}

impl Costs<'_, '_> {
    fn is_local(&self, target: &Target) -> bool {
        target.entry.domain == self.request.domain
    }

    fn load(&self, target: &Target, mean_load: f64) -> f64 {
        let settings = &self.targets.settings;
        match self.is_local(target) {
            true => target.load(settings, self.now_ms),
            false => target.remote_load(settings, mean_load, self.now_ms),
        }
    }

    /// Preferred targets and some others at random, with their loads: those with a free
    /// slot, or any if there are none.
    fn sample<'t>(
        &self,
        candidates: &[(TargetKey, &'t Target)],
    ) -> Vec<(TargetKey, &'t Target, f64)> {
        let mut sampled = Vec::new();
        let mut full = Vec::new();
        let mut loads = (0.0, 0.0);
        for (is_local, count) in [(true, LOCAL_CANDIDATES), (false, REMOTE_CANDIDATES)] {
            let mean_load = loads.0 / f64::max(loads.1, 1.0);
            let mut left = count;
            for (key, target) in shuffled(candidates, self.request.random) {
                if self.is_local(target) != is_local {
                    continue;
                }
                let is_preferred = self.preferred.contains(&Some(key));
                if left == 0 && !is_preferred {
                    continue;
                }
                let load = self.load(target, mean_load);
                loads = (loads.0 + load, loads.1 + 1.0);
                if is_preferred {
                    sampled.push((key, target, load));
                } else if load + 1.0 <= f64::from(target.entry.slots.max(1)) {
                    sampled.push((key, target, load));
                    left -= 1;
                } else if full.len() < LOCAL_CANDIDATES {
                    full.push((key, target, load));
                }
            }
        }
        if sampled.is_empty() {
            return full;
        }
        sampled
    }

    fn placement(
        &self,
        key: TargetKey,
        target: &Target,
        load: f64,
        estimate: Option<CapacityEstimate>,
    ) -> Placement {
        let Costs {
            targets,
            settings,
            request,
            now_ms,
            preferred,
            service_ms,
        } = *self;
        let slots = f64::from(target.entry.slots.max(1));
        let is_preferred = preferred.contains(&Some(key));
        let mut cost_ms = load * settings.contention_ms;
        if preferred[1] == Some(key) {
            // Breaks the tie at equal load, so that all VMs choose the first
            // of the two preferred targets.
            cost_ms += settings.contention_ms;
        }
        let (slowness, places) = estimate.map_or((1.0, slots), |estimate| {
            (estimate.slowness, estimate.capacity)
        });
        cost_ms += (load + 1.0 - places).max(0.0) * slowness * service_ms / places;
        if targets.is_limited(target) {
            cost_ms += settings.permit_ms;
        }
        if request.distant_targets.contains(&key) {
            cost_ms += settings.distant_ms;
        }
        cost_ms += target.failure_rate() * settings.failure_ms;
        cost_ms += match estimate {
            Some(_) => (slowness - 1.0) * service_ms,
            None => targets.slowdown(target, now_ms) * service_ms,
        };
        let stalled_ms = target.stalled_ms(now_ms);
        cost_ms += stalled_ms.saturating_sub(settings.stall_ms) as f64;
        if !self.is_local(target) {
            cost_ms += settings.cross_domain_ms;
            if estimate.is_some() {
                // The random part alone moves no request to another domain.
                cost_ms += RANDOM_SHARE * service_ms;
            }
        }
        if !is_preferred {
            // The prefill delays all requests that run at the target.
            let prefill_ms =
                slowness * request.metadata.prompt_tokens as f64 / settings.prefill_tokens_per_ms;
            cost_ms += settings.prefill_weight * prefill_ms * (1.0 + load.min(slots));
        }
        let hash = hash64(&(target.hash ^ request.random).to_le_bytes());
        // Random part below 1 ms, so that it decides only between nearly
        // equal costs.
        cost_ms += (hash >> 40) as f64 / 2e7;
        if estimate.is_some() && !is_preferred {
            cost_ms += (hash >> 40) as f64 / (1_u64 << 24) as f64 * RANDOM_SHARE * service_ms;
        }
        Placement {
            key,
            load,
            load_age_ms: target.load_age_ms(now_ms),
            slots,
            is_preferred,
            cost_ms,
            estimate,
            is_changed_by_estimate: false,
        }
    }
}

/// Candidates in an order that depends on the random number, from a random one on.
fn shuffled<'c, 't>(
    candidates: &'c [(TargetKey, &'t Target)],
    random: u64,
) -> impl Iterator<Item = (TargetKey, &'t Target)> + 'c {
    let count = candidates.len().max(1);
    let start = random as usize % count;
    let mut stride = (random >> 32) as usize % count;
    while greatest_common_divisor(stride, count) != 1 {
        stride += 1;
    }
    (0..candidates.len()).map(move |index| candidates[(start + index * stride) % count])
}

fn greatest_common_divisor(a: usize, b: usize) -> usize {
    match b {
        0 => a,
        _ => greatest_common_divisor(b, a % b),
    }
}

/// Mean load of the candidates in the own failure domain.
fn mean_local_load(
    targets: &Targets,
    candidates: &[(TargetKey, &Target)],
    request: &PlacementRequest<'_>,
    now_ms: u64,
) -> f64 {
    let loads = candidates
        .iter()
        .filter(|(_, target)| target.entry.domain == request.domain)
        .map(|(_, target)| target.load(&targets.settings, now_ms));
    let (count, sum) = loads.fold((0.0, 0.0), |(count, sum), load| (count + 1.0, sum + load));
    sum / f64::max(count, 1.0)
}

/// Targets without a prefill cost: the session's last target, which has the
/// prompt cached. Without one, the two that rank first by rendezvous hashing of
/// the program, so that all VMs of a failure domain choose between the same two:
/// those without a limit, whose next calls need no permits, before others, and then
/// local ones.
fn preferred_targets(
    targets: &Targets,
    candidates: &[(TargetKey, &Target)],
    request: &PlacementRequest<'_>,
) -> [Option<TargetKey>; 2] {
    if request.metadata.prompt_parts.is_empty() {
        return [None; 2];
    }
    if let Some(last) = request.last_target {
        if candidates.iter().any(|(key, _)| *key == last) {
            return [Some(last), None];
        }
    }
    let seed = hash64(
        request
            .metadata
            .program
            .as_deref()
            .unwrap_or(request.metadata.affinity_key())
            .as_bytes(),
    );
    let rank = |target: &Target| {
        let is_local = target.entry.domain == request.domain;
        let is_unlimited = !targets.is_limited(target);
        (
            is_unlimited,
            is_local,
            hash64(&(target.hash ^ seed).to_le_bytes()),
        )
    };
    let mut preferred = [None; 2];
    for (key, target) in candidates {
        let ranked = Some((rank(target), *key));
        if ranked > preferred[0] {
            preferred = [ranked, preferred[0]];
        } else if ranked > preferred[1] {
            preferred[1] = ranked;
        }
    }
    preferred.map(|ranked| ranked.map(|(_, key)| key))
}
