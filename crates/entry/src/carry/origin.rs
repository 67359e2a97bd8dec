//! Hands an attempt to another VM, as this one has no path to its target.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lagoon_paths::{Decline, Vm};
use rand::RngExt;
use tokio::time::timeout;

use super::wire::{carried_uri, write_attempt, CarriedAttempt, CarryEnd};
use crate::body::RequestBody;
use crate::connection::{Connection, ExchangeError};
use crate::pool::PooledConnection;
use crate::state::DaemonState;

/// Maximum number of VMs that are asked to carry one attempt.
const MAX_CARRIERS: usize = 3;

/// Time for a connection to another VM to be established.
const CONNECT_PATIENCE: Duration = Duration::from_millis(100);

/// Time for which an idle connection to a carrier is kept, in seconds.
const KEEP_ALIVE_S: u64 = 5;

/// VM that may carry an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Carrier {
    pub(crate) name: CompactString,
    pub(crate) domain: CompactString,
    address: SocketAddr,
}

/// Counts an attempt as handed to a carrier until it is dropped.
pub(crate) struct CarrierGuard {
    state: Rc<DaemonState>,
    name: CompactString,
}

impl Drop for CarrierGuard {
    fn drop(&mut self) {
        self.state.carriers.borrow_mut().ended(&self.name);
    }
}

/// Response of a target that another VM passes on.
pub(crate) struct CarriedExchange {
    pub(crate) response: Response<Incoming>,
    pub(crate) connection: CarrierConnection,
}

/// Connection to a carrier, on which a response arrives.
pub(crate) struct CarrierConnection {
    pooled: PooledConnection<SocketAddr>,
    _guard: CarrierGuard,
}

impl CarrierConnection {
    /// Keeps the connection, after the response has been read completely.
    pub(crate) fn release(self) {
        self.pooled.release(Some(KEEP_ALIVE_S));
    }
}

/// Why an attempt has no response by way of another VM.
pub(crate) enum NotCarried {
    /// No VM carries it. Nothing was sent.
    NoCarrier,
    /// A VM that reaches other targets doesn't reach this one. Nothing was sent.
    TargetDown,
    /// The target is about to stop. Nothing was sent.
    TargetLeaving,
    /// The request was withdrawn before it was sent.
    Withdrawn,
    /// The request may have been executed.
    Interrupted(String),
}

impl DaemonState {
    /// VM that is to carry an attempt to a target in `target_domain`, other than those
    /// in `asked`.
    pub(crate) fn choose_carrier(
        &self,
        asked: &[CompactString],
        target_domain: &str,
    ) -> Option<Carrier> {
        let peers = self.peer_client.peers.borrow();
        let vms = peers.responsive_entries();
        let vms = vms.map(|(name, domain)| Vm { name, domain });
        let random = rand::rng().random();
        let carriers = self.carriers.borrow();
        let now_ms = self.now_ms();
        let chosen = carriers.choose(vms, asked, &self.domain, target_domain, random, now_ms)?;
        Some(Carrier {
            name: chosen.name.into(),
            domain: chosen.domain.into(),
            address: peers.address(chosen.name)?,
        })
    }

    pub(crate) fn record_declined(&self, carrier: &Carrier, decline: Decline) {
        let vm = Vm {
            name: &carrier.name,
            domain: &carrier.domain,
        };
        let now_ms = self.now_ms();
        let mut carriers = self.carriers.borrow_mut();
        carriers.record_declined(vm, decline, now_ms);
    }

    async fn connect_carrier(&self, carrier: &Carrier) -> Option<PooledConnection<SocketAddr>> {
        if let Some(pooled) = self.carrier_pool.take(carrier.address) {
            return Some(pooled);
        }
        let opened = timeout(
            CONNECT_PATIENCE,
            Connection::open_to_carrier(carrier.address),
        )
        .await;
        let Ok(Ok(connection)) = opened else {
            self.peer_client.record_unreachable(&carrier.name);
            return None;
        };
        Some(self.carrier_pool.adopt(carrier.address, connection))
    }

    /// Sends an attempt through another VM. `build` makes the request when a
    /// connection is there; `None` withdraws it. Each but the last of several requests
    /// has not been sent to the target.
    pub(crate) async fn send_carried<B>(
        self: &Rc<Self>,
        attempt: &CarriedAttempt,
        target_domain: &str,
        mut build: B,
    ) -> Result<CarriedExchange, NotCarried>
    where
        B: FnMut() -> Option<Request<RequestBody>>,
    {
        let mut asked = Vec::new();
        while asked.len() < MAX_CARRIERS {
            let Some(carrier) = self.choose_carrier(&asked, target_domain) else {
                break;
            };
            asked.push(carrier.name.clone());
            let sent = self.send_through(&carrier, attempt, &mut build).await;
            let end = match &sent {
                Ok(Ok(_)) => CarryEnd::Answered,
                Ok(Err(end)) => *end,
                Err(NotCarried::Interrupted(_)) => CarryEnd::Broken,
                Err(_) => CarryEnd::NotSent,
            };
            self.metrics.record_carried(&end.to_string());
            log::info!(
                request = attempt.request_id.as_str(),
                target_id = attempt.target_id.as_str(),
                carrier = carrier.name.as_str(),
                carrier_domain = carrier.domain.as_str(),
                asked = asked.len(),
                left_ms = attempt.left_ms;
                "attempt through another VM: {end}"
            );
            match sent? {
                Ok(exchange) => return Ok(exchange),
                Err(CarryEnd::TargetDown) => return Err(NotCarried::TargetDown),
                Err(CarryEnd::TargetLeaving) => return Err(NotCarried::TargetLeaving),
                Err(CarryEnd::Broken | CarryEnd::Answered) => {
                    return Err(NotCarried::Interrupted(format!("at {}", carrier.name)))
                }
                Err(CarryEnd::Declined(decline)) => self.record_declined(&carrier, decline),
                Err(CarryEnd::NotSent) => {}
            }
        }
        Err(NotCarried::NoCarrier)
    }

    /// Sends an attempt through this VM. The inner error says why the target has not
    /// responded.
    async fn send_through<B>(
        self: &Rc<Self>,
        carrier: &Carrier,
        attempt: &CarriedAttempt,
        mut build: B,
    ) -> Result<Result<CarriedExchange, CarryEnd>, NotCarried>
    where
        B: FnMut() -> Option<Request<RequestBody>>,
    {
        self.carriers.borrow_mut().started(&carrier.name);
        let guard = CarrierGuard {
            state: Rc::clone(self),
            name: carrier.name.clone(),
        };
        let (mut response, pooled) = loop {
            let Some(mut pooled) = self.connect_carrier(carrier).await else {
                return Ok(Err(CarryEnd::NotSent));
            };
            let mut request = build().ok_or(NotCarried::Withdrawn)?;
            let Some(uri) = carried_uri(request.uri()) else {
                return Ok(Err(CarryEnd::NotSent));
            };
            *request.uri_mut() = uri;
            write_attempt(request.headers_mut(), attempt);
            match pooled.connection.send(request).await {
                Ok(response) => break (response, pooled),
                // A kept connection may have been closed meanwhile.
                Err(ExchangeError::NotSent(_)) if pooled.is_reused => {}
                Err(ExchangeError::NotSent(_)) => return Ok(Err(CarryEnd::NotSent)),
                Err(ExchangeError::Interrupted(detail) | ExchangeError::Invalid(detail)) => {
                    return Err(NotCarried::Interrupted(detail))
                }
            }
        };
        let status = response.status();
        let Some(end) = CarryEnd::take(status, response.headers_mut()) else {
            return Err(NotCarried::Interrupted("no known end stated".to_owned()));
        };
        let connection = CarrierConnection {
            pooled,
            _guard: guard,
        };
        if end == CarryEnd::Answered {
            let mut carriers = self.carriers.borrow_mut();
            carriers.record_served(&carrier.domain);
            return Ok(Ok(CarriedExchange {
                response,
                connection,
            }));
        }
        // The response has no body.
        connection.release();
        Ok(Err(end))
    }
}
