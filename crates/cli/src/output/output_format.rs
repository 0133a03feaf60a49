use {super::HumanText, serde::Serialize};

/// Format of printed results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// JSON, for programs.
    Json,
    /// Tables, for people.
    Table,
}

impl OutputFormat {
    /// Returns the printed form of a result, which ends with a line break unless it is empty.
    pub(crate) fn text<T: HumanText + Serialize + ?Sized>(self, value: &T) -> String {
        let mut text = match self {
            Self::Table => value.human_text(),
            // Serializing to a string fails only for maps with keys other than strings, which no result contains.
            Self::Json => serde_json::to_string_pretty(value).expect("results have text keys"),
        };
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        text
    }
}
