use {
    crate::arguments::ParsedArguments,
    goldcreststall_core::ids::{Incarnation, NameError, RecordId},
    goldcreststall_operators::{FieldMistake, SeenHostVersion},
    std::path::PathBuf,
    uuid::Uuid,
};

/// Accepted form of a name, as the error message states it.
const NAME_RULE: &str = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";
/// Accepted form of an id, as the error message states it.
const ID_RULE: &str = "a UUID of version 7";

/// Checks the arguments of a command and collects the mistakes, so that all are reported at once.
///
/// The methods return `None` when they have recorded a mistake. A missing required value is checked like an empty
/// one.
#[derive(Debug)]
pub(crate) struct ValueValidator {
    mistakes: Vec<FieldMistake>,
    parsed: ParsedArguments,
}

impl ValueValidator {
    /// `mistakes` are those found while the command line was parsed.
    pub(crate) fn new(parsed: ParsedArguments, mistakes: Vec<FieldMistake>) -> Self {
        Self { mistakes, parsed }
    }

    /// Returns `value` when there are no mistakes, otherwise all mistakes.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Vec<FieldMistake>> {
        match value {
            Some(value) if self.mistakes.is_empty() => Ok(value),
            _ => Err(self.mistakes),
        }
    }

    pub(crate) fn reject(&mut self, field: &str, value: &str, allowed: &str) {
        self.mistakes.push(FieldMistake::new(field, value, allowed));
    }

    /// Returns the group and the action of the command.
    pub(crate) fn command(&self) -> (&'static str, &'static str) {
        (self.parsed.spec.group, self.parsed.spec.action)
    }

    /// Returns the value of an option, empty for a flag; `None` when it is not given.
    pub(crate) fn option(&self, name: &str) -> Option<&str> {
        let mut options = self.parsed.options.iter();
        let option = options.find(|(option, _)| *option == name);
        option.map(|(_, value)| value.as_str())
    }

    /// Returns all values of an option that may be repeated.
    pub(crate) fn option_values(&self, name: &str) -> Vec<String> {
        let options = self.parsed.options.iter();
        let options = options.filter(|(option, _)| *option == name);
        options.map(|(_, value)| value.clone()).collect()
    }

    fn operand(&self) -> Option<String> {
        self.parsed.operands.first().cloned()
    }

    /// Returns the first operand, which is required, as the path of a file.
    pub(crate) fn operand_path(&mut self) -> Option<PathBuf> {
        let path = self.operand().filter(|path| !path.is_empty());
        if path.is_none() {
            let field = self.operand_field();
            self.reject(field, "", "the path of a file");
        }
        path.map(PathBuf::from)
    }

    /// Returns the first operand, which is required, as a name.
    pub(crate) fn operand_name<N>(&mut self) -> Option<N>
    where
        N: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        let field = self.operand_field();
        let value = self.operand().unwrap_or_default();
        self.parse_name(field, &value)
    }

    /// Returns the first operand, which is required, as an id.
    pub(crate) fn operand_id(&mut self) -> Option<RecordId> {
        let field = self.operand_field();
        let value = self.operand().unwrap_or_default();
        self.parse_id(field, &value)
    }

    /// Returns the first operand as a number when it is given. The outer option is `None` after a mistake.
    pub(crate) fn optional_operand_number(&mut self) -> Option<Option<u64>> {
        let field = self.operand_field();
        match self.operand() {
            None => Some(None),
            Some(value) => self.parse_number(field, &value).map(Some),
        }
    }

    /// Returns a required option as a name.
    pub(crate) fn required_name<N>(&mut self, option: &str) -> Option<N>
    where
        N: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        let value = self.option(option).unwrap_or_default().to_owned();
        self.parse_name(&format!("--{option}"), &value)
    }

    /// Returns an option as a name when it is given. The outer option is `None` after a mistake.
    pub(crate) fn optional_name<N>(&mut self, option: &str) -> Option<Option<N>>
    where
        N: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        match self.option(option) {
            None => Some(None),
            Some(_) => self.required_name(option).map(Some),
        }
    }

    /// Returns an option as an id when it is given. The outer option is `None` after a mistake.
    pub(crate) fn optional_id(&mut self, option: &str) -> Option<Option<RecordId>> {
        let Some(value) = self.option(option).map(str::to_owned) else {
            return Some(None);
        };
        self.parse_id(&format!("--{option}"), &value).map(Some)
    }

    /// Returns an option as a number from `low` to `high`. It is required unless there is a default.
    pub(crate) fn number(
        &mut self,
        option: &str,
        default: Option<u32>,
        low: u32,
        high: u32,
    ) -> Option<u32> {
        let value = match self.option(option) {
            None if default.is_some() => return default,
            value => value.unwrap_or_default().to_owned(),
        };
        let number = value
            .parse()
            .ok()
            .filter(|number| (low..=high).contains(number));
        if number.is_none() {
            let allowed = format!("a whole number from {low} to {high}");
            self.reject(&format!("--{option}"), &value, &allowed);
        }
        number
    }

    /// Returns a required option as a number.
    pub(crate) fn required_number(&mut self, option: &str) -> Option<u64> {
        let value = self.option(option).unwrap_or_default().to_owned();
        self.parse_number(&format!("--{option}"), &value)
    }

    /// Returns an option as a number when it is given. The outer option is `None` after a mistake.
    pub(crate) fn optional_number(&mut self, option: &str) -> Option<Option<u64>> {
        let Some(value) = self.option(option).map(str::to_owned) else {
            return Some(None);
        };
        self.parse_number(&format!("--{option}"), &value).map(Some)
    }

    /// Returns the version of a host in `--seen` when it is given. The outer option is `None` after a mistake.
    pub(crate) fn expected_host_version(&mut self) -> Option<Option<SeenHostVersion>> {
        let Some(value) = self.option("seen").map(str::to_owned) else {
            return Some(None);
        };
        let seen = parse_host_version(&value);
        if seen.is_none() {
            self.reject("--seen", &value, "INCARNATION.NUMBER, for example 3.17");
        }
        Some(Some(seen?))
    }

    /// Returns an option as one of several accepted words when it is given. The outer option is `None` after a mistake.
    pub(crate) fn choice<T>(
        &mut self,
        option: &str,
        parse: impl Fn(&str) -> Option<T>,
        allowed: &str,
    ) -> Option<Option<T>> {
        let Some(value) = self.option(option).map(str::to_owned) else {
            return Some(None);
        };
        let choice = parse(&value);
        if choice.is_none() {
            self.reject(&format!("--{option}"), &value, allowed);
        }
        Some(Some(choice?))
    }

    fn operand_field(&self) -> &'static str {
        self.parsed
            .spec
            .operands
            .first()
            .map_or("argument", |operand| operand.name)
    }

    fn parse_name<N>(&mut self, field: &str, value: &str) -> Option<N>
    where
        N: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        let name = N::try_from(value).ok();
        if name.is_none() {
            self.reject(field, value, NAME_RULE);
        }
        name
    }

    fn parse_id(&mut self, field: &str, value: &str) -> Option<RecordId> {
        let uuid = Uuid::try_parse(value).ok();
        let uuid = uuid.filter(|uuid| uuid.get_version_num() == 7);
        if uuid.is_none() {
            self.reject(field, value, ID_RULE);
        }
        Some(RecordId(uuid?.as_u128()))
    }

    fn parse_number(&mut self, field: &str, value: &str) -> Option<u64> {
        let number = value.parse().ok();
        if number.is_none() {
            self.reject(field, value, "a whole number from 0");
        }
        number
    }
}

fn parse_host_version(value: &str) -> Option<SeenHostVersion> {
    let (incarnation, number) = value.split_once('.')?;
    Some(SeenHostVersion {
        incarnation: Incarnation(incarnation.parse().ok()?),
        number: number.parse().ok()?,
    })
}
