//! Metrics of an entry host.

mod node_metrics;
mod organisation_lines;

pub use node_metrics::NodeMetrics;
