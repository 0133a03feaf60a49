use {
    super::Urgency,
    crate::ids::{LocalTime, Millis},
};

/// Weight of the newest sample in the moving averages.
const GAIN: f64 = 1.0 / 32.0;
/// Length of one bucket of the uncontended time.
const BUCKET_MS: u64 = 10_000;
/// Buckets over which the uncontended time is the smallest mean: ten minutes, so that it spans a
/// flood and the quiet time before it.
const BUCKETS: usize = 60;
/// Fewest samples of a bucket whose mean counts.
const MIN_SAMPLES: u32 = 20;

/// Learned service times of one service, for each class and over all, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    all: MovingTime,
    classes: [MovingTime; 3],
    uncontended: [SmallestMean; 3],
}

#[derive(Clone, Copy, Debug, Default)]
struct MovingTime {
    deviation: f64,
    mean: Option<f64>,
}

impl MovingTime {
    fn learn(&mut self, sample: f64) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2.0;
            return;
        };
        let error = sample - mean;
        self.mean = Some(mean + GAIN * error);
        self.deviation += GAIN * (error.abs() - self.deviation);
    }
}

#[derive(Clone, Debug, Default)]
struct SmallestMean {
    count: u32,
    epoch: u64,
    means: Vec<(u64, f64)>,
    sum: f64,
}

impl SmallestMean {
    fn learn(&mut self, now: LocalTime, sample: f64) {
        let epoch = now.0 / BUCKET_MS;
        if epoch != self.epoch {
            self.close(epoch);
        }
        self.count += 1;
        self.sum += sample;
    }

    fn close(&mut self, epoch: u64) {
        if self.count >= MIN_SAMPLES {
            let mean = self.sum / f64::from(self.count);
            self.means.push((self.epoch, mean));
        }
        self.means
            .retain(|(start, _)| start + BUCKETS as u64 >= epoch);
        *self = Self {
            epoch,
            means: std::mem::take(&mut self.means),
            ..Self::default()
        };
    }

    fn value(&self) -> Option<f64> {
        let means = self.means.iter().map(|(_, mean)| *mean);
        means.min_by(f64::total_cmp)
    }
}

impl ServiceTimes {
    /// Learns from a complete answer.
    pub fn learn(&mut self, now: LocalTime, class: Urgency, took: Millis) {
        let sample = took.0.max(1) as f64;
        self.all.learn(sample);
        self.classes[class as usize].learn(sample);
        self.uncontended[class as usize].learn(now, sample);
    }

    /// Returns the mean over all classes; zero before the first answer.
    pub fn mean(&self) -> f64 {
        self.all.mean.unwrap_or(0.0)
    }

    /// Returns the mean of a class, or the mean over all classes while the class is unknown.
    pub fn class_mean(&self, class: Urgency) -> f64 {
        let known = &self.classes[class as usize];
        known.mean.unwrap_or(self.mean())
    }

    /// Returns a time within which most requests of a class end.
    pub fn class_bound(&self, class: Urgency) -> f64 {
        let known = &self.classes[class as usize];
        self.class_mean(class) + known.deviation
    }

    /// Returns the mean of the quietest recent time, or `None` while there is none.
    pub fn uncontended(&self, class: Urgency) -> Option<f64> {
        self.uncontended[class as usize].value()
    }
}
