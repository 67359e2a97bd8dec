//! Fleet of VMs with a store, under virtual time.

use std::collections::BTreeMap;

use lagoon_accounts::{Freshness, FreshnessSettings, Recency, StatedEvidence};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const REVOCATION_MS: u64 = 5_000;

/// VMs of each failure domain, and of all.
pub(crate) const DOMAIN_VMS: usize = 5;
pub(crate) const VMS: usize = 15;

/// Duration of one step.
const STEP_MS: u64 = 10;

/// Time after a failed call of the store until the next.
const RETRY_MS: u64 = 250;

/// Time after which a call of the store without a reply has failed, besides its wait.
const STORE_TIMEOUT_MS: u64 = 1_500;

/// Time after which a question without a reply is given up.
const PEER_TIMEOUT_MS: u64 = 2_000;

/// VMs that are asked in one round: of the own failure domain, and of others.
const ASKED: [usize; 2] = [2, 1];

/// Keys of which a request is sent in every step.
const KEYS: usize = 3;

/// Accounts by key; `None` for a configuration that can't be decoded.
#[derive(Clone, Debug, Default)]
pub(crate) struct Config(Option<BTreeMap<usize, u32>>);

impl Config {
    pub(crate) fn of(accounts: &[(usize, u32)]) -> Config {
        Config(Some(accounts.iter().copied().collect()))
    }

    pub(crate) fn undecodable() -> Config {
        Config(None)
    }

    fn account(&self, key: usize) -> Option<u32> {
        self.0.as_ref()?.get(&key).copied()
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Request {
    /// Run for this account.
    Served(u32),
    Refused401,
    Refused503,
    /// The VM is frozen.
    NotAnswered,
}

/// Call of the store that waits for a change, or its reply for its arrival.
#[derive(Clone, Copy, Debug)]
struct Watch {
    began_ms: u64,
    /// Time at which it reaches the store.
    reaches_ms: u64,
    /// Newest version at the time of the reply, and the time of its arrival.
    reply: Option<(u64, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Question {
    asker: usize,
    asked: usize,
    asked_ms: u64,
    reaches_ms: u64,
    /// What the other VM stated, and the time of its arrival.
    reply: Option<(StatedEvidence, u64)>,
}

struct Vm {
    freshness: Freshness,
    in_force: u64,
    /// Newest version that the store has shown it.
    seen: u64,
    watch: Option<Watch>,
    retry_ms: u64,
    frozen_until_ms: u64,
    is_rejected: bool,
    knows_others: bool,
}

impl Vm {
    fn new(knows_others: bool, now_ms: u64) -> Vm {
        let settings = FreshnessSettings {
            revocation_ms: REVOCATION_MS,
        };
        Vm {
            freshness: Freshness::new(settings),
            in_force: 0,
            seen: 0,
            watch: None,
            retry_ms: now_ms,
            frozen_until_ms: 0,
            is_rejected: false,
            knows_others,
        }
    }
}

pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    /// Versions from 1 on, each with the time of its acknowledgement, if there was one.
    versions: Vec<(Config, Option<u64>)>,
    vms: Vec<Vm>,
    pending: Vec<Question>,
    /// Whether the first domain reaches neither the store nor the others.
    is_partitioned: bool,
    /// Maximum times of one way.
    pub(crate) store_delay_ms: u64,
    pub(crate) peer_delay_ms: u64,
    /// Watches that began, and questions that were asked.
    pub(crate) watched_calls: u64,
    pub(crate) questions: u64,
    random: Pcg64,
}

impl Fleet {
    pub(crate) fn new(seed: u64) -> Fleet {
        // The clock doesn't start with the fleet.
        let now_ms = 100_000;
        Fleet {
            now_ms,
            versions: Vec::new(),
            vms: (0..VMS).map(|_| Vm::new(true, now_ms)).collect(),
            pending: Vec::new(),
            is_partitioned: false,
            store_delay_ms: 40,
            peer_delay_ms: 20,
            watched_calls: 0,
            questions: 0,
            random: Pcg64::seed_from_u64(seed),
        }
    }

    /// Writes a configuration, which the store acknowledges in this step.
    pub(crate) fn write(&mut self, config: Config) {
        self.versions.push((config, Some(self.now_ms)));
    }

    pub(crate) fn write_unacknowledged(&mut self, config: Config) {
        self.versions.push((config, None));
    }

    pub(crate) fn freeze(&mut self, vm: usize, duration_ms: u64) {
        self.vms[vm].frozen_until_ms = self.now_ms + duration_ms;
    }

    pub(crate) fn set_rejected(&mut self, vms: &[usize], is_rejected: bool) {
        for vm in vms {
            self.vms[*vm].is_rejected = is_rejected;
        }
    }

    pub(crate) fn set_partitioned(&mut self, is_partitioned: bool) {
        self.is_partitioned = is_partitioned;
    }

    pub(crate) fn restart(&mut self, vm: usize, knows_others: bool) {
        let is_rejected = self.vms[vm].is_rejected;
        self.vms[vm] = Vm::new(knows_others, self.now_ms);
        self.vms[vm].is_rejected = is_rejected;
        self.pending.retain(|question| question.asker != vm);
    }

    pub(crate) fn age_ms(&self, vm: usize) -> u64 {
        let age_ms = self.vms[vm].freshness.age_ms(self.now_ms);
        age_ms.expect("has evidence")
    }

    pub(crate) fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    pub(crate) fn assert_all(&self, key: usize, expected: Request) {
        for vm in 0..VMS {
            assert_eq!(self.request(vm, key), expected, "VM {vm}");
        }
    }

    /// What a request that is sent now with this key gets.
    pub(crate) fn request(&self, vm: usize, key: usize) -> Request {
        let vm = &self.vms[vm];
        if vm.frozen_until_ms > self.now_ms {
            return Request::NotAnswered;
        }
        if vm.in_force == 0 {
            return Request::Refused503;
        }
        let account = self.versions[vm.in_force as usize - 1].0.account(key);
        match (account, vm.freshness.recency(self.now_ms)) {
            (_, Recency::Stale) | (None, Recency::Aging) => Request::Refused503,
            (Some(account), _) => Request::Served(account),
            (None, Recency::Recent) => Request::Refused401,
        }
    }

    /// Sends requests first, so that a VM that resumes gets them before any news.
    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        for vm in 0..VMS {
            for key in 0..KEYS {
                self.check(vm, key);
            }
        }
        for vm in 0..VMS {
            if self.vms[vm].frozen_until_ms <= self.now_ms {
                self.step_watch(vm);
                self.step_questions(vm);
            }
        }
        self.step_replies();
    }

    /// No request may run later than the revocation time after the acknowledgement of a
    /// configuration that the VM doesn't have and in which the key isn't that account's.
    fn check(&self, vm: usize, key: usize) {
        let Request::Served(account) = self.request(vm, key) else {
            return;
        };
        let in_force = self.vms[vm].in_force as usize;
        let newer = self.versions[in_force..].iter();
        let revoking = newer.filter(|(config, _)| config.account(key) != Some(account));
        let acknowledged = revoking.filter_map(|(_, acknowledged_ms)| *acknowledged_ms);
        if let Some(first_ms) = acknowledged.min() {
            let late_ms = self.now_ms - first_ms;
            assert!(
                late_ms <= REVOCATION_MS,
                "VM {vm} serves key {key} {late_ms} ms after its revocation"
            );
        }
    }

    fn reaches_store(&self, vm: usize) -> bool {
        let is_cut_off = self.is_partitioned && vm < DOMAIN_VMS;
        !self.vms[vm].is_rejected && !is_cut_off
    }

    fn reaches(&self, vm: usize, other: usize) -> bool {
        !self.is_partitioned || (vm < DOMAIN_VMS) == (other < DOMAIN_VMS)
    }

    fn delay(&mut self, max_ms: u64) -> u64 {
        self.random.random_range(0..=max_ms)
    }

    fn put_in_force(&mut self, vm: usize, version: u64) {
        let is_decodable = self.versions[version as usize - 1].0 .0.is_some();
        let vm = &mut self.vms[vm];
        if is_decodable && version > vm.in_force {
            vm.in_force = version;
            vm.freshness.put_in_force(version);
        }
    }

    fn step_watch(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let newest = self.versions.len() as u64;
        let Some(mut watch) = self.vms[vm].watch else {
            if now_ms >= self.vms[vm].retry_ms {
                let reaches_ms = now_ms + self.delay(self.store_delay_ms);
                self.watched_calls += 1;
                self.vms[vm].watch = Some(Watch {
                    began_ms: now_ms,
                    reaches_ms,
                    reply: None,
                });
            }
            return;
        };
        let watch_ms = self.vms[vm].freshness.settings().watch_ms();
        let has_failed = now_ms >= watch.began_ms + watch_ms + STORE_TIMEOUT_MS;
        if has_failed || (!self.reaches_store(vm) && watch.reply.is_none()) {
            self.vms[vm].watch = None;
            self.vms[vm].retry_ms = now_ms + RETRY_MS;
            return;
        }
        match watch.reply {
            None => {
                let is_changed = newest > self.vms[vm].seen && now_ms >= watch.reaches_ms;
                if is_changed || now_ms >= watch.reaches_ms + watch_ms {
                    watch.reply = Some((newest, now_ms + self.delay(self.store_delay_ms)));
                }
                self.vms[vm].watch = Some(watch);
            }
            Some((version, arrives_ms)) if now_ms >= arrives_ms => {
                self.vms[vm].watch = None;
                self.vms[vm].retry_ms = now_ms;
                self.vms[vm].seen = version;
                if version > 0 {
                    self.put_in_force(vm, version);
                    self.vms[vm].freshness.record(watch.began_ms, version);
                }
            }
            Some(_) => {}
        }
    }

    fn step_questions(&mut self, vm: usize) {
        let now_ms = self.now_ms;
        let knows_others = self.vms[vm].knows_others;
        if !self.vms[vm].freshness.take_question(now_ms) || !knows_others {
            return;
        }
        for (group, count) in ASKED.into_iter().enumerate() {
            for _ in 0..count {
                let asked = self.random.random_range(0..VMS);
                let is_own = asked / DOMAIN_VMS == vm / DOMAIN_VMS;
                if asked == vm || is_own != (group == 0) {
                    // As if a VM that doesn't answer was chosen.
                    continue;
                }
                self.questions += 1;
                let reaches_ms = now_ms + self.delay(self.peer_delay_ms);
                self.pending.push(Question {
                    asker: vm,
                    asked,
                    asked_ms: now_ms,
                    reaches_ms,
                    reply: None,
                });
            }
        }
    }

    fn step_replies(&mut self) {
        let now_ms = self.now_ms;
        for mut question in std::mem::take(&mut self.pending) {
            let (asker, asked) = (question.asker, question.asked);
            let frozen = [asker, asked].map(|vm| self.vms[vm].frozen_until_ms > now_ms);
            let [is_asker_frozen, is_asked_frozen] = frozen;
            match question.reply {
                _ if !self.reaches(asker, asked) => continue,
                None if now_ms >= question.reaches_ms && !is_asked_frozen => {
                    let Some(stated) = self.vms[asked].freshness.state(now_ms) else {
                        continue;
                    };
                    let arrives_ms = now_ms + self.delay(self.peer_delay_ms);
                    question.reply = Some((stated, arrives_ms));
                }
                Some((stated, arrives_ms)) if now_ms >= arrives_ms && !is_asker_frozen => {
                    if stated.version > self.vms[asker].in_force {
                        self.put_in_force(asker, stated.version);
                    }
                    let freshness = &mut self.vms[asker].freshness;
                    freshness.record_stated(question.asked_ms, stated);
                    continue;
                }
                None | Some(_) => {}
            }
            // A frozen VM gives up only after it has resumed, when the reply may be there.
            if now_ms < question.asked_ms + PEER_TIMEOUT_MS || is_asker_frozen {
                self.pending.push(question);
            }
        }
    }
}
