//! Guards against a configuration parser that panics, or whose result depends on how a document is written.

use {
    goldcreststall_core::config::{ConfigError, FleetConfig},
    proptest::{prelude::*, test_runner::RngSeed},
};

const CASES: u32 = 512;
const SEED: u64 = 43;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

fn name() -> impl Strategy<Value = String> {
    prop_oneof![9 => "[a-c]{1,2}", 1 => "[A-Z .]{0,3}"]
}

fn value() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => (0..40_i64).prop_map(|number| number.to_string()),
        4 => name().prop_map(|name| format!("\"{name}\"")),
        2 => prop::sample::select(vec!["true", "\"rack\"", "\"none\"", "-1", "1.5", "1979-05-27", "[]", "{}"])
            .prop_map(str::to_owned),
    ]
}

fn field(names: &'static [&'static str]) -> impl Strategy<Value = String> {
    (prop::sample::select(names), value()).prop_map(|(name, value)| format!("{name} = {value}\n"))
}

/// Tables with the known fields, most of them with valid values.
fn table() -> impl Strategy<Value = String> {
    let pool = (name(), 0..20_i64, any::<bool>(), 1..900_i64).prop_map(
        |(name, budget, spare, reboot)| {
            format!(
                "[[pools]]\nname = \"{name}\"\nmin_available = {budget}\nspare = {spare}\nreboot_limit_s = {reboot}\n"
            )
        },
    );
    let service = (name(), name(), 1..20_i64).prop_map(|(name, pool, slots)| {
        format!("[[services]]\nname = \"{name}\"\npool = \"{pool}\"\nslots = {slots}\n")
    });
    let organisation = (name(), 0..20_i64)
        .prop_map(|(name, jobs)| format!("[[tenants]]\nname = \"{name}\"\nmax_jobs = {jobs}\n"));
    let bare_header = prop::sample::select(vec!["[[pools]]\n", "[[tenants]]\n", "[limits]\n"])
        .prop_map(str::to_owned);
    prop_oneof![4 => pool, 2 => service, 4 => organisation, 1 => bare_header]
}

fn document() -> impl Strategy<Value = String> {
    let extra = prop::option::weighted(0.1, field(&["survive", "weight", "max_queue", "extra"]));
    let part = (table(), extra).prop_map(|(table, extra)| table + &extra.unwrap_or_default());
    prop::collection::vec(part, 0..6).prop_map(|parts| parts.concat())
}

/// Parses the text and checks that it is accepted or yields mistakes of one line each.
fn parse(text: &str) -> Result<FleetConfig, TestCaseError> {
    match FleetConfig::try_from(text) {
        Ok(config) => Ok(config),
        Err(ConfigError { mistakes }) => {
            prop_assert!(!mistakes.is_empty(), "rejected without a mistake");
            for mistake in mistakes {
                prop_assert!(!mistake.to_string().contains('\n'), "{mistake:?}");
            }
            Err(TestCaseError::reject("not accepted"))
        }
    }
}

/// Formats the document again, with another order of fields, another layout and no comments.
fn rewrite(text: &str) -> String {
    let table: toml::Table = text.parse().expect("accepted documents are TOML");
    toml::to_string_pretty(&table).expect("tables can be written")
}

proptest! {
    #![proptest_config(config())]

    /// Any text is accepted or yields mistakes; the parser does not panic.
    #[test]
    fn any_text(text in prop_oneof![".{0,200}", "[\\[\\]a-c=\"'{}.,#0-9 \n-]{0,80}"]) {
        if let Err(error @ TestCaseError::Fail(_)) = parse(&text) {
            return Err(error);
        }
    }

    /// Documents with known fields, valid or not, are accepted or yield mistakes.
    #[test]
    fn any_document(text in document()) {
        if let Err(error @ TestCaseError::Fail(_)) = parse(&text) {
            return Err(error);
        }
    }

    /// An accepted document yields the same configuration when it is parsed again or formatted differently.
    #[test]
    fn same_again(text in document()) {
        let config = parse(&text)?;
        prop_assert_eq!(&parse(&text)?, &config);
        prop_assert_eq!(&parse(&rewrite(&text))?, &config);
    }
}
