//! Admission, fair shares, choice of target, limits and retries of requests.

mod routing_view;
mod traffic_policy;

pub use {
    routing_view::{
        RoutingView, ServiceKey, ServiceView, TargetKey, TargetView, TenantKey, TenantView,
    },
    traffic_policy::{
        Assignment, QueuePolicy, Refusal, RequestSpec, SendOutcome, Ticket, TrafficPolicy, Urgency,
    },
};
