use {
    super::{ConfigError, ConfigMistake, config_error::short},
    crate::ids::{Millis, NameError, PoolName},
    serde::de::DeserializeOwned,
    std::ops::RangeInclusive,
    toml::{Table, Value},
};

/// What a name may look like.
const NAME_RULE: &str = "text of 1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";

/// Returns a duration that the file gives in seconds.
pub(super) fn seconds(number: u32) -> Millis {
    Millis(u64::from(number) * 1000)
}

/// Collects the mistakes of a file, so that all are reported at once.
///
/// The methods return `None` after they have recorded a mistake.
#[derive(Debug, Default)]
pub(super) struct ConfigCheck {
    mistakes: Vec<ConfigMistake>,
    /// Names that were defined, with the list they belong to, in sorted order.
    names: Vec<(&'static str, String)>,
    /// Fields that name a pool. They are checked last, because pools may follow in the file.
    references: Vec<(String, PoolName)>,
}

impl ConfigCheck {
    /// Returns the checked value, or every mistake.
    pub(super) fn finish<T>(self, value: Option<T>) -> Result<T, ConfigError> {
        match value {
            Some(value) if self.mistakes.is_empty() => Ok(value),
            _ => Err(ConfigError {
                mistakes: self.mistakes,
            }),
        }
    }

    /// Rejects fields that do not exist; `path` ends with the separator.
    pub(super) fn unknown(&mut self, path: &str, fields: Table, allowed: &str) {
        for (name, value) in fields {
            let field = format!("{path}{}", short(&name));
            let allowed = format!("the fields {allowed}");
            self.mistakes
                .push(ConfigMistake::value(field, &value, &allowed));
        }
    }

    /// Checks each table of a list.
    pub(super) fn list<R: DeserializeOwned, T>(
        &mut self,
        list: &str,
        value: Option<Value>,
        check: impl Fn(&mut Self, &str, R) -> Option<T>,
    ) -> Vec<T> {
        let tables = match value {
            None => Vec::new(),
            Some(Value::Array(tables)) => tables,
            Some(other) => {
                self.reject(list, &other, &format!("tables that start with [[{list}]]"));
                Vec::new()
            }
        };
        let mut checked = Vec::new();
        for (index, table) in tables.into_iter().enumerate() {
            let path = format!("{list}[{index}]");
            let raw = self.table(&path, table);
            checked.extend(raw.and_then(|raw| check(self, &path, raw)));
        }
        checked
    }

    /// Checks that a value is a table.
    pub(super) fn table<R: DeserializeOwned>(&mut self, field: &str, value: Value) -> Option<R> {
        let Value::Table(table) = value else {
            self.reject(field, &value, "a table");
            return None;
        };
        // The raw types accept any table, because their fields have any type. An error is still a mistake, so
        // that no table is left out silently.
        match table.try_into() {
            Ok(raw) => Some(raw),
            Err(error) => {
                let mistake = ConfigMistake::text(field.to_owned(), error.message(), "a table");
                self.mistakes.push(mistake);
                None
            }
        }
    }

    /// Checks a name that must be given.
    pub(super) fn name<'a, N>(&mut self, field: &str, value: Option<&'a Value>) -> Option<N>
    where
        N: TryFrom<&'a str, Error = NameError>,
    {
        let value = self.required(field, value, NAME_RULE)?;
        let name = value.as_str().and_then(|text| N::try_from(text).ok());
        if name.is_none() {
            self.reject(field, value, NAME_RULE);
        }
        name
    }

    /// Checks a number; without a default it must be given.
    pub(super) fn number(
        &mut self,
        field: &str,
        value: Option<&Value>,
        default: Option<u32>,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        if value.is_none() && default.is_some() {
            return default;
        }
        let value = self.required(field, value, &allowed)?;
        let number = value
            .as_integer()
            .and_then(|number| u32::try_from(number).ok());
        let number = number.filter(|number| range.contains(number));
        if number.is_none() {
            self.reject(field, value, &allowed);
        }
        number
    }

    /// Checks a quota, which may be left out. The outer option is `None` after a mistake.
    pub(super) fn quota(
        &mut self,
        field: &str,
        value: Option<&Value>,
        high: u32,
    ) -> Option<Option<u32>> {
        match value {
            None => Some(None),
            value => self.number(field, value, None, 0..=high).map(Some),
        }
    }

    /// Checks a flag, which is false when left out.
    pub(super) fn flag(&mut self, field: &str, value: Option<&Value>) -> Option<bool> {
        let Some(value) = value else {
            return Some(false);
        };
        let flag = value.as_bool();
        if flag.is_none() {
            self.reject(field, value, "true, false");
        }
        flag
    }

    /// Checks one of several words; the first is the default.
    pub(super) fn choice<T: Copy>(
        &mut self,
        field: &str,
        value: Option<&Value>,
        choices: &[(&str, T)],
    ) -> Option<T> {
        let Some(value) = value else {
            return choices.first().map(|(_, choice)| *choice);
        };
        let found = choices
            .iter()
            .find(|(word, _)| value.as_str() == Some(word));
        if found.is_none() {
            let words: Vec<String> = choices
                .iter()
                .map(|(word, _)| format!("\"{word}\""))
                .collect();
            self.reject(field, value, &words.join(", "));
        }
        found.map(|(_, choice)| *choice)
    }

    /// Checks that a name is used once in its list.
    pub(super) fn unique(&mut self, list: &'static str, field: &str, name: &str) {
        let row = (list, name.to_owned());
        match self.names.binary_search(&row) {
            Ok(_) => {
                let allowed = "a name that is used once";
                let mistake = ConfigMistake::text(field.to_owned(), name, allowed);
                self.mistakes.push(mistake);
            }
            Err(place) => self.names.insert(place, row),
        }
    }

    /// Records that a field names a pool.
    pub(super) fn refer_to_pool(&mut self, field: String, pool: &PoolName) {
        self.references.push((field, pool.clone()));
    }

    /// Checks that every pool that is named is in the file.
    pub(super) fn pool_references(&mut self) {
        for (field, pool) in std::mem::take(&mut self.references) {
            let row = ("pools", String::from(pool));
            if self.names.binary_search(&row).is_err() {
                let allowed = "the name of a pool in this file";
                let mistake = ConfigMistake::text(field, &row.1, allowed);
                self.mistakes.push(mistake);
            }
        }
    }

    fn required<'a>(
        &mut self,
        field: &str,
        value: Option<&'a Value>,
        allowed: &str,
    ) -> Option<&'a Value> {
        if value.is_none() {
            let mistake = ConfigMistake::missing(field.to_owned(), allowed);
            self.mistakes.push(mistake);
        }
        value
    }

    fn reject(&mut self, field: &str, value: &Value, allowed: &str) {
        let mistake = ConfigMistake::value(field.to_owned(), value, allowed);
        self.mistakes.push(mistake);
    }
}
