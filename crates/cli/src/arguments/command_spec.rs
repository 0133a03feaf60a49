/// What a command needs from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequiredSettings {
    /// It works without an entry host.
    Nothing,
    /// It reads from an entry host.
    Entry,
    /// It changes the fleet, which needs an entry host and the name of the operator.
    EntryAndOperator,
}

/// A value that is given by its position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OperandSpec {
    /// One sentence for the help.
    pub help: &'static str,
    /// Name in the help, in capitals.
    pub name: &'static str,
    /// Whether it must be given.
    pub required: bool,
}

/// A value or flag that is given by its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OptionSpec {
    /// One sentence for the help.
    pub help: &'static str,
    /// Name without the leading dashes.
    pub name: &'static str,
    /// Whether it must be given.
    pub required: bool,
    /// Name of the value in the help; `None` for a flag.
    pub value: Option<&'static str>,
}

/// A command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CommandSpec {
    /// One sentence for the help.
    pub about: &'static str,
    /// Second word; empty when the first word is the whole command.
    pub action: &'static str,
    /// First word.
    pub group: &'static str,
    /// What it needs from the settings.
    pub required_settings: RequiredSettings,
    /// Values by position, required ones first.
    pub operands: &'static [OperandSpec],
    /// Values by name.
    pub options: &'static [OptionSpec],
}

impl CommandSpec {
    /// Returns the words of the command.
    pub fn words(&self) -> String {
        format!("{} {}", self.group, self.action)
            .trim_end()
            .to_owned()
    }
}
