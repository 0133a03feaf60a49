use {super::HumanText, serde::Serialize};

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OutputFormat {
    /// JSON, for programs.
    Json,
    /// Tables, for people.
    Table,
}

impl OutputFormat {
    /// Returns the text of a result, which ends with a line break.
    pub(crate) fn text<T: HumanText + Serialize + ?Sized>(self, value: &T) -> String {
        let mut text = match self {
            Self::Table => value.human_text(),
            // Writing to memory fails only for maps whose keys are no text, which no result has.
            Self::Json => serde_json::to_string_pretty(value).expect("results have text keys"),
        };
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        text
    }
}
