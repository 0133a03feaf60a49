use {
    super::{
        COMMANDS, CommandSpec, OptionSpec, command_table::GLOBAL_OPTIONS, find_command,
        group_actions, groups,
    },
    goldcreststall_operators::FieldMistake,
    lexopt::{Arg, Parser},
    std::ffi::OsString,
};

/// The words of a command line, assigned to a command, before the values are checked.
#[derive(Debug)]
pub(crate) struct ParsedWords {
    /// The command.
    pub(crate) spec: &'static CommandSpec,
    /// Values by position.
    pub(crate) operands: Vec<String>,
    /// Values by name in the order given. Flags have an empty value.
    pub(crate) options: Vec<(&'static str, String)>,
}

/// What a command line asks for.
#[derive(Debug)]
pub(crate) enum WordsResult {
    /// Help for these words.
    Help(Vec<String>),
    /// The version of the program.
    Version,
    /// A command. The mistakes found so far are reported together with those of the values.
    Command(ParsedWords, Vec<FieldMistake>),
    /// No command could be recognised.
    Unusable(Vec<FieldMistake>),
}

#[derive(Debug, Default)]
struct WordCollector {
    mistakes: Vec<FieldMistake>,
    options: Vec<(&'static str, String)>,
    words: Vec<String>,
}

impl WordsResult {
    /// Assigns the words of a command line.
    pub(crate) fn parse(arguments: Vec<OsString>) -> Self {
        let mut collector = WordCollector::default();
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

impl WordCollector {
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
                let value = parser.value().unwrap_or_default();
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

    fn assign(mut self) -> WordsResult {
        let mut words = std::mem::take(&mut self.words).into_iter();
        let group = words.next().unwrap_or_default();
        let actions = group_actions(&group);
        if actions.is_empty() {
            self.reject("command", &group, &groups().join(", "));
            return WordsResult::Unusable(self.mistakes);
        }
        let action = match actions.as_slice() {
            [""] => String::new(),
            _ => words.next().unwrap_or_default(),
        };
        let Some(spec) = find_command(&group, &action) else {
            self.reject(&format!("command {group}"), &action, &actions.join(", "));
            return WordsResult::Unusable(self.mistakes);
        };
        let operands: Vec<String> = words.collect();
        self.check_operands(spec, &operands);
        self.check_options(spec);
        let words = ParsedWords {
            operands,
            options: self.options,
            spec,
        };
        WordsResult::Command(words, self.mistakes)
    }

    fn check_operands(&mut self, spec: &CommandSpec, operands: &[String]) {
        for operand in spec.operands.iter().skip(operands.len()) {
            if operand.required {
                self.reject(operand.name, "", operand.help);
            }
        }
        for extra in operands.iter().skip(spec.operands.len()) {
            let allowed = format!("the operands in `{} --help`", spec.words());
            self.reject("argument", extra, &allowed);
        }
    }

    fn check_options(&mut self, spec: &CommandSpec) {
        let known = |name: &str| {
            let mut options = spec.options.iter().chain(GLOBAL_OPTIONS);
            options.any(|option| option.name == name)
        };
        let given: Vec<&str> = self.options.iter().map(|(name, _)| *name).collect();
        for name in given.iter().filter(|name| !known(name)) {
            let allowed = format!("the options in `{} --help`", spec.words());
            self.reject("option", &format!("--{name}"), &allowed);
        }
        for option in spec.options.iter().filter(|option| option.required) {
            if !given.contains(&option.name) {
                self.reject(&format!("--{}", option.name), "", option.help);
            }
        }
    }
}

/// Returns an option of any command. Options of the same name take a value in all commands or in none, so the
/// words can be told apart before the command is known.
fn known_option(name: &str) -> Option<&'static OptionSpec> {
    let options = COMMANDS.iter().flat_map(|spec| spec.options);
    let mut options = GLOBAL_OPTIONS.iter().chain(options);
    options.find(|option| option.name == name)
}
