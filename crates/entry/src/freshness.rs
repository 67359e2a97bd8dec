//! Asks other VMs how recent the configuration is, while the store doesn't tell.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;
use lagoon_accounts::{Recency, StatedEvidence};
use lagoon_adapter::{CONFIG_KEY, OPERATOR_TABLE};
use lagoon_gateway::{Peers, Row, RowKey};
use lagoon_ids::FastSet;
use rand::seq::IndexedRandom;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::clock::boot_now_ms;
use crate::state::DaemonState;
use crate::watch::apply_config;

/// Interval at which it is looked whether other VMs are to be asked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// VMs of the own failure domain, and of the other ones together, that are asked in one
/// round.
const OWN_DOMAIN_VMS: usize = 2;
const OTHER_DOMAIN_VMS: usize = 1;

/// Time for a reply. A late one is of use, too, but makes the evidence as old.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Asks other VMs whenever the evidence is old. Does nothing without strict
/// revocation.
pub(crate) async fn keep_evidence(state: Rc<DaemonState>) {
    if !state.evidence.is_strict() {
        std::future::pending().await
    }
    let mut was_stale = false;
    loop {
        sleep(CHECK_INTERVAL).await;
        let is_stale = state.evidence.recency() == Recency::Stale;
        if is_stale != was_stale {
            was_stale = is_stale;
            let age_ms = state.evidence.age_ms().map_or(-1, |age_ms| age_ms as i64);
            let row_version = state.evidence.version();
            if is_stale {
                log::warn!(row_version, age_ms; "configuration may be outdated; requests with keys are refused");
            } else {
                log::info!(row_version, age_ms; "configuration is known to be recent");
            }
        }
        if !state.evidence.take_question() {
            continue;
        }
        let asked = choose_vms(&state.peer_client.peers.borrow());
        for name in asked {
            spawn_local(ask(Rc::clone(&state), name));
        }
    }
}

/// VMs that are asked in one round, at random. Those to which the last request failed
/// are left out, unless there are no others.
fn choose_vms(peers: &Peers) -> Vec<CompactString> {
    let responsive: FastSet<&str> = peers.responsive_entries().map(|(name, _)| name).collect();
    let mut rng = rand::rng();
    let mut chosen = Vec::new();
    for (is_own, count) in [(true, OWN_DOMAIN_VMS), (false, OTHER_DOMAIN_VMS)] {
        let vms = peers.entries();
        let vms = vms.filter(|(_, domain)| (*domain == peers.own_domain().as_str()) == is_own);
        let vms: Vec<&str> = vms.map(|(name, _)| name).collect();
        let known = vms.iter().copied().filter(|name| responsive.contains(name));
        let known: Vec<&str> = known.collect();
        let vms = if known.is_empty() { vms } else { known };
        chosen.extend(
            vms.sample(&mut rng, count)
                .map(|name| CompactString::new(name)),
        );
    }
    chosen
}

/// Asks one VM, and puts its configuration in force if it is newer.
async fn ask(state: Rc<DaemonState>, name: CompactString) {
    let Some(asked_ms) = boot_now_ms() else {
        return;
    };
    let known_version = state.evidence.known_version();
    let peer_client = Rc::clone(&state.peer_client);
    let reply = peer_client.read_freshness(&name, known_version, REPLY_TIMEOUT);
    let Some(reply) = reply.await else {
        return;
    };
    if let Some(value) = reply.value {
        let row = Row {
            key: RowKey {
                table: CompactString::const_new(OPERATOR_TABLE),
                partition: CompactString::default(),
                key: CompactString::const_new(CONFIG_KEY),
            },
            value: Some(value),
            version: reply.version,
        };
        log::info!(peer = name.as_str(), row_version = row.version; "configuration from another VM");
        apply_config(&state, &row);
    }
    let stated = StatedEvidence {
        age_ms: reply.age_ms,
        version: reply.version,
    };
    let is_evidence = state.evidence.record_stated(asked_ms, stated);
    log::debug!(peer = name.as_str(), age_ms = stated.age_ms, row_version = stated.version, is_evidence; "evidence of another VM");
}
