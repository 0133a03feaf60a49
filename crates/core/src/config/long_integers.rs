//! Integers that a configuration cannot hold.

use toml::de::{DeInteger, DeTable, DeValue};

/// Replaces integers beyond 64 bits by a text that no field accepts.
///
/// The conversion of the document would end at the first of them without its field, and the other mistakes
/// would not be reported.
pub(super) fn replace_long_integers(table: &mut DeTable<'_>) {
    for (_, value) in table.iter_mut() {
        replace_in_value(value.get_mut());
    }
}

fn replace_in_value(value: &mut DeValue<'_>) {
    match value {
        DeValue::Integer(integer) if is_long(integer) => {
            let text = format!("{} (beyond 64 bits)", integer.as_str());
            *value = DeValue::String(text.into());
        }
        DeValue::Array(values) => {
            for value in values.iter_mut() {
                replace_in_value(value.get_mut());
            }
        }
        DeValue::Table(table) => replace_long_integers(table),
        _ => {}
    }
}

fn is_long(integer: &DeInteger<'_>) -> bool {
    i64::from_str_radix(integer.as_str(), integer.radix()).is_err()
}
