//! Admission of new programs, which wait for a free slot at a target.

use std::rc::Rc;
use std::time::Duration;

use hyper::Response;
use lagoon_gateway::{admit, Admission, NewProgram, Placement, ProgramDecision, TargetKey, Ticket};
use lagoon_ids::hash64;
use lagoon_limits::Demand;
use rand::RngExt;
use tokio::time::sleep;

use crate::body::ResponseBody;
use crate::forward::ForwardedRequest;
use crate::state::DaemonState;

/// Bounds of the random interval between two checks for a free slot. It is
/// random so that VMs don't all take the same slot.
const RECHECK_INTERVAL_MS: std::ops::Range<u64> = 15..45;

/// `Retry-After` of a new program for which no slot got free: nearly a third of
/// the time that callers wait for a model call.
const FULL_RETRY_AFTER_MS: u64 = 900;

/// Further targets that are looked at for a new program if the first has no place.
const MAX_ALTERNATIVES: usize = 2;

/// New program that waits for a place, until it is dropped.
struct WaitingProgram {
    state: Rc<DaemonState>,
    program: NewProgram,
    ticket: Ticket,
}

impl WaitingProgram {
    fn enter(request: &ForwardedRequest) -> WaitingProgram {
        let state = Rc::clone(&request.state);
        let name = request.metadata.program.as_deref().unwrap_or_default();
        let account = request.account();
        let program = NewProgram {
            program: hash64(name.as_bytes()),
            account: account.map_or(0, |account| account.hash as u32),
            priority: request.priority(),
            service: hash64(request.service.as_bytes()),
            random: rand::rng().random(),
            spread: rand::rng().random(),
        };
        let now_ms = state.now_ms();
        let ticket = state.admission.borrow_mut().enter(program, now_ms);
        WaitingProgram {
            state,
            program,
            ticket,
        }
    }
}

impl Drop for WaitingProgram {
    fn drop(&mut self) {
        self.state.admission.borrow_mut().leave(self.ticket);
    }
}

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
        let waiting = WaitingProgram::enter(self);
        loop {
            let Some(placement) = self.evaluate_placement() else {
                return self.refuse_at_limits().map_or(Ok(()), Err);
            };
            if placement.estimate.is_some() || self.has_accounts() {
                match self.admit_by_capacity(&waiting, placement) {
                    Ok(key) => {
                        if self.obtain_permit(key).await {
                            return Ok(());
                        }
                    }
                    Err(ProgramDecision::Refuse { retry_after_ms }) => {
                        return Err(self.refuse("no place for a new program", retry_after_ms));
                    }
                    Err(ProgramDecision::Wait) => {
                        let interval_ms = rand::rng().random_range(RECHECK_INTERVAL_MS);
                        sleep(Duration::from_millis(interval_ms)).await;
                    }
                }
                continue;
            }
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

    fn has_accounts(&self) -> bool {
        let config = self.state.config.borrow();
        config
            .as_ref()
            .is_some_and(|config| config.accounts.is_some())
    }

    /// Admits a new program and records its placement, or decides how it goes on. If the
    /// target has no place and there are estimates, other targets are looked at; a new
    /// program needs a prefill at any.
    fn admit_by_capacity(
        &mut self,
        waiting: &WaitingProgram,
        placement: Placement,
    ) -> Result<TargetKey, ProgramDecision> {
        let state = Rc::clone(&self.state);
        let now_ms = state.now_ms();
        let mut admission = state.admission.borrow_mut();
        self.placement = Some(placement);
        let missing = match admission.try_admit(waiting.ticket, &placement, now_ms) {
            Ok(()) => return Ok(placement.key),
            Err(missing) => missing,
        };
        let excluded = self.excluded_targets.len();
        let alternatives = placement.estimate.map_or(0, |_| MAX_ALTERNATIVES);
        let mut full = placement.key;
        for _ in 0..alternatives {
            self.excluded_targets.push(full);
            let Some(other) = self.evaluate_placement() else {
                break;
            };
            if admission.try_admit(waiting.ticket, &other, now_ms).is_ok() {
                // The full targets stay excluded, so that the attempt goes to this one.
                self.placement = Some(other);
                return Ok(other.key);
            }
            full = other.key;
        }
        self.excluded_targets.truncate(excluded);
        let service_ms = state.targets.borrow().service_ms(&self.service);
        Err(admission.decide_wait(
            &state.admission_settings,
            &waiting.program,
            (&placement, missing),
            service_ms,
            now_ms - self.arrived_ms,
            now_ms,
        ))
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
