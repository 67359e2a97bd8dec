//! Software versions of streams: records at other VMs, and their lookup when a caller
//! takes a stream up.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compact_str::{format_compact, CompactString};
use futures::stream::FuturesUnordered;
use futures::StreamExt;
use lagoon_adapter::TARGET_TABLE;
use lagoon_gateway::{SentinelTable, StoreCall, StoreReply, TargetHash};
use lagoon_ids::FastMap;
use lagoon_streams::{
    decide_origin, heir, holder_candidates, holders, OriginAnswer, OriginRecord, OriginReply,
    Origins, SoftwareId, StreamId, UnknownOrigin,
};
use tokio::net::UdpSocket;
use tokio::time::{timeout_at, Instant};

use crate::news;
use crate::state::DaemonState;
use crate::watch::decode_entry;

/// Maximum time to find the version of a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum time to read the versions of a service from the store.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(150);

/// This VM's part in keeping the versions of streams.
#[derive(Default)]
pub(crate) struct StreamOrigins {
    held: RefCell<Origins>,
    /// Socket from which records are sent; `None` until gossip starts.
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl StreamOrigins {
    pub(crate) fn set_socket(&self, socket: &Rc<UdpSocket>) {
        *self.socket.borrow_mut() = Some(Rc::clone(socket));
    }

    /// Drops records that have expired.
    pub(crate) fn remove_expired(&self, now_ms: u64) {
        self.held.borrow_mut().remove_expired(now_ms);
    }
}

impl DaemonState {
    /// Keeps a record of a stream here and at its holders. To be called before the
    /// first event is passed on.
    pub(crate) fn record_origin(&self, record: OriginRecord) {
        self.accept_origins(&[record]);
        let receivers: Vec<SocketAddr> = {
            let peers = self.peer_client.peers.borrow();
            let vms = peers.responsive_entries();
            let names = holders(record.stream, peers.own_domain(), vms);
            let addresses = names.into_iter().filter_map(|name| peers.address(name));
            addresses.collect()
        };
        self.send_origins(&[record], &receivers);
    }

    fn send_origins(&self, records: &[OriginRecord], receivers: &[SocketAddr]) {
        if let Some(socket) = &*self.origins.socket.borrow() {
            news::send_origins(self, socket, records, receivers);
        }
    }

    /// Adds records that another VM has sent, or that are this VM's own.
    pub(crate) fn accept_origins(&self, records: &[OriginRecord]) {
        let now_ms = self.now_ms();
        let mut held = self.origins.held.borrow_mut();
        for record in records {
            held.insert(*record, now_ms);
        }
    }

    /// What this VM knows of the origin of a stream of a service.
    pub(crate) fn origin(&self, stream: StreamId, service: &str) -> OriginAnswer {
        let now_ms = self.now_ms();
        let sole = self.targets.borrow_mut().sole_version(service, now_ms);
        let sentinel = self.sentinel.borrow();
        let is_current = sentinel.is_current(SentinelTable::Targets, self.evidence_now_ms());
        OriginAnswer {
            reply: self.origins.held.borrow().get(stream),
            sole: sole.filter(|_| is_current),
        }
    }

    /// Sends the records that this VM holds to those that hold them once it has
    /// stopped.
    pub(crate) fn hand_over_origins(&self) {
        let mut by_heir: FastMap<SocketAddr, Vec<OriginRecord>> = FastMap::default();
        {
            let peers = self.peer_client.peers.borrow();
            for record in self.origins.held.borrow().open_records(self.now_ms()) {
                let vms = peers.responsive_entries();
                let heir = heir(record.stream, peers.own_domain(), vms);
                if let Some(address) = heir.and_then(|name| peers.address(name)) {
                    by_heir.entry(address).or_default().push(record);
                }
            }
        }
        let heirs = by_heir.len();
        let mut records = 0;
        for (address, held) in by_heir {
            records += held.len();
            self.send_origins(&held, &[address]);
        }
        log::info!(records, heirs; "handed over the versions of streams");
    }

    /// Finds the software version at which a stream may go on. A stream without a
    /// record goes on at the only version of the service; if the caller names it, so
    /// that there should be a record, only if the store confirms this version.
    pub(crate) async fn find_origin(
        &self,
        request_id: &str,
        stream: StreamId,
        is_named: bool,
        service: &str,
    ) -> Result<SoftwareId, UnknownOrigin> {
        let started_ms = self.now_ms();
        let mut answers = vec![self.origin(stream, service)];
        let mut source = self.peer_client.peers.borrow().own_name().clone();
        if answers[0].reply == OriginReply::Unknown {
            source = self.ask_holders(stream, service, &mut answers).await;
        }
        let has_record = answers
            .iter()
            .any(|answer| answer.reply != OriginReply::Unknown);
        let mut decision = self.decide_origin(&answers, &[], service);
        if !has_record && is_named && decision.is_ok() {
            // A version that came in the last seconds may be unread here and at the
            // VMs that were asked.
            decision = match self.read_versions(service).await {
                Some(versions) => self.decide_origin(&answers, &versions, service),
                None => Err(UnknownOrigin::NoRecord),
            };
        }
        let now_ms = self.now_ms();
        let outcome = match &decision {
            Ok(_) if has_record => "a record".to_owned(),
            Ok(_) => "the only version".to_owned(),
            Err(reason) => reason.to_string(),
        };
        self.metrics.record_stream_lookup(&outcome);
        log::info!(
            request = request_id,
            stream_id = stream.to_string(),
            software = decision.map_or_else(|_| "-".to_owned(), |software| software.to_string()),
            source = source.as_str(),
            answers = answers.len(),
            waited_ms = now_ms - started_ms;
            "version of an interrupted stream: {outcome}"
        );
        decision
    }

    /// Decides by the answers of VMs, the versions that this VM has read, and
    /// `read_now`, those in the store.
    fn decide_origin(
        &self,
        answers: &[OriginAnswer],
        read_now: &[SoftwareId],
        service: &str,
    ) -> Result<SoftwareId, UnknownOrigin> {
        let mut targets = self.targets.borrow_mut();
        let mut versions = targets.versions(service, self.now_ms());
        versions.extend_from_slice(read_now);
        decide_origin(answers, &versions, |target| {
            targets.is_version_doubtful(TargetHash(target as u32))
        })
    }

    /// Versions of a service in the store's list of targets; `None` if it can't be
    /// read in time.
    async fn read_versions(&self, service: &str) -> Option<Vec<SoftwareId>> {
        let deadline = Instant::now() + CONFIRMATION_TIMEOUT;
        let mut versions = Vec::new();
        let mut from_key = CompactString::default();
        loop {
            let call = StoreCall::Read {
                table: TARGET_TABLE.into(),
                partition: CompactString::default(),
                from_key,
            };
            let reply = timeout_at(deadline, self.budget_client.execute_or_relay(&call)).await;
            let Ok(Ok(StoreReply::Rows { rows, has_more, .. })) = reply else {
                log::info!(service; "cannot read the versions of a service now");
                return None;
            };
            let entries = rows
                .iter()
                .filter_map(|row| decode_entry(row, &self.metrics));
            let entries = entries.filter(|entry| entry.service == service);
            versions.extend(
                entries.map(|entry| SoftwareId::new(&entry.service, &entry.software_version)),
            );
            let last = rows.last().filter(|_| has_more);
            let Some(last) = last else {
                return Some(versions);
            };
            from_key = format_compact!("{}\0", last.key.key);
        }
    }

    /// Asks the VMs that may hold the record of a stream until one has it. Adds their
    /// answers, and returns the VM that had the record.
    async fn ask_holders(
        &self,
        stream: StreamId,
        service: &str,
        answers: &mut Vec<OriginAnswer>,
    ) -> CompactString {
        let names: Vec<CompactString> = {
            let peers = self.peer_client.peers.borrow();
            let mut names = holder_candidates(stream, peers.responsive_entries());
            // What failed here may have worked for the VM that sent the record.
            for name in holder_candidates(stream, peers.entries()) {
                if !names.contains(&name) {
                    names.push(name);
                }
            }
            names.into_iter().map(CompactString::from).collect()
        };
        let deadline = Instant::now() + LOOKUP_TIMEOUT;
        let mut replies: FuturesUnordered<_> = names
            .into_iter()
            .map(|name| async {
                let peer_client = &self.peer_client;
                let answer = peer_client.find_origin(&name, stream, service, LOOKUP_TIMEOUT);
                (answer.await, name)
            })
            .collect();
        while let Ok(Some((answer, name))) = timeout_at(deadline, replies.next()).await {
            let Some(answer) = answer else {
                continue;
            };
            answers.push(answer);
            if answer.reply != OriginReply::Unknown {
                return name;
            }
        }
        "-".into()
    }
}
