//! Continuation tokens for calls whose outcomes are not durable.
//!
//! While the store is unavailable, outcomes can't be recorded for a successor.
//! A response that is not durable carries a token, signed with a secret that
//! all VMs share, which names the program, its finished calls and its spending.
//! A caller that sends the token with its next call can continue at any owner,
//! even at one without any record of the program.

use base64::prelude::{Engine, BASE64_URL_SAFE_NO_PAD};
use compact_str::CompactString;
use hmac::{Hmac, KeyInit, Mac};
use lagoon_ids::{AccountName, CallKey, MarketName, ProgramId};
use lagoon_platform::{Compare, Op, PlatformError, PlatformRequest, Txn, TxnReply};
use lagoon_program::{ProgramSpec, Record, ResourceAmounts};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::node::call::CallSlot;
use crate::node::store::StorePurpose;
use crate::node::Node;

const SECRET_KEY: &str = "secret/continuation";
const SIGNATURE_SEPARATOR: char = '.';

/// Signed content of a continuation token.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct TokenPayload {
    program: ProgramId,
    account: AccountName,
    market: MarketName,
    /// Number after the last call that the token covers.
    next_number: u32,
    /// Budget limit of the program.
    limit: ResourceAmounts,
    /// Usage of the program.
    spent: ResourceAmounts,
    /// Usage of the whole family.
    family_spent: ResourceAmounts,
}

impl Node {
    /// Reads the shared secret, creating it if the store holds none.
    pub(super) fn request_secret(&mut self) {
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
        self.send_store_request(PlatformRequest::Txn(txn), StorePurpose::ReadSecret);
    }

    pub(super) fn on_secret(&mut self, reply: Result<TxnReply, PlatformError>) {
        if let Ok(reply) = reply {
            self.secret = reply.value(SECRET_KEY).map(<[u8]>::to_vec);
        }
    }

    /// Issues a token that covers a program's calls up to and including `call`.
    ///
    /// Returns `None` while the secret is unknown.
    pub(super) fn issue_continuation(&self, call: &CallKey) -> Option<CompactString> {
        let secret = self.secret.as_deref()?;
        let key = self.programs.find(&call.program)?;
        let program = self.programs.get(key)?;
        let root = self.programs.get(self.programs.root(key))?;
        let payload = TokenPayload {
            program: program.id.clone(),
            account: program.account.clone(),
            market: program.market.clone(),
            next_number: call.number + 1,
            limit: program.budget.limit,
            spent: program.budget.spent,
            family_spent: root.budget.spent,
        };
        sign(secret, &payload)
    }

    /// Advances the call's program to the state in the call's continuation token.
    ///
    /// A token that is invalid or not ahead of the known state is ignored, and so
    /// is any token during a planned stop.
    pub(super) fn apply_continuation(&mut self, slot: CallSlot) {
        let request = &self.calls[slot].request;
        let Some(payload) = self.verify_continuation(slot) else {
            return;
        };
        let valid = payload.program == request.key.program
            && payload.account == request.account
            && payload.next_number <= request.key.number;
        let program_key = self.programs.find(&payload.program);
        let program = program_key.and_then(|key| self.programs.get(key));
        let is_behind = program.is_none_or(|program| program.next_number() < payload.next_number);
        if !valid || !is_behind || self.stopping.is_some() {
            return;
        }
        if program_key.is_none() && !self.open_from_payload(&payload) {
            return;
        }
        let record = Record::Continued {
            program: payload.program,
            next_number: payload.next_number,
            spent: payload.spent,
            family_spent: payload.family_spent,
        };
        self.programs.apply(&record);
        self.append_records(vec![record], None);
    }

    fn verify_continuation(&self, slot: CallSlot) -> Option<TokenPayload> {
        let token = self.calls[slot].request.continuation.as_deref()?;
        verify(self.secret.as_deref()?, token)
    }

    /// Opens a program that is unknown here as the token describes it; returns whether that
    /// succeeded.
    fn open_from_payload(&mut self, payload: &TokenPayload) -> bool {
        let spec = ProgramSpec {
            program: payload.program.clone(),
            account: payload.account.clone(),
            market: payload.market.clone(),
            limit: payload.limit,
        };
        self.open(spec).is_ok()
    }
}

fn mac(secret: &[u8], bytes: &[u8]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret).ok()?;
    mac.update(bytes);
    Some(mac)
}

fn sign(secret: &[u8], payload: &TokenPayload) -> Option<CompactString> {
    let bytes = postcard::to_stdvec(payload).ok()?;
    let signature = mac(secret, &bytes)?.finalize().into_bytes();
    let mut token = CompactString::from(BASE64_URL_SAFE_NO_PAD.encode(&bytes));
    token.push(SIGNATURE_SEPARATOR);
    token.push_str(&BASE64_URL_SAFE_NO_PAD.encode(signature));
    Some(token)
}

fn verify(secret: &[u8], token: &str) -> Option<TokenPayload> {
    let (bytes, signature) = token.split_once(SIGNATURE_SEPARATOR)?;
    let bytes = BASE64_URL_SAFE_NO_PAD.decode(bytes).ok()?;
    let signature = BASE64_URL_SAFE_NO_PAD.decode(signature).ok()?;
    mac(secret, &bytes)?.verify_slice(&signature).ok()?;
    postcard::from_bytes(&bytes).ok()
}
