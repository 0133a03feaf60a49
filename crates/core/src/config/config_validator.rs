use {
    super::{ConfigError, ConfigMistake, config_error::truncated},
    crate::ids::{Millis, NameError, PoolName},
    serde::de::DeserializeOwned,
    std::ops::RangeInclusive,
    toml::{Table, Value},
};

/// What is accepted as a name.
const NAME_RULE: &str = "text of 1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";

pub(super) fn millis_from_seconds(seconds: u32) -> Millis {
    Millis(u64::from(seconds) * 1000)
}

/// Validates the fields of a file and collects the mistakes, so that all are reported at once.
///
/// The methods return `None` after they have recorded a mistake.
#[derive(Debug, Default)]
pub(super) struct ConfigValidator {
    mistakes: Vec<ConfigMistake>,
    /// Names defined so far, each with the list that it belongs to, in sorted order.
    names: Vec<(&'static str, String)>,
    /// Fields that refer to a pool. They are checked last, because the pools may follow in the file.
    references: Vec<(String, PoolName)>,
}

impl ConfigValidator {
    /// Returns the validated value, or all mistakes.
    pub(super) fn finish<T>(self, value: Option<T>) -> Result<T, ConfigError> {
        match value {
            Some(value) if self.mistakes.is_empty() => Ok(value),
            _ => Err(ConfigError {
                mistakes: self.mistakes,
            }),
        }
    }

    /// Rejects unknown fields; `path` is empty or ends with the separator.
    pub(super) fn reject_unknown(&mut self, path: &str, fields: Table, allowed: &str) {
        for (name, value) in fields {
            let field = format!("{path}{}", truncated(&name));
            let allowed = format!("the fields {allowed}");
            self.mistakes
                .push(ConfigMistake::for_value(field, &value, &allowed));
        }
    }

    /// Validates each table of a list.
    pub(super) fn list<R: DeserializeOwned, T>(
        &mut self,
        list: &str,
        value: Option<Value>,
        validate: impl Fn(&mut Self, &str, R) -> Option<T>,
    ) -> Vec<T> {
        let tables = match value {
            None => Vec::new(),
            Some(Value::Array(tables)) => tables,
            Some(other) => {
                self.reject(list, &other, &format!("tables that start with [[{list}]]"));
                Vec::new()
            }
        };
        let mut validated = Vec::new();
        for (index, table) in tables.into_iter().enumerate() {
            let path = format!("{list}[{index}]");
            let raw = self.table(&path, table);
            validated.extend(raw.and_then(|raw| validate(self, &path, raw)));
        }
        validated
    }

    /// Validates a table and returns it in raw form.
    pub(super) fn table<R: DeserializeOwned>(&mut self, field: &str, value: Value) -> Option<R> {
        let Value::Table(table) = value else {
            self.reject(field, &value, "a table");
            return None;
        };
        // The raw types accept any table, because their fields accept any type. An error is still recorded as a
        // mistake, so that no table is silently left out.
        match table.try_into() {
            Ok(raw) => Some(raw),
            Err(error) => {
                let mistake = ConfigMistake::for_text(field.to_owned(), error.message(), "a table");
                self.mistakes.push(mistake);
                None
            }
        }
    }

    /// Validates a required name.
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

    /// Validates a number, which is required when there is no default.
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

    /// Validates an optional quota. The outer option is `None` after a mistake, the inner one without a quota.
    pub(super) fn quota(
        &mut self,
        field: &str,
        value: Option<&Value>,
        max: u32,
    ) -> Option<Option<u32>> {
        match value {
            None => Some(None),
            value => self.number(field, value, None, 0..=max).map(Some),
        }
    }

    /// Validates a flag, which is false when left out.
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

    /// Validates a keyword from `choices`; the first one is the default.
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
            .find(|(keyword, _)| value.as_str() == Some(keyword));
        if found.is_none() {
            let keywords: Vec<String> = choices
                .iter()
                .map(|(keyword, _)| format!("\"{keyword}\""))
                .collect();
            self.reject(field, value, &keywords.join(", "));
        }
        found.map(|(_, choice)| *choice)
    }

    /// Checks that a name is used only once in its list.
    pub(super) fn unique(&mut self, list: &'static str, field: &str, name: &str) {
        let row = (list, name.to_owned());
        match self.names.binary_search(&row) {
            Ok(_) => {
                let allowed = "a name that is used once";
                let mistake = ConfigMistake::for_text(field.to_owned(), name, allowed);
                self.mistakes.push(mistake);
            }
            Err(index) => self.names.insert(index, row),
        }
    }

    /// Records that a field refers to a pool.
    pub(super) fn add_pool_reference(&mut self, field: String, pool: &PoolName) {
        self.references.push((field, pool.clone()));
    }

    /// Checks that every pool that a field refers to is in the file.
    pub(super) fn check_pool_references(&mut self) {
        for (field, pool) in std::mem::take(&mut self.references) {
            let row = ("pools", String::from(pool));
            if self.names.binary_search(&row).is_err() {
                let allowed = "the name of a pool in this file";
                let mistake = ConfigMistake::for_text(field, &row.1, allowed);
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
        let mistake = ConfigMistake::for_value(field.to_owned(), value, allowed);
        self.mistakes.push(mistake);
    }
}
