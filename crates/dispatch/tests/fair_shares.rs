//! Guards against an organisation that gets more than its share while another one waits, against capacity that stays
//! unused, and against another order of work where the configuration has no organisations.

mod fleet;

use {
    fleet::{TestFleet, job, organisation_rules, step},
    goldcreststall_dispatch::{
        jobs::{ItemName, StepSpec},
        owner::StartCommand,
    },
};

/// Two runners with 8 cores and 16,000 MB each, which are listed only when all jobs are waiting.
fn start_all(
    organisations: &[(&str, u64, u64)],
    submit: impl Fn(&mut TestFleet),
) -> Vec<StartCommand> {
    let mut fleet = TestFleet::new(1, &[]);
    fleet.set_organisations(2, organisations);
    submit(&mut fleet);
    fleet.store();
    fleet.advance(10);
    fleet.runners = vec![fleet::runner("r1"), fleet::runner("r2")];
    fleet.list_runners();
    fleet.answer_first_holds();
    fleet.advance(10);
    fleet.starts()
}

/// Returns how many of the starts are of jobs with an id from `first` to 99 above it.
fn count_from(starts: &[StartCommand], first: u64) -> usize {
    let ids = first..first + 100;
    starts
        .iter()
        .filter(|start| ids.contains(&start.name.job.0))
        .count()
}

#[test]
fn weighted_shares() {
    let starts = start_all(&[("ink", 3, 0), ("lead", 1, 0)], |fleet| {
        // The flood of `lead` comes first, and its jobs are the more urgent ones.
        for id in 0..20 {
            fleet.submit_for(200 + id, "lead", job(vec![step(1, 1_000)]));
        }
        fleet.advance(5);
        for id in 0..20 {
            fleet.submit_for(100 + id, "ink", job(vec![step(1, 1_000)]));
        }
    });
    assert_eq!(
        (count_from(&starts, 100), count_from(&starts, 200)),
        (12, 4)
    );
}

/// Guards against shares that are rounded to nothing with the largest weights.
#[test]
fn large_weights() {
    let starts = start_all(
        &[("ink", 900_000_000, 0), ("lead", 300_000_000, 0)],
        |fleet| {
            fleet.submit_for(200, "lead", job(vec![step(20, 1_000)]));
            fleet.submit_for(100, "ink", job(vec![step(20, 1_000)]));
        },
    );
    assert_eq!(
        (count_from(&starts, 100), count_from(&starts, 200)),
        (12, 4)
    );
}

#[test]
fn unused_share() {
    let starts = start_all(&[("ink", 3, 0), ("lead", 1, 0)], |fleet| {
        fleet.submit_for(100, "ink", job(vec![step(2, 1_000)]));
        fleet.submit_for(200, "lead", job(vec![step(20, 1_000)]));
    });
    assert_eq!(
        (count_from(&starts, 100), count_from(&starts, 200)),
        (2, 14)
    );
}

#[test]
fn full_organisation() {
    // What the quota of one organisation does not allow is given to the others.
    let starts = start_all(&[("ink", 3, 5_000), ("lead", 1, 0)], |fleet| {
        fleet.submit_for(100, "ink", job(vec![step(20, 1_000)]));
        fleet.submit_for(200, "lead", job(vec![step(20, 1_000)]));
    });
    assert_eq!(
        (count_from(&starts, 100), count_from(&starts, 200)),
        (5, 11)
    );
}

#[test]
fn dominant_resource() {
    // Each work item of `ink` takes an eighth of the memory and little processor time, each of `lead` a sixteenth of the
    // processor time.
    let large = StepSpec {
        mem_mb: 4_000,
        ..step(20, 100)
    };
    let starts = start_all(&[("ink", 1, 0), ("lead", 1, 0)], |fleet| {
        fleet.submit_for(100, "ink", job(vec![large.clone()]));
        fleet.submit_for(200, "lead", job(vec![step(12, 1_000)]));
    });
    assert_eq!(count_from(&starts, 200), 12);
    // The first twelve of both are in the ratio of their dominant shares.
    let first = &starts[..9];
    assert_eq!((count_from(first, 100), count_from(first, 200)), (3, 6));
}

#[test]
fn work_without_organisation() {
    // It gets the mean weight, 2 of 6, however much of it there is.
    let starts = start_all(&[("ink", 3, 0), ("lead", 1, 0)], |fleet| {
        fleet.submit(300, job(vec![step(40, 1_000)]));
        fleet.submit_for(100, "ink", job(vec![step(20, 1_000)]));
        fleet.submit_for(200, "lead", job(vec![step(20, 1_000)]));
    });
    let counts = [100, 200, 300].map(|first| count_from(&starts, first));
    assert_eq!(counts.iter().sum::<usize>(), 16);
    assert!(
        counts[0] >= 7 && counts[1] <= 3 && counts[2] <= 6,
        "{counts:?}"
    );
}

#[test]
fn no_organisations() {
    // Without organisations the order is by latest start. A configuration with organisations keeps it for jobs without one.
    let names = |rules: Option<&[(&str, u64, u64)]>| -> Vec<ItemName> {
        let mut fleet = TestFleet::new(1, &[]);
        if let Some(organisations) = rules {
            fleet.owner.set_rules(organisation_rules(2, organisations));
        }
        for id in 0..60 {
            let estimate_ms = 500 + (id as u32 * 7_919) % 2_000;
            let steps = vec![StepSpec {
                estimate_ms,
                ..step(1 + id as u32 % 3, 500)
            }];
            fleet.submit(100 + id, job(steps));
            fleet.advance(3);
        }
        fleet.store();
        fleet.runners = vec![fleet::runner("r1"), fleet::runner("r2")];
        fleet.list_runners();
        fleet.answer_first_holds();
        fleet.advance(10);
        fleet.starts().iter().map(|start| start.name).collect()
    };
    let plain = names(None);
    assert_eq!(plain.len(), 32);
    assert_eq!(names(Some(&[("ink", 1, 0)])), plain);
}
