//! Changes are parsed and merged with the configuration into complete records.

use ponddrift_core::configuration::{
    Configuration, Pin, ServiceKind, ServiceSettings, TenantSettings,
};
use ponddrift_core::{EngineRole, MachineId, Revision};
use ponddrift_query::{ChangeRequest, QueryError, RecordChange, Statement, parse, resolve};

const INSERT_RECONCILE: &str = "INSERT INTO services \
    (name, kind, model, version, priority, repeatable, deadline_ms, rollout_percent) \
    VALUES ('reconcile', 'completion', 'ledger-7b', 3, 'month-end', true, 20000, 25)";

fn parse_change(text: &str) -> ChangeRequest {
    match parse(text) {
        Ok(Statement::Change(request)) => request,
        other => panic!("{text}: {other:?}"),
    }
}

fn reconcile() -> ServiceSettings {
    ServiceSettings {
        kind: ServiceKind::Completion {
            model: "ledger-7b".parse().expect("valid name"),
            adapter: None,
            version: 3,
        },
        priority: "month-end".parse().expect("valid name"),
        repeatable: true,
        deadline_ms: 20_000,
        rollout_percent: 25,
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    let name = "reconcile".parse().expect("valid name");
    configuration.services.insert(name, reconcile());
    let role = EngineRole::Decode;
    configuration.pins.insert(MachineId(3), Pin { role });
    configuration
}

fn resolve_one(text: &str) -> RecordChange {
    let changes = resolve(&configuration(), &parse_change(text));
    let mut changes = changes.unwrap_or_else(|error| panic!("{text}: {error}"));
    assert_eq!(changes.len(), 1, "{text}");
    changes.remove(0)
}

fn resolve_error(text: &str) -> QueryError {
    resolve(&configuration(), &parse_change(text)).expect_err(text)
}

fn put_service(settings: ServiceSettings) -> RecordChange {
    RecordChange::PutService("reconcile".parse().expect("valid name"), settings)
}

#[test]
fn an_insert_gives_a_complete_record() {
    let request = parse_change(INSERT_RECONCILE);
    assert_eq!(request.expected_revision, None);
    let changes = resolve(&Configuration::default(), &request).expect("resolves");
    assert_eq!(changes, [put_service(reconcile())]);
    assert_eq!(
        resolve_one("INSERT INTO pins (role, engine) VALUES ('prefill', 7)"),
        RecordChange::PutPin(
            MachineId(7),
            Pin {
                role: EngineRole::Prefill
            }
        )
    );
    let tenant = TenantSettings {
        requests_per_second: 50,
        concurrency: 0,
        tokens_per_second: 9_000,
        weight: 2,
    };
    assert_eq!(
        resolve_one(
            "INSERT INTO tenants (name, weight, concurrency, requests_per_second, tokens_per_second) VALUES ('firm-9', 2, 0, 50, 9000)"
        ),
        RecordChange::PutTenant("firm-9".parse().expect("valid name"), tenant)
    );
}

#[test]
fn an_update_keeps_columns_that_it_does_not_set() {
    let text = "UPDATE services SET version = 7, rollout_percent = 20 \
        WHERE name = 'reconcile' AND revision = 41";
    assert_eq!(parse_change(text).expected_revision, Some(Revision(41)));
    let mut expected = reconcile();
    expected.rollout_percent = 20;
    let ServiceKind::Completion { version, .. } = &mut expected.kind else {
        panic!("expected a completion service");
    };
    *version = 7;
    assert_eq!(resolve_one(text), put_service(expected));
}

#[test]
fn an_adapter_can_be_set_and_removed() {
    let change = resolve_one("UPDATE services SET adapter = 'firm-9' WHERE name = 'reconcile'");
    let RecordChange::PutService(name, settings) = change else {
        panic!("expected a service record");
    };
    let ServiceKind::Completion { adapter, .. } = &settings.kind else {
        panic!("expected a completion service");
    };
    assert_eq!(adapter.as_ref().map(|name| name.as_str()), Some("firm-9"));
    let mut configuration = configuration();
    configuration.services.insert(name, settings);
    let request = parse_change("UPDATE services SET adapter = NULL WHERE name = 'reconcile'");
    let removed = resolve(&configuration, &request).expect("resolves");
    assert_eq!(removed, [put_service(reconcile())]);
}

#[test]
fn changing_the_kind_of_a_service_requires_the_columns_of_the_new_kind() {
    let kind = ServiceKind::Plain {
        pool: "vouchers".parse().expect("valid name"),
    };
    assert_eq!(
        resolve_one(
            "UPDATE services SET kind = 'plain', pool = 'vouchers' WHERE name = 'reconcile'"
        ),
        put_service(ServiceSettings {
            kind,
            ..reconcile()
        })
    );
    let error = resolve_error("UPDATE services SET kind = 'plain' WHERE name = 'reconcile'");
    assert_eq!(
        error.to_string(),
        "a new row of services needs column pool: add it to the INSERT"
    );
    let error = resolve_error("UPDATE services SET pool = 'vouchers' WHERE name = 'reconcile'");
    assert_eq!(
        error.to_string(),
        "a service of kind 'completion' has no pool: leave it out, or set kind as well"
    );
}

#[test]
fn a_delete_selects_a_row_by_its_key() {
    let text = "DELETE FROM pins WHERE revision = 9 AND engine = 3";
    assert_eq!(parse_change(text).expected_revision, Some(Revision(9)));
    assert_eq!(resolve_one(text), RecordChange::DeletePin(MachineId(3)));
    let deleted = resolve_one("DELETE FROM services WHERE name = 'reconcile'");
    let name = "reconcile".parse().expect("valid name");
    assert_eq!(deleted, RecordChange::DeleteService(name));
}

#[test]
fn existing_and_missing_rows_and_columns_are_reported() {
    let error = resolve_error(INSERT_RECONCILE);
    assert_eq!(
        error.to_string(),
        "services already has reconcile: use UPDATE services SET … WHERE name = reconcile"
    );
    let error = resolve_error("UPDATE models SET weights_mib = 1 WHERE name = 'ledger-7b'");
    assert!(matches!(error, QueryError::NotFound { .. }), "{error}");
    let error = resolve_error("DELETE FROM priorities WHERE name = 'low'");
    assert!(matches!(error, QueryError::NotFound { .. }), "{error}");
    for column in ["model", "version", "priority", "repeatable", "deadline_ms"] {
        let renamed = INSERT_RECONCILE.replace("'reconcile'", "'other'");
        let (columns, values) = renamed
            .split_once(" VALUES ")
            .expect("statement has VALUES");
        let position = columns
            .split(", ")
            .position(|part| part == column)
            .expect("column is listed");
        let without = |list: &str| {
            let mut parts: Vec<&str> = list.split(", ").collect();
            parts.remove(position);
            parts.join(", ")
        };
        let error = resolve_error(&format!("{} VALUES {}", without(columns), without(values)));
        assert!(
            error
                .to_string()
                .contains(&format!("needs column {column}:")),
            "{error}"
        );
    }
}
