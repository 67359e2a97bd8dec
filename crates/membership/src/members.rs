//! Members of one failure domain.

use std::net::SocketAddr;

use lagoon_ids::{rendezvous_hash, DomainName, FastMap, Incarnation, VmName};

use crate::Heartbeat;

/// Settings of [`Membership`].
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Own VM.
    pub vm: VmName,
    /// Own failure domain.
    pub domain: DomainName,
    /// Own incarnation.
    pub incarnation: Incarnation,
    /// Silence after which a VM counts as dead.
    pub suspect_ms: u64,
}

/// One other VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its latest incarnation.
    pub incarnation: Incarnation,
    /// Number of that incarnation's start.
    pub started_ms: u64,
    /// Where it takes messages.
    pub peer_address: SocketAddr,
    /// Time of the last sign of life.
    pub last_heard_ms: u64,
    /// Whether any source called it leaving.
    pub leaving: bool,
    /// Whether it has been silent for too long.
    pub dead: bool,
    /// Version of the sheet it has in force.
    pub sheet_version: u64,
}

/// Change of the membership.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// VM was heard for the first time, or in a new incarnation.
    Joined(VmName),
    /// VM is leaving.
    Leaving(VmName),
    /// Incarnation is dead.
    Dead {
        /// VM that it ran on.
        vm: VmName,
        /// Incarnation.
        incarnation: Incarnation,
    },
}

/// Members of one failure domain, without the own VM.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    others: FastMap<VmName, Member>,
    leaving: bool,
}

impl Membership {
    /// Membership that knows just the own VM.
    pub fn new(settings: MembershipSettings) -> Membership {
        Membership {
            settings,
            others: FastMap::default(),
            leaving: false,
        }
    }

    /// Own settings.
    pub fn settings(&self) -> &MembershipSettings {
        &self.settings
    }

    /// Marks the own VM as leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the own VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Other VMs that were ever heard.
    pub fn peers(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.others.iter()
    }

    /// One other VM.
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.others.get(vm)
    }

    /// VM that runs an incarnation, if it is its latest one.
    pub fn find_incarnation(&self, incarnation: &Incarnation) -> Option<(&VmName, &Member)> {
        self.others
            .iter()
            .find(|(_, member)| member.incarnation == *incarnation)
    }

    /// VMs that take new work, the own one included unless it is leaving.
    pub fn live(&self) -> Vec<&VmName> {
        let others = self
            .others
            .iter()
            .filter(|(_, member)| !member.dead && !member.leaving)
            .map(|(vm, _)| vm);
        let own = (!self.leaving).then_some(&self.settings.vm);
        let mut live: Vec<&VmName> = others.chain(own).collect();
        live.sort();
        live
    }

    /// Whether this VM and those it hears are most of the failure domain.
    ///
    /// Of two equal halves the one with the first name counts as most.
    pub fn has_quorum(&self) -> bool {
        let heard = self.others.values().filter(|member| !member.dead).count() + 1;
        let total = self.others.len() + 1;
        let first = self
            .others
            .iter()
            .all(|(vm, member)| !member.dead || *vm > self.settings.vm);
        2 * heard > total || (2 * heard == total && first)
    }

    /// VM that `key` falls to among those that take new work.
    pub fn assigned_vm(&self, key: &str) -> Option<&VmName> {
        rendezvous_hash(key, self.live())
    }

    /// Takes a heartbeat.
    pub fn on_heartbeat(&mut self, beat: &Heartbeat, now_ms: u64) -> Vec<MembershipChange> {
        if beat.domain != self.settings.domain || beat.vm == self.settings.vm {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let known = self.others.get(&beat.vm);
        let newer = known.is_none_or(|member| beat.started_ms > member.started_ms);
        if newer {
            if let Some(old) = known.filter(|member| !member.dead) {
                changes.push(MembershipChange::Dead {
                    vm: beat.vm.clone(),
                    incarnation: old.incarnation.clone(),
                });
            }
            changes.push(MembershipChange::Joined(beat.vm.clone()));
            self.others
                .insert(beat.vm.clone(), first_heard(beat, now_ms));
        }
        let Some(member) = self.others.get_mut(&beat.vm) else {
            return changes;
        };
        if member.incarnation != beat.incarnation {
            // An incarnation that a newer one followed never comes back.
            return changes;
        }
        if member.dead {
            // It was cut off. Whoever knows that it is sealed asks nothing here.
            member.dead = false;
            changes.push(MembershipChange::Joined(beat.vm.clone()));
        }
        member.last_heard_ms = now_ms;
        member.sheet_version = beat.sheet_version;
        if beat.leaving && (newer || !member.leaving) {
            member.leaving = true;
            changes.push(MembershipChange::Leaving(beat.vm.clone()));
        }
        changes
    }

    /// Takes the word of another source that a VM is leaving.
    pub fn on_leaving(&mut self, vm: &VmName) -> Vec<MembershipChange> {
        match self.others.get_mut(vm) {
            Some(member) if !member.leaving => {
                member.leaving = true;
                vec![MembershipChange::Leaving(vm.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Counts the silence of all VMs anew, after a pause of the own one.
    pub fn reset_silence_timers(&mut self, now_ms: u64) {
        for member in self.others.values_mut() {
            member.last_heard_ms = now_ms;
        }
    }

    /// Finds the VMs that have been silent for too long.
    pub fn tick(&mut self, now_ms: u64) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        for (vm, member) in &mut self.others {
            let silent = now_ms >= member.last_heard_ms + self.settings.suspect_ms;
            if silent && !member.dead {
                member.dead = true;
                changes.push(MembershipChange::Dead {
                    vm: vm.clone(),
                    incarnation: member.incarnation.clone(),
                });
            }
        }
        changes
    }
}

fn first_heard(beat: &Heartbeat, now_ms: u64) -> Member {
    Member {
        incarnation: beat.incarnation.clone(),
        started_ms: beat.started_ms,
        peer_address: beat.peer_address,
        last_heard_ms: now_ms,
        leaving: false,
        dead: false,
        sheet_version: beat.sheet_version,
    }
}
