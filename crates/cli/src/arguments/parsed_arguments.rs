use {
    super::{
        COMMANDS, CommandSpec, OptionSpec, command_table::GLOBAL_OPTIONS, find_command,
        group_actions, groups,
    },
    goldcreststall_operators::FieldMistake,
    lexopt::{Arg, Parser},
    std::ffi::{OsStr, OsString},
};

/// The words of a command line, assigned to a command, before the values are checked.
#[derive(Debug)]
pub(crate) struct ParsedArguments {
    /// The command.
    pub(crate) spec: &'static CommandSpec,
    /// Values by position.
    pub(crate) operands: Vec<String>,
    /// Values by name in the order given. Flags have an empty value.
    pub(crate) options: Vec<(&'static str, String)>,
}

/// What a command line asks for.
#[derive(Debug)]
pub(crate) enum ParseResult {
    /// Help for these words.
    Help(Vec<String>),
    /// The version of the program.
    Version,
    /// A command. The mistakes found so far are reported together with those of the values.
    Command(ParsedArguments, Vec<FieldMistake>),
    /// No command could be recognised.
    Invalid(Vec<FieldMistake>),
}

#[derive(Debug, Default)]
struct ArgumentCollector {
    mistakes: Vec<FieldMistake>,
    options: Vec<(&'static str, String)>,
    words: Vec<String>,
}

impl ParseResult {
    /// Assigns the words of a command line.
    pub(crate) fn parse(arguments: Vec<OsString>) -> Self {
        let mut collector = ArgumentCollector::default();
        collector.collect(arguments);
        if collector.has("help") {
            return Self::Help(collector.words);
        }
        if collector.has("version") {
            return Self::Version;
        }
        collector.assign()
    }
}

impl ArgumentCollector {
    fn has(&self, name: &str) -> bool {
        self.options.iter().any(|(option, _)| *option == name)
    }

    fn reject(&mut self, field: &str, value: &str, allowed: &str) {
        self.mistakes.push(FieldMistake::new(field, value, allowed));
    }

    fn collect(&mut self, arguments: Vec<OsString>) {
        let mut parser = Parser::from_args(arguments);
        loop {
            // An error of the parser is a value given to a flag, after which parsing goes on.
            match parser.next() {
                Ok(None) => return,
                Ok(Some(Arg::Short('h'))) => self.options.push(("help", String::new())),
                Ok(Some(Arg::Short(letter))) => {
                    self.reject("option", &format!("-{letter}"), "the options in --help");
                }
                Ok(Some(Arg::Long(name))) => {
                    let name = name.to_owned();
                    self.option(&name, &mut parser);
                }
                Ok(Some(Arg::Value(word))) => {
                    let word = self.text("argument", word);
                    self.words.push(word);
                }
                Err(error) => self.reject("option", &error.to_string(), "a flag without a value"),
            }
        }
    }

    fn option(&mut self, name: &str, parser: &mut Parser) {
        let field = format!("--{name}");
        let Some(spec) = known_option(name) else {
            // A value that is attached belongs to the unknown option.
            let _ = parser.optional_value();
            self.reject("option", &field, "the options in --help");
            return;
        };
        let value = match spec.value {
            None => String::new(),
            // A value that is left out is reported as an empty one when the values are checked.
            Some(_) => {
                let value = option_value(parser);
                self.text(&field, value)
            }
        };
        if spec.name != "entry" && self.has(name) {
            self.reject(&field, &value, "one use of this option");
            return;
        }
        self.options.push((spec.name, value));
    }

    fn text(&mut self, field: &str, word: OsString) -> String {
        word.into_string().unwrap_or_else(|word| {
            let text = word.to_string_lossy().into_owned();
            self.reject(field, &text, "text in UTF-8");
            text
        })
    }

    fn assign(mut self) -> ParseResult {
        let mut words = std::mem::take(&mut self.words).into_iter();
        let group = words.next().unwrap_or_default();
        let actions = group_actions(&group);
        if actions.is_empty() {
            self.reject("command", &group, &groups().join(", "));
            return ParseResult::Invalid(self.mistakes);
        }
        let action = match actions.as_slice() {
            [""] => String::new(),
            _ => words.next().unwrap_or_default(),
        };
        let Some(spec) = find_command(&group, &action) else {
            self.reject(&format!("command {group}"), &action, &actions.join(", "));
            return ParseResult::Invalid(self.mistakes);
        };
        let operands: Vec<String> = words.collect();
        self.check_extra(spec, &operands);
        let words = ParsedArguments {
            operands,
            options: self.options,
            spec,
        };
        ParseResult::Command(words, self.mistakes)
    }

    /// Rejects operands and options that the command does not take. Missing ones are reported when the
    /// values are checked.
    fn check_extra(&mut self, spec: &CommandSpec, operands: &[String]) {
        let known = |name: &str| {
            let mut options = spec.options.iter().chain(GLOBAL_OPTIONS);
            options.any(|option| option.name == name)
        };
        for extra in operands.iter().skip(spec.operands.len()) {
            let allowed = format!("the operands in `{} --help`", spec.words());
            self.reject("argument", extra, &allowed);
        }
        let given: Vec<&str> = self.options.iter().map(|(name, _)| *name).collect();
        for name in given.into_iter().filter(|name| !known(name)) {
            let allowed = format!("the options in `{} --help`", spec.words());
            self.reject("option", &format!("--{name}"), &allowed);
        }
    }
}

/// Returns the value of an option, or an empty one when it is left out. No value starts with two dashes, so the
/// name of the next option is not taken for a value.
fn option_value(parser: &mut Parser) -> OsString {
    if let Some(value) = parser.optional_value() {
        return value;
    }
    let Some(mut words) = parser.try_raw_args() else {
        return OsString::new();
    };
    let is_value = |word: &OsStr| !word.as_encoded_bytes().starts_with(b"--");
    match words.peek() {
        Some(word) if is_value(word) => words.next().unwrap_or_default(),
        _ => OsString::new(),
    }
}

/// Returns an option of any command. Options of the same name take a value in all commands or in none, so the
/// words can be told apart before the command is known.
fn known_option(name: &str) -> Option<&'static OptionSpec> {
    let options = COMMANDS.iter().flat_map(|spec| spec.options);
    let mut options = GLOBAL_OPTIONS.iter().chain(options);
    options.find(|option| option.name == name)
}
