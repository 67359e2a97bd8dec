//! Estimates of one target.

use crate::mean::DecayingMean;
use crate::service::LOAD_STEPS;
use crate::update::TargetSpeed;
use crate::{CapacitySettings, ServiceEstimates};

/// Range of a figure that is believed, in percent.
const FIGURE_RANGE: std::ops::RangeInclusive<u32> = 20..=1_000;

/// Samples that the service's mean counts as in the estimates of a target.
const PRIOR_WEIGHT: f64 = 3.0;

/// Weight of the assumption that figures are true, in the units of the variance of
/// their logarithms. A neighbour that slows a target down by 2.5 for 15% of the time
/// has a variance of 0.1 a sample.
const TRUST_PRIOR: f64 = 0.3;

/// Share of the evidence on whether figures are true that remains after each sample.
const TRUST_DECAY: f64 = 0.97;

/// A report counts as new only if it is later than the known one by more than this.
/// Another VM may send back a report that it got from this one, with a time that
/// differs slightly, as it is computed from the report's age.
const SAME_REPORT_MS: u64 = 5;

#[derive(Clone, Copy, Debug)]
struct Figure {
    ln: f64,
    at_ms: u64,
    is_sent: bool,
}

impl Figure {
    fn deviation(&self, settings: &CapacitySettings, usual: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let weight = 0.5_f64.powf(age_ms / settings.figure_half_life_ms);
        (self.ln - usual) * weight
    }
}

/// Measured samples since the last update for other VMs.
#[derive(Clone, Copy, Debug, Default)]
struct Unsent {
    sum_ln: f64,
    count: u8,
}

/// Estimates of the speed and capacity of one target. Those of a new target are the
/// means of its service.
#[derive(Clone, Debug, Default)]
pub struct TargetEstimates {
    figure: Option<Figure>,
    /// Figure before the newest, as it was known when a request was sent whose response
    /// brought the newest.
    previous_figure: Option<Figure>,
    usual_figure: DecayingMean,
    /// Part of the measured time that the figure doesn't explain.
    pub(crate) speed: DecayingMean,
    /// Effect of load beyond that at other targets of the service.
    pub(crate) load_effects: [DecayingMean; LOAD_STEPS],
    /// Sums from which the share of the figure that agrees with measured times is
    /// computed: of squares of figures, and of their products with those times.
    figure_squares: f64,
    figure_products: f64,
    unsent: Unsent,
}

impl TargetEstimates {
    /// Records the figure of a report that was made at `at_ms`: how long work takes,
    /// in percent of the usual. Returns whether it is newer than the known one.
    pub fn record_figure(
        &mut self,
        settings: &CapacitySettings,
        service: &mut ServiceEstimates,
        percent: u32,
        at_ms: u64,
    ) -> bool {
        let known = self.figure.map(|figure| figure.at_ms);
        if known.is_some_and(|known_ms| at_ms <= known_ms + SAME_REPORT_MS) {
            return false;
        }
        let percent = percent.clamp(*FIGURE_RANGE.start(), *FIGURE_RANGE.end());
        let ln = (f64::from(percent) / 100.0).ln();
        self.previous_figure = self.figure;
        self.figure = Some(Figure {
            ln,
            at_ms,
            is_sent: false,
        });
        self.usual_figure
            .record(ln, 1.0, settings.sample_half_life_ms, at_ms);
        service.record_figure(ln);
        true
    }

    fn usual_figure(
        &self,
        settings: &CapacitySettings,
        service: &ServiceEstimates,
        now_ms: u64,
    ) -> f64 {
        let half_life_ms = settings.sample_half_life_ms;
        self.usual_figure
            .estimate(service.usual_figure, PRIOR_WEIGHT, half_life_ms, now_ms)
    }

    /// Deviation of the figure from the usual one, as far as it is still recent.
    fn figure_deviation(&self, settings: &CapacitySettings, usual: f64, now_ms: u64) -> f64 {
        let figure = self.figure;
        figure.map_or(0.0, |figure| figure.deviation(settings, usual, now_ms))
    }

    /// Share of the figure's deviation that measured times confirm, 0 to 1.
    fn trust(&self) -> f64 {
        let share = (self.figure_products + TRUST_PRIOR) / (self.figure_squares + TRUST_PRIOR);
        share.clamp(0.0, 1.0)
    }

    /// Records the logarithm of a measured time over that of a median idle target,
    /// without the effect of load. Returns the part of it that the figure doesn't
    /// explain.
    pub(crate) fn record_measured(
        &mut self,
        settings: &CapacitySettings,
        service: &ServiceEstimates,
        measured_ln: f64,
        weight: f64,
        now_ms: u64,
    ) -> f64 {
        let usual = self.usual_figure(settings, service, now_ms);
        let deviation = self.figure_deviation(settings, usual, now_ms);
        let rest = measured_ln - usual - self.trust() * deviation;
        let speed = self.speed(settings, now_ms);
        let unexplained = measured_ln - usual - speed;
        // What counts is whether figures predict the times of later requests: those of
        // a service with many VMs may be too old for it when they get here.
        let known = self.previous_figure;
        let known = known.map_or(0.0, |figure| figure.deviation(settings, usual, now_ms));
        self.figure_squares = self.figure_squares * TRUST_DECAY + known * known;
        self.figure_products = self.figure_products * TRUST_DECAY + known * unexplained;
        self.speed
            .record(rest, weight, settings.sample_half_life_ms, now_ms);
        rest
    }

    pub(crate) fn speed(&self, settings: &CapacitySettings, now_ms: u64) -> f64 {
        self.speed
            .estimate(0.0, PRIOR_WEIGHT, settings.sample_half_life_ms, now_ms)
    }

    pub(crate) fn load_effect(&self, settings: &CapacitySettings, step: usize, now_ms: u64) -> f64 {
        let effect = &self.load_effects[step];
        effect.estimate(0.0, PRIOR_WEIGHT, settings.sample_half_life_ms, now_ms)
    }

    /// Present time of a request at low load, over that of a median idle target of the
    /// service.
    pub fn slowness(
        &self,
        settings: &CapacitySettings,
        service: &ServiceEstimates,
        now_ms: u64,
    ) -> f64 {
        self.slowness_ln(settings, service, now_ms).exp()
    }

    pub(crate) fn slowness_ln(
        &self,
        settings: &CapacitySettings,
        service: &ServiceEstimates,
        now_ms: u64,
    ) -> f64 {
        let usual = self.usual_figure(settings, service, now_ms);
        let deviation = self.figure_deviation(settings, usual, now_ms);
        self.speed(settings, now_ms) + usual + self.trust() * deviation
    }

    /// Age of the newest figure or measured sample; `None` without one.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let figure_ms = self.figure.map(|figure| figure.at_ms);
        let newest_ms = figure_ms.max(self.speed.updated_ms())?;
        Some(now_ms.saturating_sub(newest_ms))
    }

    pub(crate) fn add_unsent(&mut self, rest_ln: f64) {
        if self.unsent.count < u8::MAX {
            self.unsent.sum_ln += rest_ln;
            self.unsent.count += 1;
        }
    }

    /// Whether there is something that was not sent to other VMs.
    pub fn has_news(&self) -> bool {
        self.unsent.count > 0 || self.figure.is_some_and(|figure| !figure.is_sent)
    }

    /// Update for other VMs, with what is new since the last call.
    pub fn take_update(&mut self, target: u32, now_ms: u64) -> TargetSpeed {
        let figure = self.figure.as_mut().filter(|figure| !figure.is_sent);
        let figure = figure.map(|figure| {
            figure.is_sent = true;
            let age_ms = now_ms.saturating_sub(figure.at_ms);
            (percent(figure.ln), age_ms.min(u64::from(u16::MAX)) as u16)
        });
        let unsent = std::mem::take(&mut self.unsent);
        let measured = (unsent.count > 0).then(|| {
            let mean_ln = unsent.sum_ln / f64::from(unsent.count);
            (percent(mean_ln), unsent.count)
        });
        TargetSpeed {
            target,
            figure,
            measured,
        }
    }

    /// Applies the update of another VM.
    pub fn apply_update(
        &mut self,
        settings: &CapacitySettings,
        service: &mut ServiceEstimates,
        update: &TargetSpeed,
        now_ms: u64,
    ) {
        if let Some((percent, age_ms)) = update.figure.filter(|(percent, _)| *percent > 0) {
            let at_ms = now_ms.saturating_sub(u64::from(age_ms));
            let is_news = self.record_figure(settings, service, u32::from(percent), at_ms);
            if let Some(figure) = self.figure.as_mut().filter(|_| is_news) {
                // Passed on by the VM that got it only, so that updates stay as few as
                // responses.
                figure.is_sent = true;
            }
        }
        if let Some((percent, count)) = update.measured.filter(|(percent, _)| *percent > 0) {
            let speed_ln = (f64::from(percent) / 100.0).ln();
            // Samples of one VM within a gossip period were taken at the same time.
            let weight = f64::from(count).sqrt();
            self.speed
                .record(speed_ln, weight, settings.sample_half_life_ms, now_ms);
        }
    }
}

fn percent(ln: f64) -> u16 {
    (ln.exp() * 100.0).round().clamp(1.0, f64::from(u16::MAX)) as u16
}
