//! Messages between entry VMs, as postcard over HTTP.
//!
//! A VM that can't reach the store has its writes carried out by another. If
//! none can, it asks its neighbours for tokens that they hold, and the
//! program's steward for an allowance.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use futures::future::join_all;
use futures::stream::{FuturesUnordered, StreamExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use lagoon_gateway::{
    allowance_coordinator, classify_connectivity, AllowanceRequest, AllowanceSettlement,
    Connectivity, PeerOutcome, PeerProbe, Peers, ProgramKey, StoreCall, StoreError, StoreReply,
};
use lagoon_ids::FastMap;
use rand::RngExt;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::body::ReplyBody;
use crate::clock::Clock;
use crate::connection::{Connection, ExchangeError};
use crate::ledger::Ledger;
use crate::reply;

/// Path of all messages.
pub(crate) const MESSAGE_PATH: &str = "/v1/message";

/// VMs asked to carry out one store call.
const ASKED: usize = 4;

/// VMs asked for held tokens.
const HOLDERS: usize = 12;

/// VMs of each failure domain that are sounded out.
const SOUNDED: usize = 4;

/// Pause before the next VM is asked as well.
const STAGGER: Duration = Duration::from_millis(40);

/// Longest wait for one VM.
const PEER_WAIT: Duration = Duration::from_millis(300);

/// Longest wait for a VM that needs nobody else for its answer.
const NEAR_WAIT: Duration = Duration::from_millis(120);

/// Longest wait for spare tokens: some round trips between failure domains,
/// beyond which the store is as fast.
const SPARE_WAIT: Duration = Duration::from_millis(30);

/// Largest message.
const MESSAGE_BYTES: usize = 1_200_000;

/// Kept connections to one VM.
const KEPT: usize = 2;

/// Message to another VM.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum PeerMessage {
    /// Carry this call out; answered with [`Carried`].
    Store(StoreCall),
    /// Hand over tokens that are held; answered with whether they are.
    Held {
        /// Program.
        program: CompactString,
        /// Tokens.
        tokens: u64,
    },
    /// Hand over tokens that are held, if they are to spare; answered with
    /// whether they are.
    Spare {
        /// Program.
        program: CompactString,
        /// Tokens.
        tokens: u64,
    },
    /// Tokens that were handed over and not used; answered with `true`.
    Unused {
        /// Program.
        program: CompactString,
        /// Tokens.
        tokens: u64,
    },
    /// Hand out an allowance; answered with its tokens.
    Allowance(AllowanceRequest),
    /// A call with an allowance has ended; answered with `true`.
    AllowanceEnd(AllowanceSettlement),
    /// Answered with whether the VM is without the store.
    Sound,
    /// A VM is about to hand out an allowance; answered with whether no other
    /// one does.
    Steward {
        /// Program.
        program: CompactString,
        /// Name of the VM.
        steward: CompactString,
    },
}

/// What became of a store call.
type Carried = Result<StoreReply, StoreError>;

/// Way to the other VMs.
pub(crate) struct PeerClient {
    clock: Clock,
    pub(crate) peers: RefCell<Peers>,
    idle: RefCell<FastMap<SocketAddr, Vec<Connection>>>,
    /// Number of the VM that is sounded out next.
    turn: Cell<usize>,
}

impl PeerClient {
    pub(crate) fn new(clock: Clock, peers: Peers) -> PeerClient {
        PeerClient {
            clock,
            peers: RefCell::new(peers),
            idle: RefCell::default(),
            turn: Cell::new(0),
        }
    }

    /// Has another VM carry a call out; `None` if none was reached. All get
    /// the same conditional write, so it counts once.
    pub(crate) async fn carry_out(&self, call: &StoreCall) -> Option<Carried> {
        let message = PeerMessage::Store(call.clone());
        let random = rand::rng().random();
        let now_ms = self.clock.now_ms();
        let candidates = self.peers.borrow().candidates(ASKED, random, now_ms);
        let mut asked: FuturesUnordered<_> = candidates
            .into_iter()
            .zip(0..)
            .map(|(candidate, position)| {
                let message = &message;
                async move {
                    sleep(STAGGER * position).await;
                    self.carry_out_at(candidate, message).await
                }
            })
            .collect();
        let mut lost = None;
        while let Some(carried) = asked.next().await {
            match carried {
                Some(Ok(reply)) => return Some(Ok(reply)),
                Some(Err(error @ StoreError::NoReply(_))) => lost = Some(Err(error)),
                Some(Err(_)) | None => {}
            }
        }
        lost
    }

    async fn carry_out_at(
        &self,
        (name, address): (CompactString, SocketAddr),
        message: &PeerMessage,
    ) -> Option<Carried> {
        let answer = self.ask(&name, address, message, PEER_WAIT).await;
        let carried = match answer {
            Ok(carried) => carried,
            // It may still carry the call out.
            Err(ExchangeError::Broken(detail)) => Err(StoreError::NoReply(detail.into())),
            Err(ExchangeError::NotSent(_)) => return None,
        };
        if carried.is_err() {
            let now_ms = self.clock.now_ms();
            let mut peers = self.peers.borrow_mut();
            peers.record_outcome(&name, PeerOutcome::Declined, now_ms);
        }
        Some(carried)
    }

    /// Tokens that another VM holds for a program; `writers` are known to.
    pub(crate) async fn take_held(
        &self,
        program: &ProgramKey,
        tokens: u64,
        writers: &[CompactString],
    ) -> bool {
        let message = PeerMessage::Held {
            program: program.0.clone(),
            tokens,
        };
        let now_ms = self.clock.now_ms();
        let holders = self
            .peers
            .borrow()
            .holder_candidates(writers, HOLDERS, now_ms);
        for (name, address) in holders {
            // One after the other: tokens that two hand over are lost to the
            // program if only one call needs them.
            if let Ok(true) = self.ask(&name, address, &message, NEAR_WAIT).await {
                return true;
            }
        }
        false
    }

    /// Tokens that the VM at this address holds for a program, unless it did
    /// not answer last.
    pub(crate) async fn take_spare(
        &self,
        address: SocketAddr,
        program: &ProgramKey,
        tokens: u64,
    ) -> bool {
        let name = self.peers.borrow().responsive_at(address).cloned();
        let Some(name) = name else {
            return false;
        };
        let message = PeerMessage::Spare {
            program: program.0.clone(),
            tokens,
        };
        let taken = self.ask(&name, address, &message, SPARE_WAIT).await;
        taken.unwrap_or(false)
    }

    /// Gives tokens back to the VM at this address.
    pub(crate) async fn hand_back(&self, address: SocketAddr, program: &ProgramKey, tokens: u64) {
        let name = self.peers.borrow().responsive_at(address).cloned();
        let Some(name) = name else {
            return;
        };
        let message = PeerMessage::Unused {
            program: program.0.clone(),
            tokens,
        };
        let told: Result<bool, _> = self.ask(&name, address, &message, NEAR_WAIT).await;
        if let Err(error) = told {
            log::info!(peer = name.as_str(), tokens, error = error.to_string(); "unused tokens not handed back; they stay charged");
        }
    }

    /// What this VM, which is without the store, can reach.
    pub(crate) async fn sound_out(&self) -> Connectivity {
        let peers = self.peers.borrow().probe_candidates(SOUNDED);
        let soundings = peers.into_iter().map(|(name, entry)| async move {
            let message = PeerMessage::Sound;
            let answer = self.ask(&name, entry.address, &message, PEER_WAIT).await;
            let now_ms = self.clock.now_ms();
            PeerProbe {
                domain: entry.domain,
                is_store_down: answer.ok(),
                is_dead: self.peers.borrow().is_dead(&name, now_ms),
            }
        });
        let soundings = join_all(soundings).await;
        let own = self.peers.borrow().own_domain().clone();
        let reach = classify_connectivity(&own, &soundings);
        let answered = soundings
            .iter()
            .filter(|s| s.is_store_down.is_some())
            .count();
        log::info!(reach = reach.to_string(), asked = soundings.len(), answered; "sounded out other VMs");
        reach
    }

    /// Tokens of an allowance that another VM is the steward of.
    pub(crate) async fn ask_allowance(&self, steward: &str, ask: AllowanceRequest) -> u64 {
        let message = PeerMessage::Allowance(ask);
        let granted = self.ask_named(steward, &message, PEER_WAIT).await;
        granted.unwrap_or_default()
    }

    /// Sounds out one VM, each time the next one, so that those that are gone
    /// are known before it matters.
    pub(crate) async fn sound_next(&self) {
        let peers = self.peers.borrow().probe_candidates(SOUNDED);
        if peers.is_empty() {
            return;
        }
        let turn = self.turn.get();
        self.turn.set(turn.wrapping_add(1));
        let (name, entry) = &peers[turn % peers.len()];
        let answer = self.ask::<bool>(name, entry.address, &PeerMessage::Sound, PEER_WAIT);
        if let Err(error) = answer.await {
            log::debug!(peer = name.as_str(), error = error.to_string(); "VM does not answer");
        }
    }

    /// Asks the steward of each failure domain whether this VM may hand out an
    /// allowance; all must agree.
    pub(crate) async fn may_hand_out(&self, program: &ProgramKey) -> bool {
        let (own, stewards) = {
            let peers = self.peers.borrow();
            let domains = peers.domains().into_iter();
            let stewards = domains.filter_map(|vms| allowance_coordinator(program, vms).cloned());
            (peers.own_name().clone(), stewards.collect::<Vec<_>>())
        };
        let message = PeerMessage::Steward {
            program: program.0.clone(),
            steward: own.clone(),
        };
        let others = stewards.iter().filter(|name| **name != own);
        let answers = others.map(|name| self.ask_named::<bool>(name, &message, PEER_WAIT));
        let answers = join_all(answers).await;
        answers.iter().all(|answer| *answer == Some(true))
    }

    /// Tells the steward what a call spent.
    pub(crate) async fn end_allowance(&self, steward: &str, end: AllowanceSettlement) {
        let told = self
            .ask_named::<bool>(steward, &PeerMessage::AllowanceEnd(end), NEAR_WAIT)
            .await;
        if told.is_none() {
            log::warn!(peer = steward; "steward not told what a call spent; it counts in full");
        }
    }

    async fn ask_named<A>(&self, name: &str, message: &PeerMessage, wait: Duration) -> Option<A>
    where
        A: DeserializeOwned,
    {
        let address = self.peers.borrow().address(name)?;
        self.ask(name, address, message, wait).await.ok()
    }

    /// Sends a message and notes whether the VM is within reach.
    async fn ask<A>(
        &self,
        name: &str,
        address: SocketAddr,
        message: &PeerMessage,
        wait: Duration,
    ) -> Result<A, ExchangeError>
    where
        A: DeserializeOwned,
    {
        let late = || ExchangeError::Broken("no answer of a VM in time".to_owned());
        let answer = timeout(wait, self.exchange(address, message)).await;
        let answer = answer.unwrap_or_else(|_| Err(late()));
        let end = match &answer {
            Ok(_) => PeerOutcome::Answered,
            Err(_) => PeerOutcome::Unreachable,
        };
        let now_ms = self.clock.now_ms();
        self.peers.borrow_mut().record_outcome(name, end, now_ms);
        postcard::from_bytes(&answer?).map_err(|error| ExchangeError::Broken(error.to_string()))
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Result<Bytes, ExchangeError> {
        let not_sent = |detail: String| ExchangeError::NotSent(detail);
        let body = postcard::to_allocvec(message).map_err(|error| not_sent(error.to_string()))?;
        let request = Request::builder()
            .method(Method::POST)
            .uri(MESSAGE_PATH)
            .header(HOST, address.to_string())
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| not_sent(error.to_string()))?;
        let kept = self.idle.borrow_mut().get_mut(&address).and_then(Vec::pop);
        let mut connection = match kept.filter(Connection::is_ready) {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        let response = connection.send(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MESSAGE_BYTES).collect();
        let body = body
            .await
            .map_err(|error| ExchangeError::Broken(error.to_string()))?
            .to_bytes();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        if kept.len() < KEPT {
            kept.push(connection);
        }
        if status == StatusCode::OK {
            Ok(body)
        } else {
            Err(not_sent(format!("status {status}")))
        }
    }
}

/// Answers a message of another VM.
pub(crate) async fn serve_message(
    ledger: Rc<Ledger>,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let body = Limited::new(request.into_body(), MESSAGE_BYTES);
    let Ok(body) = body.collect().await else {
        return reply::text(StatusCode::BAD_REQUEST, "message not read");
    };
    let message: PeerMessage = match postcard::from_bytes(&body.to_bytes()) {
        Ok(message) => message,
        Err(error) => return reply::text(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let answer = match message {
        PeerMessage::Store(call) => postcard::to_allocvec(&ledger.carry_out(&call).await),
        PeerMessage::Held { program, tokens } => {
            postcard::to_allocvec(&ledger.hand_over(&ProgramKey(program), tokens))
        }
        PeerMessage::Spare { program, tokens } => {
            postcard::to_allocvec(&ledger.hand_spare(&ProgramKey(program), tokens))
        }
        PeerMessage::Unused { program, tokens } => {
            ledger.take_back(&ProgramKey(program), tokens);
            postcard::to_allocvec(&true)
        }
        PeerMessage::Allowance(ask) => postcard::to_allocvec(&ledger.hand_out(&ask).await),
        PeerMessage::AllowanceEnd(end) => {
            ledger.end_allowance(&end);
            postcard::to_allocvec(&true)
        }
        PeerMessage::Steward { program, steward } => {
            postcard::to_allocvec(&ledger.note_steward(&ProgramKey(program), &steward))
        }
        PeerMessage::Sound => postcard::to_allocvec(&ledger.is_store_away()),
    };
    match answer {
        Ok(answer) => Response::new(ReplyBody::whole(answer)),
        Err(error) => reply::text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
