//! Data locality: how long work takes, when capacity near its data is free, and whether a wait for it pays.

mod capacity_forecast;
mod duration_table;
mod wait_decision;

pub use {
    capacity_forecast::{CapacityForecast, ForecastSlot, RunnerForecast, remaining_time},
    duration_table::{DurationTable, LearnedDuration, StepKind},
    wait_decision::{WaitDecision, WaitInputs, wait_bound},
};
