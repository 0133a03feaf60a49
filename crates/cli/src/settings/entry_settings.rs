use {
    super::Variables,
    crate::{arguments::RequiredSettings, commands::ValueValidator, output::OutputFormat},
    goldcreststall_core::ids::RecordId,
    goldcreststall_operators::OperatorName,
    std::{net::SocketAddr, time::Duration},
};

/// Default of `--timeout-s`.
const DEFAULT_TIMEOUT_S: u32 = 10;
/// Largest accepted value of `--timeout-s`.
const MAX_TIMEOUT_S: u32 = 600;

/// The settings of a run after all of them were checked.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Addresses of entry hosts in the order in which they are tried, without duplicates.
    pub(crate) entries: Vec<SocketAddr>,
    /// Always present when the command makes a change.
    pub(crate) operator: Option<OperatorName>,
    pub(crate) output: OutputFormat,
    /// Id of an earlier change that is to be sent again.
    pub(crate) request_id: Option<RecordId>,
    /// Limit of each attempt, for connecting and for the call separately.
    pub(crate) timeout: Duration,
}

impl Settings {
    /// Checks the global options and the environment. An option takes precedence over its variable.
    pub(crate) fn parse(
        validator: &mut ValueValidator,
        required_settings: RequiredSettings,
        variables: &Variables,
    ) -> Option<Self> {
        let entries = check_entries(validator, required_settings, variables);
        let operator = check_operator(validator, required_settings, variables);
        let output = check_output(validator, variables);
        let request_id = validator.optional_id("request-id");
        if required_settings != RequiredSettings::EntryAndOperator
            && validator.option("request-id").is_some()
        {
            validator.reject("option", "--request-id", "a command that makes a change");
        }
        let timeout = validator.number("timeout-s", Some(DEFAULT_TIMEOUT_S), 1, MAX_TIMEOUT_S);
        Some(Self {
            entries: entries?,
            operator: operator?,
            output: output?,
            request_id: request_id?,
            timeout: Duration::from_secs(timeout?.into()),
        })
    }
}

/// Returns the values of a setting and the name under which they were given. `names` are those of the option and of
/// the variable.
fn setting_values<'a>(
    option_values: &[&'a str],
    variable: &'a Option<String>,
    names: (&'static str, &'static str),
) -> (Vec<&'a str>, &'static str) {
    match variable.as_deref() {
        _ if !option_values.is_empty() => (option_values.to_vec(), names.0),
        Some(value) if !value.is_empty() => (vec![value], names.1),
        _ => (Vec::new(), names.0),
    }
}

fn check_entries(
    validator: &mut ValueValidator,
    required_settings: RequiredSettings,
    variables: &Variables,
) -> Option<Vec<SocketAddr>> {
    const ALLOWED: &str = "an IP address and port, for example 127.0.0.1:7000";
    let option_values = validator.option_values("entry");
    let option_values: Vec<&str> = option_values.iter().map(String::as_str).collect();
    let names = ("--entry", "GOLDCRESTSTALL_ENTRY");
    let (values, field) = setting_values(&option_values, &variables.entry, names);
    if values.is_empty() && required_settings != RequiredSettings::Nothing {
        let allowed = format!("{ALLOWED}; or set GOLDCRESTSTALL_ENTRY");
        validator.reject(field, "", &allowed);
        return None;
    }
    let mut entries: Vec<SocketAddr> = Vec::new();
    let mut valid = true;
    for text in values.iter().flat_map(|value| value.split(',')) {
        match text.trim().parse() {
            Ok(address) if entries.contains(&address) => {}
            Ok(address) => entries.push(address),
            Err(_) => {
                validator.reject(field, text, ALLOWED);
                valid = false;
            }
        }
    }
    valid.then_some(entries)
}

fn check_operator(
    validator: &mut ValueValidator,
    required_settings: RequiredSettings,
    variables: &Variables,
) -> Option<Option<OperatorName>> {
    let option_value = validator.option("operator").map(str::to_owned);
    let option_values: Vec<&str> = option_value.as_deref().into_iter().collect();
    let names = ("--operator", "GOLDCRESTSTALL_OPERATOR");
    let (values, field) = setting_values(&option_values, &variables.operator, names);
    let Some(value) = values.first() else {
        if required_settings != RequiredSettings::EntryAndOperator {
            return Some(None);
        }
        let allowed = format!("{}; or set GOLDCRESTSTALL_OPERATOR", OperatorName::RULE);
        validator.reject(field, "", &allowed);
        return None;
    };
    match OperatorName::try_from(*value) {
        Ok(name) => Some(Some(name)),
        Err(allowed) => {
            validator.reject(field, value, allowed);
            None
        }
    }
}

fn check_output(validator: &mut ValueValidator, variables: &Variables) -> Option<OutputFormat> {
    let option_value = validator.option("output").map(str::to_owned);
    let option_values: Vec<&str> = option_value.as_deref().into_iter().collect();
    let names = ("--output", "GOLDCRESTSTALL_OUTPUT");
    let (values, field) = setting_values(&option_values, &variables.output, names);
    match values.first() {
        None | Some(&"table") => Some(OutputFormat::Table),
        Some(&"json") => Some(OutputFormat::Json),
        Some(value) => {
            validator.reject(field, value, "table, json");
            None
        }
    }
}
