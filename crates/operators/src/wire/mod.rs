//! Conversion between raw messages and checked types.

mod field_validator;
mod text;
mod wire_enum;

pub use wire_enum::{Survive, Urgency};
pub(crate) use {
    field_validator::FieldValidator,
    text::{config_mistake, id_text, raw_mistakes},
    wire_enum::wire_enum,
};
