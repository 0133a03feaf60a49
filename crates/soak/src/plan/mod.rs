//! Which faults come when: drawn from a seed.

mod fault_plan;
mod planned_fault;

pub use {
    fault_plan::{FaultPlan, PlanSize},
    planned_fault::{Fault, HostFaultKind, PlannedFault, StoreFaultKind, WirePart},
};
