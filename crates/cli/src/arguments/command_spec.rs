/// Settings that a command requires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequiredSettings {
    /// None; the command works without an entry host.
    Nothing,
    /// The address of an entry host to read from.
    Entry,
    /// The address of an entry host and the name of the operator, for a command that changes the fleet.
    EntryAndOperator,
}

/// A positional argument of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OperandSpec {
    /// Description in the help, one sentence.
    pub help: &'static str,
    /// Name in the help and in error messages, in capitals.
    pub name: &'static str,
    /// Whether leaving it out is a mistake.
    pub required: bool,
}

/// A named option, either a flag or one that takes a value.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OptionSpec {
    /// Description in the help, one sentence.
    pub help: &'static str,
    /// Name without the leading dashes.
    pub name: &'static str,
    /// Whether leaving it out is a mistake.
    pub required: bool,
    /// Placeholder of the value in the help, in capitals; `None` for a flag.
    pub value_name: Option<&'static str>,
}

/// A command of the command line and the arguments it accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CommandSpec {
    /// Description in the help, one sentence.
    pub about: &'static str,
    /// Second word, such as `list`; empty for a command of one word.
    pub action: &'static str,
    /// First word, shared by related commands, such as `host`.
    pub group: &'static str,
    /// Settings without which the command is rejected.
    pub required_settings: RequiredSettings,
    /// Positional arguments, required ones first.
    pub operands: &'static [OperandSpec],
    /// Options of this command besides the global ones.
    pub options: &'static [OptionSpec],
}

impl CommandSpec {
    /// Returns the command as it is typed, such as `host list`.
    pub fn full_name(&self) -> String {
        format!("{} {}", self.group, self.action)
            .trim_end()
            .to_owned()
    }
}
