//! The operator's configuration: queues, services and limits of calls.

mod fleet_rules;

pub use fleet_rules::{AdviceRule, CallLimits, FleetRules, RouteRule, ServiceRule};
