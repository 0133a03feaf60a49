use super::{
    COMMANDS, CommandSpec, OperandSpec, OptionSpec,
    command_table::{GLOBAL_OPTIONS, find_command, group_actions},
};

const PROGRAM: &str = "goldcreststall";
/// End of every help text: the environment variables and the meaning of the exit codes.
const HELP_FOOTER: &str = "Environment, where an option is not given:
  GOLDCRESTSTALL_ENTRY     --entry
  GOLDCRESTSTALL_OPERATOR  --operator
  GOLDCRESTSTALL_OUTPUT    --output

Exit codes:
  0  done; a change is in force
  1  rejected: the change has no effect, or the configuration is not valid
  2  mistakes in arguments, settings or the request
  3  not found
  4  not confirmed: the change may or may not come into force
  5  not done: no entry host could answer
  6  an entry host failed, or the output could not be written
";

/// Returns the help for the positional arguments of a command line: of a command, of a group, or of the whole
/// program when they name neither.
pub fn help_text(arguments: &[&str]) -> String {
    match arguments {
        [group, action, ..] if find_command(group, action).is_some() => find_command(group, action)
            .map(command_help)
            .unwrap_or_default(),
        [group, ..] if group_actions(group) == [""] => find_command(group, "")
            .map(command_help)
            .unwrap_or_default(),
        [group, ..] if !group_actions(group).is_empty() => group_help(group),
        _ => program_help(),
    }
}

fn program_help() -> String {
    let specs: Vec<&CommandSpec> = COMMANDS.iter().collect();
    format!(
        "Controls a fleet through its entry hosts.\n\nUsage: {PROGRAM} COMMAND [OPTIONS]\n\nCommands:\n{}\n{}\n{HELP_FOOTER}",
        command_rows(&specs),
        option_rows("Options:", GLOBAL_OPTIONS),
    )
}

fn group_help(group: &str) -> String {
    let specs = COMMANDS.iter().filter(|spec| spec.group == group);
    let specs: Vec<&CommandSpec> = specs.collect();
    format!(
        "Usage: {PROGRAM} {group} COMMAND [OPTIONS]\n\nCommands:\n{}\n{}\n{HELP_FOOTER}",
        command_rows(&specs),
        option_rows("Options:", GLOBAL_OPTIONS),
    )
}

fn command_help(spec: &CommandSpec) -> String {
    let operands: Vec<String> = spec.operands.iter().map(operand_usage).collect();
    let options = spec.options.iter().filter(|option| option.required);
    let options: Vec<String> = options.map(option_usage).collect();
    let usage = [vec![spec.full_name()], operands, options]
        .concat()
        .join(" ");
    let mut text = format!("{}\n\nUsage: {PROGRAM} {usage} [OPTIONS]\n", spec.about);
    if !spec.operands.is_empty() {
        let rows = spec
            .operands
            .iter()
            .map(|operand| (operand.name.to_owned(), operand.help));
        text += &format!("\nOperands:\n{}", help_rows(rows));
    }
    if !spec.options.is_empty() {
        text += &format!(
            "\n{}",
            option_rows("Options of this command:", spec.options)
        );
    }
    text += &format!(
        "\n{}\n{HELP_FOOTER}",
        option_rows("Options:", GLOBAL_OPTIONS)
    );
    text
}

fn operand_usage(operand: &OperandSpec) -> String {
    match operand.required {
        true => operand.name.to_owned(),
        false => format!("[{}]", operand.name),
    }
}

fn option_usage(option: &OptionSpec) -> String {
    match option.value_name {
        Some(value) => format!("--{} {value}", option.name),
        None => format!("--{}", option.name),
    }
}

fn command_rows(specs: &[&CommandSpec]) -> String {
    help_rows(specs.iter().map(|spec| (spec.full_name(), spec.about)))
}

fn option_rows(title: &str, options: &[OptionSpec]) -> String {
    let rows = options
        .iter()
        .map(|option| (option_usage(option), option.help));
    format!("{title}\n{}", help_rows(rows))
}

fn help_rows(rows: impl Iterator<Item = (String, &'static str)>) -> String {
    let rows: Vec<(String, &str)> = rows.collect();
    let width = rows.iter().map(|(name, _)| name.len()).max().unwrap_or(0);
    let lines = rows
        .iter()
        .map(|(name, help)| format!("  {name:width$}  {help}\n"));
    lines.collect()
}
