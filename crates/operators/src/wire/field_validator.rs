use {
    crate::{FieldMistake, OperatorError, OperatorErrorKind, OperatorName},
    goldcreststall_core::ids::{NameError, RecordId},
    uuid::Uuid,
};

/// Accepted form of a name, as the error message states it.
const NAME_RULE: &str = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";
/// Accepted form of an id, as the error message states it.
const ID_RULE: &str = "a UUID of version 7";

/// Checks the fields of a message and collects the mistakes, so that all are reported at once.
///
/// The checks record a mistake and return `None` when a value is not valid.
#[derive(Debug, Default)]
pub(crate) struct FieldValidator {
    mistakes: Vec<FieldMistake>,
}

impl FieldValidator {
    /// Returns the value that `build` makes of the checked fields of a request, or an error with all mistakes.
    pub(crate) fn finish_request<T>(
        self,
        build: impl FnOnce() -> Option<T>,
    ) -> Result<T, OperatorError> {
        self.finish(
            OperatorErrorKind::InvalidRequest,
            "the request is not valid",
            build,
        )
    }

    /// Returns the value that `build` makes of the checked fields of a response, or an error with all mistakes.
    pub(crate) fn finish_response<T>(
        self,
        build: impl FnOnce() -> Option<T>,
    ) -> Result<T, OperatorError> {
        self.finish(
            OperatorErrorKind::InvalidReply,
            "the answer of the entry host is not valid",
            build,
        )
    }

    fn finish<T>(
        self,
        kind: OperatorErrorKind,
        message: &str,
        build: impl FnOnce() -> Option<T>,
    ) -> Result<T, OperatorError> {
        match build() {
            Some(value) if self.mistakes.is_empty() => Ok(value),
            _ => Err(OperatorError {
                kind,
                message: message.to_owned(),
                mistakes: self.mistakes,
            }),
        }
    }

    /// Records a mistake.
    pub(crate) fn reject(&mut self, field: &str, value: &str, allowed: &str) {
        let mistake = FieldMistake::new(field, value, allowed);
        self.mistakes.push(mistake);
    }

    /// Checks a name.
    pub(crate) fn name<'a, N>(&mut self, field: &str, value: &'a str) -> Option<N>
    where
        N: TryFrom<&'a str, Error = NameError>,
    {
        let name = N::try_from(value).ok();
        if name.is_none() {
            self.reject(field, value, NAME_RULE);
        }
        name
    }

    /// Checks a name that may be left out. The outer option is `None` after a mistake.
    pub(crate) fn optional_name<'a, N>(
        &mut self,
        field: &str,
        value: Option<&'a str>,
    ) -> Option<Option<N>>
    where
        N: TryFrom<&'a str, Error = NameError>,
    {
        match value {
            None => Some(None),
            Some(value) => self.name(field, value).map(Some),
        }
    }

    /// Checks the id of a change, a job or a wave.
    pub(crate) fn id(&mut self, field: &str, value: &str) -> Option<RecordId> {
        let uuid = Uuid::try_parse(value)
            .ok()
            .filter(|uuid| uuid.get_version_num() == 7);
        if uuid.is_none() {
            self.reject(field, value, ID_RULE);
        }
        Some(RecordId(uuid?.as_u128()))
    }

    /// Checks an id that may be left out. The outer option is `None` after a mistake.
    pub(crate) fn optional_id(
        &mut self,
        field: &str,
        value: Option<&str>,
    ) -> Option<Option<RecordId>> {
        match value {
            None => Some(None),
            Some(value) => self.id(field, value).map(Some),
        }
    }

    /// Checks the name of an operator.
    pub(crate) fn operator(&mut self, field: &str, value: &str) -> Option<OperatorName> {
        let name = OperatorName::try_from(value).ok();
        if name.is_none() {
            self.reject(field, value, OperatorName::RULE);
        }
        name
    }

    /// Checks that a number is in the range from `low` to `high`, both included.
    pub(crate) fn range(&mut self, field: &str, value: u32, low: u32, high: u32) -> Option<u32> {
        if (low..=high).contains(&value) {
            return Some(value);
        }
        self.reject(field, &value.to_string(), &format!("{low} to {high}"));
        None
    }

    /// Checks the number of an enum value; `value` is the result of its conversion.
    pub(crate) fn choice<T>(
        &mut self,
        field: &str,
        number: i32,
        value: Option<T>,
        allowed: &str,
    ) -> Option<T> {
        if value.is_none() {
            self.reject(field, &number.to_string(), allowed);
        }
        value
    }

    /// Checks that a message field is set.
    pub(crate) fn required<T>(&mut self, field: &str, value: Option<T>) -> Option<T> {
        if value.is_none() {
            self.reject(field, "", "a value");
        }
        value
    }
}
