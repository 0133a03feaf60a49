//! The operator's configuration: queues, services and limits of calls.

mod call_check;
mod fleet_rules;
mod service_bounds;

pub use {
    call_check::{CallOrigin, CallRefusal, CheckedCall},
    fleet_rules::{AdviceRule, CallLimits, FleetRules, RouteRule, ServiceRule},
    service_bounds::ServiceBounds,
};
