//! Metrics of an entry host.

mod node_metrics;

pub use node_metrics::NodeMetrics;
