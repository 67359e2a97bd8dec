//! Contents of a checked sheet.

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
            /// Place in the sheet's list.
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

/// Market with the rules that its programs run under.
#[derive(Clone, Debug, PartialEq)]
pub struct Market {
    /// Name.
    pub name: MarketName,
    /// Token budget of one program.
    pub budget_tokens: u64,
    /// Money budget of one program, in millionths.
    pub budget_money_micros: u64,
    /// Longest program, in calls.
    pub budget_turns: u32,
    /// Weight of latency in the choice of a target.
    pub weight_latency: f64,
    /// Weight of wasted cache in the choice of a target.
    pub weight_cache: f64,
}

/// Client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub name: AccountName,
    /// Market that its programs belong to.
    pub market: MarketKey,
}

/// Model that answers some markets.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: ModelName,
    /// Markets it answers.
    pub markets: Vec<MarketKey>,
    /// Price of 1,000 tokens, in millionths.
    pub price_micros: u64,
    /// Version.
    pub version: CompactString,
}

/// Whether calls of a service may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetrySafety {
    /// Calls are idempotent.
    Idempotent,
    /// Target deduplicates calls by their idempotency key.
    IdempotencyKey,
    /// Calls must not be sent twice.
    AtMostOnce,
}

/// Plain service that answers some markets.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Markets it answers.
    pub markets: Vec<MarketKey>,
    /// Price of one call, in millionths.
    pub price_micros: u64,
    /// Whether its calls may be repeated.
    pub retry_safety: RetrySafety,
}

/// What a target runs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Workload {
    /// Model.
    Model(ModelKey),
    /// Plain service.
    Service(ServiceKey),
}

/// Whether a target refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// Old numbers are refused.
    Checked,
    /// Numbers are ignored.
    Ignored,
}

/// Target.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name.
    pub name: TargetName,
    /// Failure domain it stands in.
    pub domain: DomainName,
    /// Address it listens on.
    pub address: SocketAddr,
    /// What it runs.
    pub serves: Workload,
    /// Calls it runs at once.
    pub slots: u32,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
}

/// Checked sheet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sheet {
    /// Markets, in the order of the file.
    pub markets: Vec<Market>,
    /// Accounts.
    pub accounts: Vec<Account>,
    /// Models.
    pub models: Vec<Model>,
    /// Services.
    pub services: Vec<Service>,
    /// Targets.
    pub targets: Vec<Target>,
    pub(crate) account_by_key: FastMap<[u8; 32], usize>,
    pub(crate) market_by_name: FastMap<MarketName, MarketKey>,
    pub(crate) model_by_name: FastMap<ModelName, ModelKey>,
    pub(crate) service_by_name: FastMap<ServiceName, ServiceKey>,
}

impl Sheet {
    /// Account that an API key belongs to.
    pub fn account(&self, api_key: &str) -> Option<&Account> {
        let place = self.account_by_key.get(&crate::hash_api_key(api_key))?;
        self.accounts.get(*place)
    }

    /// Market of a key.
    pub fn market(&self, key: MarketKey) -> &Market {
        &self.markets[key.index()]
    }

    /// Model by name, if it answers the market.
    pub fn model(&self, name: &str, market: MarketKey) -> Option<ModelKey> {
        let key = *self.model_by_name.get(&name.parse::<ModelName>().ok()?)?;
        let answers = self.models[key.index()].markets.contains(&market);
        answers.then_some(key)
    }

    /// Service by name, if it answers the market.
    pub fn service(&self, name: &str, market: MarketKey) -> Option<ServiceKey> {
        let key = *self
            .service_by_name
            .get(&name.parse::<ServiceName>().ok()?)?;
        let answers = self.services[key.index()].markets.contains(&market);
        answers.then_some(key)
    }

    /// Market by name.
    pub fn market_key(&self, name: &MarketName) -> Option<MarketKey> {
        self.market_by_name.get(name).copied()
    }

    /// Targets that run `serves`, with their keys.
    pub fn targets_serving(&self, serves: Workload) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets_with_keys()
            .filter(move |(_, target)| target.serves == serves)
    }

    /// All targets with their keys.
    pub fn targets_with_keys(&self) -> impl Iterator<Item = (TargetKey, &Target)> {
        self.targets
            .iter()
            .enumerate()
            .map(|(place, target)| (TargetKey(place as u16), target))
    }

    /// Name of what a target runs.
    pub fn workload_name(&self, serves: Workload) -> &str {
        match serves {
            Workload::Model(key) => self.models[key.index()].name.as_str(),
            Workload::Service(key) => self.services[key.index()].name.as_str(),
        }
    }
}
