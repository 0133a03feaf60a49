use {
    super::organisation_lines::organisation_lines,
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::organisations::OrganisationReport,
    goldcreststall_entry::{clock::BootClock, metrics::MetricsRegistry},
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram},
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
