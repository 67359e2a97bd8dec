//! Admission of new programs, which wait for a free slot at a target.

use std::time::Duration;

use hyper::Response;
use lagoon_gateway::{admit, Admission};
use lagoon_limits::Demand;
use rand::RngExt;
use tokio::time::sleep;

use crate::body::ResponseBody;
use crate::forward::ForwardedRequest;

/// Bounds of the random interval between two checks for a free slot. It is
/// random so that VMs don't all take the same slot.
const RECHECK_INTERVAL_MS: std::ops::Range<u64> = 15..45;

/// `Retry-After` of a new program for which no slot got free: nearly a third of
/// the time that callers wait for a model call.
const FULL_RETRY_AFTER_MS: u64 = 900;

impl ForwardedRequest {
    /// Waits until a target has a free slot for a new program; refuses the
    /// request after the maximum wait. All other requests pass at once, streams that
    /// are taken up among them.
    pub(super) async fn wait_for_admission(&mut self) -> Result<(), Box<Response<ResponseBody>>> {
        if !self.starts_program() {
            return Ok(());
        }
        let settings = self.state.admission_settings;
        self.demand = Demand::NewProgram {
            priority: self.priority(),
        };
        loop {
            let Some(placement) = self.evaluate_placement() else {
                return self.refuse_at_limits().map_or(Ok(()), Err);
            };
            let waited_ms = self.state.now_ms() - self.arrived_ms;
            match admit(&settings, &placement, waited_ms) {
                Admission::Admit => {
                    self.placement = Some(placement);
                    if self.obtain_permit(placement.key).await {
                        return Ok(());
                    }
                    continue;
                }
                Admission::Refuse => {
                    self.placement = Some(placement);
                    return Err(self.refuse("no place for a new program", FULL_RETRY_AFTER_MS));
                }
                Admission::Wait => {}
            }
            let interval_ms = rand::rng().random_range(RECHECK_INTERVAL_MS);
            sleep(Duration::from_millis(interval_ms)).await;
        }
    }

    /// Whether this is a model call that continues no kept turn, and of a program
    /// that is known neither from requests through this VM nor from gossip.
    fn starts_program(&self) -> bool {
        let is_known = || {
            self.state
                .affinity
                .borrow()
                .target_of(&self.metadata)
                .is_some()
        };
        let continues = self.metadata.previous_turn.is_some();
        let is_begun = self.software.is_some();
        self.metadata.model_call.is_some() && !continues && !is_begun && !is_known()
    }
}
