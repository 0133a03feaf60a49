//! Guards against a leaving notice that gets lost or never ends.

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
    support::{LOG, at, config, host, notice},
};

const HOSTS: usize = 4;

#[derive(Clone, Copy, Debug)]
enum Step {
    Observe(usize),
    Reactivate,
    Fold(usize),
    Tell(usize, usize),
    Restart(usize),
}

/// Entry hosts that fold one log at their own pace and tell each other their notices.
#[derive(Default)]
struct Gossip {
    /// Whether each ledger entry makes the target active again.
    entries: Vec<bool>,
    latest_basis: Option<u64>,
    notices: [LeavingNotices; HOSTS],
    next: [usize; HOSTS],
}

impl Gossip {
    fn step(&mut self, step: Step) {
        match step {
            Step::Observe(at) => {
                let basis = self.next[at] as u64;
                self.latest_basis = self.latest_basis.max(Some(basis));
                self.notices[at].add(notice("t1", 1, basis));
            }
            Step::Reactivate => self.entries.push(true),
            Step::Fold(at) => self.fold(at),
            Step::Tell(from, to) => {
                let notices = self.notices[from].notices();
                let position = Some(at(self.next[from] as u64));
                let content = DigestContent::new(position, Vec::new(), notices, false);
                self.notices[to].add_from_peer(Some(LOG), &content);
            }
            Step::Restart(at) => {
                self.notices[at] = LeavingNotices::default();
                let folded = &self.entries[..self.next[at]];
                if let Some(offset) = folded.iter().rposition(|entry| *entry) {
                    self.reactivate(at, offset);
                }
            }
        }
    }

    fn fold(&mut self, at: usize) {
        let offset = self.next[at];
        if offset < self.entries.len() {
            self.next[at] += 1;
            self.reactivate(at, offset);
        }
    }

    fn reactivate(&mut self, at: usize, offset: usize) {
        let offset = offset as u64;
        self.notices[at].log_reactivates(
            &host("t1"),
            Incarnation(1),
            LogOffset(offset),
            LogTime(offset),
        );
    }

    /// Lets every host read the whole log and tell all others.
    fn settle(&mut self) {
        for at in 0..HOSTS {
            while self.next[at] < self.entries.len() {
                self.fold(at);
            }
        }
        for from in (0..HOSTS).chain(0..HOSTS) {
            for to in 0..HOSTS {
                self.step(Step::Tell(from, to));
            }
        }
    }

    fn is_leaving(&self, at: usize) -> bool {
        self.notices[at].is_leaving(&host("t1"), Incarnation(1))
    }
}

fn steps(restarts: bool) -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => (0..HOSTS).prop_map(Step::Observe),
        1 => Just(Step::Reactivate),
        4 => (0..HOSTS).prop_map(Step::Fold),
        6 => (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| Step::Tell(from, to)),
        u32::from(restarts) => (0..HOSTS).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    #![proptest_config(config(512, 53))]

    /// A notice that the log overruled must not be passed around for ever, even by hosts that lag or
    /// were restarted.
    #[test]
    fn mark_ends(steps in steps(true)) {
        let mut gossip = Gossip::default();
        steps.into_iter().for_each(|step| gossip.step(step));
        gossip.settle();
        let last = gossip.entries.iter().rposition(|entry| *entry).map(|offset| offset as u64);
        let stands = gossip.latest_basis > last;
        for at in 0..HOSTS {
            prop_assert!(stands || !gossip.is_leaving(at), "host {at} keeps an overruled mark");
        }
    }

    /// A notice that nothing overruled must reach every host.
    #[test]
    fn mark_spreads(steps in steps(false)) {
        let mut gossip = Gossip::default();
        steps.into_iter().for_each(|step| gossip.step(step));
        gossip.settle();
        let last = gossip.entries.iter().rposition(|entry| *entry).map(|offset| offset as u64);
        for at in 0..HOSTS {
            prop_assert_eq!(gossip.is_leaving(at), gossip.latest_basis > last, "host {}", at);
        }
    }
}

/// A replaced host under the same name must get work, and no peer may mark its earlier run again.
#[test]
fn newer_run() {
    let mut notices = LeavingNotices::default();
    assert_eq!(notices.add(notice("t1", 1, 5)), NoticeResult::Added);
    notices.list_shows(&host("t1"), Incarnation(1));
    assert!(notices.is_leaving(&host("t1"), Incarnation(1)));
    notices.list_shows(&host("t1"), Incarnation(2));
    assert!(!notices.is_leaving(&host("t1"), Incarnation(2)));
    assert_eq!(notices.add(notice("t1", 1, 9)), NoticeResult::Overruled);
    assert_eq!(notices.notices(), []);
}

/// A list that lags must neither bring an earlier run back nor mark a host that the log made active.
#[test]
fn lagging_list() {
    let mut notices = LeavingNotices::default();
    notices.list_shows(&host("t1"), Incarnation(2));
    notices.list_shows(&host("t1"), Incarnation(1));
    assert_eq!(notices.add(notice("t1", 1, 1)), NoticeResult::Overruled);
    notices.log_reactivates(&host("t1"), Incarnation(2), LogOffset(10), LogTime(1_000));
    let seen = notice("t1", 2, 11);
    assert_eq!(
        notices.add_from_list(seen.clone(), LogTime(900)),
        NoticeResult::Overruled
    );
    assert_eq!(
        notices.add_from_list(seen, LogTime(1_100)),
        NoticeResult::Added
    );
}

/// A notice that was observed again after the reactivation must not have a gap when that entry is read.
#[test]
fn repeated_observation() {
    let mut notices = LeavingNotices::default();
    notices.add(notice("t1", 1, 5));
    assert_eq!(notices.add(notice("t1", 1, 12)), NoticeResult::Known);
    assert_eq!(notices.notices(), [notice("t1", 1, 5)]);
    notices.log_reactivates(&host("t1"), Incarnation(1), LogOffset(10), LogTime(0));
    assert_eq!(notices.notices(), [notice("t1", 1, 12)]);
}

/// An offset of another log must not make a notice outlive the reactivation in this one.
#[test]
fn foreign_basis() {
    let mut notices = LeavingNotices::default();
    notices.log_reactivates(&host("t1"), Incarnation(1), LogOffset(10), LogTime(0));
    let told = |log| {
        let next = LogOffset(50);
        let position = Some(LogPosition { log, next });
        DigestContent::new(position, Vec::new(), vec![notice("t1", 1, 40)], false)
    };
    assert_eq!(notices.add_from_peer(Some(LOG), &told(LogIdentity(8))), 0);
    assert_eq!(notices.add_from_peer(Some(LOG), &told(LOG)), 1);
}
