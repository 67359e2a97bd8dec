//! HTTP client of the platform.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::wire::{TxnJson, TxnReplyJson, VmListJson};
use crate::{
    CircuitBreaker, CircuitBreakerSettings, PlatformError, PlatformReply, PlatformRequest,
    RetryBudget, RetrySettings, Txn,
};

/// Maximum size of a reply body, also of an object; a larger reply counts as
/// [`PlatformError::NoReply`].
const MAX_REPLY_BYTES: u64 = 256_000_000;

/// Settings of a [`Client`].
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// Address of the HTTP server of the table, the objects and the VM list.
    pub address: SocketAddr,
    /// Timeout of one attempt, from connecting to the end of the reply.
    pub timeout_ms: u64,
    /// Backoff and retry budget.
    pub retry: RetrySettings,
    /// Circuit breaker, shared by all requests of the client.
    pub breaker: CircuitBreakerSettings,
}

impl ClientSettings {
    /// Default settings for a platform at `address`.
    pub fn with_address(address: SocketAddr) -> ClientSettings {
        ClientSettings {
            address,
            timeout_ms: 1_000,
            retry: RetrySettings::default(),
            breaker: CircuitBreakerSettings::default(),
        }
    }
}

struct RetryState {
    breaker: CircuitBreaker,
    budget: RetryBudget,
}

/// Blocking client of the platform, shared by threads.
pub struct Client {
    settings: ClientSettings,
    agent: Agent,
    retry_state: Mutex<RetryState>,
    started: Instant,
}

impl Client {
    /// Creates a client; the first request opens the connection.
    pub fn new(settings: ClientSettings) -> Client {
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(settings.timeout_ms)))
            .http_status_as_error(false)
            .build();
        let retry_state = RetryState {
            breaker: CircuitBreaker::new(settings.breaker),
            budget: RetryBudget::new(settings.retry),
        };
        Client {
            settings,
            agent: config.into(),
            retry_state: Mutex::new(retry_state),
            started: Instant::now(),
        }
    }

    /// Sends a request and retries it if there is no reply.
    ///
    /// A retried transaction whose first reply was lost finds the rows that it
    /// wrote itself, so its conditions must allow for them.
    ///
    /// # Errors
    ///
    /// Fails if no attempt gets a reply, the circuit breaker is open or the
    /// platform refuses the request.
    pub fn execute(&self, request: &PlatformRequest) -> Result<PlatformReply, PlatformError> {
        self.retry_state().budget.deposit();
        let mut attempt = 0;
        loop {
            let permit = self.retry_state().breaker.permit(self.now_ms());
            permit.map_err(PlatformError::CircuitOpen)?;
            let result = self.send(request);
            let failed = matches!(result, Err(PlatformError::NoReply(_)));
            self.retry_state().breaker.record(!failed, self.now_ms());
            attempt += 1;
            if !failed
                || attempt >= self.settings.retry.max_attempts
                || !self.retry_state().budget.withdraw()
            {
                return result;
            }
            let backoff_ms = self
                .settings
                .retry
                .backoff_ms(attempt, rand::rng().random());
            thread::sleep(Duration::from_millis(backoff_ms));
        }
    }

    fn retry_state(&self) -> MutexGuard<'_, RetryState> {
        self.retry_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.address)
    }

    fn send(&self, request: &PlatformRequest) -> Result<PlatformReply, PlatformError> {
        match request {
            PlatformRequest::Txn(txn) => self.send_txn(txn),
            PlatformRequest::PutObject { key, bytes } => self.put_object(key, bytes),
            PlatformRequest::GetObject { key } => self.get_object(key),
            PlatformRequest::ListVms => self.list_vms(),
        }
    }

    fn send_txn(&self, txn: &Txn) -> Result<PlatformReply, PlatformError> {
        let result = self
            .agent
            .post(self.url("/v3/kv/txn"))
            .send_json(TxnJson::from(txn));
        let json: TxnReplyJson = read_json(check_status(result)?)?;
        let reply = json.try_into().map_err(PlatformError::NoReply)?;
        Ok(PlatformReply::Txn(reply))
    }

    fn put_object(&self, key: &str, bytes: &[u8]) -> Result<PlatformReply, PlatformError> {
        let result = self.agent.put(self.url(&object_path(key))).send(bytes);
        check_status(result)?;
        Ok(PlatformReply::ObjectStored)
    }

    fn get_object(&self, key: &str) -> Result<PlatformReply, PlatformError> {
        let result = self.agent.get(self.url(&object_path(key))).call();
        if let Ok(response) = &result {
            if response.status() == 404 {
                return Ok(PlatformReply::Object(None));
            }
        }
        let bytes = check_status(result)?
            .body_mut()
            .with_config()
            .limit(MAX_REPLY_BYTES)
            .read_to_vec()
            .map_err(no_reply)?;
        Ok(PlatformReply::Object(Some(bytes)))
    }

    fn list_vms(&self) -> Result<PlatformReply, PlatformError> {
        let result = self.agent.get(self.url("/vms")).call();
        let list: VmListJson = read_json(check_status(result)?)?;
        Ok(PlatformReply::VmList(list.vms))
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{key}")
}

fn no_reply(error: ureq::Error) -> PlatformError {
    PlatformError::NoReply(error.to_string())
}

/// Maps the status of a response: a client error means that the request had no
/// effect, any other failure that its effect is unknown.
fn check_status(
    result: Result<Response<Body>, ureq::Error>,
) -> Result<Response<Body>, PlatformError> {
    let response = result.map_err(no_reply)?;
    let status = response.status();
    if status.is_success() {
        Ok(response)
    } else if status.is_client_error() {
        Err(PlatformError::Refused(format!("status {status}")))
    } else {
        Err(PlatformError::NoReply(format!("status {status}")))
    }
}

fn read_json<T>(mut response: Response<Body>) -> Result<T, PlatformError>
where
    T: DeserializeOwned,
{
    response
        .body_mut()
        .with_config()
        .limit(MAX_REPLY_BYTES)
        .read_json()
        .map_err(no_reply)
}
