//! Wait of new programs for a place.

use std::time::Duration;

use hyper::Response;
use lagoon_gateway::{admit, Admission};
use rand::RngExt;
use tokio::time::sleep;

use crate::body::ReplyBody;
use crate::forward::Call;

/// Bounds of the pause between two looks for a place; random, so that VMs
/// don't all take the same one.
const LOOK_PERIOD_MS: std::ops::Range<u64> = 15..45;

/// Time to come back after there was no place; most of a third of the time
/// that callers wait for a model call.
const FULL_RETRY_MS: u64 = 900;

impl Call {
    /// Waits until a new program may begin; others go on at once.
    pub(super) async fn wait_for_place(&mut self) -> Result<(), Box<Response<ReplyBody>>> {
        if !self.begins_program() {
            return Ok(());
        }
        let settings = self.shared.admission;
        loop {
            let Some(choice) = self.place() else {
                return Ok(());
            };
            let waited_ms = self.shared.now_ms() - self.arrived_ms;
            match admit(&settings, &choice, waited_ms) {
                Admission::Admit => return Ok(()),
                Admission::Refuse => {
                    self.choice = Some(choice);
                    return Err(self.refuse("no place for a new program", FULL_RETRY_MS));
                }
                Admission::Wait => {}
            }
            let pause_ms = rand::rng().random_range(LOOK_PERIOD_MS);
            sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Whether this is a model call of a program that no VM told of.
    fn begins_program(&self) -> bool {
        let is_known = || self.shared.lines.borrow().target_of(&self.facts).is_some();
        self.facts.model_call.is_some() && !is_known()
    }
}
