//! Which suspects are kept when there are too many.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Instant;

use super::causes::Causes;
use super::entry::Entry;
use super::suspicion::SuspectKind;

/// Maximum number of requests kept in total, about 300 bytes each.
const MAX_REQUESTS: usize = 4_096;
/// Maximum number of requests kept per tenant, so that no tenant evicts the entries of others.
const MAX_REQUESTS_PER_TENANT: usize = 512;
/// Maximum number of parts of prompts kept in total, about 300 bytes each. A single prompt may have
/// more than a thousand.
const MAX_PARTS: usize = 16_384;
/// Maximum number of parts kept per tenant.
const MAX_PARTS_PER_TENANT: usize = 4_096;

/// A full table is reduced by this fraction at once, so that the cost of an eviction is spread over
/// many additions.
pub(super) const EVICTED_FRACTION: usize = 8;

/// Requests and parts are limited separately, so that long prompts evict no requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Class {
    Request,
    Part,
}

impl Class {
    const fn of(kind: SuspectKind) -> Self {
        match kind {
            SuspectKind::Request => Self::Request,
            SuspectKind::Part { .. } => Self::Part,
        }
    }

    const fn max(self) -> usize {
        match self {
            Self::Request => MAX_REQUESTS,
            Self::Part => MAX_PARTS,
        }
    }

    const fn max_per_tenant(self) -> usize {
        match self {
            Self::Request => MAX_REQUESTS_PER_TENANT,
            Self::Part => MAX_PARTS_PER_TENANT,
        }
    }
}

/// The suspects of which some must be evicted.
#[derive(Debug, Clone, Copy)]
pub(super) struct FullScope {
    class: Class,
    /// `None` for those of all tenants.
    tenant: Option<u32>,
}

impl FullScope {
    pub(super) fn contains(self, entry: &Entry) -> bool {
        Class::of(entry.suspicion.kind) == self.class
            && self
                .tenant
                .is_none_or(|tenant| entry.suspicion.tenant == tenant)
    }
}

/// Numbers of suspects by class and tenant.
#[derive(Debug, Default)]
pub(super) struct Census {
    totals: HashMap<Class, usize>,
    by_tenant: HashMap<(Class, u32), usize>,
}

impl Census {
    pub(super) fn of<'a>(entries: impl Iterator<Item = &'a Entry>) -> Self {
        let mut census = Self::default();
        for entry in entries {
            census.add(entry.suspicion.kind, entry.suspicion.tenant);
        }
        census
    }

    pub(super) fn add(&mut self, kind: SuspectKind, tenant: u32) {
        let class = Class::of(kind);
        *self.totals.entry(class).or_default() += 1;
        *self.by_tenant.entry((class, tenant)).or_default() += 1;
    }

    /// The suspects of which some must be evicted before another one is added: those of the same
    /// tenant if that tenant has too many, otherwise of all.
    pub(super) fn full_scope(&self, kind: SuspectKind, tenant: u32) -> Option<FullScope> {
        let class = Class::of(kind);
        let total = self.totals.get(&class).copied().unwrap_or_default();
        let of_tenant = self.by_tenant.get(&(class, tenant)).copied();
        if tenant != 0 && of_tenant.unwrap_or_default() >= class.max_per_tenant() {
            let tenant = Some(tenant);
            return Some(FullScope { class, tenant });
        }
        (total >= class.max()).then_some(FullScope {
            class,
            tenant: None,
        })
    }
}

/// For each request that lost runs, by its short fingerprint, the number of parts of its prompt that
/// may be the cause. Parts on which engines began to write before rarely are.
pub(super) struct SuspectsByRequest(HashMap<u32, usize>);

impl SuspectsByRequest {
    pub(super) fn of<'a>(entries: impl Iterator<Item = &'a Entry>) -> Self {
        let mut counts = HashMap::new();
        for entry in entries.filter(|entry| !entry.was_sound()) {
            for run in entry.uncleared_runs() {
                *counts.entry(run.request).or_default() += 1;
            }
        }
        Self(counts)
    }

    /// Suspects beside this one in the prompt that has the fewest. The more there are, the less likely
    /// is each of them the cause.
    fn companions(&self, entry: &Entry) -> usize {
        if entry.suspicion.kind == SuspectKind::Request {
            return 0;
        }
        let counts = entry.uncleared_runs().map(|run| {
            let count = self.0.get(&run.request);
            count.copied().unwrap_or_default()
        });
        counts.min().unwrap_or(usize::MAX)
    }
}

/// How much would be lost with what is known of a suspect; the least significant is evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Significance {
    pub(super) is_quarantined: bool,
    terminations: usize,
    was_never_sound: bool,
    companions: Reverse<usize>,
    last_update: Option<Instant>,
}

impl Significance {
    pub(super) fn of(
        entry: &Entry,
        causes: &Causes,
        suspects: &SuspectsByRequest,
        now: Instant,
    ) -> Self {
        Self {
            is_quarantined: entry.standing(causes, now).is_quarantined(),
            terminations: entry.successive_terminations(causes).len(),
            was_never_sound: !entry.was_sound(),
            companions: Reverse(suspects.companions(entry)),
            last_update: entry.last_update(),
        }
    }
}
