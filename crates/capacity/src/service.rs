//! Estimates that the targets of a service share.

use crate::mean::{DecayingMean, RunningMedian};
use crate::{CapacitySettings, TargetEstimates};

/// Steps of load, each an eighth of a target's slots.
pub(crate) const LOAD_STEPS: usize = 8;

/// Steps up to which load is taken to have no effect.
const LOW_LOAD_STEPS: usize = 3;

/// Weight of the newest figure in the mean of the service.
const FIGURE_WEIGHT: f64 = 0.01;

/// Kinds of samples for which medians are kept; further ones are not used. Bounds the
/// memory for services with very many routes.
const MAX_KINDS: usize = 64;

/// Samples of any load that a median takes until it has some at low load.
const FIRST_SAMPLES: u32 = 8;

/// Maximum logarithm of the ratio by which one sample may differ from what is expected.
/// Bounds the effect of a request that is far longer than others of its size.
const MAX_SURPRISE: f64 = 1.1;

/// Samples of the prior that load has no effect.
const PRIOR_WEIGHT: f64 = 4.0;

/// What was measured. Times of different kinds are compared with the median of their
/// own kind only.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SampleKind {
    /// Time from sending a request to its whole response.
    Response {
        /// Kind of the request, for instance a hash of its route.
        kind: u32,
        /// Size of the request.
        bytes: u64,
    },
    /// Time between two events of a stream.
    EventInterval,
}

impl SampleKind {
    /// Kind and class of size, of which each is four times the one before.
    fn class(self) -> (u32, u8) {
        match self {
            SampleKind::Response { kind, bytes } => {
                let class = (u64::BITS - (bytes / 64).leading_zeros()).div_ceil(2);
                (kind, class as u8)
            }
            SampleKind::EventInterval => (0, u8::MAX),
        }
    }
}

/// Measured time of one request, or of one event of its stream.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// What was measured.
    pub kind: SampleKind,
    /// The time that it took.
    pub took_ms: f64,
    /// Concurrent requests at the target over its slots.
    pub load_share: f64,
    /// Whether the request was executed. The time of a failure says nothing of the
    /// target's speed.
    pub is_success: bool,
}

#[derive(Clone, Copy, Debug)]
struct Median {
    class: (u32, u8),
    median: RunningMedian,
    first_samples: u32,
}

/// Estimates of a service: times at a median idle target, and the effect of load.
#[derive(Clone, Debug, Default)]
pub struct ServiceEstimates {
    pub(crate) usual_figure: f64,
    figures: u32,
    medians: Vec<Median>,
    load_effects: [DecayingMean; LOAD_STEPS],
}

fn load_step(load_share: f64) -> usize {
    // A target with all slots taken is in the last step.
    let step = (load_share * LOAD_STEPS as f64 - 1e-6).max(0.0) as usize;
    step.min(LOAD_STEPS - 1)
}

impl ServiceEstimates {
    pub(crate) fn record_figure(&mut self, ln: f64) {
        self.figures = self.figures.saturating_add(1);
        let weight = (1.0 / f64::from(self.figures)).max(FIGURE_WEIGHT);
        self.usual_figure += (ln - self.usual_figure) * weight;
    }

    /// Logarithm of the time at a median idle target, with this sample; `None` for a
    /// kind too many.
    fn median_ln(&mut self, class: (u32, u8), took_ln: f64, step: usize) -> Option<f64> {
        let index = self.medians.iter().position(|median| median.class == class);
        let index = match index {
            Some(index) => index,
            None if self.medians.len() == MAX_KINDS => return None,
            None => {
                self.medians.push(Median {
                    class,
                    median: RunningMedian::default(),
                    first_samples: 0,
                });
                self.medians.len() - 1
            }
        };
        let median = &mut self.medians[index];
        let is_first = median.first_samples < FIRST_SAMPLES;
        if step <= LOW_LOAD_STEPS || is_first {
            median.first_samples = median.first_samples.saturating_add(1);
            median.median.record(took_ln);
        }
        median.median.value()
    }

    fn service_load_effect(&self, settings: &CapacitySettings, step: usize, now_ms: u64) -> f64 {
        let half_life_ms = settings.service_half_life_ms;
        self.load_effects[step].estimate(0.0, PRIOR_WEIGHT, half_life_ms, now_ms)
    }

    /// Logarithm of the ratio by which load slows a target down, without steps at which
    /// it is known to be slower already at a lower load.
    fn load_effect(
        &self,
        settings: &CapacitySettings,
        target: &TargetEstimates,
        step: usize,
        now_ms: u64,
    ) -> f64 {
        if step <= LOW_LOAD_STEPS {
            return 0.0;
        }
        self.service_load_effect(settings, step, now_ms)
            + target.load_effect(settings, step, now_ms)
    }

    /// Records a sample of a target. A failure, a time that can't be one, and one that may
    /// include a wait for a slot are left out.
    pub fn record(
        &mut self,
        settings: &CapacitySettings,
        target: &mut TargetEstimates,
        sample: &Sample,
        now_ms: u64,
    ) {
        let is_valid = sample.is_success && sample.took_ms.is_finite() && sample.took_ms >= 0.0;
        if !is_valid || sample.load_share > 1.0 {
            return;
        }
        // Times are whole milliseconds.
        let took_ln = sample.took_ms.max(0.5).ln();
        let step = load_step(sample.load_share);
        let Some(median_ln) = self.median_ln(sample.kind.class(), took_ln, step) else {
            return;
        };
        let effect = self.load_effect(settings, target, step, now_ms);
        let slowness = target.slowness_ln(settings, self, now_ms);
        let surprise = (took_ln - median_ln - effect - slowness).clamp(-MAX_SURPRISE, MAX_SURPRISE);
        if step > LOW_LOAD_STEPS {
            // The service learns what its targets have in common, the target the rest.
            let common = self.service_load_effect(settings, step, now_ms);
            let half_life_ms = settings.service_half_life_ms;
            self.load_effects[step].record(common + surprise, 0.25, half_life_ms, now_ms);
            let own = target.load_effect(settings, step, now_ms);
            let half_life_ms = settings.sample_half_life_ms;
            target.load_effects[step].record(own + surprise, 1.0, half_life_ms, now_ms);
        }
        let measured_ln = slowness + surprise;
        // Under load, the sample says more of the effect of load than of the speed.
        let weight = if step > LOW_LOAD_STEPS { 0.2 } else { 1.0 };
        let rest_ln = target.record_measured(settings, self, measured_ln, weight, now_ms);
        if step <= LOW_LOAD_STEPS {
            target.add_unsent(rest_ln);
        }
    }

    /// Share of a target's slots up to which load alone keeps its times within the
    /// objective, interpolated between steps.
    fn knee_share(
        &self,
        settings: &CapacitySettings,
        target: &TargetEstimates,
        now_ms: u64,
    ) -> f64 {
        let objective_ln = settings.objective.ln();
        let mut previous = 0.0;
        for step in 0..LOAD_STEPS {
            let effect = self.load_effect(settings, target, step, now_ms);
            if effect > objective_ln {
                let within = (objective_ln - previous) / (effect - previous);
                // Effects are those in the middle of their steps.
                return ((step as f64 - 0.5 + within) / LOAD_STEPS as f64).max(0.0);
            }
            previous = f64::max(previous, effect);
        }
        1.0
    }

    /// Concurrent requests up to which a target's times stay within the objective of
    /// callers. A target that is slow even at low load can't meet it; it has places in
    /// inverse ratio to its slowness.
    pub fn capacity(
        &self,
        settings: &CapacitySettings,
        target: &TargetEstimates,
        slots: f64,
        now_ms: u64,
    ) -> f64 {
        let slowness = target.slowness(settings, self, now_ms);
        let share = self.knee_share(settings, target, now_ms);
        let share = share * (settings.objective / slowness).min(1.0);
        (slots * share.clamp(settings.min_capacity_share, 1.0)).max(1.0)
    }

    /// Ratio by which concurrent requests slow a target down.
    pub fn load_ratio(
        &self,
        settings: &CapacitySettings,
        target: &TargetEstimates,
        load_share: f64,
        now_ms: u64,
    ) -> f64 {
        let step = load_step(load_share);
        self.load_effect(settings, target, step, now_ms)
            .max(0.0)
            .exp()
    }
}
