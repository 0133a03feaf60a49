use {
    super::{OwnerCommand, OwnerState, RunCommand, run_table::FULL_PACE},
    crate::{
        jobs::{ItemKey, ItemRun, RunPhase},
        runners::{ListedRun, RunnerKey},
    },
};

/// Share of its target, in percent, above which a serving work item is in danger.
const DANGER_PERCENT: u64 = 85;
/// Share of its target, in percent, below which filling work may work more.
const CALM_PERCENT: u64 = 60;
/// Step by which filling work regains its speed, in percent.
const PACE_STEP: u32 = 15;

/// How close serving work on a runner is to its target.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum LoadLevel {
    Calm,
    Near,
    Danger,
    Over,
}

impl OwnerState {
    /// Slows filling work beside serving work that comes close to its target, and lets it recover.
    pub(super) fn control_pace(&mut self, runner: RunnerKey, running: &[ListedRun]) {
        let runs = self.runs_on(runner);
        let fills: Vec<&(ItemKey, ItemRun)> = runs
            .iter()
            .filter(|(key, _)| self.is_filling(*key))
            .collect();
        if fills.is_empty() {
            return;
        }
        let load_level = running
            .iter()
            .filter_map(|listed| self.load_level(listed))
            .max();
        for (key, booked) in fills {
            if !matches!(booked.phase, RunPhase::Running { .. }) {
                continue;
            }
            let pace = match load_level {
                None | Some(LoadLevel::Calm) => (booked.pace + PACE_STEP).min(FULL_PACE),
                Some(LoadLevel::Near) => booked.pace,
                Some(LoadLevel::Danger) => booked.pace / 2,
                Some(LoadLevel::Over) => 0,
            };
            if pace != booked.pace {
                self.issue_pace(*key, booked, pace);
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
        let target = u64::from(job.spec.steps.get(listed.name.step as usize)?.target_ms);
        if target == 0 {
            return None;
        }
        let share = u64::from(listed.load) * 100 / target;
        Some(match share {
            share if share >= 100 => LoadLevel::Over,
            share if share >= DANGER_PERCENT => LoadLevel::Danger,
            share if share >= CALM_PERCENT => LoadLevel::Near,
            _ => LoadLevel::Calm,
        })
    }

    fn issue_pace(&mut self, key: ItemKey, booked: &ItemRun, pace: u32) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let command = RunCommand {
            runner: booked.runner,
            item: Some(key),
            name: job.item_name(key.item),
            run: booked.run,
        };
        let detail = format!("from={} to={pace}", booked.pace);
        self.log_event("pace", command.name.to_string(), detail);
        if let Some(run) = self.run_mut(key, booked.runner, booked.run) {
            run.pace = pace;
        }
        self.commands.push(OwnerCommand::Pace(command, pace));
    }
}
