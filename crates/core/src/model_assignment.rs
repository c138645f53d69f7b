//! Assignment of models, versions and adapters to the engines of a cell.
//!
//! The configured shares determine how many engines each model gets. Engines keep their model where
//! the shares allow it, to avoid loading weights unnecessarily.

use std::collections::{BTreeMap, BTreeSet};

use crate::configuration::{Configuration, ServiceKind};
use crate::orders::LoadedModel;
use crate::{AdapterName, MachineId, ModelName};

/// An engine with its current model, if any.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineModel {
    /// The engine.
    pub engine: MachineId,
    /// The model that it has loaded or has been ordered to load.
    pub model: Option<ModelName>,
}

/// The version and adapters to load for each model: the newest version and all adapters that
/// services use. Models that no service uses are omitted.
#[must_use]
pub fn wanted_models(configuration: &Configuration) -> BTreeMap<ModelName, LoadedModel> {
    let mut wanted: BTreeMap<ModelName, (u32, BTreeSet<AdapterName>)> = BTreeMap::new();
    for service in configuration.services.values() {
        let ServiceKind::Completion {
            model,
            adapter,
            version,
        } = &service.kind
        else {
            continue;
        };
        let (newest, adapters) = wanted.entry(model.clone()).or_default();
        *newest = (*newest).max(*version);
        adapters.extend(adapter.iter().cloned());
    }
    let loaded = |(model, (version, adapters)): (ModelName, (u32, BTreeSet<AdapterName>))| {
        let adapters = adapters.into_iter().collect();
        (
            model.clone(),
            LoadedModel {
                model,
                version,
                adapters,
            },
        )
    };
    wanted.into_iter().map(loaded).collect()
}

/// Number of engines out of `count` for each model: its share rounded down, but at least one, with
/// the rest going to the models with the largest remainders. If there are fewer engines than
/// models, the models with the smallest shares get none.
#[must_use]
pub fn engine_quotas(configuration: &Configuration, count: usize) -> BTreeMap<ModelName, usize> {
    let used = wanted_models(configuration);
    let mut shares: Vec<(ModelName, usize)> = configuration
        .models
        .iter()
        .filter(|(model, settings)| used.contains_key(*model) && settings.engine_share_percent > 0)
        .map(|(model, settings)| (model.clone(), usize::from(settings.engine_share_percent)))
        .collect();
    // Largest share first, so that these models get an engine in a small fleet.
    shares.sort_by_key(|(model, share)| (100 - (*share).min(100), model.clone()));
    let total: usize = shares.iter().map(|(_, share)| share).sum();
    let mut quotas = BTreeMap::new();
    let mut remaining = count;
    for (model, share) in &shares {
        let quota = (count * share / total.max(1)).max(1).min(remaining);
        remaining -= quota;
        quotas.insert(model.clone(), quota);
    }
    shares.sort_by_key(|(model, share)| (total - count * share % total.max(1), model.clone()));
    for (model, _) in shares.iter().cycle().take(remaining) {
        *quotas.entry(model.clone()).or_default() += 1;
    }
    quotas
}

/// Assigns a model to each engine. The result is empty if the configuration has no models in use.
#[must_use]
pub fn assign_models(
    configuration: &Configuration,
    engines: &[EngineModel],
) -> BTreeMap<MachineId, LoadedModel> {
    let wanted = wanted_models(configuration);
    let mut remaining = engine_quotas(configuration, engines.len());
    let mut assigned: BTreeMap<MachineId, ModelName> = BTreeMap::new();
    let mut sorted: Vec<&EngineModel> = engines.iter().collect();
    sorted.sort_by_key(|engine| engine.engine);
    for engine in &sorted {
        let Some(model) = &engine.model else { continue };
        if let Some(quota) = remaining.get_mut(model).filter(|quota| **quota > 0) {
            *quota -= 1;
            assigned.insert(engine.engine, model.clone());
        }
    }
    for engine in &sorted {
        if assigned.contains_key(&engine.engine) {
            continue;
        }
        let neediest = remaining.iter_mut().max_by_key(|(_, quota)| **quota);
        if let Some((model, quota)) = neediest.filter(|(_, quota)| **quota > 0) {
            *quota -= 1;
            assigned.insert(engine.engine, model.clone());
        }
    }
    let loaded = |(engine, model): (MachineId, ModelName)| {
        wanted.get(&model).cloned().map(|loaded| (engine, loaded))
    };
    assigned.into_iter().filter_map(loaded).collect()
}
