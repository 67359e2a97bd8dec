//! Proofs of calls that are not durable.
//!
//! While the store is down answers can't be recorded where a successor finds
//! them. Such an answer carries a proof, signed with a secret that all VMs
//! share: which program it is, which of its calls are finished and what they
//! spent. A caller that gives the proof back with its next call can go on at
//! any owner, also at one that has never heard of the program.

use base64::prelude::{Engine, BASE64_URL_SAFE_NO_PAD};
use compact_str::CompactString;
use hmac::{Hmac, KeyInit, Mac};
use lagoon_ids::{AccountName, CallKey, MarketName, ProgramId};
use lagoon_platform::{Compare, Op, PlatformError, PlatformRequest, Txn, TxnReply};
use lagoon_program::{ProgramSpec, Record, ResourceAmounts};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::node::call::CallSlot;
use crate::node::store::StoreUse;
use crate::node::Node;

const SECRET_KEY: &str = "secret/continuation";
const SIGNATURE_SEPARATOR: char = '.';

/// What a proof says.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Proof {
    program: ProgramId,
    account: AccountName,
    market: MarketName,
    next_number: u32,
    limit: ResourceAmounts,
    spent: ResourceAmounts,
    family_spent: ResourceAmounts,
}

impl Node {
    /// Reads the shared secret, and makes one if there is none yet.
    pub(super) fn ask_secret(&mut self) {
        if self.secret.is_some() {
            return;
        }
        let key = SECRET_KEY.to_owned();
        let txn = Txn {
            compare: vec![Compare::Absent { key: key.clone() }],
            success: vec![
                Op::Put {
                    key: key.clone(),
                    value: self.settings.secret_candidate.to_vec(),
                },
                Op::Get { key: key.clone() },
            ],
            failure: vec![Op::Get { key }],
        };
        self.ask_store(PlatformRequest::Txn(txn), StoreUse::Secret);
    }

    pub(super) fn on_secret(&mut self, reply: Result<TxnReply, PlatformError>) {
        if let Ok(reply) = reply {
            self.secret = reply.value(SECRET_KEY).map(<[u8]>::to_vec);
        }
    }

    /// Proof of a program's calls up to a finished one.
    pub(super) fn prove(&self, call: &CallKey) -> Option<CompactString> {
        let secret = self.secret.as_deref()?;
        let key = self.programs.find(&call.program)?;
        let program = self.programs.get(key)?;
        let root = self.programs.get(self.programs.root(key))?;
        let proof = Proof {
            program: program.id.clone(),
            account: program.account.clone(),
            market: program.market.clone(),
            next_number: call.number + 1,
            limit: program.budget.limit,
            spent: program.budget.spent,
            family_spent: root.budget.spent,
        };
        sign(secret, &proof)
    }

    /// Goes on where a call's proof says, unless more is known here.
    pub(super) fn take_continuation(&mut self, slot: CallSlot) {
        let request = &self.calls[slot].request;
        let Some(proof) = self.read_continuation(slot) else {
            return;
        };
        let valid = proof.program == request.key.program
            && proof.account == request.account
            && proof.next_number <= request.key.number;
        let known = self.programs.find(&proof.program);
        let next = known.and_then(|key| self.programs.get(key));
        let behind = next.is_none_or(|program| program.next_number() < proof.next_number);
        if !valid || !behind || self.stopping.is_some() {
            return;
        }
        if known.is_none() && !self.reopen(&proof) {
            return;
        }
        let record = Record::Continued {
            program: proof.program,
            next_number: proof.next_number,
            spent: proof.spent,
            family_spent: proof.family_spent,
        };
        self.programs.apply(&record);
        self.append_records(vec![record], None);
    }

    fn read_continuation(&self, slot: CallSlot) -> Option<Proof> {
        let token = self.calls[slot].request.continuation.as_deref()?;
        verify(self.secret.as_deref()?, token)
    }

    /// Opens a program that no journal holds any more.
    fn reopen(&mut self, proof: &Proof) -> bool {
        let opening = ProgramSpec {
            program: proof.program.clone(),
            account: proof.account.clone(),
            market: proof.market.clone(),
            limit: proof.limit,
        };
        self.open(opening).is_ok()
    }
}

fn mac(secret: &[u8], bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(bytes);
    Some(mac)
}

fn sign(secret: &[u8], proof: &Proof) -> Option<CompactString> {
    let bytes = postcard::to_stdvec(proof).ok()?;
    let signature = mac(secret, &bytes)?.finalize().into_bytes();
    let mut token = CompactString::from(BASE64_URL_SAFE_NO_PAD.encode(&bytes));
    token.push(SIGNATURE_SEPARATOR);
    token.push_str(&BASE64_URL_SAFE_NO_PAD.encode(signature));
    Some(token)
}

fn verify(secret: &[u8], token: &str) -> Option<Proof> {
    let (bytes, signature) = token.split_once(SIGNATURE_SEPARATOR)?;
    let bytes = BASE64_URL_SAFE_NO_PAD.decode(bytes).ok()?;
    let signature = BASE64_URL_SAFE_NO_PAD.decode(signature).ok()?;
    mac(secret, &bytes)?.verify_slice(&signature).ok()?;
    postcard::from_bytes(&bytes).ok()
}
