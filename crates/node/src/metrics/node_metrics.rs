use {
    super::organisation_lines::organisation_lines,
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        organisations::OrganisationReport,
        owner::{RefusalCounts, RefusalReason, WaitCounts},
    },
    goldcreststall_entry::{clock::BootClock, metrics::MetricsRegistry},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram},
    },
    parking_lot::Mutex,
};

/// How long figures of organisations are shown after the last report; an entry host that owns the fleet no more has none.
const REPORT_RETENTION: Millis = Millis(5_000);

/// Counters and histograms of an entry host, exported in the Prometheus text format.
#[derive(Debug)]
pub struct NodeMetrics {
    responses: Counter<u64>,
    response_ms: Histogram<u64>,
    commands: Counter<u64>,
    caller_stops: Counter<u64>,
    caller_connections: Gauge<u64>,
    caller_bytes: Gauge<u64>,
    waits: Counter<u64>,
    refused_jobs: Counter<u64>,
    job_bytes: Gauge<u64>,
    registry: MetricsRegistry,
    /// Lines about organisations, and when the owner on this host wrote them.
    organisations: Mutex<Option<(LocalTime, String)>>,
}

impl NodeMetrics {
    /// Creates the counters and histograms.
    ///
    /// # Errors
    /// When the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = MetricsRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            responses: meter.u64_counter("gcs_answers").build(),
            response_ms: meter.u64_histogram("gcs_answer_milliseconds").build(),
            commands: meter.u64_counter("gcs_orders").build(),
            caller_stops: meter.u64_counter("gcs_caller_stops").build(),
            caller_connections: meter.u64_gauge("gcs_caller_connections").build(),
            caller_bytes: meter.u64_gauge("gcs_caller_bytes").build(),
            refused_jobs: meter.u64_counter("gcs_refused_jobs").build(),
            job_bytes: meter.u64_gauge("gcs_job_bytes").build(),
            waits: meter.u64_counter("gcs_data_waits").build(),
            registry,
            organisations: Mutex::new(None),
        })
    }

    /// Counts the response to a caller, and records how many milliseconds it took.
    pub fn count_response(&self, outcome: &'static str, elapsed_ms: u64) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.responses.add(1, &labels);
        self.response_ms.record(elapsed_ms, &labels);
    }

    /// Counts a call that executes the owner's decisions.
    pub fn count_command(&self, kind: &'static str) {
        self.commands.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records the open connections of callers and the bytes that are reserved for their requests.
    pub fn record_intake(&self, connections: u64, held_bytes: u64) {
        self.caller_connections.record(connections, &[]);
        self.caller_bytes.record(held_bytes, &[]);
    }

    /// Counts connections of callers that were closed, or whose request was refused, for a reason.
    pub fn count_stops(&self, reason: &'static str, count: u64) {
        if count > 0 {
            let labels = [KeyValue::new("reason", reason)];
            self.caller_stops.add(count, &labels);
        }
    }

    /// Counts the waits for capacity near data since those of this term that were counted before.
    pub fn count_waits(&self, counted: &mut WaitCounts, counts: WaitCounts) {
        let results = [
            ("begun", counts.begun - counted.begun),
            ("paid", counts.paid - counted.paid),
            ("unpaid", counts.unpaid - counted.unpaid),
            ("dropped", counts.dropped - counted.dropped),
        ];
        for (result, added) in results {
            if added > 0 {
                self.waits.add(added, &[KeyValue::new("result", result)]);
            }
        }
        *counted = counts;
    }

    /// Counts the refused jobs since those of this term that were counted before.
    pub fn count_refusals(&self, counted: &mut RefusalCounts, counts: RefusalCounts) {
        for reason in RefusalReason::ALL {
            let added = counts[reason as usize] - counted[reason as usize];
            if added > 0 {
                let labels = [KeyValue::new("reason", reason.name())];
                self.refused_jobs.add(added, &labels);
            }
        }
        *counted = counts;
    }

    /// Records the memory that the owner's jobs hold.
    pub fn record_job_bytes(&self, bytes: u64) {
        self.job_bytes.record(bytes, &[]);
    }

    /// Replaces the figures of organisations, which only the owner has.
    pub fn set_organisations(&self, reports: &[OrganisationReport]) {
        let lines = organisation_lines(reports);
        *self.organisations.lock() = Some((BootClock.now(), lines));
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = self.registry.text();
        if let Some((written, lines)) = &*self.organisations.lock()
            && BootClock.now().since(*written) <= REPORT_RETENTION
        {
            text.push_str(lines);
        }
        text
    }
}
