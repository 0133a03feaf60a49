//! One instance of a runner, and what it runs under its lease.

use {
    crate::fleet::{empty_response, listed_run},
    goldcreststall_core::ids::{LocalTime, Millis},
    goldcreststall_dispatch::{
        owner::{StartCommand, StartResponse},
        runners::{DEFAULT_MAX_LEASE, HoldResponse},
    },
};

/// How long a runner needs for a stop.
const STOP_TIME: Millis = Millis(200);

/// A run on an instance.
pub struct Run {
    pub start: StartCommand,
    pub stop_at: Option<LocalTime>,
}

/// One instance of a runner.
pub struct Instance {
    pub number: u64,
    pub begun: LocalTime,
    pub clock_start: u64,
    pub clock_percent: u64,
    /// End of the lease on its clock.
    pub deadline: u64,
    pub runs: Vec<Run>,
    /// Runs that must not begin any more.
    pub refused: Vec<StartCommand>,
}

impl Instance {
    pub fn clock(&self, now: LocalTime) -> u64 {
        self.clock_start + now.since(self.begun).0 * self.clock_percent / 100
    }

    fn extend(&mut self, deadline: u64, now: LocalTime) {
        let longest = self.clock(now) + DEFAULT_MAX_LEASE.0;
        self.deadline = self.deadline.max(deadline.min(longest));
    }

    pub fn pass_time(&mut self, now: LocalTime) {
        if self.clock(now) > self.deadline {
            self.runs.clear();
        }
        let goes_on = |run: &Run| run.stop_at.is_none_or(|at| now < at);
        self.runs.retain(goes_on);
    }

    pub fn start(&mut self, start: &StartCommand, now: LocalTime) -> StartResponse {
        let clock = self.clock(now);
        if start.deadline_ms <= clock {
            return StartResponse::Late(clock);
        }
        self.extend(start.deadline_ms, now);
        let is_same = |other: &StartCommand| other.name == start.name && other.run == start.run;
        if self.refused.iter().any(is_same) {
            return StartResponse::OldRun;
        }
        self.runs.push(Run {
            start: start.clone(),
            stop_at: None,
        });
        StartResponse::Begun(clock)
    }

    pub fn stop(&mut self, start: &StartCommand, now: LocalTime) {
        self.refused.push(start.clone());
        let is_same = |run: &&mut Run| run.start.name == start.name && run.start.run == start.run;
        if let Some(run) = self.runs.iter_mut().find(is_same) {
            run.stop_at.get_or_insert(now + STOP_TIME);
        }
    }

    pub fn hold(&mut self, deadline_ms: Option<u64>, now: LocalTime) -> HoldResponse {
        if let Some(deadline_ms) = deadline_ms {
            self.extend(deadline_ms, now);
        }
        let running = self.runs.iter().map(|run| listed_run(&run.start));
        HoldResponse {
            started_ms: Some(self.number),
            running: running.collect(),
            ..empty_response(self.clock(now))
        }
    }
}
