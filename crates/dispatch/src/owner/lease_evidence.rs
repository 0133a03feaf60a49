//! What the owner believes of a runner's instance and its lease, for the log.

use {super::OwnerState, crate::runners::RunnerKey, goldcreststall_core::ids::LocalTime};

impl OwnerState {
    /// Returns what decides how long work on the instance may last, as `key=value` pairs: its start time, the token of commands
    /// to it, the last reading of its clock and how old that is, the latest deadline on that clock, in milliseconds, and the
    /// age of this owner's term.
    pub(super) fn lease_evidence(&self, runner: RunnerKey, now: LocalTime) -> String {
        let term_ms = now.since(self.started).0;
        let Some(state) = self.runners.get(runner) else {
            return format!("runner=unknown term_ms={term_ms}");
        };
        let token = self.command_token(runner).unwrap_or_default();
        let reading = match state.clock.reading() {
            Some((clock_ms, at)) => {
                let granted_ms = state.clock.granted_ms();
                let age_ms = now.since(at).0;
                format!("clock_ms={clock_ms} reading_age_ms={age_ms} granted_ms={granted_ms}")
            }
            None => "clock_ms=none".to_owned(),
        };
        format!(
            "runner={} born={} token={token} fenced={} {reading} term_ms={term_ms}",
            state.report.id, state.report.started_ms, state.fenced
        )
    }
}
