//! Membership view and failure detection.

use std::net::SocketAddr;

use lagoon_ids::{rendezvous_hash, DomainName, FastMap, Incarnation, VmName};

use crate::Heartbeat;

/// Identity of the local VM, and the failure timeout of its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// Name of the local VM, whose own heartbeats are ignored.
    pub vm: VmName,
    /// Failure domain of the local VM.
    pub domain: DomainName,
    /// Incarnation of the local VM.
    pub incarnation: Incarnation,
    /// Time without a heartbeat after which a VM is declared dead, in milliseconds.
    pub suspect_ms: u64,
}

/// State of a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Latest known incarnation of the peer.
    pub incarnation: Incarnation,
    /// Start of that incarnation, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Address at which the peer receives messages from other VMs.
    pub peer_address: SocketAddr,
    /// Time from which the failure timeout runs, in milliseconds since the Unix epoch:
    /// the last heartbeat or the last restart of the timeout.
    pub last_heard_ms: u64,
    /// Whether any source has reported the VM as leaving.
    pub leaving: bool,
    /// Whether the VM has been declared dead; a later heartbeat of the same incarnation revokes it.
    pub dead: bool,
    /// Version of the sheet in effect on the peer; 0 if none is.
    pub sheet_version: u64,
}

/// Change in the state of a peer, found by a heartbeat, the VM list or a timeout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipChange {
    /// First heartbeat of an incarnation, or the first after it was declared dead.
    Joined(VmName),
    /// First report that a VM is shutting down.
    Leaving(VmName),
    /// Incarnation timed out or was superseded by a new one.
    Dead {
        /// VM that the incarnation ran on; a newer one may run there already.
        vm: VmName,
        /// Dead incarnation.
        incarnation: Incarnation,
    },
}

/// Membership of one failure domain, as seen by the local VM.
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipSettings,
    peers: FastMap<VmName, Member>,
    leaving: bool,
}

impl Membership {
    /// Membership without any peers.
    pub fn new(settings: MembershipSettings) -> Membership {
        Membership {
            settings,
            peers: FastMap::default(),
            leaving: false,
        }
    }

    /// Settings that the membership was created with.
    pub fn settings(&self) -> &MembershipSettings {
        &self.settings
    }

    /// Marks the local VM as leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the local VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// All known peers, including dead ones.
    pub fn peers(&self) -> impl Iterator<Item = (&VmName, &Member)> {
        self.peers.iter()
    }

    /// State of a peer; `None` if the VM is unknown.
    pub fn get(&self, vm: &VmName) -> Option<&Member> {
        self.peers.get(vm)
    }

    /// Peer whose latest incarnation is the given one; `None` if that is unknown or superseded.
    pub fn find_incarnation(&self, incarnation: &Incarnation) -> Option<(&VmName, &Member)> {
        self.peers
            .iter()
            .find(|(_, member)| member.incarnation == *incarnation)
    }

    /// VMs that accept new work, in the order of their names.
    ///
    /// Includes the local VM unless it is leaving.
    pub fn live(&self) -> Vec<&VmName> {
        let peers = self
            .peers
            .iter()
            .filter(|(_, member)| !member.dead && !member.leaving)
            .map(|(vm, _)| vm);
        let own = (!self.leaving).then_some(&self.settings.vm);
        let mut live: Vec<&VmName> = peers.chain(own).collect();
        live.sort();
        live
    }

    /// Whether the local VM and its reachable peers are a majority of the known VMs.
    ///
    /// If exactly half of the known VMs are reachable, they are a quorum only if every
    /// unreachable VM has a higher name than the local one. So if the VMs are split
    /// in two halves, at most one of the halves has a quorum.
    pub fn has_quorum(&self) -> bool {
        let reachable = self.peers.values().filter(|member| !member.dead).count() + 1;
        let total = self.peers.len() + 1;
        let lowest = self
            .peers
            .iter()
            .all(|(vm, member)| !member.dead || *vm > self.settings.vm);
        2 * reachable > total || (2 * reachable == total && lowest)
    }

    /// Live VM that rendezvous hashing assigns to `key`; `None` if no VM accepts new work.
    pub fn assigned_vm(&self, key: &str) -> Option<&VmName> {
        rendezvous_hash(key, self.live())
    }

    /// Processes a heartbeat and returns the changes that it causes.
    ///
    /// Heartbeats of other failure domains and of the local VM are ignored.
    /// The caller drops heartbeats of incarnations that it knows to be sealed.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now_ms: u64) -> Vec<MembershipChange> {
        if heartbeat.domain != self.settings.domain || heartbeat.vm == self.settings.vm {
            return Vec::new();
        }
        let mut changes = Vec::new();
        let known = self.peers.get(&heartbeat.vm);
        let newer = known.is_none_or(|member| heartbeat.started_ms > member.started_ms);
        if newer {
            if let Some(old) = known.filter(|member| !member.dead) {
                changes.push(MembershipChange::Dead {
                    vm: heartbeat.vm.clone(),
                    incarnation: old.incarnation.clone(),
                });
            }
            changes.push(MembershipChange::Joined(heartbeat.vm.clone()));
            self.peers
                .insert(heartbeat.vm.clone(), new_member(heartbeat, now_ms));
        }
        let Some(member) = self.peers.get_mut(&heartbeat.vm) else {
            return changes;
        };
        if member.incarnation != heartbeat.incarnation {
            // A superseded incarnation is never reinstated.
            return changes;
        }
        if member.dead {
            // The incarnation was unreachable rather than dead.
            member.dead = false;
            changes.push(MembershipChange::Joined(heartbeat.vm.clone()));
        }
        member.last_heard_ms = now_ms;
        member.sheet_version = heartbeat.sheet_version;
        if heartbeat.leaving && (newer || !member.leaving) {
            member.leaving = true;
            changes.push(MembershipChange::Leaving(heartbeat.vm.clone()));
        }
        changes
    }

    /// Marks a VM as leaving, as reported by a source other than its heartbeats, such as
    /// the platform's VM list.
    pub fn on_leaving(&mut self, vm: &VmName) -> Vec<MembershipChange> {
        match self.peers.get_mut(vm) {
            Some(member) if !member.leaving => {
                member.leaving = true;
                vec![MembershipChange::Leaving(vm.clone())]
            }
            _ => Vec::new(),
        }
    }

    /// Restarts the failure timeout of all peers, after a pause of the local VM.
    ///
    /// Heartbeats could not be processed during the pause, so their absence says
    /// nothing about the peers.
    pub fn reset_silence_timers(&mut self, now_ms: u64) {
        for member in self.peers.values_mut() {
            member.last_heard_ms = now_ms;
        }
    }

    /// Declares peers dead whose heartbeats have timed out.
    pub fn tick(&mut self, now_ms: u64) -> Vec<MembershipChange> {
        let mut changes = Vec::new();
        for (vm, member) in &mut self.peers {
            let timed_out = now_ms >= member.last_heard_ms + self.settings.suspect_ms;
            if timed_out && !member.dead {
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

fn new_member(heartbeat: &Heartbeat, now_ms: u64) -> Member {
    Member {
        incarnation: heartbeat.incarnation.clone(),
        started_ms: heartbeat.started_ms,
        peer_address: heartbeat.peer_address,
        last_heard_ms: now_ms,
        leaving: false,
        dead: false,
        sheet_version: heartbeat.sheet_version,
    }
}
