//! Permits for requests to targets with limits: granted here, or requested from the
//! VM that grants them.

use std::cell::RefCell;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_gateway::TargetKey;
use lagoon_ids::FastMap;
use lagoon_limits::{
    Demand, Grantor, GrantorRank, LimitUpdate, PermitDecision, RunId, NO_GRANTOR_RETRY_MS,
    PERMIT_TIMEOUT_MS,
};
use serde::{Deserialize, Serialize};

use crate::state::DaemonState;

/// Time for which a VM that gave no reply isn't asked.
const NO_REPLY_BACKOFF_MS: u64 = 500;

/// Request for a permit to send one request to a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Run of the target.
    pub run: RunId,
    /// Failure domain of the target.
    pub domain: CompactString,
    /// What the permit is for.
    pub demand: Demand,
    /// What the sender knows of the limit.
    pub known: Option<LimitUpdate>,
}

/// Response to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitReply {
    /// What the receiver has decided.
    pub decision: PermitDecision,
    /// What the grantor knows of the limit.
    pub known: Option<LimitUpdate>,
}

/// No permit was granted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NoPermit {
    /// Time until one may be.
    pub(crate) retry_ms: u64,
}

/// This VM's part in granting permits.
#[derive(Default)]
pub(crate) struct Permits {
    grantor: RefCell<Grantor>,
    /// VMs that gave no reply, with the time until which they aren't asked.
    backoff_until_ms: RefCell<FastMap<CompactString, u64>>,
}

impl Permits {
    /// Drops state that is no longer used.
    pub(crate) fn remove_expired(&self, now_ms: u64) {
        self.grantor.borrow_mut().remove_idle(now_ms);
        let mut backoff_until_ms = self.backoff_until_ms.borrow_mut();
        backoff_until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }

    fn is_backed_off(&self, vm: &str, now_ms: u64) -> bool {
        let backoff_until_ms = self.backoff_until_ms.borrow();
        backoff_until_ms
            .get(vm)
            .is_some_and(|until_ms| now_ms < *until_ms)
    }
}

impl DaemonState {
    /// Names of the VMs that grant permits for a run of a target in `domain`: the
    /// primary, then the standby. None before the list of VMs was read, as this VM
    /// would take itself for the only one.
    fn grantors(&self, run: RunId, domain: &str) -> Vec<CompactString> {
        if !self.peer_client.is_listing_read() {
            return Vec::new();
        }
        let peers = self.peer_client.peers.borrow();
        let own = (peers.own_name().as_str(), peers.own_domain().as_str());
        let is_listed = self.registered.get() && !self.stopping.get();
        let vms = peers.entries().chain(is_listed.then_some(own));
        let names = lagoon_limits::grantors(run, domain, vms);
        names.into_iter().map(CompactString::from).collect()
    }

    /// Requests a permit for one request to a target with a limit. The error is the
    /// time until there may be one.
    pub(crate) async fn request_permit(
        &self,
        key: TargetKey,
        demand: Demand,
    ) -> Result<(), NoPermit> {
        let target = self.targets.borrow().get(key).map(|target| {
            let entry = &target.entry;
            (target.run, entry.domain.clone(), entry.id.clone())
        });
        // A target that was removed meanwhile gets no request.
        let Some((run, domain, target_id)) = target else {
            return Ok(());
        };
        let started_ms = self.now_ms();
        for vm in self.grantors(run, &domain) {
            let is_own = vm == *self.peer_client.peers.borrow().own_name();
            let decision = if is_own {
                Some(self.grant_permit(run, &domain, demand))
            } else {
                self.request_permit_from(&vm, run, &domain, demand).await
            };
            let outcome = decision.map_or_else(|| "no reply".to_owned(), |d| d.to_string());
            self.metrics.record_permit(&outcome);
            let waited_ms = self.now_ms() - started_ms;
            match decision {
                Some(PermitDecision::Granted | PermitDecision::NotLimited) => {
                    self.metrics.record_permit_wait(waited_ms);
                    return Ok(());
                }
                Some(PermitDecision::Refused { retry_ms }) => {
                    self.metrics.record_permit_wait(waited_ms);
                    return Err(NoPermit {
                        retry_ms: u64::from(retry_ms),
                    });
                }
                None | Some(PermitDecision::NotGrantor) => {
                    log::info!(target_id = target_id.as_str(), grantor = vm.as_str(), waited_ms; "no permit: {outcome}");
                }
            }
        }
        Err(NoPermit {
            retry_ms: NO_GRANTOR_RETRY_MS,
        })
    }

    /// Requests a permit from another VM; `None` if it isn't asked or doesn't reply.
    async fn request_permit_from(
        &self,
        vm: &str,
        run: RunId,
        domain: &CompactString,
        demand: Demand,
    ) -> Option<PermitDecision> {
        let now_ms = self.now_ms();
        if self.permits.is_backed_off(vm, now_ms) {
            return None;
        }
        let known = self.targets.borrow().limits.update(run, now_ms);
        let request = PermitRequest {
            run,
            domain: domain.clone(),
            demand,
            known,
        };
        let timeout = Duration::from_millis(PERMIT_TIMEOUT_MS);
        let reply = self.peer_client.request_permit(vm, request, timeout);
        let Some(reply) = reply.await else {
            let until_ms = self.now_ms() + NO_REPLY_BACKOFF_MS;
            let mut backoff_until_ms = self.permits.backoff_until_ms.borrow_mut();
            backoff_until_ms.insert(vm.into(), until_ms);
            return None;
        };
        self.apply_limits(reply.known.as_slice(), vm);
        Some(reply.decision)
    }

    /// Handles another VM's request for a permit.
    pub(crate) fn handle_permit_request(&self, request: &PermitRequest) -> PermitReply {
        self.apply_limits(request.known.as_slice(), "a request for a permit");
        let decision = self.grant_permit(request.run, &request.domain, request.demand);
        self.metrics
            .record_permit(&format!("{decision} for another VM"));
        let known = self
            .targets
            .borrow()
            .limits
            .update(request.run, self.now_ms());
        PermitReply { decision, known }
    }

    /// Decides as the grantor, if this VM is one.
    fn grant_permit(&self, run: RunId, domain: &str, demand: Demand) -> PermitDecision {
        let own_name = self.peer_client.peers.borrow().own_name().clone();
        let grantors = self.grantors(run, domain);
        let rank = match grantors.iter().position(|vm| *vm == own_name) {
            Some(0) => GrantorRank::Primary,
            Some(_) => GrantorRank::Standby,
            None => return PermitDecision::NotGrantor,
        };
        let Some(limit_per_s) = self.targets.borrow().limits.limit(run) else {
            return PermitDecision::NotLimited;
        };
        let mut grantor = self.permits.grantor.borrow_mut();
        let now_ms = self.now_ms();
        let decision = grantor.decide(run, limit_per_s, rank, demand, now_ms);
        if decision == PermitDecision::Granted && rank == GrantorRank::Standby {
            log::info!(run = format!("{:016x}", run.0), limit_per_s; "permit granted as standby");
        }
        decision
    }

    /// Applies what another VM knows of limits; `source` names it in the log.
    pub(crate) fn apply_limits(&self, updates: &[LimitUpdate], source: &str) {
        let now_ms = self.now_ms();
        let mut targets = self.targets.borrow_mut();
        let mut has_changed = false;
        for update in updates {
            let Some(change) = targets.limits.apply_update(update, now_ms) else {
                continue;
            };
            has_changed = true;
            log::info!(
                run = format!("{:016x}", update.run.0),
                target_id = targets.id_of_run(update.run).map_or("-", |id| id.as_str()),
                change = change.to_string(),
                limit_per_s = update.per_s.unwrap_or(-1.0),
                age_ms = update.received_age_ms,
                source;
                "limit of a target, from another VM"
            );
        }
        if has_changed {
            self.metrics.set_limited_targets(targets.limited_count());
        }
    }
}
