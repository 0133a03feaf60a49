use {
    super::MetricsRegistry,
    goldcreststall_callers::intake::{CloseReason, IntakeFigures},
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
    caller_stops: Counter<u64>,
    caller_connections: Gauge<u64>,
    caller_bytes: Gauge<u64>,
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
            caller_stops: meter.u64_counter("gcs_caller_stops").build(),
            caller_connections: meter.u64_gauge("gcs_caller_connections").build(),
            caller_bytes: meter.u64_gauge("gcs_caller_bytes").build(),
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

    /// Records what callers hold, and counts the connections that were closed or refused.
    pub fn record_intake(&self, figures: IntakeFigures) {
        self.caller_connections
            .record(figures.connections as u64, &[]);
        self.caller_bytes.record(figures.held_bytes as u64, &[]);
        for (reason, count) in CloseReason::ALL.into_iter().zip(figures.stops) {
            if count > 0 {
                let labels = [KeyValue::new("reason", reason.name())];
                self.caller_stops.add(count, &labels);
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        self.registry.text()
    }
}
