//! Speed and capacity of targets, estimated from time-stamped samples, without I/O.
//!
//! All ratios are kept as logarithms, so that a sample at twice and one at half of
//! the usual time cancel out. The logarithm of a time over its service's median is
//! modelled as a sum: speed of the target + what the target reports at present +
//! effect of the concurrent requests.

mod mean;
mod service;
mod target;
mod update;

pub use service::{Sample, SampleKind, ServiceEstimates};
pub use target::TargetEstimates;
pub use update::TargetSpeed;

/// Settings of the estimates: ageing, damping and objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySettings {
    /// Half-life of the weight of a reported figure.
    pub figure_half_life_ms: f64,
    /// Half-life of the weight of a target's samples.
    pub sample_half_life_ms: f64,
    /// Half-life of the weight of a service's samples of the effect of load.
    pub service_half_life_ms: f64,
    /// Maximum ratio of a request's time to that at a median idle target that the
    /// objective of callers allows.
    pub objective: f64,
    /// Smallest capacity as a share of the slots. Some requests always reach a target,
    /// as an estimate without samples would never be corrected.
    pub min_capacity_share: f64,
}

impl Default for CapacitySettings {
    fn default() -> Self {
        CapacitySettings {
            // Neighbours slow a target down for about 600 ms at a time.
            figure_half_life_ms: 400.0,
            // Several programs, so that a burst doesn't age out its own evidence.
            sample_half_life_ms: 20_000.0,
            service_half_life_ms: 60_000.0,
            // Middle of the 1.3 to 1.5 that programs' objectives allow.
            objective: 1.4,
            min_capacity_share: 0.3,
        }
    }
}
