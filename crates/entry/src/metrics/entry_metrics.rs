use {
    super::MetricsRegistry,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram},
    },
};

/// The metric instruments of an entry host.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Time from the arrival of a request to the headers of its response or to its refusal, in milliseconds.
    pub response_ms: Histogram<u64>,
    /// Offset of the first ledger entry that has not been applied.
    pub ledger_offset: Gauge<u64>,
    /// Number of requests, by service and outcome.
    pub requests: Counter<u64>,
    registry: MetricsRegistry,
}

impl EntryMetrics {
    /// Creates the instruments in a registry of their own.
    ///
    /// # Errors
    /// When the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = MetricsRegistry::new()?;
        let meter = registry.meter();
        Ok(Self {
            response_ms: meter.u64_histogram("gcs_answer_milliseconds").build(),
            ledger_offset: meter.u64_gauge("gcs_ledger_offset").build(),
            requests: meter.u64_counter("gcs_requests").build(),
            registry,
        })
    }

    /// Counts a request that has ended.
    pub fn count_request(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
