use {
    anyhow::Context,
    opentelemetry::metrics::{Meter, MeterProvider},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Registry, TextEncoder},
};

/// Registry of the metric instruments of a process.
#[derive(Debug)]
pub struct MetricsRegistry {
    provider: SdkMeterProvider,
    registry: Registry,
}

impl MetricsRegistry {
    /// Creates a registry without instruments.
    ///
    /// # Errors
    /// When the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .context("cannot build the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { provider, registry })
    }

    /// Returns the meter, which creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter("goldcreststall")
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}

impl Drop for MetricsRegistry {
    fn drop(&mut self) {
        // Metrics are only pulled, so a failed shutdown loses nothing.
        let _ = self.provider.shutdown();
    }
}
