//! Draws from a seed which faults are injected and when.

mod fault_plan;
mod late_call_plan;
mod partition_plan;
mod planned_fault;

pub use {
    fault_plan::{FaultPlan, PlanSize},
    late_call_plan::{EntrySignal, LateCallSeries, RunnerRestart, SignalTarget},
    partition_plan::{Partition, PartitionCrash},
    planned_fault::{Fault, HostFaultKind, PlannedFault, StoreFaultKind, WireScope},
};
