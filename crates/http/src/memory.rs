//! One account of the memory that callers can make grow: bodies and heads that are being read, bodies
//! of requests in progress, and answers that are held for them.
//!
//! Memory is reserved before it is used and given back on drop. When the account is full, holders
//! that make no progress yield to those that do: a sender that has stopped in the middle of its body,
//! or a reader that does not read its answer. A part of the account is kept for small holders, so that
//! ordinary requests go on beside large ones.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// A holder up to this size may use the part of the account that is kept for small ones, and never
/// yields.
pub const SMALL_BYTES: usize = 64 << 10;
/// One of so many bytes of the account is kept for small holders.
const SMALL_DIVISOR: usize = 4;
/// A holder yields only after this time without progress.
const MIN_STALL: Duration = Duration::from_secs(1);
/// Interval at which a holder that waits for memory tries again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The account is full, and no other holder yields.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("all memory for requests is in use: come back later, or raise limits.held_body_bytes")]
pub struct MemoryExhausted;

/// The account. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    capacity: usize,
    account: Arc<Mutex<Account>>,
    freed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Account {
    used: usize,
    next_id: u64,
    holders: HashMap<u64, Holder>,
}

#[derive(Debug)]
struct Holder {
    bytes: usize,
    progressed_at: Instant,
    /// Notified when it has to yield; `None` if it must not.
    yields: Option<Arc<Notify>>,
}

impl MemoryBudget {
    /// Creates an account of `capacity` bytes.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            account: Arc::default(),
            freed: Arc::default(),
        }
    }

    /// Bytes in use.
    #[must_use]
    pub fn used(&self) -> usize {
        self.lock().used
    }

    /// Adds a holder without any bytes, which yields if it stalls.
    #[must_use]
    pub fn reserve(&self) -> Reservation {
        let yields = Arc::<Notify>::default();
        let mut account = self.lock();
        let id = account.next_id;
        account.next_id += 1;
        let holder = Holder {
            bytes: 0,
            progressed_at: Instant::now(),
            yields: Some(Arc::clone(&yields)),
        };
        account.holders.insert(id, holder);
        drop(account);
        Reservation {
            budget: self.clone(),
            id,
            yields,
        }
    }

    /// Greatest use at which a holder may grow to `bytes`.
    fn limit_for(&self, bytes: usize) -> usize {
        if bytes <= SMALL_BYTES {
            self.capacity
        } else {
            self.capacity - self.capacity / SMALL_DIVISOR
        }
    }

    fn lock(&self) -> MutexGuard<'_, Account> {
        self.account.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Account {
    /// Takes the bytes of the holder that has stalled for longest, other than `except`. Returns
    /// whether there was one.
    fn make_one_yield(&mut self, except: u64, now: Instant) -> bool {
        let stalled = self.holders.iter_mut().filter(|(id, holder)| {
            **id != except
                && holder.yields.is_some()
                && holder.bytes > SMALL_BYTES
                && now.saturating_duration_since(holder.progressed_at) >= MIN_STALL
        });
        let Some((_id, holder)) = stalled.min_by_key(|(id, holder)| (holder.progressed_at, **id))
        else {
            return false;
        };
        self.used -= holder.bytes;
        // Its memory is freed as soon as its task runs.
        holder.bytes = 0;
        if let Some(yields) = holder.yields.take() {
            yields.notify_one();
        }
        true
    }
}

/// The bytes of one holder, given back on drop.
#[derive(Debug)]
pub struct Reservation {
    budget: MemoryBudget,
    id: u64,
    yields: Arc<Notify>,
}

impl Reservation {
    /// Grows to `bytes`, which counts as progress. Does nothing if it holds so many already.
    ///
    /// # Errors
    /// [`MemoryExhausted`] if there is no room.
    pub fn grow_to(&self, bytes: usize) -> Result<(), MemoryExhausted> {
        let now = Instant::now();
        let mut account = self.budget.lock();
        let Some(held) = account.holders.get(&self.id).map(|holder| holder.bytes) else {
            return Ok(());
        };
        let needed = bytes.saturating_sub(held);
        while account.used + needed > self.budget.limit_for(bytes) {
            if !account.make_one_yield(self.id, now) {
                return Err(MemoryExhausted);
            }
        }
        account.used += needed;
        if let Some(holder) = account.holders.get_mut(&self.id) {
            holder.bytes += needed;
            holder.progressed_at = now;
        }
        Ok(())
    }

    /// Like [`Self::grow_to`], but waits for room.
    pub async fn grow_when_free(&self, bytes: usize) {
        while self.grow_to(bytes).is_err() {
            let freed = self.budget.freed.notified();
            // A holder may also have stalled meanwhile.
            drop(tokio::time::timeout(RETRY_INTERVAL, freed).await);
        }
    }

    /// Records that its sender or reader goes on.
    pub fn progressed(&self) {
        let now = Instant::now();
        if let Some(holder) = self.budget.lock().holders.get_mut(&self.id) {
            holder.progressed_at = now;
        }
    }

    /// From now on it does not yield.
    pub fn pin(&self) {
        self.set_yields(None);
    }

    /// From now on `yields` is notified when it has to yield.
    pub fn yield_by(&self, yields: &Arc<Notify>) {
        self.set_yields(Some(Arc::clone(yields)));
    }

    /// Completes when it has to yield. Its bytes are not counted any more.
    pub async fn must_yield(&self) {
        self.yields.notified().await;
    }

    fn set_yields(&self, yields: Option<Arc<Notify>>) {
        let now = Instant::now();
        if let Some(holder) = self.budget.lock().holders.get_mut(&self.id) {
            holder.yields = yields;
            holder.progressed_at = now;
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut account = self.budget.lock();
        if let Some(holder) = account.holders.remove(&self.id) {
            account.used -= holder.bytes;
        }
        drop(account);
        self.budget.freed.notify_waiters();
    }
}
