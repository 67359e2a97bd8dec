//! Routes, services and limits that are in force.

use std::sync::Arc;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::FastMap;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RouteKind {
    /// May run more than once.
    #[display("idempotent")]
    Idempotent,
    /// Runs at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// Answer is a series of events.
    #[display("streaming")]
    Streaming,
}

/// Share of a route's requests that a service gets.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficSplit {
    /// Service.
    pub service: CompactString,
    /// Share, against the sum of the route's weights.
    pub weight: u32,
}

/// Rule for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: CompactString,
    /// Host, in lower case.
    pub host: CompactString,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: CompactString,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time within which callers expect the answer to begin.
    pub target_latency_ms: u64,
    /// Rank, 0 first.
    pub priority: u32,
    /// Services with their shares.
    pub traffic_split: Vec<TrafficSplit>,
    /// Targets that may be tried for one request.
    pub max_attempts: u32,
    /// Whether a broken stream may go on at another target.
    pub resumable: bool,
    /// Whether a target that knows the subject answers faster.
    pub sticky: bool,
    /// How long a program may be silent and go on.
    pub retention_ms: u64,
}

impl Route {
    /// Whether a request may run again after it may have run.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Service for a request; `hash` of its subject keeps a subject at one.
    pub fn service(&self, hash: u64) -> Option<&CompactString> {
        let total: u64 = self
            .traffic_split
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        if total == 0 {
            return self.traffic_split.first().map(|split| &split.service);
        }
        let mut point = hash % total;
        for split in &self.traffic_split {
            let weight = u64::from(split.weight);
            if point < weight {
                return Some(&split.service);
            }
            point -= weight;
        }
        None
    }
}

/// Model engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Memory for prompts, in tokens.
    pub cache_tokens: u64,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u64,
}

/// Targets that answer the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: CompactString,
    /// Connections that one target accepts from all VMs.
    pub max_connections: u32,
    /// Model engines, if these are some.
    pub engine: Option<Engine>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Longest header section.
    pub max_header_bytes: u64,
    /// Longest body.
    pub max_body_bytes: u64,
    /// Longest time for the header section.
    pub header_timeout_ms: u64,
    /// Longest time between two requests.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One version of the configuration, immutable.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version; only grows.
    pub version: u64,
    /// Limits.
    pub limits: Limits,
    services: FastMap<CompactString, Arc<Service>>,
    /// Routes by host, longest prefix first.
    hosts: FastMap<CompactString, Vec<Arc<Route>>>,
}

impl Config {
    /// Configuration of these routes and services.
    pub fn new(version: u64, limits: Limits, routes: Vec<Route>, services: Vec<Service>) -> Config {
        let mut hosts: FastMap<CompactString, Vec<Arc<Route>>> = FastMap::default();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Config {
            version,
            limits,
            services,
            hosts,
        }
    }

    /// Route with the longest prefix of `path`; a port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Service of a name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}
