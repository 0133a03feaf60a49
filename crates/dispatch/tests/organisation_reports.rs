//! Guards against metrics without bound: thousands of organisations must give 33 reports, with nothing left out of the sums.

mod fleet;

use fleet::{TestFleet, job, step};

#[test]
fn bounded_reports() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    assert_eq!(fleet.owner.take_organisation_reports(fleet.now), None);
    fleet.set_organisations(2, &[("o0001", 1, 500)]);
    for id in 0..200 {
        fleet.submit_for(id, &format!("o{id:04}"), job(vec![step(1, 1_000)]));
    }
    fleet.store();
    fleet.advance(100);
    fleet.advance(100);
    let reports = fleet.owner.take_organisation_reports(fleet.now);
    let reports = reports.expect("reports of an owner with organisations");
    assert_eq!(reports.len(), 33);
    assert_eq!(reports[32].name, None);
    let running: u64 = reports.iter().map(|report| report.running_cpu).sum();
    let waiting: u64 = reports.iter().map(|report| report.waiting_jobs).sum();
    assert_eq!((running, waiting), (8_000, 192));
    assert_eq!(
        fleet.owner.take_organisation_reports(fleet.now),
        None,
        "more than one report a second"
    );
}
