//! Metrics of an entry host.

mod entry_metrics;
mod metrics_registry;

pub use {entry_metrics::EntryMetrics, metrics_registry::MetricsRegistry};
