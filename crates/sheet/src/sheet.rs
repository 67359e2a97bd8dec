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
            /// Index in the list of the sheet that the key belongs to.
            pub fn index(self) -> usize {
                usize::from(self.0)
            }
        }
    };
}

key!(
    /// Index of a [`Market`] in [`Sheet::markets`]; valid only for the sheet it comes from.
    MarketKey
);
key!(
    /// Index of a [`Model`] in [`Sheet::models`]; valid only for the sheet it comes from.
    ModelKey
);
key!(
    /// Index of a [`Service`] in [`Sheet::services`]; valid only for the sheet it comes from.
    ServiceKey
);
key!(
    /// Index of a [`Target`] in [`Sheet::targets`]; valid only for the sheet it comes from.
    TargetKey
);

/// Market with the budgets and the placement weights of its programs.
#[derive(Clone, Debug, PartialEq)]
pub struct Market {
    /// Name, unique among markets.
    pub name: MarketName,
    /// Maximum token budget of one program; a caller may set a lower one.
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

/// Client account, identified by its API key.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, unique among accounts.
    pub name: AccountName,
    /// Market that the account's programs belong to.
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
    /// Version of the model, as free text.
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
    /// Whether calls of the service may be retried.
    pub retry_safety: RetrySafety,
}

/// Model or plain service that a target runs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Workload {
    /// Model, on an inference engine.
    Model(ModelKey),
    /// Service that isn't a model, such as a tool.
    Service(ServiceKey),
}

/// Whether a target rejects requests with an outdated fencing token; parsed only, the
/// scheduler doesn't use it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// Requests with an outdated token are rejected.
    Checked,
    /// Tokens are ignored, so a request with an outdated one is executed.
    Ignored,
}

/// Target: a server that runs one model or service.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name, unique among targets.
    pub name: TargetName,
    /// Failure domain that the target runs in.
    pub domain: DomainName,
    /// Address that the target listens on, unique among targets.
    pub address: SocketAddr,
    /// Model or service that the target runs.
    pub serves: Workload,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the target checks fencing tokens.
    pub fencing: Fencing,
}

/// Markets, accounts, models, services and targets of a valid sheet file (CSV).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    /// Markets, indexed by [`MarketKey`]; all lists are in file order.
    pub markets: Vec<Market>,
    /// Client accounts; looked up by API key with [`Sheet::account`].
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

    /// Market with a key, which must be of this sheet.
    pub fn market(&self, key: MarketKey) -> &Market {
        &self.markets[key.index()]
    }

    /// Key of the model with a name; `None` if it is unknown or not offered to the market.
    pub fn model(&self, name: &str, market: MarketKey) -> Option<ModelKey> {
        let key = *self.model_by_name.get(&name.parse::<ModelName>().ok()?)?;
        let is_offered = self.models[key.index()].markets.contains(&market);
        is_offered.then_some(key)
    }

    /// Key of the service with a name; `None` if it is unknown or not offered to the market.
    pub fn service(&self, name: &str, market: MarketKey) -> Option<ServiceKey> {
        let key = *self
            .service_by_name
            .get(&name.parse::<ServiceName>().ok()?)?;
        let is_offered = self.services[key.index()].markets.contains(&market);
        is_offered.then_some(key)
    }

    /// Key of the market with a name; `None` if it is unknown.
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

    /// All targets in file order, with their keys.
    pub fn targets_with_keys(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets
            .iter()
            .enumerate()
            .map(|(index, target)| (TargetKey(index as u16), target))
    }

    /// Name of a model or service, whose key must be of this sheet.
    pub fn workload_name(&self, workload: Workload) -> &str {
        match workload {
            Workload::Model(key) => self.models[key.index()].name.as_str(),
            Workload::Service(key) => self.services[key.index()].name.as_str(),
        }
    }
}
