//! Sending of one attempt: on a connection to its target, or through another VM if this
//! one has no path.

use std::rc::Rc;

use futures::future::OptionFuture;
use hyper::body::Incoming;
use hyper::{Request, Response};
use lagoon_gateway::{TargetEntry, TargetKey};
use lagoon_limits::Demand;
use lagoon_paths::Way;

use crate::body::RequestBody;
use crate::carry::origin::{CarriedExchange, CarrierConnection, NotCarried};
use crate::carry::CarriedAttempt;
use crate::exchange::{send_direct, send_on, DirectExchange, NoExchange, PathGuard, SendOptions};
use crate::forward::attempt::InFlightGuard;
use crate::forward::permit::Permit;
use crate::forward::{FailedAttempt, ForwardedRequest};
use crate::pool::PooledConnection;

/// Connection on which a response arrives.
pub(crate) enum ResponseConnection {
    /// To the target.
    Direct {
        pooled: PooledConnection<TargetKey>,
        guard: PathGuard,
    },
    /// To a VM that carries the attempt.
    Carried(CarrierConnection),
}

impl ResponseConnection {
    /// Records that bytes of the response arrived.
    pub(crate) fn record_bytes(&self) {
        if let ResponseConnection::Direct { guard, .. } = self {
            guard.record_bytes();
        }
    }

    /// Records that the response broke off.
    pub(crate) fn record_broken(&self) {
        if let ResponseConnection::Direct { guard, .. } = self {
            guard.record_broken();
        }
    }

    /// Waits until the target can't respond any more; forever if another VM carries the
    /// attempt.
    pub(crate) async fn until_hopeless(&self) -> NoExchange {
        match self {
            ResponseConnection::Direct { guard, .. } => guard.until_hopeless().await,
            ResponseConnection::Carried(_) => std::future::pending().await,
        }
    }

    /// Keeps the connection, after the response has been read completely. The target
    /// closes an idle one after `keep_alive_s`, and this one at once if
    /// `closes_connection`.
    pub(crate) fn release(self, keep_alive_s: Option<u64>, closes_connection: bool) {
        match self {
            ResponseConnection::Direct { pooled, .. } if !closes_connection => {
                pooled.release(keep_alive_s);
            }
            ResponseConnection::Direct { .. } => {}
            ResponseConnection::Carried(connection) => connection.release(),
        }
    }
}

fn direct(exchange: DirectExchange) -> (Response<Incoming>, ResponseConnection) {
    let connection = ResponseConnection::Direct {
        pooled: exchange.pooled,
        guard: exchange.guard,
    };
    (exchange.response, connection)
}

impl ForwardedRequest {
    /// Sends the request to the target, or through another VM if this one has no path
    /// to it.
    pub(super) async fn send(
        &mut self,
        key: TargetKey,
        entry: &TargetEntry,
        last_event_id: Option<u64>,
        permit: Option<Permit>,
        in_flight: &mut InFlightGuard,
    ) -> Result<(Response<Incoming>, ResponseConnection), FailedAttempt> {
        let state = Rc::clone(&self.state);
        let (way, mut opening) = state.way_to(key, entry.address);
        let options = SendOptions {
            key,
            address: entry.address,
            may_open: way == Way::Direct,
            is_repeatable: self.route.is_repeatable(),
        };
        if way != Way::Carried {
            let build = || self.begin_attempt(entry, last_event_id, permit, in_flight);
            match send_direct(&state, options, build).await {
                Ok(exchange) => return Ok(direct(exchange)),
                Err(NoExchange::NoPath { opening: late, .. }) => opening = late,
                Err(NoExchange::NoKeptConnection) => {}
                Err(no_exchange) => return Err(self.fail(no_exchange, in_flight)),
            }
        }
        match self
            .send_carried(key, entry, last_event_id, permit, in_flight)
            .await
        {
            Ok(exchange) => {
                state.record_reach(key, true);
                let connection = ResponseConnection::Carried(exchange.connection);
                return Ok((exchange.response, connection));
            }
            Err(NotCarried::NoCarrier) => {}
            Err(NotCarried::TargetDown) => {
                state.record_reach(key, false);
                return Err(FailedAttempt::unreachable("no VM reaches the target"));
            }
            Err(NotCarried::TargetLeaving) => {
                return Err(FailedAttempt {
                    is_target_leaving: true,
                    ..FailedAttempt::not_sent("the target is about to stop")
                });
            }
            Err(NotCarried::Withdrawn) => return Err(NoExchange::Withdrawn.into()),
            Err(NotCarried::Interrupted(detail)) => {
                return Err(FailedAttempt::interrupted(format!(
                    "carried attempt: {detail}"
                )))
            }
        }
        // Without another way, the path itself is tried: a connection that is being
        // opened may still be established, and a refusal is known at once.
        if way == Way::Kept && opening.is_none() {
            opening = Some(state.start_opening(key, entry.address));
        }
        if let Some(Ok(Ok(pooled))) = OptionFuture::from(opening).await {
            let build = || self.begin_attempt(entry, last_event_id, permit, in_flight);
            return match send_on(&state, options, pooled, build).await {
                Ok(exchange) => Ok(direct(exchange)),
                Err(no_exchange) => Err(self.fail(no_exchange, in_flight)),
            };
        }
        Err(FailedAttempt {
            has_no_carrier: true,
            ..FailedAttempt::unreachable("no path to the target, and no VM carries the attempt")
        })
    }

    async fn send_carried(
        &mut self,
        key: TargetKey,
        entry: &TargetEntry,
        last_event_id: Option<u64>,
        permit: Option<Permit>,
        in_flight: &mut InFlightGuard,
    ) -> Result<CarriedExchange, NotCarried> {
        let state = Rc::clone(&self.state);
        let run = state.targets.borrow().get(key).map(|target| target.run);
        let attempt = CarriedAttempt {
            request_id: self.metadata.request_id.clone(),
            target_id: entry.id.clone(),
            run: run.ok_or(NotCarried::NoCarrier)?,
            is_repeatable: self.route.is_repeatable(),
            left_ms: self.deadline_ms.saturating_sub(state.now_ms()),
        };
        // Each carrier gets a request of its own; before the next one is asked, it is
        // known that the last one was not sent.
        let build = || {
            self.may_have_run = self.attempts.may_have_run();
            self.begin_attempt(entry, last_event_id, permit, in_flight)
        };
        let sent = state.send_carried(&attempt, &entry.domain, build).await;
        if !matches!(sent, Ok(_) | Err(NotCarried::Interrupted(_))) {
            in_flight.may_run = false;
            self.may_have_run = self.attempts.may_have_run();
        }
        sent
    }

    /// Makes the request of an attempt, which may be executed from now on; `None` if
    /// the permit or the token has expired, or the target takes no more requests: it may
    /// have been drained since it was chosen.
    fn begin_attempt(
        &mut self,
        entry: &TargetEntry,
        last_event_id: Option<u64>,
        permit: Option<Permit>,
        in_flight: &mut InFlightGuard,
    ) -> Option<Request<RequestBody>> {
        let now_ms = self.state.now_ms();
        if permit.is_some_and(|permit| permit.is_expired(now_ms)) {
            return None;
        }
        if !self.is_usable(in_flight.target()) {
            return None;
        }
        let quota_token = self.quota_token.as_mut();
        if quota_token.is_some_and(|token| !token.begin_use()) {
            return None;
        }
        // Whatever follows, the program has begun.
        self.demand = Demand::Running;
        self.may_have_run = true;
        self.caller.set_passed_on();
        in_flight.may_run = true;
        Some(self.build_request(entry, last_event_id))
    }

    fn fail(&mut self, no_exchange: NoExchange, in_flight: &mut InFlightGuard) -> FailedAttempt {
        let failed = FailedAttempt::from(no_exchange);
        in_flight.may_run = !failed.failure.is_not_executed();
        failed
    }
}
