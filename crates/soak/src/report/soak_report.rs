use {
    crate::{
        arguments::ReportFormat,
        checks::InvariantViolation,
        load::{JobKind, SubmittedJob},
    },
    comfy_table::Table,
    goldcreststall_adapter_standin::ConnectionCounts,
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::jobs::JobPhase,
    hdrhistogram::Histogram,
    serde::Serialize,
};

/// Significant digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Result of one run.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// Seed of the run.
    pub seed: u64,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Number of jobs that callers submitted.
    pub jobs: usize,
    /// Number of jobs that were acknowledged as accepted.
    pub accepted: usize,
    /// Number of jobs that were reported as completed.
    pub completed: usize,
    /// Number of jobs of which every submission was refused.
    pub refused: usize,
    /// Number of runs that have started.
    pub starts: u64,
    /// Number of starts that runners executed for ended instances before an owner could prevent it.
    pub misdirected: u64,
    /// Median time from the first submission of a short-running job until it is reported as completed, in milliseconds.
    pub half_ms: u64,
    /// 99th percentile of the time from the first submission of a short-running job until it is reported as completed,
    /// in milliseconds.
    pub most_ms: u64,
    /// Longest time between two consecutive acceptances of jobs, in milliseconds.
    pub longest_gap_ms: u64,
    /// Largest number of connections that one runner had open at a time.
    pub most_connections: usize,
    /// Number of connections that runners reset because too many were open.
    pub connection_resets: u64,
    /// Violations of invariants.
    #[serde(rename = "broken")]
    pub violations: Vec<InvariantViolation>,
}

impl SoakReport {
    /// Summarises a run from the jobs that were submitted and the violations found.
    pub fn new(
        seed: u64,
        faults: usize,
        jobs: &[SubmittedJob],
        starts: u64,
        violations: Vec<InvariantViolation>,
    ) -> Self {
        let count =
            |wanted: fn(&SubmittedJob) -> bool| jobs.iter().filter(|job| wanted(job)).count();
        let times = completion_times(jobs);
        Self {
            seed,
            faults,
            jobs: jobs.len(),
            accepted: count(|job| job.accepted.is_some()),
            completed: count(|job| matches!(job.final_phase, Some((JobPhase::Completed, _)))),
            refused: count(|job| job.given_up && !job.outcome_unknown),
            starts,
            misdirected: 0,
            half_ms: times.value_at_quantile(0.5),
            most_ms: times.value_at_quantile(0.99),
            longest_gap_ms: longest_gap(jobs).0,
            most_connections: 0,
            connection_resets: 0,
            violations,
        }
    }

    /// Adds the number of starts that no owner could prevent.
    pub fn with_misdirected(mut self, count: u64) -> Self {
        self.misdirected = count;
        self
    }

    /// Adds the connections to the runner of each host.
    pub fn with_connections(mut self, counts: &[ConnectionCounts]) -> Self {
        let most_open = counts.iter().map(|counts| counts.most_open).max();
        self.most_connections = most_open.unwrap_or(0);
        self.connection_resets = counts.iter().map(|counts| counts.resets).sum();
        self
    }

    /// Formats the report.
    pub fn text(&self, format: ReportFormat) -> String {
        match format {
            // Serialization cannot fail: the report consists of plain fields only.
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
            "misdirected",
            "p50 ms",
            "p99 ms",
            "longest gap ms",
            "connections",
            "resets",
            "broken",
        ]);
        let values = [
            self.seed,
            self.faults as u64,
            self.jobs as u64,
            self.accepted as u64,
            self.completed as u64,
            self.refused as u64,
            self.starts,
            self.misdirected,
            self.half_ms,
            self.most_ms,
            self.longest_gap_ms,
            self.most_connections as u64,
            self.connection_resets,
            self.violations.len() as u64,
        ];
        table.add_row(values.map(|value| value.to_string()));
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

fn completion_times(jobs: &[SubmittedJob]) -> Histogram<u64> {
    // Creation cannot fail: the library accepts up to 5 significant digits.
    let mut times = Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is valid");
    let short_running = jobs.iter().filter(|job| job.kind == JobKind::Passing);
    for job in short_running {
        if let Some((JobPhase::Completed, at)) = job.final_phase {
            // Recording cannot fail: the histogram resizes itself to fit the value.
            let _ = times.record(at.0.saturating_sub(job.sent.0));
        }
    }
    times
}

fn longest_gap(jobs: &[SubmittedJob]) -> Millis {
    let mut accepted: Vec<u64> = jobs
        .iter()
        .filter_map(|job| job.accepted.map(|at| at.0))
        .collect();
    accepted.sort_unstable();
    let gaps = accepted.windows(2).map(|pair| pair[1] - pair[0]);
    Millis(gaps.max().unwrap_or(0))
}
