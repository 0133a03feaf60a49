//! Guards against a configuration that is partly accepted or whose mistakes are reported one at a time.

use goldcreststall_core::config::{FleetConfig, MAX_DOCUMENT_BYTES};

fn mistakes(text: &str) -> Vec<String> {
    let error = FleetConfig::try_from(text).expect_err("the document is not valid");
    error.mistakes.iter().map(ToString::to_string).collect()
}

/// Each line names the field, the value and what is allowed, whatever the type of the value.
#[test]
fn all_at_once() {
    let text = r#"
        speed = 3
        [limits]
        drain_limit_s = 0
        [[pools]]
        name = "Render"
        min_available = -1
        survive = "building"
        spare = "yes"
        [[pools]]
        name = "spare"
        min_available = 2.5
        reboot_limit_s = 99999999
        colour = "red"
        [[pools]]
        name = "spare"
        [[services]]
        name = "proof"
        pool = "plates"
        max_queue = 0
        slots = [8]
        [[tenants]]
        weight = 0
        max_in_flight = -3
        max_jobs = true
    "#;
    let name = "text of 1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";
    let budget = "a whole number from 0 to 100000";
    let rejected = "is not accepted; allowed:";
    let expected = [
        format!("limits.drain_limit_s: 0 {rejected} a whole number from 1 to 86400"),
        format!("pools[0].name: \"Render\" {rejected} {name}"),
        format!("pools[0].min_available: -1 {rejected} {budget}"),
        format!("pools[0].survive: \"building\" {rejected} \"none\", \"rack\", \"data_centre\""),
        format!("pools[0].spare: \"yes\" {rejected} true, false"),
        format!("pools[1].min_available: 2.5 {rejected} {budget}"),
        format!("pools[1].reboot_limit_s: 99999999 {rejected} a whole number from 1 to 86400"),
        format!(
            "pools[1].colour: \"red\" {rejected} the fields min_available, name, reboot_limit_s, spare, survive"
        ),
        format!("pools[2].name: \"spare\" {rejected} a name that is used once"),
        format!("pools[2].min_available: a value is missing; allowed: {budget}"),
        format!("services[0].max_queue: 0 {rejected} a whole number from 1 to 100000"),
        format!("services[0].slots: a list {rejected} a whole number from 1 to 1024"),
        format!("tenants[0].name: a value is missing; allowed: {name}"),
        format!("tenants[0].weight: 0 {rejected} a whole number from 1 to 1000"),
        format!("tenants[0].max_in_flight: -3 {rejected} a whole number from 0 to 1000000"),
        format!("tenants[0].max_jobs: true {rejected} a whole number from 0 to 1000000"),
        format!("services[0].pool: \"plates\" {rejected} the name of a pool in this file"),
        format!("speed: 3 {rejected} the fields limits, pools, services, tenants"),
    ];
    assert_eq!(mistakes(text), expected);
}

/// A list or table of the wrong type must not count as an empty one.
#[test]
fn wrong_shape() {
    let found = mistakes("pools = 3\nservices = [1]\nlimits = []\n[tenants]\nname = \"a\"");
    let expected = [
        "limits: a list is not accepted; allowed: a table",
        "pools: 3 is not accepted; allowed: tables that start with [[pools]]",
        "services[0]: 1 is not accepted; allowed: a table",
        "tenants: a table is not accepted; allowed: tables that start with [[tenants]]",
    ];
    assert_eq!(found, expected);
}

/// A syntax mistake names its line, also when there are several.
#[test]
fn broken_syntax() {
    let found = mistakes("[[pools]]\nname = \nmin_available == 3\n");
    assert_eq!(found.len(), 2, "{found:?}");
    assert!(found[0].starts_with("line 2: \"name =\" is not accepted; allowed: TOML ("));
    assert!(found[1].starts_with("line 3: \"min_available == 3\" is not accepted"));
}

/// A document that does not fit in a log entry must be rejected before it is published.
#[test]
fn long_document() {
    let text = "#".repeat(MAX_DOCUMENT_BYTES + 1);
    let expected = "file: 262145 bytes is not accepted; allowed: at most 262144 bytes";
    assert_eq!(mistakes(&text), [expected]);
}

/// The mistake for a value with line breaks must stay on one line.
#[test]
fn one_line() {
    let text = format!("[[tenants]]\nname = \"\"\"a\nb{}\"\"\"", "c".repeat(500));
    let found = mistakes(&text);
    assert_eq!(found.len(), 1);
    assert!(!found[0].contains('\n'));
    assert!(found[0].len() < 300, "{}", found[0]);
}

/// An integer beyond the range of the parser must neither hide the other mistakes nor be accepted as a name.
#[test]
fn long_integer() {
    let long = "99999999999999999999";
    let text = format!("[[tenants]]\nname = {long}\nweight = -{long}\nmax_jobs = -1");
    let quota = "allowed: a whole number from 0 to 1000000";
    let found = mistakes(&text);
    assert_eq!(found.len(), 3, "{found:?}");
    assert!(found[0].starts_with("tenants[0].name: \"99999999999999999999 (beyond 64 bits)\""));
    assert!(found[1].starts_with("tenants[0].weight: \"-99999999999999999999 (beyond 64 bits)\""));
    assert_eq!(
        found[2],
        format!("tenants[0].max_jobs: -1 is not accepted; {quota}")
    );
}
