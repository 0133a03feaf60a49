//! Guards against calls that are accepted with a wrong key or refused with a right one, and against keys in the log.

use {
    goldcreststall_dispatch::{
        organisations::{KeyConflict, KeyIndex, OrganisationRule},
        routes::{CallOrigin, CallRefusal, FleetRules, RouteRule},
    },
    std::sync::Arc,
};

const KEY_COUNT: usize = 10_000;

fn index(keys: &[(&str, &str)]) -> (KeyIndex, Vec<KeyConflict>) {
    let keys = keys
        .iter()
        .map(|(key, name)| ((*key).to_owned(), Arc::from(*name)));
    KeyIndex::new(keys.collect())
}

/// Guards against a key that is not found among many, and a prefix or extension of a key that is.
#[test]
fn many_keys() {
    let key = |number: usize| format!("key-{number:05}");
    let keys = (0..KEY_COUNT).map(|number| (key(number), Arc::from(format!("o{number}"))));
    let (index, conflicts) = KeyIndex::new(keys.collect());
    assert_eq!((index.len(), conflicts), (KEY_COUNT, Vec::new()));
    for number in 0..KEY_COUNT {
        let name = index.organisation(key(number).as_bytes()).expect("a key");
        assert_eq!(**name, *format!("o{number}"));
    }
    for wrong in [
        "",
        "key-0000",
        "key-000000",
        "KEY-00000",
        "\0",
        "key-00000\0",
    ] {
        assert_eq!(index.organisation(wrong.as_bytes()), None, "{wrong:?}");
    }
}

/// Guards against a key of two organisations that changes its meaning with the place of its hash.
#[test]
fn shared_key() {
    let (index, conflicts) = index(&[("k1", "a"), ("k2", "b"), ("k1", "b"), ("k2", "b")]);
    let holder = |key: &str| {
        index
            .organisation(key.as_bytes())
            .expect("a key")
            .to_string()
    };
    assert_eq!(
        (holder("k1"), holder("k2")),
        ("a".to_owned(), "b".to_owned())
    );
    let conflict = KeyConflict {
        holder: Arc::from("a"),
        other: Arc::from("b"),
    };
    assert_eq!(conflicts, [conflict]);
}

fn rules() -> FleetRules {
    let route = |name: &str| RouteRule {
        name: name.to_owned(),
        host: "press".to_owned(),
        prefix: format!("/{name}/"),
        ..RouteRule::default()
    };
    FleetRules {
        version: 1,
        routes: vec![route("open"), route("proofs")],
        organisations: Some(vec![OrganisationRule {
            name: "ferrandi".to_owned(),
            ..OrganisationRule::default()
        }]),
        keys: index(&[("secret-1", "ferrandi")]).0,
        public_routes: vec!["open".to_owned()],
        ..FleetRules::default()
    }
}

fn origin(
    rules: &FleetRules,
    path: &str,
    key: Option<&str>,
    is_stale: bool,
) -> Result<CallOrigin, CallRefusal> {
    let checked = rules.check_call("press", path, key.map(str::as_bytes), is_stale);
    checked.map(|checked| checked.origin)
}

/// Guards against an unknown queue that is answered by the key, a public one that looks at it, a stale configuration that
/// decides on keys, and keys that are needed without organisations.
#[test]
fn check_order() {
    let mut rules = rules();
    for (key, is_stale, wanted) in [
        (None, false, Err(CallRefusal::NoKey)),
        (Some("wrong"), false, Err(CallRefusal::NoKey)),
        (
            Some("secret-1"),
            false,
            Ok(CallOrigin::Organisation(Arc::from("ferrandi"))),
        ),
        (Some("secret-1"), true, Err(CallRefusal::Unverified)),
    ] {
        assert_eq!(
            origin(&rules, "/none/7", key, is_stale),
            Err(CallRefusal::NoRoute)
        );
        assert_eq!(
            origin(&rules, "/open/7", key, is_stale),
            Ok(CallOrigin::Public)
        );
        assert_eq!(origin(&rules, "/proofs/7", key, is_stale), wanted);
    }
    rules.organisations = None;
    assert_eq!(
        origin(&rules, "/proofs/7", None, true),
        Ok(CallOrigin::Open)
    );
    rules.organisations = Some(Vec::new());
    rules.keys = KeyIndex::default();
    let refused = origin(&rules, "/proofs/7", Some("secret-1"), false);
    assert_eq!(refused, Err(CallRefusal::NoKey));
}

/// Guards against a debug line that shows a key.
#[test]
fn hidden_keys() {
    let shown = format!("{:?}", rules());
    assert!(shown.contains("ferrandi") && !shown.contains("secret"));
}
