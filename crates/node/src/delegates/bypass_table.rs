use goldcreststall_core::ids::{LocalTime, Millis};

/// How long the owner calls a runner itself after its delegate got no response from it.
pub(super) const BYPASS_DURATION: Millis = Millis(10_000);

/// Most runners that the owner calls itself. With a slow owner all outcomes are late; it must not take over the commands for
/// the whole fleet then.
const MAX_BYPASSES: usize = 32;

/// Runners that the owner calls itself, because their delegate may be unable to reach them. One of the two paths may fail
/// alone, and work must not be given up while the other one works.
#[derive(Debug, Default)]
pub(super) struct BypassTable {
    /// Id of each runner and the end of its bypass, sorted by id.
    rows: Vec<(String, LocalTime)>,
}

impl BypassTable {
    /// Starts a bypass, or extends it; does nothing while there are [`MAX_BYPASSES`] others.
    pub(super) fn insert(&mut self, runner: &str, now: LocalTime) {
        self.rows.retain(|(_, until)| *until > now);
        let until = now + BYPASS_DURATION;
        match self.index_of(runner) {
            Ok(index) => self.rows[index].1 = until,
            Err(index) if self.rows.len() < MAX_BYPASSES => {
                self.rows.insert(index, (runner.to_owned(), until));
            }
            Err(_) => {}
        }
    }

    /// Ends a bypass: the owner cannot reach the runner either.
    pub(super) fn remove(&mut self, runner: &str) {
        if let Ok(index) = self.index_of(runner) {
            self.rows.remove(index);
        }
    }

    /// Returns whether the owner calls the runner itself.
    pub(super) fn contains(&self, runner: &str, now: LocalTime) -> bool {
        self.index_of(runner)
            .is_ok_and(|index| self.rows[index].1 > now)
    }

    fn index_of(&self, runner: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|(id, _)| id.as_str().cmp(runner))
    }
}
