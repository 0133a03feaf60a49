use {
    super::ready_items::ReadyItem,
    crate::organisations::OrganisationKey,
    std::{cmp::Reverse, collections::BinaryHeap},
};

/// Sort key of an organisation: the smallest used share in relation to its weight, then the nearest latest start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct FairRank {
    share: u64,
    latest_start: u64,
    organisation: OrganisationKey,
    /// Range of the organisation's work items of the tier and priority that are still to be returned.
    next: usize,
    end: usize,
}

/// Ready work items ordered by tier and priority, then weighted fair between organisations, then by latest start within
/// an organisation. The idea is that of the fair queue for jobs in `goldcreststall_core`: a heap with one entry for each
/// organisation. Here one sorted vector replaces the queues, and organisations enter the heap only after their first work
/// item, for thousands of work items of up to 10,000 organisations every few milliseconds.
#[derive(Debug)]
pub(super) struct FairOrder {
    ready: Vec<ReadyItem>,
    /// Organisations of which no work item of the tier and priority was returned yet, the smallest rank last. Only starts
    /// change shares in a pass, so that these are up to date.
    untouched: Vec<FairRank>,
    heap: BinaryHeap<Reverse<FairRank>>,
    /// The organisation of the work item that was returned last, if it has more; its share may have grown since.
    last: Option<FairRank>,
    /// First work item of the next tier or priority.
    next_group: usize,
}

impl FairOrder {
    pub(super) fn new(mut ready: Vec<ReadyItem>) -> Self {
        ready.sort_unstable_by_key(|item| {
            let rank = item.rank;
            (rank.group(), item.organisation, rank.latest_start, item.key)
        });
        Self {
            ready,
            untouched: Vec::new(),
            heap: BinaryHeap::new(),
            last: None,
            next_group: 0,
        }
    }

    /// Removes and returns the next work item. `share` is the present share of an organisation; it changes only by the
    /// start of the work item that was returned last.
    pub(super) fn pop(
        &mut self,
        mut share: impl FnMut(OrganisationKey) -> u64,
    ) -> Option<ReadyItem> {
        if self.last.is_none() && self.heap.is_empty() && self.untouched.is_empty() {
            if self.next_group >= self.ready.len() {
                return None;
            }
            self.open_group(&mut share);
        }
        let last = self.last.take().map(|rank| FairRank {
            share: share(rank.organisation),
            ..rank
        });
        let in_heap = self.heap.peek().map(|Reverse(rank)| *rank);
        let untouched = self.untouched.last().copied();
        let is_smaller = |rank: FairRank, other: Option<FairRank>| other.is_none_or(|it| rank < it);
        let next = match (last, untouched) {
            (Some(rank), _) if is_smaller(rank, in_heap) && is_smaller(rank, untouched) => rank,
            (_, Some(rank)) if is_smaller(rank, in_heap) => {
                self.untouched.pop();
                self.heap.extend(last.map(Reverse));
                rank
            }
            (Some(rank), _) => {
                let mut top = self.heap.peek_mut()?;
                std::mem::replace(&mut top.0, rank)
            }
            (None, _) => self.heap.pop()?.0,
        };
        Some(self.take(next))
    }

    /// Returns the next work item of an organisation, and keeps its rank if it has more.
    fn take(&mut self, rank: FairRank) -> ReadyItem {
        let next = rank.next + 1;
        if next < rank.end {
            self.last = Some(FairRank {
                latest_start: self.ready[next].rank.latest_start,
                next,
                ..rank
            });
        }
        self.ready[rank.next]
    }

    /// Ranks the organisations with work items of the next tier and priority.
    fn open_group(&mut self, mut share: impl FnMut(OrganisationKey) -> u64) {
        let group = self.ready[self.next_group].rank.group();
        while let Some(first) = self.ready.get(self.next_group).copied()
            && first.rank.group() == group
        {
            let is_same = |item: &&ReadyItem| {
                item.rank.group() == group && item.organisation == first.organisation
            };
            let next = self.next_group;
            self.next_group += self.ready[next..].iter().take_while(is_same).count();
            self.untouched.push(FairRank {
                share: share(first.organisation),
                latest_start: first.rank.latest_start,
                organisation: first.organisation,
                next,
                end: self.next_group,
            });
        }
        self.untouched
            .sort_unstable_by(|left, right| right.cmp(left));
    }
}
