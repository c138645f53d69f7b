//! Guards model assignment: engines are divided by the configured shares with few model loads.

use ponddrift_core::MachineId;
use ponddrift_core::configuration::{Configuration, ModelSettings, ServiceKind, ServiceSettings};
use ponddrift_core::model_assignment::{EngineModel, assign_models, engine_quotas};

fn configuration(shares: &[(&str, u8)]) -> Configuration {
    let mut configuration = Configuration::default();
    for (model, share) in shares {
        let name = model.parse().expect("a name");
        let settings = ModelSettings {
            weights_mib: 1,
            engine_share_percent: *share,
        };
        configuration.models.insert(name, settings);
        let kind = ServiceKind::Completion {
            model: model.parse().expect("a name"),
            adapter: None,
            version: 3,
        };
        let service = ServiceSettings {
            kind,
            priority: "high".parse().expect("a name"),
            repeatable: true,
            deadline_ms: 1_000,
            rollout_percent: 20,
        };
        configuration
            .services
            .insert(format!("use-{model}").parse().expect("a name"), service);
    }
    configuration
}

fn engines(held: &[Option<&str>]) -> Vec<EngineModel> {
    let engine = |(number, model): (u32, &Option<&str>)| EngineModel {
        engine: MachineId(number),
        model: model.map(|model| model.parse().expect("a name")),
    };
    (1..).zip(held).map(engine).collect()
}

#[test]
fn engines_keep_their_models() {
    let configuration = configuration(&[("ledger", 50), ("tagger", 50)]);
    let held = engines(&[
        Some("tagger"),
        Some("ledger"),
        Some("tagger"),
        Some("ledger"),
    ]);
    let assigned = assign_models(&configuration, &held);
    for engine in &held {
        assert_eq!(Some(&assigned[&engine.engine].model), engine.model.as_ref());
        assert_eq!(assigned[&engine.engine].version, 3);
    }
}

#[test]
fn an_empty_engine_gets_the_model_that_is_furthest_below_its_quota() {
    let configuration = configuration(&[("ledger", 75), ("tagger", 25)]);
    let held = engines(&[Some("ledger"), None, Some("tagger"), Some("ledger")]);
    let assigned = assign_models(&configuration, &held);
    assert_eq!(assigned[&MachineId(2)].model.as_str(), "ledger");
}

#[test]
fn no_models_are_assigned_without_configured_models() {
    let assigned = assign_models(&Configuration::default(), &engines(&[Some("old"), None]));
    assert!(assigned.is_empty());
}

#[test]
fn quotas_add_up_to_the_number_of_engines() {
    bolero::check!()
        .with_type::<(u8, u8, u8, u8)>()
        .for_each(|(count, a, b, c)| {
            let shares = [("a", a % 101), ("b", b % 101), ("c", c % 101)];
            let configuration = configuration(&shares);
            let count = usize::from(*count);
            let quotas = engine_quotas(&configuration, count);
            let total: usize = quotas.values().sum();
            let any_share = shares.iter().any(|(_, share)| *share > 0);
            assert_eq!(total, if any_share { count } else { 0 });
        });
}

#[test]
fn repeating_an_assignment_changes_nothing() {
    bolero::check!()
        .with_type::<(Vec<u8>, u8, u8)>()
        .for_each(|(held, a, b)| {
            let configuration = configuration(&[("a", a % 101), ("b", b % 101)]);
            let names = [None, Some("a"), Some("b"), Some("gone")];
            let held: Vec<_> = held
                .iter()
                .map(|number| names[usize::from(number % 4)])
                .collect();
            let first = assign_models(&configuration, &engines(&held));
            let second: Vec<EngineModel> = engines(&held)
                .into_iter()
                .map(|engine| EngineModel {
                    model: first.get(&engine.engine).map(|loaded| loaded.model.clone()),
                    ..engine
                })
                .collect();
            assert_eq!(assign_models(&configuration, &second), first);
        });
}
