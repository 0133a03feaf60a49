use {
    anyhow::Context,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
};

/// The instruments, readable in the Prometheus text format.
#[derive(Debug)]
pub struct EntryMetrics {
    /// Time from arrival to the headers of the answer or to the refusal, in milliseconds.
    pub answer_ms: Histogram<u64>,
    /// Offset of the first ledger entry that is not applied.
    pub ledger_offset: Gauge<u64>,
    /// Requests by service and outcome.
    pub requests: Counter<u64>,
    provider: SdkMeterProvider,
    registry: Registry,
}

impl EntryMetrics {
    /// Creates the instruments.
    ///
    /// # Errors
    /// When the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("the metrics exporter was not built")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("goldcreststall");
        Ok(Self {
            answer_ms: meter.u64_histogram("gcs_answer_milliseconds").build(),
            ledger_offset: meter.u64_gauge("gcs_ledger_offset").build(),
            requests: meter.u64_counter("gcs_requests").build(),
            provider,
            registry,
        })
    }

    /// Counts the end of a request.
    pub fn count_request(&self, service: &str, outcome: &'static str) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.requests.add(1, &labels);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

impl Drop for EntryMetrics {
    fn drop(&mut self) {
        // Nothing is exported by push, so a failed shutdown loses nothing.
        let _ = self.provider.shutdown();
    }
}
