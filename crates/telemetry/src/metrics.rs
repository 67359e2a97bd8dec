//! Metrics sent to a StatsD server over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient};

const PREFIX: &str = "lagoon";

/// StatsD client that drops metrics which can't be sent.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Creates a client that tags all metrics with `vm`; without an address,
    /// metrics are discarded.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be opened.
    pub fn new(statsd: Option<SocketAddr>, vm: &str) -> Result<Metrics, std::io::Error> {
        let builder = match statsd {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
                // A full socket buffer drops metrics instead of blocking the daemon.
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(address, socket)
                    .map_err(|error| std::io::Error::other(error.to_string()))?;
                StatsdClient::builder(PREFIX, sink)
            }
        };
        let client = builder
            .with_tag("vm", vm)
            .with_error_handler(|_| {})
            .build();
        Ok(Metrics { client })
    }

    /// Adds `amount` to a counter; `name` is sent with the prefix `lagoon.`.
    pub fn count(&self, name: &str, amount: i64) {
        self.client.count_with_tags(name, amount).send();
    }

    /// Adds `amount` to a counter, with a tag besides `vm`.
    pub fn count_tagged(&self, name: &str, amount: i64, tag: &str, value: &str) {
        self.client
            .count_with_tags(name, amount)
            .with_tag(tag, value)
            .send();
    }

    /// Sets a gauge, which keeps its value until it is set again.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// Sends buffered metrics.
    pub fn flush(&self) {
        // An error is ignored: metrics that can't be sent are dropped.
        let _ = self.client.flush();
    }
}
