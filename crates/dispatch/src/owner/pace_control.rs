use {
    super::{OwnerCommand, OwnerState, RunCommand},
    crate::{
        jobs::{ItemKey, ItemRun, MAX_PACE_PERCENT, RunPhase},
        runners::{ListedRun, RunnerKey},
    },
    goldcreststall_core::ids::{LocalTime, Millis},
};

/// Share of the response time objective, in percent, from which on the load of a serving work item is high.
const HIGH_LOAD_PERCENT: u64 = 85;
/// Share of the response time objective, in percent, below which filling work may be sped up.
const LOW_LOAD_PERCENT: u64 = 60;
/// Step by which the pace of filling work rises again.
const PACE_STEP_PERCENT: u32 = 15;
/// Time after which the pace of slowed work is sent again while the load stays high: the command may have been lost.
const PACE_REPEAT_INTERVAL: Millis = Millis(1_000);

/// Load of serving work on a runner, by the ratio of its response times to their objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum LoadLevel {
    Low,
    Elevated,
    High,
    Exceeded,
}

impl OwnerState {
    /// Slows filling work on a runner whose serving work comes close to its response time objective, and speeds it
    /// up again when the load is low.
    pub(super) fn control_pace(
        &mut self,
        runner: RunnerKey,
        running: &[ListedRun],
        now: LocalTime,
    ) {
        let runs = self.runs_on(runner);
        let filling_runs: Vec<&(ItemKey, ItemRun)> = runs
            .iter()
            .filter(|(key, _)| self.is_filling(*key))
            .collect();
        if filling_runs.is_empty() {
            return;
        }
        let load_level = running
            .iter()
            .filter_map(|listed| self.load_level(listed))
            .max();
        for (key, run) in filling_runs {
            if !matches!(run.phase, RunPhase::Running { .. }) {
                continue;
            }
            let pace = match load_level {
                None | Some(LoadLevel::Low) => (run.pace + PACE_STEP_PERCENT).min(MAX_PACE_PERCENT),
                Some(LoadLevel::Elevated) => run.pace,
                Some(LoadLevel::High) => run.pace / 2,
                Some(LoadLevel::Exceeded) => 0,
            };
            let may_be_lost = load_level >= Some(LoadLevel::High)
                && now.since(run.paced_at) > PACE_REPEAT_INTERVAL;
            if pace != run.pace || may_be_lost {
                self.issue_pace(*key, run, pace, now);
            }
        }
    }

    fn is_filling(&self, key: ItemKey) -> bool {
        self.jobs
            .item(key)
            .is_some_and(|(job, item)| job.step_of(item).fills)
    }

    fn load_level(&self, listed: &ListedRun) -> Option<LoadLevel> {
        let job = self.jobs.get(self.jobs.find(listed.name.job)?)?;
        let objective = u64::from(job.spec.steps.get(listed.name.step as usize)?.target_ms);
        if objective == 0 {
            return None;
        }
        let share = u64::from(listed.load) * 100 / objective;
        Some(match share {
            share if share >= 100 => LoadLevel::Exceeded,
            share if share >= HIGH_LOAD_PERCENT => LoadLevel::High,
            share if share >= LOW_LOAD_PERCENT => LoadLevel::Elevated,
            _ => LoadLevel::Low,
        })
    }

    fn issue_pace(&mut self, key: ItemKey, recorded_run: &ItemRun, pace: u32, now: LocalTime) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let command = RunCommand {
            runner: recorded_run.runner,
            item: Some(key),
            name: job.item_name(key.item),
            run: recorded_run.run,
        };
        let detail = format!("from={} to={pace}", recorded_run.pace);
        self.log_event("pace", command.name.to_string(), detail);
        if let Some(run) = self.run_mut(key, recorded_run.runner, recorded_run.run) {
            run.pace = pace;
            run.paced_at = now;
        }
        self.commands.push(OwnerCommand::Pace(command, pace));
    }
}
