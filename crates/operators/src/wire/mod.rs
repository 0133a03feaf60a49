//! Helpers that convert raw messages to checked types and back.

mod field_check;
mod text;
mod wire_enum;

pub use wire_enum::{Survive, Urgency};
pub(crate) use {
    field_check::FieldCheck,
    text::{config_mistake, id_text, raw_mistakes},
    wire_enum::wire_enum,
};
