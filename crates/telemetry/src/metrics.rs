//! Metrics for a StatsD address.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient};

const PREFIX: &str = "lagoon";

/// Sender of metrics; what can't be sent is dropped.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Metrics for an address, or for nobody.
    ///
    /// # Errors
    ///
    /// Fails when no socket can be opened.
    pub fn new(statsd: Option<SocketAddr>, vm: &str) -> Result<Metrics, std::io::Error> {
        let builder = match statsd {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind((std::net::Ipv4Addr::UNSPECIFIED, 0))?;
                // A full socket drops metrics; it never holds the daemon up.
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

    /// Adds to a counter.
    pub fn count(&self, name: &str, amount: i64) {
        self.client.count_with_tags(name, amount).send();
    }

    /// Adds to a counter that has a tag.
    pub fn count_tagged(&self, name: &str, tag: &str, value: &str) {
        self.client
            .count_with_tags(name, 1)
            .with_tag(tag, value)
            .send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }

    /// Sends what is buffered.
    pub fn flush(&self) {
        // Metrics that can't be sent are dropped, as everywhere here.
        let _ = self.client.flush();
    }
}
