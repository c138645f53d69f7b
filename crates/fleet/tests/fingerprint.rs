//! Guards against different requests sharing a fingerprint and retries receiving a different one.

use ponddrift_fleet::fingerprint::{Fingerprint, RequestContent};

const CONTENT: RequestContent<'static> = RequestContent {
    tenant: Some("alice"),
    method: "POST",
    host: "models.example",
    path: "/tag/1?x=2",
    body: b"a prompt",
};

#[test]
fn the_same_content_has_the_same_fingerprint() {
    let first = Fingerprint::of(&CONTENT);
    let second = Fingerprint::of(&CONTENT.clone());
    assert_eq!(first, second);
}

#[test]
fn a_difference_in_any_part_changes_the_fingerprint() {
    let others = [
        RequestContent {
            tenant: None,
            ..CONTENT
        },
        RequestContent {
            tenant: Some("bob"),
            ..CONTENT
        },
        RequestContent {
            method: "PUT",
            ..CONTENT
        },
        RequestContent {
            host: "other.example",
            ..CONTENT
        },
        RequestContent {
            path: "/tag/1?x=3",
            ..CONTENT
        },
        RequestContent {
            body: b"another",
            ..CONTENT
        },
        // The boundaries between the parts matter.
        RequestContent {
            tenant: Some("aliceP"),
            method: "OST",
            ..CONTENT
        },
        RequestContent {
            path: "/tag/1?x=2a",
            body: b" prompt",
            ..CONTENT
        },
    ];
    for other in others {
        assert_ne!(
            Fingerprint::of(&CONTENT),
            Fingerprint::of(&other),
            "{other:?}"
        );
    }
}

#[test]
fn a_formatted_fingerprint_parses_to_the_same() {
    let fingerprint = Fingerprint::of(&CONTENT);
    assert_eq!(
        Fingerprint::parse(&fingerprint.to_string()),
        Some(fingerprint)
    );
    for text in [
        "",
        "00",
        "zz",
        &"g".repeat(32),
        &"0".repeat(31),
        &"é".repeat(16),
    ] {
        assert_eq!(Fingerprint::parse(text), None, "{text}");
    }
}
