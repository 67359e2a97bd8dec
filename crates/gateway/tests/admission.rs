//! Admission of new programs.

use lagoon_gateway::{admit, Admission, AdmissionSettings, Placement, TargetKey};
use yare::parameterized;

fn placement(load: f64) -> Placement {
    Placement {
        key: TargetKey::default(),
        load,
        load_age_ms: None,
        slots: 10.0,
        is_preferred: true,
        cost_ms: 0.0,
        estimate: None,
        is_changed_by_estimate: false,
    }
}

#[parameterized(
    slot_free = { 8.9, 0, Admission::Admit },
    slot_free_after_a_wait = { 8.9, 200, Admission::Admit },
    full = { 9.0, 0, Admission::Wait },
    full_shortly_before_the_maximum_wait = { 12.0, 119, Admission::Wait },
    full_until_the_maximum_wait = { 9.0, 120, Admission::Refuse },
)]
fn admit_new_program(load: f64, waited_ms: u64, expected: Admission) {
    let settings = AdmissionSettings::default();
    assert_eq!(admit(&settings, &placement(load), waited_ms), expected);
}
