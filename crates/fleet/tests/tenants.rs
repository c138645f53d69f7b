//! Tests the mapping of API keys to tenants.

use std::sync::Arc;

use ponddrift_fleet::tenants::{ApiKey, Credential, Tenant, TenantTable, Unauthenticated};

fn key(text: &str) -> ApiKey {
    ApiKey::parse(text).expect("a key")
}

fn tenant(name: &str, keys: &[&str]) -> Arc<Tenant> {
    Arc::new(Tenant {
        name: Arc::from(name),
        priority: None,
        api_keys: keys.iter().map(|text| key(text)).collect(),
    })
}

fn owner(table: &TenantTable, text: &str) -> Option<String> {
    let credential = Credential::Key(key(text));
    let tenant = table.authenticate(&credential).ok()?;
    Some(tenant.name.to_string())
}

#[test]
fn each_key_maps_to_its_tenant_and_all_else_is_rejected_alike() {
    let table = TenantTable::new(&[tenant("a", &["one", "two"]), tenant("b", &["three"])]);
    assert_eq!(owner(&table, "two").as_deref(), Some("a"));
    assert_eq!(owner(&table, "three").as_deref(), Some("b"));
    let refused = [
        Credential::Missing,
        Credential::Malformed,
        Credential::Key(key("four")),
    ];
    for credential in refused {
        assert_eq!(table.authenticate(&credential), Err(Unauthenticated));
    }
}

#[test]
fn a_key_of_two_tenants_authenticates_neither() {
    let table = TenantTable::new(&[tenant("a", &["one", "own"]), tenant("b", &["one"])]);
    assert_eq!(owner(&table, "one"), None);
    assert_eq!(owner(&table, "own").as_deref(), Some("a"));
    assert_eq!(table.ambiguous_keys(), 1);
}

#[test]
fn a_key_listed_twice_by_one_tenant_is_valid() {
    let table = TenantTable::new(&[tenant("a", &["one", "one"])]);
    assert_eq!(owner(&table, "one").as_deref(), Some("a"));
}

#[test]
fn tenants_without_keys_authenticate_nobody() {
    assert_eq!(owner(&TenantTable::new(&[tenant("a", &[])]), "one"), None);
    assert_eq!(owner(&TenantTable::new(&[]), "one"), None);
}

#[test]
fn keys_do_not_appear_in_output() {
    let held = tenant("a", &["secret-1"]);
    let table = TenantTable::new(&[Arc::clone(&held)]);
    let credential = Credential::Key(key("secret-1"));
    let texts = [
        format!("{held:?}"),
        format!("{table:?}"),
        format!("{credential:?}"),
        format!("{Unauthenticated} {Unauthenticated:?}"),
    ];
    for text in texts {
        assert!(!text.contains("secret-1"), "{text}");
    }
}

#[test]
fn parsing_accepts_exactly_the_valid_keys() {
    bolero::check!().for_each(|bytes: &[u8]| {
        let Ok(text) = std::str::from_utf8(bytes) else {
            return;
        };
        let is_valid = !text.is_empty()
            && text.len() <= ApiKey::MAXIMUM_BYTES
            && text.chars().all(|letter| ('!'..='~').contains(&letter));
        assert_eq!(ApiKey::parse(text).is_some(), is_valid);
    });
}
