//! Choice of the VM that carries an attempt to a target which this VM can't reach.

use compact_str::CompactString;
use derive_more::Display;
use lagoon_ids::{hash64, FastMap};
use serde::{Deserialize, Serialize};

/// Times by which [`Carriers`] chooses, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CarrierSettings {
    /// Time for which a VM that declined is not asked again.
    pub declined_ms: u64,
    /// VMs of a failure domain that declined in a row after which the domain is
    /// passed over for as long.
    pub domain_declines: u32,
}

impl Default for CarrierSettings {
    fn default() -> Self {
        CarrierSettings {
            declined_ms: 1_000,
            domain_declines: 2,
        }
    }
}

/// Why a VM doesn't carry an attempt; nothing was sent.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize)]
pub enum Decline {
    /// It reaches no target.
    #[display("isolated")]
    Isolated,
    /// It has lost its path to this target.
    #[display("no path")]
    NoPath,
    /// It carries as many as it can, or is about to stop.
    #[display("no room")]
    NoRoom,
    /// It doesn't know this run of the target.
    #[display("unknown target")]
    UnknownTarget,
}

/// Other VM that may carry.
#[derive(Clone, Copy, Debug)]
pub struct Vm<'a> {
    /// Name in the list of VMs.
    pub name: &'a str,
    /// Failure domain that the VM runs in.
    pub domain: &'a str,
}

#[derive(Clone, Copy, Debug, Default)]
struct Carrier {
    in_flight: u32,
    declined_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Domain {
    declines: u32,
    passed_until_ms: u64,
}

/// What this VM knows of the others as carriers.
#[derive(Clone, Debug, Default)]
pub struct Carriers {
    settings: CarrierSettings,
    vms: FastMap<CompactString, Carrier>,
    domains: FastMap<CompactString, Domain>,
}

impl Carriers {
    /// Starts without knowledge of any VM.
    pub fn new(settings: CarrierSettings) -> Carriers {
        Carriers {
            settings,
            ..Carriers::default()
        }
    }

    /// VM that is to carry an attempt, of `vms` without those in `asked`: one of the
    /// domain `own` if possible, else of the domain of the target, else any. `None` if
    /// all have declined lately.
    pub fn choose<'a, I>(
        &self,
        vms: I,
        asked: &[CompactString],
        own: &str,
        target_domain: &str,
        random: u64,
        now_ms: u64,
    ) -> Option<Vm<'a>>
    where
        I: IntoIterator<Item = Vm<'a>>,
    {
        let is_usable = |vm: &Vm<'_>| {
            let carrier = self.vms.get(vm.name);
            carrier.is_none_or(|carrier| now_ms >= carrier.declined_until_ms)
                && !asked.iter().any(|name| name == vm.name)
        };
        let rank = |vm: &Vm<'_>| {
            let domain = self.domains.get(vm.domain);
            let is_passed = domain.is_some_and(|domain| now_ms < domain.passed_until_ms);
            (is_passed, vm.domain != own, vm.domain != target_domain)
        };
        let usable: Vec<Vm<'a>> = vms.into_iter().filter(is_usable).collect();
        let best = usable.iter().map(rank).min()?;
        let mut drawn: Vec<(u64, Vm<'a>)> = usable
            .into_iter()
            .filter(|vm| rank(vm) == best)
            .map(|vm| (draw(vm.name, random), vm))
            .collect();
        drawn.sort_by_key(|(drawn, _)| *drawn);
        let two = drawn.into_iter().take(2).map(|(_, vm)| vm);
        two.min_by_key(|vm| self.vms.get(vm.name).map_or(0, |carrier| carrier.in_flight))
    }

    /// Counts an attempt that is handed to a VM.
    pub fn started(&mut self, name: &str) {
        self.vms.entry(name.into()).or_default().in_flight += 1;
    }

    /// Counts the end of an attempt that was handed to a VM.
    pub fn ended(&mut self, name: &str) {
        if let Some(carrier) = self.vms.get_mut(name) {
            carrier.in_flight = carrier.in_flight.saturating_sub(1);
        }
    }

    /// Records that a VM of this domain reached a target.
    pub fn record_served(&mut self, domain: &str) {
        self.domains.remove(domain);
    }

    /// Records that a VM declined.
    pub fn record_declined(&mut self, vm: Vm<'_>, decline: Decline, now_ms: u64) {
        let until_ms = now_ms + self.settings.declined_ms;
        if matches!(decline, Decline::Isolated | Decline::NoRoom) {
            let carrier = self.vms.entry(vm.name.into()).or_default();
            carrier.declined_until_ms = until_ms;
        }
        if decline == Decline::Isolated {
            let domain = self.domains.entry(vm.domain.into()).or_default();
            domain.declines += 1;
            if domain.declines >= self.settings.domain_declines {
                domain.passed_until_ms = until_ms;
            }
        }
    }

    /// Forgets the VMs without attempts in flight that may be asked again.
    pub fn remove_expired(&mut self, now_ms: u64) {
        self.vms
            .retain(|_, carrier| carrier.in_flight > 0 || now_ms < carrier.declined_until_ms);
        self.domains
            .retain(|_, domain| now_ms < domain.passed_until_ms);
    }
}

/// Place of a VM in the order that `random` gives.
fn draw(name: &str, random: u64) -> u64 {
    hash64(&(hash64(name.as_bytes()) ^ random).to_le_bytes())
}
