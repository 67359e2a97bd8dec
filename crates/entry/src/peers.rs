//! Client of the other entry VMs.
//!
//! A VM that can't reach the store relays its writes through another VM. If no
//! other VM reaches the store either, the VM requests tokens that others hold,
//! and then an allowance from the VM that holds it for the program.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use http_body_util::{BodyExt, Limited};
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use lagoon_gateway::{
    classify_connectivity, AllowanceRecord, AllowanceRequest, AllowanceSettlement, Connectivity,
    PassedAllowance, PeerOutcome, PeerProbe, Peers, ProgramKey, ReserveRequest, StoreCall,
    StoreError,
};
use lagoon_ids::FastMap;
use lagoon_limits::RunId;
use lagoon_quotas::{QuotaDecision, Reservation};
use lagoon_streams::{OriginAnswer, StreamId};
use lagoon_turns::{CopyReply, TurnId};
use rand::RngExt;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::body::RequestBody;
use crate::clock::Clock;
use crate::connection::{Connection, ExchangeError};
use crate::evidence::FreshnessReply;
use crate::message::{
    PeerMessage, StoreResult, TurnReply, MAX_MESSAGE_BYTES, MESSAGE_PATH, NOT_UNDERSTOOD,
};
use crate::paths::TargetReach;
use crate::permits::{PermitReply, PermitRequest};
use crate::quotas::{QuotaRequest, ReservationRequest, TransferRequest};

/// Maximum number of VMs that one store call is relayed to.
const MAX_RELAYS: usize = 4;

/// Maximum number of VMs that are asked for held tokens for one call.
const MAX_HOLDERS: usize = 12;

/// Maximum number of VMs that are asked for what a call left unused there, before a call
/// is refused.
const MAX_UNUSED_HOLDERS: usize = 3;

const MAX_PROBES_PER_DOMAIN: usize = 4;

/// Delay before a store call that has no reply yet is sent to one more VM.
const RELAY_STAGGER: Duration = Duration::from_millis(40);

/// Timeout of a message whose handling may involve the store or further VMs.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a message that the other VM handles by itself.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(120);

/// Maximum time that a call waits for an allowance, its last resort without the store.
const ALLOWANCE_TIMEOUT: Duration = Duration::from_millis(600);

/// Time after which a request for tokens is given up; until then, those of a late reply
/// are returned.
const LATE_GRANT_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a request for surplus tokens: some round trips between failure
/// domains. After that, a charge in the store is as fast.
const SURPLUS_TIMEOUT: Duration = Duration::from_millis(30);

/// Idle connections kept per VM.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Reason why a message has no response.
#[derive(Debug, Error)]
enum MessageError {
    /// No byte of it was sent, or the VM didn't take it: it was not executed.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The VM doesn't know this message, as its build is older: it was not executed.
    #[error("not understood: {0}")]
    NotUnderstood(String),
    /// It was sent at least in part, so it may have been executed.
    #[error("interrupted: {0}")]
    Interrupted(String),
}

impl From<ExchangeError> for MessageError {
    fn from(error: ExchangeError) -> MessageError {
        match error {
            ExchangeError::NotSent(detail) => MessageError::NotSent(detail),
            ExchangeError::Interrupted(detail) | ExchangeError::Invalid(detail) => {
                MessageError::Interrupted(detail)
            }
        }
    }
}

/// Client of the other entry VMs.
pub(crate) struct PeerClient {
    clock: Clock,
    pub(crate) peers: RefCell<Peers>,
    idle: RefCell<FastMap<SocketAddr, Vec<Connection>>>,
    /// Number of periodic probes so far; selects the VM that is probed next.
    next_probe: Cell<usize>,
    /// Time at which the list of VMs was last known to be current; `None` before
    /// it was read.
    listing_read_ms: Cell<Option<u64>>,
}

impl PeerClient {
    pub(crate) fn new(clock: Clock, peers: Peers) -> PeerClient {
        PeerClient {
            clock,
            peers: RefCell::new(peers),
            idle: RefCell::default(),
            next_probe: Cell::new(0),
            listing_read_ms: Cell::new(None),
        }
    }

    /// Has other VMs execute a store call and returns the first reply; `None`
    /// if none of them can have executed it. All get the same conditional
    /// write, so it is applied at most once.
    pub(crate) async fn relay_store_call(&self, call: &StoreCall) -> Option<StoreResult> {
        let message = PeerMessage::ExecuteStoreCall(call.clone());
        let random = rand::rng().random();
        let now_ms = self.clock.now_ms();
        let candidates = {
            let peers = self.peers.borrow();
            let mut candidates = peers.candidates(usize::MAX, random, now_ms);
            candidates.retain(|(name, _)| !peers.lacks_protocol(name, message.protocol(), now_ms));
            candidates
        };
        let mut requests: FuturesUnordered<_> = candidates
            .into_iter()
            .take(MAX_RELAYS)
            .zip(0..)
            .map(|(candidate, position)| {
                let message = &message;
                async move {
                    sleep(RELAY_STAGGER * position).await;
                    self.relay_to(candidate, message).await
                }
            })
            .collect();
        let mut no_reply = None;
        while let Some(result) = requests.next().await {
            match result {
                Some(Ok(reply)) => return Some(Ok(reply)),
                Some(Err(error @ StoreError::NoReply(_))) => no_reply = Some(Err(error)),
                Some(Err(_)) | None => {}
            }
        }
        no_reply
    }

    async fn relay_to(
        &self,
        (name, address): (CompactString, SocketAddr),
        message: &PeerMessage,
    ) -> Option<StoreResult> {
        let response = self.request(&name, address, message, PEER_TIMEOUT).await;
        let result = match response {
            Ok(result) => result,
            // The VM may still execute the call.
            Err(MessageError::Interrupted(detail)) => Err(StoreError::NoReply(detail.into())),
            Err(MessageError::NotSent(_) | MessageError::NotUnderstood(_)) => return None,
        };
        if result.is_err() {
            let now_ms = self.clock.now_ms();
            let mut peers = self.peers.borrow_mut();
            peers.record_outcome(&name, PeerOutcome::Declined, now_ms);
        }
        Some(result)
    }

    /// Requests tokens that another VM holds for a program. The `writers`,
    /// which hold some by the program's row, are asked first. Returns whether a
    /// VM transferred them.
    pub(crate) async fn request_held_tokens(
        &self,
        program: &ProgramKey,
        tokens: u64,
        writers: &[CompactString],
    ) -> bool {
        let message = PeerMessage::TakeHeldTokens {
            program: program.0.clone(),
            tokens,
        };
        let now_ms = self.clock.now_ms();
        let holders = self
            .peers
            .borrow()
            .holder_candidates(writers, MAX_HOLDERS, now_ms);
        for (name, address) in holders {
            // One VM after another: if two transferred tokens for one call,
            // those of the second would be lost to the program.
            if let Ok(true) = self.request(&name, address, &message, LOCAL_TIMEOUT).await {
                return true;
            }
        }
        false
    }

    /// Requests surplus tokens from VMs that wrote the program's row; `false` if none
    /// transfers them.
    pub(crate) async fn request_unused_tokens(
        &self,
        program: &ProgramKey,
        tokens: u64,
        writers: &[CompactString],
    ) -> bool {
        let now_ms = self.clock.now_ms();
        let count = writers.len().min(MAX_UNUSED_HOLDERS);
        let candidates = self
            .peers
            .borrow()
            .holder_candidates(writers, count, now_ms);
        // One after another, for the reason above.
        for (_, address) in candidates {
            if self.request_surplus_tokens(address, program, tokens).await {
                return true;
            }
        }
        false
    }

    /// Requests surplus tokens from the VM at this address, unless the last
    /// request to it failed. Returns whether it transferred them.
    pub(crate) async fn request_surplus_tokens(
        &self,
        address: SocketAddr,
        program: &ProgramKey,
        tokens: u64,
    ) -> bool {
        let name = self.peers.borrow().responsive_at(address).cloned();
        let Some(name) = name else {
            return false;
        };
        let message = PeerMessage::TakeSurplusTokens {
            program: program.0.clone(),
            tokens,
        };
        let is_transferred = self
            .request(&name, address, &message, SURPLUS_TIMEOUT)
            .await;
        is_transferred.unwrap_or(false)
    }

    /// Returns unused tokens to the VM at this address; if it can't be reached,
    /// they stay charged.
    pub(crate) async fn return_tokens(
        &self,
        address: SocketAddr,
        program: &ProgramKey,
        tokens: u64,
    ) {
        let name = self.peers.borrow().responsive_at(address).cloned();
        let Some(name) = name else {
            return;
        };
        let message = PeerMessage::ReturnTokens {
            program: program.0.clone(),
            tokens,
        };
        let result: Result<bool, _> = self.request(&name, address, &message, LOCAL_TIMEOUT).await;
        if let Err(error) = result {
            log::info!(peer = name.as_str(), tokens, error = error.to_string(); "cannot return unused tokens; they stay charged");
        }
    }

    /// Determines what this VM can reach while the store is unavailable to it,
    /// by probing other VMs.
    pub(crate) async fn probe_connectivity(&self) -> Connectivity {
        let peers = self.peers.borrow().probe_candidates(MAX_PROBES_PER_DOMAIN);
        let probes = peers.into_iter().map(|(name, entry)| async move {
            let message = PeerMessage::Probe;
            let response = self
                .request(&name, entry.address, &message, PEER_TIMEOUT)
                .await;
            let now_ms = self.clock.now_ms();
            PeerProbe {
                domain: entry.domain,
                is_store_down: response.ok(),
                is_dead: self.peers.borrow().is_dead(&name, now_ms),
            }
        });
        let probes = join_all(probes).await;
        let own = self.peers.borrow().own_domain().clone();
        let connectivity = classify_connectivity(&own, &probes);
        let answered = probes
            .iter()
            .filter(|probe| probe.is_store_down.is_some())
            .count();
        log::info!(reach = connectivity.to_string(), asked = probes.len(), answered; "probed other VMs");
        connectivity
    }

    /// Requests tokens of an allowance that another VM may hold. Returns the number
    /// granted; 0 without a response in time.
    pub(crate) async fn request_allowance(
        self: &Rc<Self>,
        holder: &str,
        allowance_request: AllowanceRequest,
    ) -> u64 {
        let program = allowance_request.program.clone();
        let message = PeerMessage::RequestAllowance(allowance_request);
        let (client, holder_name) = (Rc::clone(self), CompactString::from(holder));
        let return_late = async move |granted_tokens| {
            let settlement = AllowanceSettlement {
                program,
                granted_tokens,
                used_tokens: 0,
            };
            client.report_settlement(&holder_name, settlement).await;
        };
        self.request_grant(holder, message, ALLOWANCE_TIMEOUT, return_late)
            .await
    }

    /// Sends a request for tokens, which the receiver counts as granted from then on, and
    /// waits for their number for `max_wait`. If nobody waits any more when the reply
    /// comes, `return_late` gives them back. 0 without a reply in time.
    async fn request_grant<F>(
        self: &Rc<Self>,
        name: &str,
        message: PeerMessage,
        max_wait: Duration,
        return_late: F,
    ) -> u64
    where
        F: AsyncFnOnce(u64) + 'static,
    {
        let (sender, receiver) = oneshot::channel();
        let (client, receiver_name) = (Rc::clone(self), CompactString::from(name));
        spawn_local(async move {
            let reply = client.request_by_name(&receiver_name, &message, LATE_GRANT_TIMEOUT);
            let granted_tokens: u64 = reply.await.unwrap_or_default();
            let Err(granted_tokens) = sender.send(granted_tokens) else {
                return;
            };
            if granted_tokens > 0 {
                log::info!(peer = receiver_name.as_str(), granted_tokens; "returning tokens that were granted too late");
                return_late(granted_tokens).await;
            }
        });
        match timeout(max_wait, receiver).await {
            Ok(granted_tokens) => granted_tokens.unwrap_or_default(),
            Err(_) => {
                self.record_unreachable(name);
                0
            }
        }
    }

    /// Probes the next VM in turn, so that dead VMs are known before
    /// connectivity must be determined.
    pub(crate) async fn probe_next_peer(&self) {
        let peers = self.peers.borrow().probe_candidates(MAX_PROBES_PER_DOMAIN);
        if peers.is_empty() {
            return;
        }
        let next_probe = self.next_probe.get();
        self.next_probe.set(next_probe.wrapping_add(1));
        let (name, entry) = &peers[next_probe % peers.len()];
        let response = self.request::<bool>(name, entry.address, &PeerMessage::Probe, PEER_TIMEOUT);
        if let Err(error) = response.await {
            log::debug!(peer = name.as_str(), error = error.to_string(); "VM does not respond to a probe");
        }
    }

    /// Whether the VM with this name responds at present.
    pub(crate) async fn is_in_reach(&self, name: &str) -> bool {
        let reply = self.request_soon::<bool>(name, &PeerMessage::Probe, LOCAL_TIMEOUT);
        reply.await.is_some()
    }

    /// Has another VM write the charges in these records; `false` if it doesn't confirm.
    pub(crate) async fn hold_allowances(&self, name: &str, records: &[AllowanceRecord]) -> bool {
        let message = PeerMessage::HoldAllowances(records.to_vec());
        let reply = self.request_by_name::<bool>(name, &message, LOCAL_TIMEOUT);
        reply.await.unwrap_or(false)
    }

    /// Passes allowances on to another VM; `false` if it doesn't confirm.
    pub(crate) async fn pass_allowances(&self, name: &str, passed: &[PassedAllowance]) -> bool {
        let message = PeerMessage::PassAllowances(passed.to_vec());
        let reply = self.request_by_name::<bool>(name, &message, LOCAL_TIMEOUT);
        reply.await.unwrap_or(false)
    }

    /// Reports to the holder of an allowance what a call used.
    pub(crate) async fn report_settlement(&self, holder: &str, settlement: AllowanceSettlement) {
        let response = self
            .request_by_name::<bool>(
                holder,
                &PeerMessage::SettleAllowance(settlement),
                LOCAL_TIMEOUT,
            )
            .await;
        if response.is_none() {
            log::warn!(peer = holder; "cannot report a call's usage to the holder of its allowance; its whole grant counts as used");
        }
    }

    /// Requests tokens of a program's reserve from its home; returns the number
    /// granted, 0 without a response in time.
    pub(crate) async fn take_reserve(self: &Rc<Self>, home: &str, request: &ReserveRequest) -> u64 {
        let program = ProgramKey(request.program.clone());
        let message = PeerMessage::TakeReserve(request.clone());
        let (client, home_name) = (Rc::clone(self), CompactString::from(home));
        let return_late = async move |tokens| {
            client.return_reserve(&home_name, &program, tokens).await;
        };
        self.request_grant(home, message, LOCAL_TIMEOUT, return_late)
            .await
    }

    /// Returns unused tokens of a reserve; if the home can't be reached, they stay
    /// spent.
    pub(crate) async fn return_reserve(&self, home: &str, program: &ProgramKey, tokens: u64) {
        let message = PeerMessage::ReturnReserve {
            program: program.0.clone(),
            tokens,
        };
        let returned = self.request_by_name::<bool>(home, &message, LOCAL_TIMEOUT);
        if returned.await.is_none() {
            log::info!(peer = home, tokens; "cannot return unused tokens of a reserve; they stay spent");
        }
    }

    /// Has a program's home release its reserve; returns the tokens granted of it.
    pub(crate) async fn release_reserve(
        &self,
        home: &str,
        request: &ReserveRequest,
    ) -> Option<u64> {
        let message = PeerMessage::ReleaseReserve(request.clone());
        let released: Option<Option<u64>> =
            self.request_by_name(home, &message, LOCAL_TIMEOUT).await;
        released.flatten()
    }

    /// Has another VM hold a copy of a turn; `None` without a reply.
    pub(crate) async fn copy_turn(
        &self,
        name: &str,
        address: SocketAddr,
        turn: Vec<u8>,
    ) -> Option<CopyReply> {
        let message = PeerMessage::CopyTurn(turn);
        let reply = self.request(name, address, &message, LOCAL_TIMEOUT).await;
        reply.ok()
    }

    /// Has the VM at `address` cache a turn for its failure domain. If the message is
    /// lost, the turn is read from the store.
    pub(crate) async fn cache_turn(&self, name: &str, address: SocketAddr, turn: Vec<u8>) {
        let message = PeerMessage::CacheTurn(turn);
        let cached = self.request::<bool>(name, address, &message, LOCAL_TIMEOUT);
        if let Err(error) = cached.await {
            log::debug!(peer = name, error = error.to_string(); "turn not cached in another failure domain");
        }
    }

    /// Tells a VM that it may drop its copy of a turn. If the message is lost, the
    /// VM writes the turn to the store, which has it already.
    pub(crate) async fn release_copies(&self, name: &str, id: &TurnId) {
        let message = PeerMessage::ReleaseCopies(vec![id.as_str().into()]);
        let released = self.request_by_name::<bool>(name, &message, LOCAL_TIMEOUT);
        if released.await.is_none() {
            log::debug!(peer = name, turn = id.as_str(); "cannot release the copy of a turn");
        }
    }

    /// Tells a VM that its copy of a turn must not be used. If the message is lost,
    /// the VM learns by its own write that the store has another version, if it has.
    pub(crate) async fn forget_copy(&self, name: &str, id: &TurnId, version_hash: u64) {
        let copies = vec![(id.as_str().into(), version_hash)];
        let message = PeerMessage::ForgetCopies(copies);
        let forgotten = self.request_by_name::<bool>(name, &message, LOCAL_TIMEOUT);
        if forgotten.await.is_none() {
            log::debug!(peer = name, turn = id.as_str(); "cannot withdraw the copy of a turn");
        }
    }

    /// Asks another VM for a turn and those before it; `None` without a response.
    pub(crate) async fn fetch_turns(
        &self,
        name: &str,
        address: SocketAddr,
        last: &TurnId,
        max_wait: Duration,
    ) -> Option<TurnReply> {
        let message = PeerMessage::FetchTurns {
            last: last.as_str().into(),
        };
        let reply = self.request(name, address, &message, max_wait).await;
        reply.ok()
    }

    /// Requests a permit from the VM with this name; `None` without a reply in time.
    pub(crate) async fn request_permit(
        &self,
        name: &str,
        request: PermitRequest,
        max_wait: Duration,
    ) -> Option<PermitReply> {
        self.request_soon(name, &PeerMessage::RequestPermit(request), max_wait)
            .await
    }

    /// Requests tokens of an account's quota from the VM with this name; `None` without a
    /// reply in time.
    pub(crate) async fn request_quota(
        &self,
        name: &str,
        request: QuotaRequest,
        max_wait: Duration,
    ) -> Option<QuotaDecision> {
        self.request_soon(name, &PeerMessage::RequestQuota(request), max_wait)
            .await
    }

    /// Requests tokens of an account's quota from the VM with this name, of which some may
    /// be usable later; `None` without a reply in time.
    pub(crate) async fn reserve_quota(
        &self,
        name: &str,
        request: ReservationRequest,
        max_wait: Duration,
    ) -> Option<Reservation> {
        self.request_soon(name, &PeerMessage::ReserveQuota(request), max_wait)
            .await
    }

    /// Asks the VM with this name, of another failure domain, for tokens of an account's
    /// quota; `None` without a reply in time.
    pub(crate) async fn transfer_quota(
        &self,
        name: &str,
        request: TransferRequest,
        max_wait: Duration,
    ) -> Option<u32> {
        self.request_soon(name, &PeerMessage::TransferQuota(request), max_wait)
            .await
    }

    /// Asks the VM with this name for the origin of a stream; `None` without a reply
    /// in time.
    pub(crate) async fn find_origin(
        &self,
        name: &str,
        stream: StreamId,
        service: &str,
        max_wait: Duration,
    ) -> Option<OriginAnswer> {
        let message = PeerMessage::FindOrigin {
            stream,
            service: service.into(),
        };
        self.request_soon(name, &message, max_wait).await
    }

    /// Asks the VM with this name how recent its configuration is; `None` without a reply
    /// in time, or if it doesn't know.
    pub(crate) async fn read_freshness(
        &self,
        name: &str,
        known_version: u64,
        max_wait: Duration,
    ) -> Option<FreshnessReply> {
        let message = PeerMessage::ReadFreshness { known_version };
        let reply: Option<Option<FreshnessReply>> =
            self.request_soon(name, &message, max_wait).await;
        reply.flatten()
    }

    /// Records that no connection to the VM with this name could be opened.
    pub(crate) fn record_unreachable(&self, name: &str) {
        let now_ms = self.clock.now_ms();
        let mut peers = self.peers.borrow_mut();
        peers.record_outcome(name, PeerOutcome::Unreachable, now_ms);
    }

    /// Asks the VM with this name whether it reaches this run of a target; `None`
    /// without a reply.
    pub(crate) async fn ask_for_reach(
        &self,
        name: &str,
        id: CompactString,
        run: RunId,
    ) -> Option<TargetReach> {
        let message = PeerMessage::ReachTarget { id, run };
        self.request_by_name(name, &message, PEER_TIMEOUT).await
    }

    /// Sends a message whose response is of use only for a short time. Being late here
    /// says nothing of whether the VM is up.
    async fn request_soon<A>(
        &self,
        name: &str,
        message: &PeerMessage,
        max_wait: Duration,
    ) -> Option<A>
    where
        A: DeserializeOwned,
    {
        let address = self.peers.borrow().address(name)?;
        let reply = timeout(max_wait, self.exchange_if_known(name, address, message)).await;
        let error = match reply {
            Ok(Ok(reply)) => match postcard::from_bytes(&reply) {
                Ok(reply) => return Some(reply),
                Err(error) => error.to_string(),
            },
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no reply in time".to_owned(),
        };
        log::debug!(peer = name, error = error.as_str(); "no reply in time to be of use");
        None
    }

    /// Records that the list of VMs is current.
    pub(crate) fn set_listing_read(&self) {
        self.listing_read_ms.set(Some(self.clock.now_ms()));
    }

    /// Time since the list of VMs was known to be current; `None` before it was
    /// read.
    pub(crate) fn listing_age_ms(&self) -> Option<u64> {
        let read_ms = self.listing_read_ms.get()?;
        Some(self.clock.now_ms().saturating_sub(read_ms))
    }

    /// Whether all VMs that were listed in the store at some time since the start
    /// are known.
    pub(crate) fn is_listing_read(&self) -> bool {
        self.listing_read_ms.get().is_some()
    }

    async fn request_by_name<A>(
        &self,
        name: &str,
        message: &PeerMessage,
        max_wait: Duration,
    ) -> Option<A>
    where
        A: DeserializeOwned,
    {
        let address = self.peers.borrow().address(name)?;
        self.request(name, address, message, max_wait).await.ok()
    }

    /// Sends a message and records whether the VM responds.
    async fn request<A>(
        &self,
        name: &str,
        address: SocketAddr,
        message: &PeerMessage,
        max_wait: Duration,
    ) -> Result<A, MessageError>
    where
        A: DeserializeOwned,
    {
        let timed_out = || MessageError::Interrupted("VM did not respond in time".to_owned());
        let response = timeout(max_wait, self.exchange_if_known(name, address, message)).await;
        let response = response.unwrap_or_else(|_| Err(timed_out()));
        let outcome = match &response {
            Ok(_) => Some(PeerOutcome::Answered),
            // Recorded where it was found out.
            Err(MessageError::NotUnderstood(_)) => None,
            Err(_) => Some(PeerOutcome::Unreachable),
        };
        if let Some(outcome) = outcome {
            let now_ms = self.clock.now_ms();
            let mut peers = self.peers.borrow_mut();
            peers.record_outcome(name, outcome, now_ms);
        }
        postcard::from_bytes(&response?)
            .map_err(|error| MessageError::Interrupted(error.to_string()))
    }

    /// Sends a message, unless the VM is known not to understand it, and remembers if
    /// it doesn't.
    async fn exchange_if_known(
        &self,
        name: &str,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Result<Bytes, MessageError> {
        let protocol = message.protocol();
        let now_ms = self.clock.now_ms();
        if self.peers.borrow().lacks_protocol(name, protocol, now_ms) {
            let detail = format!("VM lacks protocol version {protocol}");
            return Err(MessageError::NotUnderstood(detail));
        }
        let response = self.exchange(address, message).await;
        if let Err(MessageError::NotUnderstood(detail)) = &response {
            let now_ms = self.clock.now_ms();
            let mut peers = self.peers.borrow_mut();
            if peers.record_unknown_message(name, protocol, now_ms) {
                log::info!(peer = name, protocol, detail = detail.as_str(); "VM doesn't understand a message; it isn't sent such ones for a time");
            }
        }
        response
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Result<Bytes, MessageError> {
        let not_sent = |detail: String| MessageError::NotSent(detail);
        let body = postcard::to_allocvec(message).map_err(|error| not_sent(error.to_string()))?;
        if body.len() > MAX_MESSAGE_BYTES {
            return Err(not_sent(format!("{} bytes are too many", body.len())));
        }
        let request = Request::builder()
            .method(Method::POST)
            .uri(MESSAGE_PATH)
            .header(HOST, address.to_string())
            .body(RequestBody::new([Bytes::from(body)]))
            .map_err(|error| not_sent(error.to_string()))?;
        let idle_connection = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let mut connection = match idle_connection.filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(address)
                .await
                .map_err(ExchangeError::from)?,
        };
        let response = connection.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect();
        let body = body
            .await
            .map_err(|error| MessageError::Interrupted(error.to_string()))?
            .to_bytes();
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.entry(address).or_default();
        if idle_connections.len() < MAX_IDLE_CONNECTIONS {
            idle_connections.push(connection);
        }
        let detail = || format!("status {status}");
        match status {
            StatusCode::OK => Ok(body),
            NOT_UNDERSTOOD | StatusCode::BAD_REQUEST => Err(MessageError::NotUnderstood(detail())),
            // The message was handled, and its response could not be encoded.
            StatusCode::INTERNAL_SERVER_ERROR => Err(MessageError::Interrupted(detail())),
            _ => Err(not_sent(detail())),
        }
    }
}
