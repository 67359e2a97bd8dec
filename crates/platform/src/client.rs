//! Carrying a request out over HTTP.

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

/// Largest object or reply, in bytes.
const REPLY_LIMIT_BYTES: u64 = 256_000_000;

/// Settings of a [`Client`].
#[derive(Clone, Debug, PartialEq)]
pub struct ClientSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Longest wait for one try.
    pub timeout_ms: u64,
    /// Retries.
    pub retry: RetrySettings,
    /// Circuit breaker.
    pub breaker: CircuitBreakerSettings,
}

impl ClientSettings {
    /// Default settings for an address.
    pub fn with_address(address: SocketAddr) -> ClientSettings {
        ClientSettings {
            address,
            timeout_ms: 1_000,
            retry: RetrySettings::default(),
            breaker: CircuitBreakerSettings::default(),
        }
    }
}

struct Guard {
    breaker: CircuitBreaker,
    budget: RetryBudget,
}

/// Client of the platform, shared by threads.
pub struct Client {
    settings: ClientSettings,
    agent: Agent,
    guard: Mutex<Guard>,
    started: Instant,
}

impl Client {
    /// Client that has not connected yet.
    pub fn new(settings: ClientSettings) -> Client {
        let config = Agent::config_builder()
            .timeout_global(Some(Duration::from_millis(settings.timeout_ms)))
            .http_status_as_error(false)
            .build();
        let guard = Guard {
            breaker: CircuitBreaker::new(settings.breaker),
            budget: RetryBudget::new(settings.retry),
        };
        Client {
            settings,
            agent: config.into(),
            guard: Mutex::new(guard),
            started: Instant::now(),
        }
    }

    /// Carries a request out, with retries; blocks.
    ///
    /// A transaction that is repeated after a lost reply finds its own rows,
    /// so each one must say in its conditions what it would find then.
    ///
    /// # Errors
    ///
    /// Fails when no try got a reply, the breaker is open or the platform
    /// refuses.
    pub fn execute(&self, request: &PlatformRequest) -> Result<PlatformReply, PlatformError> {
        self.guard().budget.deposit();
        let mut attempt = 0;
        loop {
            let permit = self.guard().breaker.permit(self.now_ms());
            permit.map_err(PlatformError::CircuitOpen)?;
            let result = self.send(request);
            let failed = matches!(result, Err(PlatformError::NoReply(_)));
            self.guard().breaker.record(!failed, self.now_ms());
            attempt += 1;
            if !failed
                || attempt >= self.settings.retry.max_attempts
                || !self.guard().budget.withdraw()
            {
                return result;
            }
            let pause_ms = self
                .settings
                .retry
                .backoff_ms(attempt, rand::rng().random());
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    fn guard(&self) -> MutexGuard<'_, Guard> {
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
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
            PlatformRequest::ListVms => self.vms(),
        }
    }

    fn send_txn(&self, txn: &Txn) -> Result<PlatformReply, PlatformError> {
        let result = self
            .agent
            .post(self.url("/v3/kv/txn"))
            .send_json(TxnJson::from(txn));
        let json: TxnReplyJson = read_json(accepted(result)?)?;
        let reply = json.try_into().map_err(PlatformError::NoReply)?;
        Ok(PlatformReply::Txn(reply))
    }

    fn put_object(&self, key: &str, bytes: &[u8]) -> Result<PlatformReply, PlatformError> {
        let result = self.agent.put(self.url(&object_path(key))).send(bytes);
        accepted(result)?;
        Ok(PlatformReply::ObjectStored)
    }

    fn get_object(&self, key: &str) -> Result<PlatformReply, PlatformError> {
        let result = self.agent.get(self.url(&object_path(key))).call();
        if let Ok(response) = &result {
            if response.status() == 404 {
                return Ok(PlatformReply::Object(None));
            }
        }
        let bytes = accepted(result)?
            .body_mut()
            .with_config()
            .limit(REPLY_LIMIT_BYTES)
            .read_to_vec()
            .map_err(no_reply)?;
        Ok(PlatformReply::Object(Some(bytes)))
    }

    fn vms(&self) -> Result<PlatformReply, PlatformError> {
        let result = self.agent.get(self.url("/vms")).call();
        let list: VmListJson = read_json(accepted(result)?)?;
        Ok(PlatformReply::VmList(list.vms))
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{key}")
}

fn no_reply(error: ureq::Error) -> PlatformError {
    PlatformError::NoReply(error.to_string())
}

/// Response with a status that says the request was carried out.
fn accepted(result: Result<Response<Body>, ureq::Error>) -> Result<Response<Body>, PlatformError> {
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
        .limit(REPLY_LIMIT_BYTES)
        .read_json()
        .map_err(no_reply)
}
