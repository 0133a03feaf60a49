//! Start of a term: the records of earlier terms are read, and the owner's state is created from them.

use {
    super::{
        ControlEvent,
        actor_events::{send_event, send_texts},
        owner_actor::OwnerActor,
        owner_term::{OwnerTerm, QueuedCall},
        wave_reports::WaveReports,
    },
    crate::journal::{JobJournal, RecordReader},
    goldcreststall_core::ids::LocalTime,
    goldcreststall_dispatch::{owner::OwnerState, records::StoreRecord},
    goldcreststall_entry::clock::wall_time,
    std::sync::Arc,
};

impl OwnerActor {
    /// Starts a term; the records of earlier terms are read meanwhile.
    pub(super) fn start_term(&mut self, token: u64, now: LocalTime) {
        let store = Arc::clone(&self.args.store);
        let logger = self.args.logger.clone();
        let reports = WaveReports::start(Arc::clone(&store), token, logger.clone());
        let term = OwnerTerm::new(token, now, reports);
        let actor = self.actor.clone();
        let reader = RecordReader { store, logger };
        let stop = term.stop.clone();
        self.term = Some(term);
        tokio::spawn(async move {
            let starting = JobJournal::start(&reader, token);
            let Some(started) = stop.run_until_cancelled(starting).await else {
                return;
            };
            let event = match started {
                Some((journal, records)) => ControlEvent::Restored {
                    token,
                    records,
                    journal: Box::new(journal),
                },
                None => ControlEvent::TermEnded,
            };
            send_event(&actor, event).await;
            stop.run_until_cancelled(send_texts(&actor, &reader, token))
                .await;
        });
    }

    /// Creates the owner's state from the records of earlier terms, and handles the calls that have waited for it.
    pub(super) fn handle_restored(
        &mut self,
        token: u64,
        records: Vec<StoreRecord>,
        journal: Box<JobJournal>,
        now: LocalTime,
    ) {
        let Some(term) = self.term.as_mut().filter(|term| term.token == token) else {
            return;
        };
        let mut state = OwnerState::new(token, Arc::clone(&self.rules), term.started_at);
        state.limit_link(self.args.link_rate, now);
        state.limit_job_memory(self.args.job_memory);
        state.set_max_lease(self.args.max_lease);
        state.set_far_percent(self.args.bounds.far_percent);
        state.set_quota_window(self.args.bounds.quota_window);
        state.restore(records, now, wall_time().0);
        for wave in &self.waves {
            state.wave_requested(wave.clone(), now);
        }
        if let Some(reports) = &self.runners {
            state.runners_listed(reports.clone(), now);
        }
        term.state = Some(state);
        term.journal = Some(journal);
        for QueuedCall { call, reply, .. } in std::mem::take(&mut term.queued_calls) {
            self.handle_call(call, reply, now);
        }
    }
}
