use {
    super::{
        COMMANDS, CommandSpec, OptionSpec, command_table::GLOBAL_OPTIONS, find_command,
        group_actions, groups,
    },
    goldcreststall_operators::FieldMistake,
    lexopt::{Arg, Parser},
    std::ffi::{OsStr, OsString},
};

/// The arguments of a command line, assigned to a command, before their values are checked.
#[derive(Debug)]
pub(crate) struct ParsedArguments {
    pub(crate) spec: &'static CommandSpec,
    pub(crate) operands: Vec<String>,
    /// Names and values in the order given. The value of a flag is empty.
    pub(crate) options: Vec<(&'static str, String)>,
}

/// What a command line asks for.
#[derive(Debug)]
pub(crate) enum ParseResult {
    /// The help for these positional arguments.
    Help(Vec<String>),
    Version,
    /// A command, and the mistakes found so far; they are reported together with those of the values.
    Command(ParsedArguments, Vec<FieldMistake>),
    /// The arguments do not name a command.
    Invalid(Vec<FieldMistake>),
}

/// Splits a command line into positional arguments and options, and collects the mistakes found on the way.
#[derive(Debug, Default)]
struct ArgumentCollector {
    mistakes: Vec<FieldMistake>,
    options: Vec<(&'static str, String)>,
    positional: Vec<String>,
}

impl ParseResult {
    pub(crate) fn parse(arguments: Vec<OsString>) -> Self {
        let mut collector = ArgumentCollector::default();
        collector.collect(arguments);
        if collector.has_option("help") {
            return Self::Help(collector.positional);
        }
        if collector.has_option("version") {
            return Self::Version;
        }
        collector.into_result()
    }
}

impl ArgumentCollector {
    fn has_option(&self, name: &str) -> bool {
        self.options.iter().any(|(option, _)| *option == name)
    }

    fn reject(&mut self, field: &str, value: &str, allowed: &str) {
        self.mistakes.push(FieldMistake::new(field, value, allowed));
    }

    fn collect(&mut self, arguments: Vec<OsString>) {
        let mut parser = Parser::from_args(arguments);
        loop {
            // The parser fails only when a flag is given a value, and can go on after that.
            match parser.next() {
                Ok(None) => return,
                Ok(Some(Arg::Short('h'))) => self.options.push(("help", String::new())),
                Ok(Some(Arg::Short(letter))) => {
                    self.reject("option", &format!("-{letter}"), "the options in --help");
                }
                Ok(Some(Arg::Long(name))) => {
                    let name = name.to_owned();
                    self.add_option(&name, &mut parser);
                }
                Ok(Some(Arg::Value(value))) => {
                    let value = self.utf8_text("argument", value);
                    self.positional.push(value);
                }
                Err(error) => self.reject("option", &error.to_string(), "a flag without a value"),
            }
        }
    }

    fn add_option(&mut self, name: &str, parser: &mut Parser) {
        let field = format!("--{name}");
        let Some(spec) = find_option(name) else {
            // Skips a value attached with `=`, which belongs to the unknown option.
            let _ = parser.optional_value();
            self.reject("option", &field, "the options in --help");
            return;
        };
        let value = match spec.value_name {
            None => String::new(),
            // A missing value becomes an empty one, which is reported when the values are checked.
            Some(_) => {
                let value = option_value(parser);
                self.utf8_text(&field, value)
            }
        };
        if spec.name != "entry" && self.has_option(name) {
            self.reject(&field, &value, "one use of this option");
            return;
        }
        self.options.push((spec.name, value));
    }

    fn utf8_text(&mut self, field: &str, value: OsString) -> String {
        value.into_string().unwrap_or_else(|value| {
            let text = value.to_string_lossy().into_owned();
            self.reject(field, &text, "text in UTF-8");
            text
        })
    }

    fn into_result(mut self) -> ParseResult {
        let mut positional = std::mem::take(&mut self.positional).into_iter();
        let group = positional.next().unwrap_or_default();
        let actions = group_actions(&group);
        if actions.is_empty() {
            self.reject("command", &group, &groups().join(", "));
            return ParseResult::Invalid(self.mistakes);
        }
        let action = match actions.as_slice() {
            [""] => String::new(),
            _ => positional.next().unwrap_or_default(),
        };
        let Some(spec) = find_command(&group, &action) else {
            self.reject(&format!("command {group}"), &action, &actions.join(", "));
            return ParseResult::Invalid(self.mistakes);
        };
        let operands: Vec<String> = positional.collect();
        self.reject_unexpected(spec, &operands);
        let parsed = ParsedArguments {
            operands,
            options: self.options,
            spec,
        };
        ParseResult::Command(parsed, self.mistakes)
    }

    /// Rejects operands and options that the command does not accept. Missing ones are reported when the values
    /// are checked.
    fn reject_unexpected(&mut self, spec: &CommandSpec, operands: &[String]) {
        let is_known = |name: &str| {
            let mut options = spec.options.iter().chain(GLOBAL_OPTIONS);
            options.any(|option| option.name == name)
        };
        for operand in operands.iter().skip(spec.operands.len()) {
            let allowed = format!("the operands in `{} --help`", spec.full_name());
            self.reject("argument", operand, &allowed);
        }
        let given: Vec<&str> = self.options.iter().map(|(name, _)| *name).collect();
        for name in given.into_iter().filter(|name| !is_known(name)) {
            let allowed = format!("the options in `{} --help`", spec.full_name());
            self.reject("option", &format!("--{name}"), &allowed);
        }
    }
}

/// Returns the value of an option, or an empty one when it is missing. An argument that starts with two dashes is
/// never a value, so the name of the next option is not taken for one.
fn option_value(parser: &mut Parser) -> OsString {
    if let Some(value) = parser.optional_value() {
        return value;
    }
    let Some(mut arguments) = parser.try_raw_args() else {
        return OsString::new();
    };
    let is_value = |argument: &OsStr| !argument.as_encoded_bytes().starts_with(b"--");
    match arguments.peek() {
        Some(argument) if is_value(argument) => arguments.next().unwrap_or_default(),
        _ => OsString::new(),
    }
}

/// Finds an option among those of all commands. Options of the same name take a value in all commands or in none,
/// so options and positional arguments can be distinguished before the command is known.
fn find_option(name: &str) -> Option<&'static OptionSpec> {
    let options = COMMANDS.iter().flat_map(|spec| spec.options);
    let mut options = GLOBAL_OPTIONS.iter().chain(options);
    options.find(|option| option.name == name)
}
