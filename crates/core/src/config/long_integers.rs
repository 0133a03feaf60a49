//! Integers that exceed the range of the TOML value type.

use toml::de::{DeInteger, DeTable, DeValue};

/// Replaces integers beyond 64 bits by a text that no field accepts.
///
/// Otherwise the conversion of the document would stop at the first of them without naming its field, and the other
/// mistakes would not be reported.
pub(super) fn replace_long_integers(table: &mut DeTable<'_>) {
    for (_, value) in table.iter_mut() {
        replace_in_value(value.get_mut());
    }
}

fn replace_in_value(value: &mut DeValue<'_>) {
    match value {
        DeValue::Integer(integer) if exceeds_i64(integer) => {
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

fn exceeds_i64(integer: &DeInteger<'_>) -> bool {
    i64::from_str_radix(integer.as_str(), integer.radix()).is_err()
}
