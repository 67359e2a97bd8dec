//! Validated sheet with lookups by name and key.

use std::net::SocketAddr;

use compact_str::CompactString;
use lagoon_ids::{
    AccountName, DomainName, FastMap, MarketName, ModelName, ServiceName, TargetName,
};

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub(crate) u16);

        impl $name {
            /// Index in the sheet's list.
            pub fn index(self) -> usize {
                usize::from(self.0)
            }
        }
    };
}

key!(
    /// Key of a [`Market`].
    MarketKey
);
key!(
    /// Key of a [`Model`].
    ModelKey
);
key!(
    /// Key of a [`Service`].
    ServiceKey
);
key!(
    /// Key of a [`Target`].
    TargetKey
);

/// Market with the budgets and the placement weights of its programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Market {
    /// Name, unique among markets.
    pub name: MarketName,
    /// Token budget of one program.
    pub budget_tokens: u64,
    /// Money budget of one program, in millionths of the currency unit.
    pub budget_money_micros: u64,
    /// Maximum number of calls of one program.
    pub budget_turns: u32,
    /// Weight of latency in target selection, 0 to 1,000; parsed only, the balancer
    /// doesn't use it.
    pub weight_latency: f64,
    /// Weight of cached prompt prefixes that go unused, 0 to 1,000; parsed only, the
    /// balancer doesn't use it.
    pub weight_cache: f64,
}

/// Client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, unique among accounts.
    pub name: AccountName,
    /// Market that its programs belong to.
    pub market: MarketKey,
}

/// Model offered to some markets.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name, unique among models and services.
    pub name: ModelName,
    /// Markets whose programs may call it.
    pub markets: Vec<MarketKey>,
    /// Price of 1,000 tokens, in millionths of the currency unit.
    pub price_micros: u64,
    /// Version, as free text.
    pub version: CompactString,
}

/// Whether a call of a service may be retried after it may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetrySafety {
    /// Calls are idempotent and may be retried.
    Idempotent,
    /// Targets deduplicate retried calls by their idempotency key.
    IdempotencyKey,
    /// Calls must not be sent twice.
    AtMostOnce,
}

/// Plain service (not a model) offered to some markets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name, unique among models and services.
    pub name: ServiceName,
    /// Markets whose programs may call it.
    pub markets: Vec<MarketKey>,
    /// Price of one call, in millionths of the currency unit.
    pub price_micros: u64,
    /// Whether its calls may be retried.
    pub retry_safety: RetrySafety,
}

/// Model or plain service that a target runs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Workload {
    /// Model, on an inference engine.
    Model(ModelKey),
    /// Plain service.
    Service(ServiceKey),
}

/// Whether a target rejects requests with an outdated fencing token.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// Requests with an outdated token are rejected.
    Checked,
    /// Tokens are ignored.
    Ignored,
}

/// Target: a server that runs one model or service.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name, unique among targets.
    pub name: TargetName,
    /// Failure domain that it runs in.
    pub domain: DomainName,
    /// Address that it listens on, unique among targets.
    pub address: SocketAddr,
    /// Model or service that it runs.
    pub serves: Workload,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether it checks fencing tokens.
    pub fencing: Fencing,
}

/// Validated sheet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    /// Markets, in file order like the other lists.
    pub markets: Vec<Market>,
    /// Client accounts.
    pub accounts: Vec<Account>,
    /// Models, indexed by [`ModelKey`].
    pub models: Vec<Model>,
    /// Plain services, indexed by [`ServiceKey`].
    pub services: Vec<Service>,
    /// Targets, indexed by [`TargetKey`].
    pub targets: Vec<Target>,
    pub(crate) account_by_key_hash: FastMap<[u8; 32], usize>,
    pub(crate) market_by_name: FastMap<MarketName, MarketKey>,
    pub(crate) model_by_name: FastMap<ModelName, ModelKey>,
    pub(crate) service_by_name: FastMap<ServiceName, ServiceKey>,
}

impl Sheet {
    /// Account with an API key; `None` for an unknown key.
    pub fn account(&self, api_key: &str) -> Option<&Account> {
        let index = self
            .account_by_key_hash
            .get(&crate::hash_api_key(api_key))?;
        self.accounts.get(*index)
    }

    /// Market with a key of this sheet.
    pub fn market(&self, key: MarketKey) -> &Market {
        &self.markets[key.index()]
    }

    /// Model with a name, if it is offered to the market.
    pub fn model(&self, name: &str, market: MarketKey) -> Option<ModelKey> {
        let key = *self.model_by_name.get(&name.parse::<ModelName>().ok()?)?;
        let is_offered = self.models[key.index()].markets.contains(&market);
        is_offered.then_some(key)
    }

    /// Service with a name, if it is offered to the market.
    pub fn service(&self, name: &str, market: MarketKey) -> Option<ServiceKey> {
        let key = *self
            .service_by_name
            .get(&name.parse::<ServiceName>().ok()?)?;
        let is_offered = self.services[key.index()].markets.contains(&market);
        is_offered.then_some(key)
    }

    /// Key of the market with a name.
    pub fn market_key(&self, name: &MarketName) -> Option<MarketKey> {
        self.market_by_name.get(name).copied()
    }

    /// Targets that run a model or service, with their keys.
    pub fn targets_serving(
        &self,
        workload: Workload,
    ) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets_with_keys()
            .filter(move |(_, target)| target.serves == workload)
    }

    /// All targets, with their keys.
    pub fn targets_with_keys(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets
            .iter()
            .enumerate()
            .map(|(index, target)| (TargetKey(index as u16), target))
    }

    /// Name of a model or service.
    pub fn workload_name(&self, workload: Workload) -> &str {
        match workload {
            Workload::Model(key) => self.models[key.index()].name.as_str(),
            Workload::Service(key) => self.services[key.index()].name.as_str(),
        }
    }
}
