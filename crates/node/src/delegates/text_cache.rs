use {goldcreststall_dispatch::jobs::JobId, std::collections::VecDeque, std::sync::Arc};

/// Jobs whose texts the owner expects a delegate to keep. The delegate keeps more of them, so that it has each text that
/// the owner does not repeat.
const SENT_TEXTS: usize = 256;
/// Jobs whose texts a delegate keeps; a text has at most 4,000 bytes.
const KEPT_TEXTS: usize = 2 * SENT_TEXTS;

/// The jobs whose texts were sent to a delegate on its connection, oldest first.
#[derive(Debug, Default)]
pub(super) struct SentTexts {
    jobs: VecDeque<JobId>,
}

impl SentTexts {
    /// Records that the text of a job is sent now; returns false if the delegate has it already.
    pub(super) fn insert(&mut self, job: JobId) -> bool {
        if self.jobs.contains(&job) {
            return false;
        }
        if self.jobs.len() >= SENT_TEXTS {
            self.jobs.pop_front();
        }
        self.jobs.push_back(job);
        true
    }
}

/// The texts that a delegate has received on its connection, oldest first.
#[derive(Debug, Default)]
pub(super) struct TextCache {
    texts: VecDeque<(JobId, Arc<str>)>,
}

impl TextCache {
    /// Adds the text of a job.
    pub(super) fn insert(&mut self, job: JobId, text: Arc<str>) {
        if self.texts.len() >= KEPT_TEXTS {
            self.texts.pop_front();
        }
        self.texts.push_back((job, text));
    }

    /// Returns the text of a job.
    pub(super) fn get(&self, job: JobId) -> Option<Arc<str>> {
        // Jobs that were sent lately are asked for most.
        let found = self.texts.iter().rev().find(|(other, _)| *other == job);
        found.map(|(_, text)| Arc::clone(text))
    }
}
