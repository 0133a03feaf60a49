//! The operator's configuration: queues, services and limits of calls.

mod fleet_rules;
mod service_bounds;

pub use {
    fleet_rules::{AdviceRule, CallLimits, FleetRules, RouteRule, ServiceRule},
    service_bounds::ServiceBounds,
};
