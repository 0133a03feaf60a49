use {
    crate::arguments::ParsedArguments,
    goldcreststall_core::ids::{Incarnation, NameError, RecordId},
    goldcreststall_operators::{FieldMistake, SeenHostVersion},
    std::path::PathBuf,
    uuid::Uuid,
};

/// What a name may look like.
const NAME_RULE: &str = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";
/// What an id may look like.
const ID_RULE: &str = "a UUID of version 7";

/// Checks the values of a command line and collects the mistakes, so that all are reported at once.
///
/// The methods return `None` after they have recorded a mistake. A required value that is left out is checked
/// like an empty one.
#[derive(Debug)]
pub(crate) struct ValueCheck {
    mistakes: Vec<FieldMistake>,
    words: ParsedArguments,
}

impl ValueCheck {
    /// Starts with the mistakes that were found in the words.
    pub(crate) fn new(words: ParsedArguments, mistakes: Vec<FieldMistake>) -> Self {
        Self { mistakes, words }
    }

    /// Returns the checked value, or every mistake.
    pub(crate) fn finish<T>(self, value: Option<T>) -> Result<T, Vec<FieldMistake>> {
        match value {
            Some(value) if self.mistakes.is_empty() => Ok(value),
            _ => Err(self.mistakes),
        }
    }

    /// Records a mistake.
    pub(crate) fn reject(&mut self, field: &str, value: &str, allowed: &str) {
        self.mistakes.push(FieldMistake::new(field, value, allowed));
    }

    /// Returns the words of the command.
    pub(crate) fn command(&self) -> (&'static str, &'static str) {
        (self.words.spec.group, self.words.spec.action)
    }

    /// Returns the value of an option.
    pub(crate) fn option(&self, name: &str) -> Option<&str> {
        let mut options = self.words.options.iter();
        let option = options.find(|(option, _)| *option == name);
        option.map(|(_, value)| value.as_str())
    }

    /// Returns all values of an option that may be repeated.
    pub(crate) fn options_named(&self, name: &str) -> Vec<String> {
        let options = self.words.options.iter();
        let options = options.filter(|(option, _)| *option == name);
        options.map(|(_, value)| value.clone()).collect()
    }

    /// Returns the first operand.
    fn operand(&self) -> Option<String> {
        self.words.operands.first().cloned()
    }

    /// Returns the first operand as the path of a file.
    pub(crate) fn operand_path(&mut self) -> Option<PathBuf> {
        let path = self.operand().filter(|path| !path.is_empty());
        if path.is_none() {
            let field = self.operand_field();
            self.reject(field, "", "the path of a file");
        }
        path.map(PathBuf::from)
    }

    /// Returns the first operand as a name.
    pub(crate) fn operand_name<N>(&mut self) -> Option<N>
    where
        N: for<'a> TryFrom<&'a str, Error = NameError>,
    {
        let field = self.operand_field();
        let value = self.operand().unwrap_or_default();
        self.parse_name(field, &value)
    }

    /// Returns the first operand as an id.
    pub(crate) fn operand_id(&mut self) -> Option<RecordId> {
        let field = self.operand_field();
        let value = self.operand().unwrap_or_default();
        self.parse_id(field, &value)
    }

    /// Returns a number operand that may be left out. The outer option is `None` after a mistake.
    pub(crate) fn optional_operand_number(&mut self) -> Option<Option<u64>> {
        let field = self.operand_field();
        match self.operand() {
            None => Some(None),
            Some(value) => self.parse_number(field, &value).map(Some),
        }
    }

    /// Returns an option as a name.
    pub(crate) fn name<N>(&mut self, option: &str) -> Option<N>
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
            Some(_) => self.name(option).map(Some),
        }
    }

    /// Returns an option as an id when it is given. The outer option is `None` after a mistake.
    pub(crate) fn optional_id(&mut self, option: &str) -> Option<Option<RecordId>> {
        let Some(value) = self.option(option).map(str::to_owned) else {
            return Some(None);
        };
        self.parse_id(&format!("--{option}"), &value).map(Some)
    }

    /// Returns an option as a number between `low` and `high`; without a default it must be given.
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

    /// Returns an option as a number that must be given.
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

    /// Returns a version of a host when it is given. The outer option is `None` after a mistake.
    pub(crate) fn seen_host(&mut self) -> Option<Option<SeenHostVersion>> {
        let Some(value) = self.option("seen").map(str::to_owned) else {
            return Some(None);
        };
        let seen = parse_seen(&value);
        if seen.is_none() {
            self.reject("--seen", &value, "INCARNATION.NUMBER, for example 3.17");
        }
        Some(Some(seen?))
    }

    /// Returns an option as one of several words. The outer option is `None` after a mistake.
    pub(crate) fn word<T>(
        &mut self,
        option: &str,
        parse: impl Fn(&str) -> Option<T>,
        allowed: &str,
    ) -> Option<Option<T>> {
        let Some(value) = self.option(option).map(str::to_owned) else {
            return Some(None);
        };
        let word = parse(&value);
        if word.is_none() {
            self.reject(&format!("--{option}"), &value, allowed);
        }
        Some(Some(word?))
    }

    fn operand_field(&self) -> &'static str {
        self.words
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

fn parse_seen(value: &str) -> Option<SeenHostVersion> {
    let (incarnation, number) = value.split_once('.')?;
    Some(SeenHostVersion {
        incarnation: Incarnation(incarnation.parse().ok()?),
        number: number.parse().ok()?,
    })
}
