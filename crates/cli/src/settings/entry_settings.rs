use {
    super::Variables,
    crate::{arguments::RequiredSettings, commands::ValueCheck, output::OutputFormat},
    goldcreststall_core::ids::RecordId,
    goldcreststall_operators::OperatorName,
    std::{net::SocketAddr, time::Duration},
};

/// Time limit of an attempt when none is given, in seconds.
const DEFAULT_TIMEOUT_S: u32 = 10;
/// Largest time limit of an attempt, in seconds.
const MAX_TIMEOUT_S: u32 = 600;

/// The checked settings.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Entry hosts in the order in which they are tried.
    pub(crate) entries: Vec<SocketAddr>,
    /// Name of the operator; present when the command makes a change.
    pub(crate) operator: Option<OperatorName>,
    /// How results are printed.
    pub(crate) output: OutputFormat,
    /// Id of a change that is repeated.
    pub(crate) request: Option<RecordId>,
    /// Limit of each attempt.
    pub(crate) timeout: Duration,
}

impl Settings {
    /// Checks the global options and the environment. A flag takes precedence over its variable.
    pub(crate) fn check(
        check: &mut ValueCheck,
        required_settings: RequiredSettings,
        variables: &Variables,
    ) -> Option<Self> {
        let entries = entries(check, required_settings, variables);
        let operator = operator(check, required_settings, variables);
        let output = output(check, variables);
        let request = check.optional_id("request-id");
        if required_settings != RequiredSettings::EntryAndOperator
            && check.option("request-id").is_some()
        {
            check.reject("option", "--request-id", "a command that makes a change");
        }
        let timeout = check.number("timeout-s", Some(DEFAULT_TIMEOUT_S), 1, MAX_TIMEOUT_S);
        Some(Self {
            entries: entries?,
            operator: operator?,
            output: output?,
            request: request?,
            timeout: Duration::from_secs(timeout?.into()),
        })
    }
}

/// Returns the value of a setting and the name under which it was given.
fn setting<'a>(
    flags: &[&'a str],
    variable: &'a Option<String>,
    names: (&'static str, &'static str),
) -> (Vec<&'a str>, &'static str) {
    match variable.as_deref() {
        _ if !flags.is_empty() => (flags.to_vec(), names.0),
        Some(value) if !value.is_empty() => (vec![value], names.1),
        _ => (Vec::new(), names.0),
    }
}

fn entries(
    check: &mut ValueCheck,
    required_settings: RequiredSettings,
    variables: &Variables,
) -> Option<Vec<SocketAddr>> {
    const ALLOWED: &str = "an IP address and port, for example 127.0.0.1:7000";
    let flags = check.options_named("entry");
    let flags: Vec<&str> = flags.iter().map(String::as_str).collect();
    let names = ("--entry", "GOLDCRESTSTALL_ENTRY");
    let (values, field) = setting(&flags, &variables.entry, names);
    if values.is_empty() && required_settings != RequiredSettings::Nothing {
        let allowed = format!("{ALLOWED}; or set GOLDCRESTSTALL_ENTRY");
        check.reject(field, "", &allowed);
        return None;
    }
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut valid = true;
    for text in values.iter().flat_map(|value| value.split(',')) {
        match text.trim().parse() {
            Ok(address) if entries.contains(&address) => {}
            Ok(address) => entries.push(address),
            Err(_) => {
                check.reject(field, text, ALLOWED);
                valid = false;
            }
        }
    }
    valid.then_some(entries)
}

fn operator(
    check: &mut ValueCheck,
    required_settings: RequiredSettings,
    variables: &Variables,
) -> Option<Option<OperatorName>> {
    let flag = check.option("operator").map(str::to_owned);
    let flags: Vec<&str> = flag.as_deref().into_iter().collect();
    let names = ("--operator", "GOLDCRESTSTALL_OPERATOR");
    let (values, field) = setting(&flags, &variables.operator, names);
    let Some(value) = values.first() else {
        if required_settings != RequiredSettings::EntryAndOperator {
            return Some(None);
        }
        let allowed = format!("{}; or set GOLDCRESTSTALL_OPERATOR", OperatorName::RULE);
        check.reject(field, "", &allowed);
        return None;
    };
    match OperatorName::try_from(*value) {
        Ok(name) => Some(Some(name)),
        Err(allowed) => {
            check.reject(field, value, allowed);
            None
        }
    }
}

fn output(check: &mut ValueCheck, variables: &Variables) -> Option<OutputFormat> {
    let flag = check.option("output").map(str::to_owned);
    let flags: Vec<&str> = flag.as_deref().into_iter().collect();
    let names = ("--output", "GOLDCRESTSTALL_OUTPUT");
    let (values, field) = setting(&flags, &variables.output, names);
    match values.first() {
        None | Some(&"table") => Some(OutputFormat::Table),
        Some(&"json") => Some(OutputFormat::Json),
        Some(value) => {
            check.reject(field, value, "table, json");
            None
        }
    }
}
