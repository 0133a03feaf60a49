use crate::wire::FieldValidator;

/// Rows of a page when the request does not state a limit.
const DEFAULT_ROWS: u32 = 100;

/// Maximum number of rows of a page, from 1 to [`Self::MAX_ROWS`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PageLimit(u32);

impl PageLimit {
    /// Largest limit that a request may state.
    pub const MAX_ROWS: u32 = 1_000;

    /// Returns the limit for `rows`, or `None` when that is 0 or more than [`PageLimit::MAX_ROWS`].
    pub fn new(rows: u32) -> Option<Self> {
        (1..=Self::MAX_ROWS).contains(&rows).then_some(Self(rows))
    }

    /// Returns the number of rows.
    pub fn rows(self) -> usize {
        self.0 as usize
    }

    pub(crate) fn check(validator: &mut FieldValidator, field: &str, rows: u32) -> Option<Self> {
        let limit = match rows {
            0 => Some(Self::default()),
            rows => Self::new(rows),
        };
        if limit.is_none() {
            let allowed = format!("0 to {}", Self::MAX_ROWS);
            validator.reject(field, &rows.to_string(), &allowed);
        }
        limit
    }

    pub(crate) fn to_wire(self) -> u32 {
        self.0
    }
}

impl Default for PageLimit {
    fn default() -> Self {
        Self(DEFAULT_ROWS)
    }
}
