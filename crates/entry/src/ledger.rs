//! Charges of programs' budgets, carried out at the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use lagoon_gateway::{
    Accounts, Asked, BudgetWrite, Decision, Grant, ProgramKey, StoreCall, StoreError, StoreReply,
    Waiter,
};
use lagoon_ids::FastMap;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};

use crate::clock::Clock;
use crate::peers::PeerClient;
use crate::store::StoreClient;

/// Tries of a write whose reply is lost.
const TRIES: u32 = 3;

/// Pause between them.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Charges that wait for the store.
pub(crate) struct Ledger {
    clock: Clock,
    store: Rc<StoreClient>,
    peers: Rc<PeerClient>,
    accounts: RefCell<Accounts>,
    waiting: RefCell<FastMap<Waiter, oneshot::Sender<Decision>>>,
    next_waiter: Cell<u64>,
}

/// Tokens that a call asks for.
#[derive(Clone, Debug)]
pub(crate) struct Charge {
    pub(crate) program: ProgramKey,
    pub(crate) budget_tokens: u64,
    pub(crate) tokens: u64,
    pub(crate) retention_ms: u64,
}

/// Charge of a call; gives back on drop what was not used.
pub(crate) struct Charged {
    ledger: Rc<Ledger>,
    program: ProgramKey,
    grant: Grant,
    used_tokens: u64,
}

impl Charged {
    pub(crate) fn use_tokens(&mut self, tokens: u64) {
        self.used_tokens += tokens;
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }
}

impl Drop for Charged {
    fn drop(&mut self) {
        let now_ms = self.ledger.clock.now_ms();
        let mut accounts = self.ledger.accounts.borrow_mut();
        accounts.settle(&self.program, self.grant, self.used_tokens, now_ms);
    }
}

/// Withdraws a call that stops waiting.
struct Waiting<'a> {
    ledger: &'a Ledger,
    program: &'a ProgramKey,
    waiter: Waiter,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if self.ledger.waiting.borrow_mut().remove(&self.waiter).is_some() {
            let mut accounts = self.ledger.accounts.borrow_mut();
            accounts.withdraw(self.program, self.waiter);
        }
    }
}

impl Ledger {
    pub(crate) fn new(
        clock: Clock,
        store: Rc<StoreClient>,
        peers: Rc<PeerClient>,
        accounts: Accounts,
    ) -> Rc<Ledger> {
        Rc::new(Ledger {
            clock,
            store,
            peers,
            accounts: RefCell::new(accounts),
            waiting: RefCell::default(),
            next_waiter: Cell::new(1),
        })
    }

    /// Waits until a call is charged or refused.
    pub(crate) async fn charge(
        self: &Rc<Self>,
        charge: Charge,
        until: Instant,
    ) -> Result<Charged, Decision> {
        let waiter = Waiter(self.next_waiter.get());
        self.next_waiter.set(waiter.0 + 1);
        let program = charge.program;
        let asked = Asked {
            waiter,
            budget_tokens: charge.budget_tokens,
            tokens: charge.tokens,
            retention_ms: charge.retention_ms,
        };
        let now_ms = self.clock.now_ms();
        let held = self.accounts.borrow_mut().ask(&program, asked, now_ms);
        if let Some(grant) = held {
            return Ok(self.charged(program, grant));
        }
        let (sender, decided) = oneshot::channel();
        self.waiting.borrow_mut().insert(waiter, sender);
        let waiting = Waiting {
            ledger: self,
            program: &program,
            waiter,
        };
        self.write_on(&program);
        let decision = match timeout_at(until, decided).await {
            Ok(Ok(decision)) => decision,
            Ok(Err(_)) | Err(_) => Decision::Unavailable,
        };
        drop(waiting);
        match decision {
            Decision::Granted(grant) => Ok(self.charged(program, grant)),
            refusal => Err(refusal),
        }
    }

    fn charged(self: &Rc<Self>, program: ProgramKey, grant: Grant) -> Charged {
        Charged {
            ledger: Rc::clone(self),
            program,
            grant,
            used_tokens: 0,
        }
    }

    /// Starts to write what the program needs.
    fn write_on(self: &Rc<Self>, program: &ProgramKey) {
        let next = self.accounts.borrow_mut().charge(program);
        if let Some(first) = next {
            spawn_local(Rc::clone(self).write_all(first));
        }
    }

    async fn write_all(self: Rc<Self>, first: BudgetWrite) {
        let mut next = Some(first);
        while let Some(BudgetWrite { program, write }) = next {
            let reply = self.write(StoreCall::Transact(vec![write])).await;
            let now_ms = self.clock.now_ms();
            let decisions = self.accounts.borrow_mut().written(&program, &reply);
            for (waiter, decision) in decisions {
                self.decide(&program, waiter, decision, now_ms);
            }
            next = self.accounts.borrow_mut().charge(&program);
        }
    }

    fn decide(&self, program: &ProgramKey, waiter: Waiter, decision: Decision, now_ms: u64) {
        let sender = self.waiting.borrow_mut().remove(&waiter);
        let undelivered = match sender {
            Some(sender) => sender.send(decision).is_err(),
            None => true,
        };
        if let (true, Decision::Granted(grant)) = (undelivered, decision) {
            let mut accounts = self.accounts.borrow_mut();
            accounts.settle(program, grant, 0, now_ms);
        }
    }

    /// Writes, itself or by another VM, with tries after lost replies: the
    /// same write finds its own number if an earlier try was applied.
    async fn write(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let mut lost = None;
        for _ in 0..TRIES {
            let reply = self.write_once(&call).await;
            match reply {
                Err(error @ StoreError::NoReply(_)) => {
                    lost = Some(error);
                    sleep(RETRY_PAUSE).await;
                }
                // Says nothing about an earlier try without a reply.
                Err(error) => return Err(lost.unwrap_or(error)),
                Ok(reply) => return Ok(reply),
            }
        }
        Err(lost.unwrap_or(StoreError::NoReply("no try".into())))
    }

    async fn write_once(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let own = if self.store.is_away() {
            Err(StoreError::NotSent("store is away".into()))
        } else {
            self.store.call(call).await
        };
        match own {
            Err(StoreError::NotSent(_) | StoreError::Refused(_)) => {
                let carried = self.peers.carry_out(call).await;
                carried.unwrap_or(own)
            }
            own => own,
        }
    }

    /// Gives back what is held where others may need it.
    pub(crate) fn give_back_due(self: &Rc<Self>) {
        let due = self.accounts.borrow().due(self.clock.now_ms());
        for program in due {
            let write = self.accounts.borrow_mut().give_back(&program);
            if let Some(write) = write {
                spawn_local(Rc::clone(self).write_all(write));
            }
        }
    }

    /// Removes rows of programs that are long silent.
    pub(crate) async fn sweep(&self) {
        let writes = self.accounts.borrow_mut().sweep(self.clock.now_ms());
        for write in writes {
            // A row that changed meanwhile is another VM's to remove; one
            // that stays costs only its room.
            if let Err(error) = self.store.call(&StoreCall::Transact(vec![write])).await {
                log::debug!(error = error.to_string(); "row of a silent program stays");
                return;
            }
        }
    }
}
