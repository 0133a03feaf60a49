//! Metrics of an entry host.

mod entry_metrics;

pub use entry_metrics::EntryMetrics;
