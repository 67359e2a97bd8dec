//! Operators' API of one VM.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;
use ureq::http::Response;
use ureq::{Agent, Body};

const TIMEOUT: Duration = Duration::from_secs(15);

/// Reason why a VM gave no answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// VM can't be reached.
    #[error("{address}: {source}")]
    Unreachable {
        /// Its address.
        address: SocketAddr,
        /// Cause.
        source: Box<ureq::Error>,
    },
    /// Answer can't be read.
    #[error("{address}: status {status}: {detail}")]
    InvalidResponse {
        /// Its address.
        address: SocketAddr,
        /// HTTP status.
        status: u16,
        /// Cause.
        detail: String,
    },
}

/// Operators' API of one VM.
#[derive(Debug)]
pub struct OperatorClient {
    address: SocketAddr,
    agent: Agent,
}

impl OperatorClient {
    /// API at an address.
    pub fn new(address: SocketAddr) -> OperatorClient {
        let config = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        OperatorClient {
            address,
            agent: config.into(),
        }
    }

    /// Asks for a path.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer or it can't be read.
    pub fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.read(self.agent.get(self.url(path)).call())
    }

    /// Sends JSON to a path.
    ///
    /// # Errors
    ///
    /// Fails when there is no answer or it can't be read.
    pub fn post<B, T>(&self, path: &str, body: &B) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        self.read(self.agent.post(self.url(path)).send_json(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn read<T>(&self, result: Result<Response<Body>, ureq::Error>) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let unreachable = |error| ClientError::Unreachable {
            address: self.address,
            source: Box::new(error),
        };
        let mut response = result.map_err(unreachable)?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(unreachable)?;
        serde_json::from_str(&text).map_err(|error| ClientError::InvalidResponse {
            address: self.address,
            status,
            detail: format!("{error}: {text}"),
        })
    }
}
