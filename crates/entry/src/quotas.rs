//! Tokens of accounts' quotas: granted here, requested from the VM that grants them, and
//! transferred between failure domains.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use futures::future::join_all;
use lagoon_accounts::{Account, Quota};
use lagoon_ids::{hash64, FastMap};
use lagoon_quotas::{
    grantor_order, token_ttl_ms, Grantor, GrantorRole, QuotaDecision, QuotaDemand, QuotaTerms,
    Reachability, RequestClass, Reservation, Stock, Take,
};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clock::{boot_now_ms, Clock};
use crate::metrics::Metrics;
use crate::peers::PeerClient;
use crate::settings::AccountSettings;

/// Lowest protocol version with which a VM understands the messages here.
const QUOTA_PROTOCOL: u32 = 10;

/// Lowest protocol version with which a grantor reserves tokens.
const RESERVATION_PROTOCOL: u32 = 12;

/// Time without a reply after which the next VM is asked for tokens: some round trips
/// between failure domains.
const GRANTOR_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for which a grantor waits for transfers before it replies. It leaves the rest of
/// [`GRANTOR_TIMEOUT`] to the way of the reply.
const TRANSFER_WAIT: Duration = Duration::from_millis(25);

/// Time after which a reply with transferred tokens is of no use, as they have expired.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a VM that gave no reply isn't asked.
const NO_REPLY_BACKOFF_MS: u64 = 500;

/// VMs that are asked for one request for tokens; those that gave no reply are left out of
/// the next one.
const MAX_ASKED: usize = 4;

/// `Retry-After` if no VM replies.
const NO_GRANTOR_RETRY_MS: u64 = 200;

/// Waits for replies of one request, each of which brought tokens that others took.
const MAX_WAITS: u32 = 4;

/// Bounds of what is added to the time until a token may be granted, so that callers don't
/// all come back at once.
const RETRY_SPREAD_MS: std::ops::Range<u64> = 0..100;

/// Rounds of maintenance, 100 ms apart, between two removals of idle state.
const IDLE_ROUNDS: u32 = 50;

/// Request for tokens of an account's quota.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaRequest {
    /// Hash of the account's name.
    pub account: u64,
    /// Quota as the sender knows it.
    pub terms: QuotaTerms,
    /// Tokens asked for.
    pub demand: QuotaDemand,
    /// Tokens of earlier grants that the sender returns.
    pub returned: u32,
}

/// Request for tokens, of which some may be usable later.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReservationRequest {
    /// Request for the tokens that are usable at once.
    pub request: QuotaRequest,
    /// Requests of programs that have begun that wait up to a second for a token, of those
    /// in the demand.
    pub waiting: u32,
}

/// Request for tokens that another failure domain doesn't need.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct TransferRequest {
    /// Hash of the account's name.
    pub account: u64,
    /// Quota as the sender knows it.
    pub terms: QuotaTerms,
    /// Maximum number of tokens.
    pub tokens: u32,
}

/// Bounds on the requests of an account in each window of time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaBounds {
    pub(crate) window_s: f64,
    /// Part of rate and burst by which they may be exceeded.
    pub(crate) excess: f64,
    /// Requests by which they may be exceeded besides.
    pub(crate) slack: f64,
}

impl From<&AccountSettings> for QuotaBounds {
    fn from(settings: &AccountSettings) -> Self {
        QuotaBounds {
            window_s: settings.quota_window_s,
            excess: settings.quota_excess,
            slack: settings.quota_slack,
        }
    }
}

/// Why a request has no token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoToken {
    /// The account is at its limit.
    AtLimit {
        /// Time after which the caller may come back.
        retry_ms: u64,
    },
    /// No VM that may grant tokens has replied.
    NoGrantor {
        /// Time after which the caller may come back.
        retry_ms: u64,
    },
}

impl NoToken {
    pub(crate) fn retry_ms(self) -> u64 {
        match self {
            NoToken::AtLimit { retry_ms } | NoToken::NoGrantor { retry_ms } => retry_ms,
        }
    }
}

/// Token for one attempt; goes back to this VM's stock if it isn't used.
pub(crate) struct QuotaToken {
    quotas: Rc<Quotas>,
    pub(crate) account: u64,
    class: RequestClass,
    /// Time from which it may be used.
    usable_ms: u64,
    expires_ms: u64,
    is_used: bool,
}

impl QuotaToken {
    /// Whether an attempt may be sent with it.
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_used && self.quotas.now_ms() < self.expires_ms
    }

    /// Uses the token for an attempt. An expired one is replaced by one of the stock;
    /// `false` if there is none.
    pub(crate) fn begin_use(&mut self) -> bool {
        // If it is marked as used, a kept connection or a carrier didn't take the attempt,
        // which is sent anew.
        let now_ms = self.quotas.now_ms();
        if now_ms >= self.expires_ms {
            let mut stock = self.quotas.stock.borrow_mut();
            let Take::Token { expires_ms } = stock.take(self.account, self.class, now_ms) else {
                return false;
            };
            self.quotas.metrics.record_quota_tokens("expired", 1);
            self.usable_ms = now_ms;
            self.expires_ms = expires_ms;
        }
        self.is_used = true;
        true
    }

    async fn wait_until_usable(&self) {
        loop {
            match self.usable_ms.saturating_sub(self.quotas.now_ms()) {
                0 => return,
                wait_ms => sleep(Duration::from_millis(wait_ms)).await,
            }
        }
    }

    /// Records that the attempt was not executed.
    pub(crate) fn record_not_executed(&mut self) {
        self.is_used = false;
    }
}

impl Drop for QuotaToken {
    fn drop(&mut self) {
        if !self.is_used {
            let now_ms = self.quotas.now_ms();
            let mut stock = self.quotas.stock.borrow_mut();
            match now_ms < self.usable_ms {
                true => stock.put_back_reserved(self.account, self.usable_ms, self.expires_ms),
                false => stock.put_back(self.account, self.class, self.expires_ms, now_ms),
            }
        }
    }
}

/// Exchange whose outcome several tasks wait for.
#[derive(Default)]
struct SharedExchange {
    is_granted: Cell<Option<bool>>,
    ended: Notify,
}

impl SharedExchange {
    fn end(&self, is_granted: bool) {
        self.is_granted.set(Some(is_granted));
        self.ended.notify_waiters();
    }

    async fn wait(&self) -> bool {
        loop {
            let ended = self.ended.notified();
            if let Some(is_granted) = self.is_granted.get() {
                return is_granted;
            }
            ended.await;
        }
    }
}

/// Ends an exchange that its task did not end, and forgets it.
struct ExchangeGuard<'a> {
    exchanges: &'a RefCell<FastMap<u64, Rc<SharedExchange>>>,
    account: u64,
    exchange: Rc<SharedExchange>,
}

impl Drop for ExchangeGuard<'_> {
    fn drop(&mut self) {
        self.exchanges.borrow_mut().remove(&self.account);
        if self.exchange.is_granted.get().is_none() {
            self.exchange.end(false);
        }
    }
}

/// Counts a request as waiting for a reply until it is dropped.
struct WaitGuard<'a> {
    quotas: &'a Quotas,
    account: u64,
    class: RequestClass,
    is_reserving: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut stock = self.quotas.stock.borrow_mut();
        match self.is_reserving {
            true => stock.end_reserving_wait(self.account),
            false => stock.end_wait(self.account, self.class),
        }
    }
}

/// VMs that grant tokens, by failure domain.
#[derive(Default)]
struct Members {
    hash: u64,
    own: Vec<CompactString>,
    others: Vec<Vec<CompactString>>,
}

/// This VM's part in quotas: its stock of tokens, and what it grants to others.
pub(crate) struct Quotas {
    clock: Clock,
    peer_client: Rc<PeerClient>,
    metrics: Metrics,
    stock: RefCell<Stock>,
    grantor: RefCell<Grantor>,
    reachability: RefCell<Reachability>,
    /// `None` before the list of VMs was read, as this VM would take itself for the only
    /// one.
    members: RefCell<Option<Members>>,
    /// Requests for tokens in flight, by account.
    requests: RefCell<FastMap<u64, Rc<SharedExchange>>>,
    /// Requests to other domains in flight, by account.
    transfers: RefCell<FastMap<u64, Rc<SharedExchange>>>,
    /// VMs that gave no reply, with the time until which they aren't asked.
    backoff_until_ms: RefCell<FastMap<CompactString, u64>>,
    rounds: Cell<u32>,
}

impl Quotas {
    pub(crate) fn new(
        clock: Clock,
        peer_client: Rc<PeerClient>,
        metrics: Metrics,
        bounds: QuotaBounds,
    ) -> Rc<Quotas> {
        let ttl_ms = token_ttl_ms(bounds.window_s, bounds.excess);
        let now_ms = boot_now_ms().unwrap_or_else(|| clock.now_ms());
        Rc::new(Quotas {
            clock,
            peer_client,
            metrics,
            stock: RefCell::new(Stock::new(ttl_ms)),
            grantor: RefCell::new(
                Grantor::new(ttl_ms, bounds.slack, now_ms).with_window(bounds.window_s),
            ),
            reachability: RefCell::default(),
            members: RefCell::default(),
            requests: RefCell::default(),
            transfers: RefCell::default(),
            backoff_until_ms: RefCell::default(),
            rounds: Cell::new(0),
        })
    }

    /// Includes the time for which the VM was suspended: tokens expire meanwhile.
    fn now_ms(&self) -> u64 {
        boot_now_ms().unwrap_or_else(|| self.clock.now_ms())
    }

    /// Has to be called every 100 ms. `is_listed` tells whether other VMs may ask this
    /// one.
    pub(crate) fn maintain(&self, is_listed: bool) {
        let now_ms = self.now_ms();
        let accounts = self.grantor.borrow().len();
        if self.grantor.borrow_mut().observe_time(now_ms) && accounts > 0 {
            log::warn!(accounts; "VM was suspended or late; its buckets of quotas begin empty");
        }
        self.update_members(is_listed, now_ms);
        let rounds = self.rounds.get().wrapping_add(1);
        self.rounds.set(rounds);
        if rounds.is_multiple_of(IDLE_ROUNDS) {
            self.grantor.borrow_mut().remove_idle(now_ms);
            self.reachability.borrow_mut().remove_old(now_ms);
            let mut backoff_until_ms = self.backoff_until_ms.borrow_mut();
            backoff_until_ms.retain(|_, until_ms| now_ms < *until_ms);
            let mut stock = self.stock.borrow_mut();
            stock.remove_idle(now_ms);
            let expired = stock.take_expired();
            self.metrics.record_quota_tokens("expired", expired);
        }
    }

    fn update_members(&self, is_listed: bool, now_ms: u64) {
        if !self.peer_client.is_listing_read() {
            return;
        }
        let peers = self.peer_client.peers.borrow();
        let own = (peers.own_name().as_str(), peers.own_domain().as_str());
        let vms = || peers.entries().chain(is_listed.then_some(own));
        // A VM of an older build grants nothing, but its domain counts.
        let peers_now_ms = self.clock.now_ms();
        let grants = |vm: &str| !peers.lacks_protocol(vm, QUOTA_PROTOCOL, peers_now_ms);
        let hash = vms()
            .map(|(vm, domain)| {
                let domain = hash64(domain.as_bytes()).rotate_left(1);
                hash64(vm.as_bytes()) ^ domain ^ u64::from(grants(vm))
            })
            .fold(1_u64, u64::wrapping_add);
        let mut members = self.members.borrow_mut();
        if members.as_ref().is_some_and(|members| members.hash == hash) {
            return;
        }
        let mut domains: BTreeMap<&str, Vec<CompactString>> = BTreeMap::new();
        for (vm, domain) in vms() {
            let members = domains.entry(domain).or_default();
            members.extend(grants(vm).then(|| vm.into()));
        }
        let count = domains.len();
        let own = domains.remove(own.1).unwrap_or_default();
        self.grantor.borrow_mut().record_list_change(count, now_ms);
        *members = Some(Members {
            hash,
            own,
            others: domains.into_values().collect(),
        });
    }

    /// Order of the grantors of an account in the own domain; none before the list of
    /// VMs was read.
    fn own_order(&self, account: u64) -> Vec<CompactString> {
        let members = self.members.borrow();
        let own = members.iter().flat_map(|members| &members.own);
        let order = grantor_order(account, own.map(CompactString::as_str));
        order.into_iter().map(CompactString::from).collect()
    }

    fn is_usable(&self, vm: &str, now_ms: u64) -> bool {
        let backoff_until_ms = self.backoff_until_ms.borrow();
        let is_backed_off = backoff_until_ms
            .get(vm)
            .is_some_and(|until_ms| now_ms < *until_ms);
        let peers = self.peer_client.peers.borrow();
        !is_backed_off && !peers.is_dead(vm, self.clock.now_ms())
    }

    fn record_no_reply(&self, vm: &str) {
        let until_ms = self.now_ms() + NO_REPLY_BACKOFF_MS;
        let mut backoff_until_ms = self.backoff_until_ms.borrow_mut();
        backoff_until_ms.insert(vm.into(), until_ms);
    }

    /// A token for one attempt of this account, whose quota is of this version of the
    /// configuration. A request of a program that has begun waits up to `max_wait` for a
    /// token that is reserved for it; if that isn't enough, it is refused at once.
    pub(crate) async fn take_token(
        self: &Rc<Self>,
        account: &Account,
        quota: Quota,
        version: u64,
        class: RequestClass,
        max_wait: Duration,
    ) -> Result<QuotaToken, NoToken> {
        let hash = account.hash;
        let terms = QuotaTerms::new(version, quota);
        let now_ms = self.now_ms();
        self.stock.borrow_mut().record_need(hash, class, now_ms);
        let is_reserving = class == RequestClass::Running && !max_wait.is_zero();
        let token = |usable_ms, expires_ms| QuotaToken {
            quotas: Rc::clone(self),
            account: hash,
            class,
            usable_ms,
            expires_ms,
            is_used: false,
        };
        for _ in 0..MAX_WAITS {
            let now_ms = self.now_ms();
            let take = {
                let mut stock = self.stock.borrow_mut();
                match is_reserving {
                    true => stock.take_or_reserve(hash, now_ms),
                    false => stock.take(hash, class, now_ms),
                }
            };
            match take {
                Take::Token { expires_ms } => return Ok(token(now_ms, expires_ms)),
                Take::Reserved {
                    usable_ms,
                    expires_ms,
                } => {
                    // Dropped before it is usable, it goes back to the stock.
                    let token = token(usable_ms, expires_ms);
                    let wait_ms = usable_ms.saturating_sub(now_ms);
                    if Duration::from_millis(wait_ms) > max_wait {
                        return Err(self.refuse(wait_ms));
                    }
                    token.wait_until_usable().await;
                    return Ok(token);
                }
                Take::Refused { retry_ms } => return Err(self.refuse(retry_ms)),
                Take::Ask => {}
            }
            {
                let mut stock = self.stock.borrow_mut();
                match is_reserving {
                    true => stock.begin_reserving_wait(hash),
                    false => stock.begin_wait(hash, class),
                }
            }
            let _waiting = WaitGuard {
                quotas: self,
                account: hash,
                class,
                is_reserving,
            };
            if !self.request(hash, terms).wait().await {
                self.metrics.record_quota_tokens("no grantor", 1);
                return Err(NoToken::NoGrantor {
                    retry_ms: NO_GRANTOR_RETRY_MS,
                });
            }
        }
        Err(self.refuse(0))
    }

    fn refuse(&self, retry_ms: u64) -> NoToken {
        self.metrics.record_quota_tokens("refused", 1);
        let spread_ms = rand::rng().random_range(RETRY_SPREAD_MS);
        NoToken::AtLimit {
            retry_ms: retry_ms + spread_ms + 1,
        }
    }

    /// The request for tokens that is in flight, or a new one. It is a task of its own, as
    /// callers that wait for it may leave.
    fn request(self: &Rc<Self>, account: u64, terms: QuotaTerms) -> Rc<SharedExchange> {
        if let Some(known) = self.requests.borrow().get(&account) {
            return Rc::clone(known);
        }
        let exchange = Rc::new(SharedExchange::default());
        let mut requests = self.requests.borrow_mut();
        requests.insert(account, Rc::clone(&exchange));
        let (quotas, task_exchange) = (Rc::clone(self), Rc::clone(&exchange));
        spawn_local(async move {
            let guard = ExchangeGuard {
                exchanges: &quotas.requests,
                account,
                exchange: task_exchange,
            };
            let is_granted = quotas.request_tokens(account, terms).await;
            guard.exchange.is_granted.set(Some(is_granted));
            let exchange = Rc::clone(&guard.exchange);
            drop(guard);
            exchange.end(is_granted);
        });
        exchange
    }

    /// Asks the grantors in their order; `false` if none replies.
    async fn request_tokens(self: &Rc<Self>, account: u64, terms: QuotaTerms) -> bool {
        let started_ms = self.now_ms();
        let (demand, waiting, mut returned) = {
            let mut stock = self.stock.borrow_mut();
            let returned = stock.take_returned(account, started_ms);
            let demand = stock.demand(account, started_ms);
            (demand, stock.reserving(account), returned)
        };
        let own_name = self.peer_client.peers.borrow().own_name().clone();
        let mut order = self.own_order(account);
        order.retain(|vm| *vm == own_name || self.is_usable(vm, started_ms));
        for vm in order.into_iter().take(MAX_ASKED) {
            let asked_ms = self.now_ms();
            let is_own = vm == own_name;
            let request = QuotaRequest {
                account,
                terms,
                demand,
                returned: std::mem::take(&mut returned),
            };
            let request = ReservationRequest { request, waiting };
            let reservation = match is_own {
                true => Some(self.decide(&request).await),
                false => self.request_from(&vm, request).await,
            };
            let now_ms = self.now_ms();
            let decision = reservation.map(|reservation| reservation.decision);
            let outcome = decision.map_or_else(|| "no reply".to_owned(), |d| d.to_string());
            self.metrics.record_quota_request(&outcome);
            match decision {
                Some(QuotaDecision::Granted(grant)) => {
                    let mut stock = self.stock.borrow_mut();
                    if let Some(reservation) = reservation {
                        stock.add_reservation(account, reservation, asked_ms, now_ms);
                        let reserved = u64::from(reservation.reserved.tokens);
                        self.metrics.record_quota_tokens("reserved", reserved);
                    }
                    let tokens = u64::from(grant.running) + u64::from(grant.new_programs);
                    self.metrics.record_quota_tokens("received", tokens);
                    return true;
                }
                Some(QuotaDecision::NotGrantor) => {}
                None => self.record_no_reply(&vm),
            }
            log::info!(
                account_hash = format!("{account:016x}"),
                grantor = vm.as_str(),
                waited_ms = now_ms - started_ms;
                "no tokens of a quota: {outcome}"
            );
        }
        false
    }

    /// Asks another VM for tokens. One of an older build reserves none.
    async fn request_from(&self, vm: &str, request: ReservationRequest) -> Option<Reservation> {
        let peer_client = &self.peer_client;
        let is_older = {
            let peers = peer_client.peers.borrow();
            peers.lacks_protocol(vm, RESERVATION_PROTOCOL, self.clock.now_ms())
        };
        if is_older {
            let reply = peer_client.request_quota(vm, request.request, GRANTOR_TIMEOUT);
            return reply.await.map(Reservation::from);
        }
        peer_client
            .reserve_quota(vm, request, GRANTOR_TIMEOUT)
            .await
    }

    /// What this VM is for an account; `None` if it grants nothing. While that depends on
    /// whether other VMs can be reached, finds out.
    fn role(self: &Rc<Self>, account: u64) -> Option<GrantorRole> {
        let order = self.own_order(account);
        let own_name = self.peer_client.peers.borrow().own_name().clone();
        let position = order.iter().position(|vm| *vm == own_name)?;
        let now_ms = self.now_ms();
        let to_probe = self
            .reachability
            .borrow()
            .to_probe(&order, position, now_ms);
        for vm in to_probe {
            if self.reachability.borrow_mut().begin_probe(vm, now_ms) {
                let (quotas, vm) = (Rc::clone(self), vm.clone());
                spawn_local(async move {
                    let is_in_reach = quotas.peer_client.is_in_reach(&vm).await;
                    let now_ms = quotas.now_ms();
                    let mut reachability = quotas.reachability.borrow_mut();
                    match is_in_reach {
                        true => reachability.record_reply(&vm, now_ms),
                        false => reachability.record_no_reply(&vm, now_ms),
                    }
                });
            }
        }
        self.reachability.borrow().role(&order, position, now_ms)
    }

    /// Handles the request for tokens of a VM of an older build.
    pub(crate) async fn handle_request(self: &Rc<Self>, request: QuotaRequest) -> QuotaDecision {
        let request = ReservationRequest {
            request,
            waiting: 0,
        };
        self.handle_reservation(&request).await.decision
    }

    /// Handles another VM's request for tokens.
    pub(crate) async fn handle_reservation(
        self: &Rc<Self>,
        request: &ReservationRequest,
    ) -> Reservation {
        let now_ms = self.now_ms();
        self.reachability.borrow_mut().record_request(now_ms);
        let reservation = self.decide(request).await;
        let outcome = format!("{} for another VM", reservation.decision);
        self.metrics.record_quota_request(&outcome);
        reservation
    }

    /// Decides on a request for tokens, with those that other domains transfer for it.
    async fn decide(self: &Rc<Self>, request: &ReservationRequest) -> Reservation {
        let QuotaRequest {
            account,
            terms,
            demand,
            returned,
        } = request.request;
        let Some(role) = self.role(account) else {
            return QuotaDecision::NotGrantor.into();
        };
        let decision = {
            let mut grantor = self.grantor.borrow_mut();
            grantor.decide(account, terms, role, demand, returned, self.now_ms())
        };
        let QuotaDecision::Granted(mut grant) = decision else {
            return decision.into();
        };
        let missing = QuotaDemand {
            running: demand.running - grant.running,
            new_programs: demand.new_programs - grant.new_programs,
        };
        if missing.total() > 0 {
            if let Some(transfer) = self.request_transfers(account, terms, role, missing) {
                let ended = timeout(TRANSFER_WAIT, transfer.wait()).await;
                log::trace!(is_in_time = ended.is_ok(); "transfers of a quota");
            }
            let mut grantor = self.grantor.borrow_mut();
            let more = grantor.grant(account, terms, role, missing, self.now_ms());
            if let QuotaDecision::Granted(more) = more {
                grant.running += more.running;
                grant.new_programs += more.new_programs;
                grant.retry_ms = more.retry_ms;
            }
        }
        let (reserved, [running_retry_ms, new_retry_ms]) = {
            let now_ms = self.now_ms();
            let mut grantor = self.grantor.borrow_mut();
            let waiting = request.waiting.saturating_sub(grant.running);
            let reserved = grantor.reserve(account, terms, role, waiting, now_ms);
            let refused = QuotaDemand {
                running: waiting - reserved.tokens,
                new_programs: demand.new_programs - grant.new_programs,
            };
            (reserved, grantor.retry_ms(account, refused, now_ms))
        };
        let tokens = u64::from(grant.running) + u64::from(grant.new_programs);
        let tokens = tokens + u64::from(reserved.tokens);
        self.metrics.record_quota_tokens("granted", tokens);
        self.metrics
            .record_quota_tokens("returned", u64::from(returned));
        if role != GrantorRole::First && tokens > 0 {
            log::info!(
                account_hash = format!("{account:016x}"),
                role = role.to_string(),
                tokens;
                "tokens of a quota granted in place of another VM"
            );
        }
        Reservation {
            decision: QuotaDecision::Granted(grant),
            reserved,
            running_retry_ms,
            new_retry_ms,
        }
    }

    /// The requests to other domains that are in flight for an account, or new ones;
    /// `None` if none are to be sent now.
    fn request_transfers(
        self: &Rc<Self>,
        account: u64,
        terms: QuotaTerms,
        role: GrantorRole,
        missing: QuotaDemand,
    ) -> Option<Rc<SharedExchange>> {
        if let Some(known) = self.transfers.borrow().get(&account) {
            return Some(Rc::clone(known));
        }
        let mut grantor = self.grantor.borrow_mut();
        let shortage = grantor.shortage(account, role, missing, self.now_ms())?;
        let exchange = Rc::new(SharedExchange::default());
        let mut transfers = self.transfers.borrow_mut();
        transfers.insert(account, Rc::clone(&exchange));
        let (quotas, task_exchange) = (Rc::clone(self), Rc::clone(&exchange));
        spawn_local(async move {
            let guard = ExchangeGuard {
                exchanges: &quotas.transfers,
                account,
                exchange: task_exchange,
            };
            let mut donors = quotas.donors(account);
            let mut tokens = shortage.tokens;
            while tokens > 0 && !donors.is_empty() {
                let count = donors.len().min(tokens as usize);
                let request = TransferRequest {
                    account,
                    terms,
                    tokens: tokens.div_ceil(count as u32),
                };
                let asked = donors.drain(..count);
                let transfers =
                    asked.map(|vm| quotas.transfer_from(vm, request, shortage.asked_ms));
                join_all(transfers).await;
                tokens = quotas.grantor.borrow().missing_tokens(account, missing);
            }
            drop(guard);
        });
        Some(exchange)
    }

    /// The VM to ask in each other domain, from a random one on.
    fn donors(&self, account: u64) -> Vec<CompactString> {
        let now_ms = self.now_ms();
        let members = self.members.borrow();
        let domains = members.iter().flat_map(|members| &members.others);
        let donors = domains.filter_map(|vms| {
            let order = grantor_order(account, vms.iter().map(CompactString::as_str));
            let usable = order.into_iter().find(|vm| self.is_usable(vm, now_ms));
            usable.map(CompactString::from)
        });
        let mut donors: Vec<CompactString> = donors.collect();
        if !donors.is_empty() {
            let first = rand::rng().random_range(0..donors.len());
            donors.rotate_left(first);
        }
        donors
    }

    /// Adds what a VM of another domain transfers.
    async fn transfer_from(&self, vm: CompactString, request: TransferRequest, asked_ms: u64) {
        let account = request.account;
        let peer_client = &self.peer_client;
        let reply = peer_client.transfer_quota(&vm, request, TRANSFER_TIMEOUT);
        let Some(tokens) = reply.await else {
            self.record_no_reply(&vm);
            return;
        };
        // More than was asked for is a fault of the other VM, and not usable.
        let tokens = tokens.min(request.tokens);
        let mut grantor = self.grantor.borrow_mut();
        let usable = grantor.add_transferred(account, tokens, asked_ms, self.now_ms());
        self.metrics
            .record_quota_tokens("transferred", u64::from(usable));
        self.metrics
            .record_quota_tokens("expired", u64::from(tokens - usable));
    }

    /// Handles the request of another domain for tokens.
    pub(crate) fn handle_transfer(self: &Rc<Self>, request: &TransferRequest) -> u32 {
        let Some(role) = self.role(request.account) else {
            return 0;
        };
        let mut grantor = self.grantor.borrow_mut();
        let tokens = grantor.donate(
            request.account,
            request.terms,
            role,
            request.tokens,
            self.now_ms(),
        );
        self.metrics
            .record_quota_tokens("donated", u64::from(tokens));
        tokens
    }
}
