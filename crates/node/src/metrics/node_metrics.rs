use {
    anyhow::Context,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram, MeterProvider},
    },
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
};

/// The instruments, readable in the Prometheus text format.
#[derive(Debug)]
pub struct NodeMetrics {
    answers: Counter<u64>,
    answer_ms: Histogram<u64>,
    orders: Counter<u64>,
    provider: SdkMeterProvider,
    registry: Registry,
}

impl NodeMetrics {
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
            answers: meter.u64_counter("gcs_answers").build(),
            answer_ms: meter.u64_histogram("gcs_answer_milliseconds").build(),
            orders: meter.u64_counter("gcs_orders").build(),
            provider,
            registry,
        })
    }

    /// Counts the answer to a call and the time it took, in milliseconds.
    pub fn count_answer(&self, outcome: &'static str, took_ms: u64) {
        let labels = [KeyValue::new("outcome", outcome)];
        self.answers.add(1, &labels);
        self.answer_ms.record(took_ms, &labels);
    }

    /// Counts an order of the owner.
    pub fn count_order(&self, kind: &'static str) {
        self.orders.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

impl Drop for NodeMetrics {
    fn drop(&mut self) {
        // Nothing is exported by push, so a failed shutdown loses nothing.
        let _ = self.provider.shutdown();
    }
}
