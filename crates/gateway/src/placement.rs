//! Choice of a target for one request.

use lagoon_ids::hash64;

use crate::request_metadata::RequestMetadata;
use crate::targets::{Target, TargetKey, TargetStatus, Targets};

/// Weights of the choice, all in milliseconds of expected delay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Cost of a target in another failure domain: the way there and back,
    /// and the bytes.
    pub cross_domain_ms: f64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Times that the reading of a whole prompt counts: a line of calls that
    /// moves also takes memory from prompts that are kept, which are then read
    /// anew in their turn.
    pub prefill_weight: f64,
    /// Slowdown by each request that runs beside.
    pub contention_ms: f64,
    /// Cost of a target all of whose requests fail.
    pub failure_ms: f64,
    /// Silence of a target that has requests beyond which it counts as stuck;
    /// the rest of the silence is its cost.
    pub stall_ms: u64,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        PlacementSettings {
            cross_domain_ms: 4.0,
            prefill_tokens_per_ms: 102.0,
            // Where many callers come at once, targets recover from 3 on.
            prefill_weight: 3.0,
            contention_ms: 1.0,
            failure_ms: 2_000.0,
            stall_ms: 250,
        }
    }
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service.
    pub service: &'a str,
    /// Request.
    pub metadata: &'a RequestMetadata,
    /// Own failure domain.
    pub domain: &'a str,
    /// Target that served the line of calls last.
    pub last_target: Option<TargetKey>,
    /// Targets that failed this request.
    pub excluded_targets: &'a [TargetKey],
    /// Random number that breaks ties, so that VMs don't all pick the same.
    pub random: u64,
}

/// Chosen target with the inputs that decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Target.
    pub key: TargetKey,
    /// Expected requests there.
    pub load: f64,
    /// Age of the reported load.
    pub load_age_ms: Option<u64>,
    /// Requests that it runs at once.
    pub slots: f64,
    /// Whether it is believed to keep the prompt, or is one of those where the
    /// program may begin.
    pub is_preferred: bool,
    /// Expected delay.
    pub cost_ms: f64,
}

/// Target with the smallest expected delay; `None` if none may be used.
///
/// Targets that pause after failures are used only if there is no other.
pub fn place(
    targets: &Targets,
    settings: &PlacementSettings,
    ask: &PlacementRequest<'_>,
    now_ms: u64,
) -> Option<Placement> {
    let usable = |(key, target): &(TargetKey, &Target)| {
        target.entry.status == TargetStatus::Ready && !ask.excluded_targets.contains(key)
    };
    let sound = targets
        .of_service(ask.service)
        .filter(usable)
        .filter(|(_, target)| !target.is_ejected(now_ms));
    let choice = cheapest(targets, settings, ask, now_ms, sound);
    choice.or_else(|| {
        let paused = targets.of_service(ask.service).filter(usable);
        cheapest(targets, settings, ask, now_ms, paused)
    })
}

fn cheapest<'a, I>(
    targets: &Targets,
    settings: &PlacementSettings,
    ask: &PlacementRequest<'_>,
    now_ms: u64,
    candidates: I,
) -> Option<Placement>
where
    I: Iterator<Item = (TargetKey, &'a Target)>,
{
    let candidates: Vec<_> = candidates.collect();
    let homes = homes(&candidates, ask);
    let run_ms = targets.service_ms(ask.service);
    let usual = usual_load(targets, &candidates, ask, now_ms);
    candidates
        .into_iter()
        .map(|(key, target)| {
            let load = if target.entry.domain == ask.domain {
                target.load(&targets.settings, now_ms)
            } else {
                target.remote_load(&targets.settings, usual, now_ms)
            };
            let slots = f64::from(target.entry.slots.max(1));
            let is_home = homes.contains(&Some(key));
            let mut cost_ms = load * settings.contention_ms;
            if homes[1] == Some(key) {
                // Between equals all VMs choose the same.
                cost_ms += settings.contention_ms;
            }
            cost_ms += (load + 1.0 - slots).max(0.0) * run_ms / slots;
            cost_ms += target.failure_rate() * settings.failure_ms;
            cost_ms += targets.slowdown(target, now_ms) * run_ms;
            let silence_ms = target.stalled_ms(now_ms);
            cost_ms += silence_ms.saturating_sub(settings.stall_ms) as f64;
            if target.entry.domain != ask.domain {
                cost_ms += settings.cross_domain_ms;
            }
            if !is_home {
                // All requests that run there wait while a prompt is read.
                let prefill_ms = ask.metadata.prompt_tokens as f64 / settings.prefill_tokens_per_ms;
                cost_ms += settings.prefill_weight * prefill_ms * (1.0 + load.min(slots));
            }
            // Below one, so that it decides only between equals.
            cost_ms += (hash64(&(target.hash ^ ask.random).to_le_bytes()) >> 40) as f64 / 2e7;
            Placement {
                key,
                load,
                load_age_ms: target.load_age_ms(now_ms),
                slots,
                is_preferred: is_home,
                cost_ms,
            }
        })
        .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
}

/// Mean load of the candidates in the own failure domain.
fn usual_load(
    targets: &Targets,
    candidates: &[(TargetKey, &Target)],
    ask: &PlacementRequest<'_>,
    now_ms: u64,
) -> f64 {
    let near = candidates
        .iter()
        .filter(|(_, target)| target.entry.domain == ask.domain)
        .map(|(_, target)| target.load(&targets.settings, now_ms));
    let (count, sum) = near.fold((0.0, 0.0), |(count, sum), load| (count + 1.0, sum + load));
    sum / f64::max(count, 1.0)
}

/// Targets without a penalty for the prompt: the last one of the line, which
/// keeps it; else the two that every VM would choose between for the program.
fn homes(
    candidates: &[(TargetKey, &Target)],
    ask: &PlacementRequest<'_>,
) -> [Option<TargetKey>; 2] {
    if ask.metadata.prompt_parts.is_empty() {
        return [None; 2];
    }
    if let Some(last) = ask.last_target {
        if candidates.iter().any(|(key, _)| *key == last) {
            return [Some(last), None];
        }
    }
    let seed = hash64(
        ask.metadata
            .program
            .as_deref()
            .unwrap_or(ask.metadata.affinity_key())
            .as_bytes(),
    );
    let rank = |target: &Target| {
        let near = target.entry.domain == ask.domain;
        (near, hash64(&(target.hash ^ seed).to_le_bytes()))
    };
    let mut homes = [None; 2];
    for (key, target) in candidates {
        let ranked = Some((rank(target), *key));
        if ranked > homes[0] {
            homes = [ranked, homes[0]];
        } else if ranked > homes[1] {
            homes[1] = ranked;
        }
    }
    homes.map(|home| home.map(|(_, key)| key))
}
