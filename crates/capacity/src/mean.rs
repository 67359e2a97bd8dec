//! Averages of which old samples lose weight.

/// Number of samples beyond which the weight of a mean stops growing; the newest
/// sample then counts a sixteenth.
const MAX_WEIGHT: f64 = 15.0;

/// Mean whose weight decays with time, so that it falls back to a given prior.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DecayingMean {
    mean: f64,
    weight: f64,
    updated_ms: u64,
}

impl DecayingMean {
    pub(crate) fn weight(&self, half_life_ms: f64, now_ms: u64) -> f64 {
        if self.weight == 0.0 {
            return 0.0;
        }
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.weight * 0.5_f64.powf(age_ms / half_life_ms)
    }

    pub(crate) fn record(&mut self, value: f64, weight: f64, half_life_ms: f64, now_ms: u64) {
        let total = self.weight(half_life_ms, now_ms) + weight;
        self.mean += (value - self.mean) * weight / total;
        self.weight = total.min(MAX_WEIGHT);
        self.updated_ms = self.updated_ms.max(now_ms);
    }

    /// Estimate with a prior that counts as much as `prior_weight` samples.
    pub(crate) fn estimate(
        &self,
        prior: f64,
        prior_weight: f64,
        half_life_ms: f64,
        now_ms: u64,
    ) -> f64 {
        let weight = self.weight(half_life_ms, now_ms);
        (self.mean * weight + prior * prior_weight) / (weight + prior_weight)
    }

    /// Time of the newest sample; `None` before the first.
    pub(crate) fn updated_ms(&self) -> Option<u64> {
        (self.weight > 0.0).then_some(self.updated_ms)
    }
}

/// Smallest step of the median, as a logarithm of a ratio.
const MIN_STEP: f64 = 0.02;

/// Median of logarithms. Rare large samples don't move it further than small ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningMedian {
    value: f64,
    count: u32,
}

impl RunningMedian {
    pub(crate) fn record(&mut self, value: f64) {
        if self.count == 0 {
            self.value = value;
        }
        self.count = self.count.saturating_add(1);
        let step = (0.5 / f64::from(self.count)).max(MIN_STEP);
        let distance = value - self.value;
        self.value += distance.clamp(-step, step);
    }

    /// Median; `None` before the first sample.
    pub(crate) fn value(&self) -> Option<f64> {
        (self.count > 0).then_some(self.value)
    }
}
