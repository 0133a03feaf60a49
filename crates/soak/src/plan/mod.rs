//! Draws from a seed which faults are injected and when.

mod fault_plan;
mod planned_fault;

pub use {
    fault_plan::{FaultPlan, PlanSize},
    planned_fault::{Fault, HostFaultKind, PlannedFault, StoreFaultKind, WireScope},
};
