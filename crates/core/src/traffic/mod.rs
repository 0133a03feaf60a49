//! Admission, fair queueing, load balancing, concurrency limits and retries of requests.

mod class_queue;
mod fair_policy;
mod fifo_policy;
mod leaving_notice;
mod open_targets;
mod organisation_usage;
mod peer_demand;
mod retry_budget;
mod routing_view;
mod service_queue;
mod service_times;
mod slot_division;
mod target_pool;
mod target_state;
mod traffic_policy;
mod view_builder;
mod view_input;

pub use {
    fair_policy::FairPolicy,
    fifo_policy::FifoPolicy,
    leaving_notice::LeavingNotice,
    peer_demand::{DEMAND_TIMEOUT, PeerDemand, ServiceDemand},
    retry_budget::{MAX_RETRIES, RETRY_PERCENT, RETRY_WINDOW},
    routing_view::{
        OrganisationKey, OrganisationView, RoutingView, ServiceKey, ServiceView, TargetKey,
        TargetView,
    },
    slot_division::SlotDivision,
    traffic_policy::{
        Assignment, Refusal, RequestHandle, RequestSpec, SendOutcome, TrafficPolicy, Urgency,
    },
    view_input::{PlatformHost, PoolMember, ViewInput},
};
