//! Decides which quarantined suspect each termination of an engine counts for.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use super::entry::{DECIDED_AFTER_ENGINES, Entry};
use super::suspicion::{LostRun, SuspectKind};
use crate::directory::IncarnationId;
use crate::fingerprint::Fingerprint;

/// The quarantined suspects that terminations count for.
#[derive(Debug, Default)]
pub(super) struct Causes {
    pub(super) by_engine: HashMap<IncarnationId, Fingerprint>,
    /// Answers that this daemon had seen begin when the terminations were attributed.
    pub(super) answers: u64,
    /// Suspects that were there when the same engines terminated, so that it can't be told yet which
    /// of them is the cause.
    pub(super) undecided: BTreeSet<Fingerprint>,
}

impl Causes {
    /// Whether the termination of the engine counts for no suspect but this one.
    pub(super) fn may_be_caused_by(&self, engine: &IncarnationId, suspect: Fingerprint) -> bool {
        self.by_engine
            .get(engine)
            .is_none_or(|cause| *cause == suspect)
    }
}

/// Suspects that share a termination with `cause` and under which as many engines terminated. Empty
/// from [`DECIDED_AFTER_ENGINES`] terminations on: such suspects probably always occur together.
pub(super) fn rivals_of(
    cause: &Entry,
    candidates: &[&Entry],
    causes: &Causes,
    now: Instant,
) -> Vec<Fingerprint> {
    let terminations = cause.successive_terminations(causes);
    if terminations.len() >= DECIDED_AFTER_ENGINES {
        return Vec::new();
    }
    let is_shared = |run: &&LostRun| terminations.iter().any(|other| other.engine == run.engine);
    let rivals = candidates
        .iter()
        .filter(|entry| entry.may_be_cause(causes, now))
        .filter(|entry| entry.was_sound() == cause.was_sound())
        .filter(|entry| entry.strength(causes) == cause.strength(causes))
        .filter(|entry| {
            let of_rival = entry.successive_terminations(causes);
            of_rival.iter().any(is_shared)
        });
    rivals.map(|entry| entry.suspicion.fingerprint).collect()
}

/// Index of the suspect under which most engines terminated that count for no other. Parts that were
/// sound come last; a request comes before a part, and a part before those that come before it in
/// prompts. `None` if too few engines terminated under any of them.
pub(super) fn strongest(candidates: &[&Entry], causes: &Causes, now: Instant) -> Option<usize> {
    let quarantined = candidates
        .iter()
        .enumerate()
        .filter(|(_index, entry)| entry.has_settled(causes, now));
    let strongest = quarantined.max_by_key(|(_index, entry)| {
        let kind = entry.suspicion.kind;
        (
            !entry.was_sound(),
            entry.strength(causes),
            kind == SuspectKind::Request,
            kind,
            entry.suspicion.fingerprint,
        )
    });
    strongest.map(|(index, _entry)| index)
}
