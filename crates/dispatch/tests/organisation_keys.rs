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

fn origin(rules: &FleetRules, path: &str, key: Option<&str>) -> Result<CallOrigin, CallRefusal> {
    let checked = rules.check_call("press", path, key.map(str::as_bytes), false);
    checked.map(|checked| checked.origin)
}

/// Guards against an unknown queue that is answered by the key, and a public one that looks at it.
#[test]
fn check_order() {
    let rules = rules();
    let organisation = CallOrigin::Organisation(Arc::from("ferrandi"));
    for key in [None, Some("wrong"), Some("secret-1")] {
        assert_eq!(origin(&rules, "/none/7", key), Err(CallRefusal::NoRoute));
        assert_eq!(origin(&rules, "/open/7", key), Ok(CallOrigin::Public));
        let wanted = match key {
            Some("secret-1") => Ok(organisation.clone()),
            _ => Err(CallRefusal::NoKey),
        };
        assert_eq!(origin(&rules, "/proofs/7", key), wanted);
    }
}

/// Guards against a stale configuration that decides on keys, or refuses calls that need none.
#[test]
fn stale_configuration() {
    let mut rules = rules();
    let origin = |rules: &FleetRules, path| {
        let checked = rules.check_call("press", path, Some(b"secret-1"), true);
        checked.map(|checked| checked.origin)
    };
    assert_eq!(origin(&rules, "/proofs/7"), Err(CallRefusal::Unverified));
    assert_eq!(origin(&rules, "/none/7"), Err(CallRefusal::NoRoute));
    assert_eq!(origin(&rules, "/open/7"), Ok(CallOrigin::Public));
    rules.organisations = None;
    assert_eq!(origin(&rules, "/proofs/7"), Ok(CallOrigin::Open));
}

/// Guards against keys that are needed without organisations, and a configuration whose list is empty that needs none.
#[test]
fn no_organisations() {
    let mut rules = rules();
    rules.organisations = None;
    assert_eq!(origin(&rules, "/proofs/7", None), Ok(CallOrigin::Open));
    rules.organisations = Some(Vec::new());
    rules.keys = KeyIndex::default();
    let refused = origin(&rules, "/proofs/7", Some("secret-1"));
    assert_eq!(refused, Err(CallRefusal::NoKey));
}

#[test]
fn hidden_keys() {
    let shown = format!("{:?}", rules());
    assert!(shown.contains("ferrandi") && !shown.contains("secret"));
}
