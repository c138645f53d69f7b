//! Rows of the configuration in force.

use ponddrift_core::configuration::{Configuration, ItemKey, ServiceKind};
use ponddrift_query::{Row, Table, Value};

use super::record::RowBuilder;

fn revision(configuration: &Configuration, key: &ItemKey) -> Value {
    let revision = configuration.row_revision(key);
    Value::from(revision.map(|revision| revision.0))
}

pub(super) fn services(configuration: &Configuration) -> Vec<Row> {
    let services = configuration.services.iter();
    let rows = services.map(|(name, settings)| {
        let key = ItemKey::Service(name.clone());
        let record = RowBuilder::new(Table::Services)
            .set("name", name.as_str())
            .set("priority", settings.priority.as_str())
            .set("repeatable", settings.repeatable)
            .set("deadline_ms", settings.deadline_ms)
            .set("rollout_percent", u32::from(settings.rollout_percent))
            .set("revision", revision(configuration, &key));
        let record = match &settings.kind {
            ServiceKind::Completion {
                model,
                adapter,
                version,
            } => record
                .set("kind", "completion")
                .set("model", model.as_str())
                .set("adapter", adapter.as_ref().map(|name| name.as_str()))
                .set("version", *version),
            ServiceKind::Plain { pool } => record.set("kind", "plain").set("pool", pool.as_str()),
        };
        record.finish()
    });
    rows.collect()
}

pub(super) fn models(configuration: &Configuration) -> Vec<Row> {
    let models = configuration.models.iter();
    let rows = models.map(|(name, settings)| {
        RowBuilder::new(Table::Models)
            .set("name", name.as_str())
            .set("weights_mib", settings.weights_mib)
            .set(
                "engine_share_percent",
                u32::from(settings.engine_share_percent),
            )
            .set(
                "revision",
                revision(configuration, &ItemKey::Model(name.clone())),
            )
            .finish()
    });
    rows.collect()
}

pub(super) fn tenants(configuration: &Configuration) -> Vec<Row> {
    let tenants = configuration.tenants.iter();
    let rows = tenants.map(|(name, settings)| {
        RowBuilder::new(Table::Tenants)
            .set("name", name.as_str())
            .set("requests_per_second", settings.requests_per_second)
            .set("concurrency", settings.concurrency)
            .set("tokens_per_second", settings.tokens_per_second)
            .set("weight", settings.weight)
            .set(
                "revision",
                revision(configuration, &ItemKey::Tenant(name.clone())),
            )
            .finish()
    });
    rows.collect()
}

pub(super) fn priorities(configuration: &Configuration) -> Vec<Row> {
    let priorities = configuration.priorities.iter();
    let rows = priorities.map(|(name, settings)| {
        RowBuilder::new(Table::Priorities)
            .set("name", name.as_str())
            .set("level", u32::from(settings.level))
            .set(
                "revision",
                revision(configuration, &ItemKey::Priority(name.clone())),
            )
            .finish()
    });
    rows.collect()
}

pub(super) fn pins(configuration: &Configuration) -> Vec<Row> {
    let pins = configuration.pins.iter();
    let rows = pins.map(|(engine, pin)| {
        RowBuilder::new(Table::Pins)
            .set("engine", engine.0)
            .set("role", pin.role.as_str())
            .set("revision", revision(configuration, &ItemKey::Pin(*engine)))
            .finish()
    });
    rows.collect()
}
