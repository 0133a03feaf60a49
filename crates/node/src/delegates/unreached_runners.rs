use goldcreststall_core::ids::{LocalTime, Millis};

/// How long the owner calls a runner itself that its delegate did not reach. Then the delegate is tried again, at the
/// cost of one call that may be lost.
const DIRECT_PERIOD: Millis = Millis(5_000);

/// Runners that their delegates did not reach, sorted by id, and until when the owner calls them itself.
#[derive(Debug, Default)]
pub(super) struct UnreachedRunners {
    rows: Vec<(String, LocalTime)>,
}

impl UnreachedRunners {
    /// Returns whether the owner calls a runner itself.
    pub(super) fn contains(&self, id: &str, now: LocalTime) -> bool {
        self.index_of(id)
            .is_ok_and(|index| now < self.rows[index].1)
    }

    /// Records a hold call that a runner did not answer; the next one takes the other way.
    pub(super) fn record_silence(&mut self, id: &str, was_direct: bool, now: LocalTime) {
        // Rows of runners that are not called any more must not stay.
        self.rows.retain(|(_, until)| now < *until);
        match self.index_of(id) {
            Ok(index) if was_direct => {
                self.rows.remove(index);
            }
            Err(index) if !was_direct => {
                self.rows
                    .insert(index, (id.to_owned(), now + DIRECT_PERIOD));
            }
            Ok(_) | Err(_) => {}
        }
    }

    fn index_of(&self, id: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|(other, _)| other.as_str().cmp(id))
    }
}
