//! Guards against a leaving notice that is lost or never removed.

mod support;

use {
    goldcreststall_core::{
        ids::{Incarnation, LogTime},
        ledger::{LogIdentity, LogOffset},
    },
    goldcreststall_peers::{
        decisions::{LeavingNotices, NoticeResult},
        wire::{DigestContent, LogPosition},
    },
    proptest::prelude::*,
    support::{LOG, at, config, host_name, notice},
};

const HOSTS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Step {
    Observe(usize),
    Reactivate,
    Apply(usize),
    Send(usize, usize),
    Restart(usize),
}

/// Entry hosts that apply one log at different speeds and exchange their notices.
#[derive(Default)]
struct GossipModel {
    /// Whether each log entry makes the target active again.
    entries: Vec<bool>,
    latest_basis: Option<u64>,
    notices: [LeavingNotices; HOSTS],
    next: [usize; HOSTS],
}

impl GossipModel {
    fn step(&mut self, step: Step) {
        match step {
            Step::Observe(host_index) => {
                let basis = self.next[host_index] as u64;
                self.latest_basis = self.latest_basis.max(Some(basis));
                self.notices[host_index].add(notice("t1", 1, basis));
            }
            Step::Reactivate => self.entries.push(true),
            Step::Apply(host_index) => self.apply_next(host_index),
            Step::Send(from, to) => {
                let notices = self.notices[from].notices();
                let position = Some(at(self.next[from] as u64));
                let content = DigestContent::new(position, Vec::new(), notices, false);
                self.notices[to].add_from_peer(Some(LOG), &content);
            }
            Step::Restart(host_index) => {
                self.notices[host_index] = LeavingNotices::default();
                let applied = &self.entries[..self.next[host_index]];
                if let Some(offset) = applied.iter().rposition(|entry| *entry) {
                    self.reactivate(host_index, offset);
                }
            }
        }
    }

    fn apply_next(&mut self, host_index: usize) {
        let offset = self.next[host_index];
        if offset < self.entries.len() {
            self.next[host_index] += 1;
            self.reactivate(host_index, offset);
        }
    }

    fn reactivate(&mut self, host_index: usize, offset: usize) {
        let offset = offset as u64;
        self.notices[host_index].record_reactivation(
            &host_name("t1"),
            Incarnation(1),
            LogOffset(offset),
            LogTime(offset),
        );
    }

    /// Lets every host apply the complete log and send its notices to all others, twice.
    fn deliver_all(&mut self) {
        for host_index in 0..HOSTS {
            while self.next[host_index] < self.entries.len() {
                self.apply_next(host_index);
            }
        }
        for from in (0..HOSTS).chain(0..HOSTS) {
            for to in 0..HOSTS {
                self.step(Step::Send(from, to));
            }
        }
    }

    fn is_leaving(&self, host_index: usize) -> bool {
        self.notices[host_index].is_leaving(&host_name("t1"), Incarnation(1))
    }
}

fn steps(restarts: bool) -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => (0..HOSTS).prop_map(Step::Observe),
        1 => Just(Step::Reactivate),
        4 => (0..HOSTS).prop_map(Step::Apply),
        6 => (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| Step::Send(from, to)),
        u32::from(restarts) => (0..HOSTS).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(config(512, 53))]

    /// A notice that the log superseded must not circulate forever, even among hosts that lag or were
    /// restarted.
    #[test]
    fn notice_ends(steps in steps(true)) {
        let mut model = GossipModel::default();
        steps.into_iter().for_each(|step| model.step(step));
        model.deliver_all();
        let last = model.entries.iter().rposition(|entry| *entry).map(|offset| offset as u64);
        let in_force = model.latest_basis > last;
        for host_index in 0..HOSTS {
            prop_assert!(in_force || !model.is_leaving(host_index), "host {host_index} keeps a superseded notice");
        }
    }

    /// A notice that was not superseded must reach every host.
    #[test]
    fn notice_spreads(steps in steps(false)) {
        let mut model = GossipModel::default();
        steps.into_iter().for_each(|step| model.step(step));
        model.deliver_all();
        let last = model.entries.iter().rposition(|entry| *entry).map(|offset| offset as u64);
        for host_index in 0..HOSTS {
            prop_assert_eq!(model.is_leaving(host_index), model.latest_basis > last, "host {}", host_index);
        }
    }
}

/// A replaced host under the same name must receive work, and no peer may add a notice for its earlier
/// incarnation again.
#[test]
fn newer_incarnation() {
    let mut notices = LeavingNotices::default();
    assert_eq!(notices.add(notice("t1", 1, 5)), NoticeResult::Added);
    notices.record_listed(&host_name("t1"), Incarnation(1));
    assert!(notices.is_leaving(&host_name("t1"), Incarnation(1)));
    notices.record_listed(&host_name("t1"), Incarnation(2));
    assert!(!notices.is_leaving(&host_name("t1"), Incarnation(2)));
    assert_eq!(notices.add(notice("t1", 1, 9)), NoticeResult::Superseded);
    assert_eq!(notices.notices(), []);
}

/// A lagging list must neither bring back an earlier incarnation nor a notice for a host that the log made
/// active again.
#[test]
fn lagging_list() {
    let mut notices = LeavingNotices::default();
    notices.record_listed(&host_name("t1"), Incarnation(2));
    notices.record_listed(&host_name("t1"), Incarnation(1));
    assert_eq!(notices.add(notice("t1", 1, 1)), NoticeResult::Superseded);
    notices.record_reactivation(
        &host_name("t1"),
        Incarnation(2),
        LogOffset(10),
        LogTime(1_000),
    );
    let listed = notice("t1", 2, 11);
    assert_eq!(
        notices.add_from_list(listed.clone(), LogTime(900)),
        NoticeResult::Superseded
    );
    assert_eq!(
        notices.add_from_list(listed, LogTime(1_100)),
        NoticeResult::Added
    );
}

/// A host that was observed as leaving again after its reactivation must still count as leaving when the entry
/// of the reactivation is applied.
#[test]
fn repeated_observation() {
    let mut notices = LeavingNotices::default();
    notices.add(notice("t1", 1, 5));
    assert_eq!(notices.add(notice("t1", 1, 12)), NoticeResult::Known);
    assert_eq!(notices.notices(), [notice("t1", 1, 5)]);
    notices.record_reactivation(&host_name("t1"), Incarnation(1), LogOffset(10), LogTime(0));
    assert_eq!(notices.notices(), [notice("t1", 1, 12)]);
}

/// An offset of another log must not keep a notice in force after the reactivation in this one.
#[test]
fn foreign_basis() {
    let mut notices = LeavingNotices::default();
    notices.record_reactivation(&host_name("t1"), Incarnation(1), LogOffset(10), LogTime(0));
    let content = |log| {
        let next = LogOffset(50);
        let position = Some(LogPosition { log, next });
        DigestContent::new(position, Vec::new(), vec![notice("t1", 1, 40)], false)
    };
    assert_eq!(
        notices.add_from_peer(Some(LOG), &content(LogIdentity(8))),
        0
    );
    assert_eq!(notices.add_from_peer(Some(LOG), &content(LOG)), 1);
}
