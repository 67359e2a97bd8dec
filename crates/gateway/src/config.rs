//! Configuration in force: routes, services and limits.

use std::sync::Arc;

use compact_str::CompactString;
use derive_more::Display;
use lagoon_accounts::Accounts;
use lagoon_ids::FastMap;

/// Whether a route's requests may run more than once.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A request runs at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// The response is a stream of events; a request may run more than once if
    /// the route is resumable.
    #[display("streaming")]
    Streaming,
}

/// Service of a route with its share of the requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficSplit {
    /// Name of the service, as in [`Service::name`].
    pub service: CompactString,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Rule for the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name in log lines.
    pub name: CompactString,
    /// Host, in lower case.
    pub host: CompactString,
    /// Path prefix, with a slash at both ends.
    pub prefix: CompactString,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Maximum time until a request's response.
    pub timeout_ms: u64,
    /// Time within which callers expect the response to begin.
    pub target_latency_ms: u64,
    /// Priority, 0 the highest: the order of new programs before targets with limits.
    pub priority: u32,
    /// Services with their shares of the route's requests.
    pub traffic_split: Vec<TrafficSplit>,
    /// Number of targets at which a repeatable request may be interrupted; after
    /// that, it is retried at the same target, unless that one has ended.
    pub max_attempts: u32,
    /// Whether an interrupted stream may resume at another target.
    pub resumable: bool,
    /// Whether a target responds faster to requests whose affinity key it has
    /// served before.
    pub sticky: bool,
    /// Time that a program may pause between calls; its budget row is kept
    /// longer.
    pub retention_ms: u64,
    /// Whether a call's input and output are kept, so that a later call sends
    /// only what is new.
    pub keeps_turns: bool,
    /// Whether callers need no key.
    pub is_public: bool,
}

impl Route {
    /// Whether a request that may have run may run again.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Service for a request; `None` if the route lists none. `hash` is that of
    /// the request's affinity key, so that requests with equal keys get the same
    /// service.
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
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Size of an engine's prompt cache, in tokens.
    pub cache_tokens: u64,
    /// Tokens charged for each event of a streamed response.
    pub tokens_per_event: u64,
}

/// Targets that handle the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name by which routes and target entries refer to the service.
    pub name: CompactString,
    /// Connections that one target accepts from all VMs together.
    pub max_connections: u32,
    /// Properties of the service's model engines; `None` if its targets are no
    /// model engines.
    pub engine: Option<Engine>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum size of the header section, in bytes.
    pub max_header_bytes: u64,
    /// Maximum size of a body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum time to receive the header section.
    pub header_timeout_ms: u64,
    /// Maximum time between two requests of a connection.
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

/// One immutable version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version number; only grows.
    pub version: u64,
    /// Limits on requests and connections, the same for all routes.
    pub limits: Limits,
    /// Client accounts; `None` if callers need no key.
    pub accounts: Option<Accounts>,
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
            accounts: None,
            services,
            hosts,
        }
    }

    /// Route of the host whose prefix is the longest that `path` starts with;
    /// `None` if no route matches. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        routes
            .iter()
            .find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Longest retention of the routes that keep turns; 0 if there is none.
    pub fn max_turn_retention_ms(&self) -> u64 {
        let routes = self.hosts.values().flatten();
        let keeping = routes.filter(|route| route.keeps_turns);
        let retentions = keeping.map(|route| route.retention_ms);
        retentions.max().unwrap_or_default()
    }

    /// Service of this name; `None` if the configuration has none.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}
