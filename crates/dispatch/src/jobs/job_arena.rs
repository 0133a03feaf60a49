use super::{JobKey, JobState};

/// Jobs in one chunk.
const CHUNK_JOBS: usize = 64;

/// Jobs by key. Keys rise and are not used again; the memory of a job is freed with it, and that of its place with the last
/// job of its chunk.
#[derive(Debug, Default)]
pub(super) struct JobArena {
    chunks: Vec<Option<Box<JobChunk>>>,
    next: usize,
}

#[derive(Debug)]
struct JobChunk {
    jobs: [Option<Box<JobState>>; CHUNK_JOBS],
    count: usize,
}

impl JobArena {
    /// Returns the key that the next job gets.
    pub(super) fn next_key(&self) -> JobKey {
        JobKey(self.next as u32)
    }

    /// Adds a job under [`Self::next_key`].
    pub(super) fn push(&mut self, job: JobState) {
        let (chunk, place) = position(self.next);
        if chunk == self.chunks.len() {
            self.chunks.push(None);
        }
        let chunk = self.chunks[chunk].get_or_insert_with(JobChunk::empty);
        chunk.jobs[place] = Some(Box::new(job));
        chunk.count += 1;
        self.next += 1;
    }

    /// Returns a job; none when it was removed.
    pub(super) fn get(&self, key: JobKey) -> Option<&JobState> {
        let (chunk, place) = position(key.0 as usize);
        self.chunks.get(chunk)?.as_ref()?.jobs[place].as_deref()
    }

    /// Returns a job for changes; none when it was removed.
    pub(super) fn get_mut(&mut self, key: JobKey) -> Option<&mut JobState> {
        let (chunk, place) = position(key.0 as usize);
        self.chunks.get_mut(chunk)?.as_mut()?.jobs[place].as_deref_mut()
    }

    /// Removes a job.
    pub(super) fn take(&mut self, key: JobKey) -> Option<JobState> {
        let (index, place) = position(key.0 as usize);
        let chunk = self.chunks.get_mut(index)?.as_mut()?;
        let job = chunk.jobs[place].take()?;
        chunk.count -= 1;
        if chunk.count == 0 {
            self.chunks[index] = None;
        }
        Some(*job)
    }
}

impl JobChunk {
    fn empty() -> Box<Self> {
        Box::new(Self {
            jobs: [const { None }; CHUNK_JOBS],
            count: 0,
        })
    }
}

/// Returns the chunk of a key and the place in it.
fn position(key: usize) -> (usize, usize) {
    (key / CHUNK_JOBS, key % CHUNK_JOBS)
}
