use {
    crate::{
        arguments::ReportFormat,
        checks::InvariantViolation,
        load::{JobKind, SubmittedJob},
    },
    comfy_table::Table,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::JobPhase,
    hdrhistogram::Histogram,
    serde::Serialize,
};

/// Digits to which times are kept.
const TIME_DIGITS: u8 = 2;

/// What one run has shown.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Faults that were injected.
    pub faults: usize,
    /// Jobs that callers handed in.
    pub jobs: usize,
    /// Jobs that were accepted.
    pub accepted: usize,
    /// Jobs that were shown as completed.
    pub completed: usize,
    /// Jobs of which every attempt to hand them in was refused.
    pub refused: usize,
    /// Runs that have begun.
    pub starts: u64,
    /// Time from the first send until a job is shown as completed: half of the jobs, in milliseconds.
    pub half_ms: u64,
    /// The same for 99 of 100 jobs.
    pub most_ms: u64,
    /// Longest time in which no job was accepted, in milliseconds.
    pub longest_gap_ms: u64,
    /// Invariants that were violated.
    #[serde(rename = "broken")]
    pub violations: Vec<InvariantViolation>,
}

impl SoakReport {
    /// Sums a run up.
    pub fn new(
        seed: u64,
        faults: usize,
        entries: &[SubmittedJob],
        starts: u64,
        violations: Vec<InvariantViolation>,
    ) -> Self {
        let count =
            |wanted: fn(&SubmittedJob) -> bool| entries.iter().filter(|job| wanted(job)).count();
        let times = completion_times(entries);
        Self {
            seed,
            faults,
            jobs: entries.len(),
            accepted: count(|entry| entry.accepted.is_some()),
            completed: count(|entry| matches!(entry.shown, Some((JobPhase::Completed, _)))),
            refused: count(|entry| entry.given_up && !entry.open_outcome),
            starts,
            half_ms: times.value_at_quantile(0.5),
            most_ms: times.value_at_quantile(0.99),
            longest_gap_ms: longest_gap(entries).0,
            violations,
        }
    }

    /// Returns the report in a format.
    pub fn text(&self, format: ReportFormat) -> String {
        match format {
            // The report holds only plain fields, so that serialization cannot fail.
            ReportFormat::Json => serde_json::to_string(self).expect("a report is serializable"),
            ReportFormat::Text => self.table(),
        }
    }

    fn table(&self) -> String {
        let mut table = Table::new();
        table.set_header([
            "seed",
            "faults",
            "jobs",
            "accepted",
            "completed",
            "refused",
            "starts",
            "p50 ms",
            "p99 ms",
            "longest gap ms",
            "broken",
        ]);
        let figures = [
            self.seed,
            self.faults as u64,
            self.jobs as u64,
            self.accepted as u64,
            self.completed as u64,
            self.refused as u64,
            self.starts,
            self.half_ms,
            self.most_ms,
            self.longest_gap_ms,
            self.violations.len() as u64,
        ];
        table.add_row(figures.map(|figure| figure.to_string()));
        let mut text = table.to_string();
        for violation in &self.violations {
            text.push_str(&format!(
                "\n  {:?} at {} ms: {}",
                violation.invariant, violation.at_ms, violation.detail
            ));
        }
        text
    }
}

fn completion_times(entries: &[SubmittedJob]) -> Histogram<u64> {
    // Two digits are within what the library takes.
    let mut times = Histogram::new(TIME_DIGITS).expect("the digits are allowed");
    let passing = entries
        .iter()
        .filter(|entry| entry.kind == JobKind::Passing);
    for entry in passing {
        if let Some((JobPhase::Completed, at)) = entry.shown {
            // The histogram grows with its values, so that recording cannot fail.
            let _ = times.record(at.0.saturating_sub(entry.sent.0));
        }
    }
    times
}

fn longest_gap(entries: &[SubmittedJob]) -> Millis {
    let mut accepted: Vec<u64> = entries
        .iter()
        .filter_map(|entry| entry.accepted.map(|at| at.0))
        .collect();
    accepted.sort_unstable();
    let gaps = accepted.windows(2).map(|pair| pair[1] - pair[0]);
    Millis(gaps.max().unwrap_or(0))
}
