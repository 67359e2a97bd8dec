//! Client of the operators' API of a VM.

use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;
use ureq::http::Response;
use ureq::{Agent, Body};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of a request to a VM.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The VM is unreachable, or the connection broke during the response.
    #[error("{address}: {source}")]
    Unreachable {
        /// Address of the VM's operators' API.
        address: SocketAddr,
        /// Connection, timeout or protocol error.
        source: Box<ureq::Error>,
    },
    /// The response isn't JSON of the expected type.
    #[error("{address}: status {status}: {detail}")]
    InvalidResponse {
        /// Address of the VM's operators' API.
        address: SocketAddr,
        /// HTTP status of the response.
        status: u16,
        /// Parse error and text of the response.
        detail: String,
    },
}

/// Client of the operators' API of a VM.
#[derive(Debug)]
pub struct OperatorClient {
    address: SocketAddr,
    agent: Agent,
}

impl OperatorClient {
    /// Creates a client for the address of a VM's operators' API; opens no connection yet.
    pub fn new(address: SocketAddr) -> OperatorClient {
        let config = Agent::config_builder()
            .timeout_global(Some(REQUEST_TIMEOUT))
            .http_status_as_error(false)
            .build();
        OperatorClient {
            address,
            agent: config.into(),
        }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// Fails if there is no response or it can't be parsed.
    pub fn get<T>(&self, path: &str) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        self.parse_response(self.agent.get(self.url(path)).call())
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails if there is no response or it can't be parsed.
    pub fn post<B, T>(&self, path: &str, body: &B) -> Result<T, ClientError>
    where
        B: Serialize,
        T: DeserializeOwned,
    {
        self.parse_response(self.agent.post(self.url(path)).send_json(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn parse_response<T>(
        &self,
        result: Result<Response<Body>, ureq::Error>,
    ) -> Result<T, ClientError>
    where
        T: DeserializeOwned,
    {
        let to_unreachable = |error| ClientError::Unreachable {
            address: self.address,
            source: Box::new(error),
        };
        let mut response = result.map_err(to_unreachable)?;
        let status = response.status().as_u16();
        let text = response
            .body_mut()
            .read_to_string()
            .map_err(to_unreachable)?;
        serde_json::from_str(&text).map_err(|error| ClientError::InvalidResponse {
            address: self.address,
            status,
            detail: format!("{error}: {text}"),
        })
    }
}
