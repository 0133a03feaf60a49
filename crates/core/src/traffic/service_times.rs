use {
    super::Urgency,
    crate::ids::{LocalTime, Millis},
};

/// Weight of the newest sample in the moving averages.
const EWMA_WEIGHT: f64 = 1.0 / 32.0;
/// Length of a bucket of samples. The uncontended time, which is the service time without load, is the smallest mean
/// of a bucket in the window.
const BUCKET_MS: u64 = 10_000;
/// Number of buckets in the window: ten minutes, which covers a flood and the quiet period before it.
const WINDOW_BUCKETS: usize = 60;
/// Minimum number of samples for the mean of a bucket to count.
const MIN_BUCKET_SAMPLES: u32 = 20;

/// Learned service times of one service, per class and overall, in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    overall: MovingAverage,
    classes: [MovingAverage; 3],
    uncontended: [WindowedMinimum; 3],
}

#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    deviation: f64,
    mean: Option<f64>,
}

impl MovingAverage {
    fn record(&mut self, sample: f64) {
        let Some(mean) = self.mean else {
            self.mean = Some(sample);
            self.deviation = sample / 2.0;
            return;
        };
        let error = sample - mean;
        self.mean = Some(mean + EWMA_WEIGHT * error);
        self.deviation += EWMA_WEIGHT * (error.abs() - self.deviation);
    }
}

#[derive(Clone, Debug, Default)]
struct WindowedMinimum {
    count: u32,
    epoch: u64,
    means: Vec<(u64, f64)>,
    sum: f64,
}

impl WindowedMinimum {
    fn record(&mut self, now: LocalTime, sample: f64) {
        let epoch = now.0 / BUCKET_MS;
        if epoch != self.epoch {
            self.close_bucket(epoch);
        }
        self.count += 1;
        self.sum += sample;
    }

    fn close_bucket(&mut self, epoch: u64) {
        if self.count >= MIN_BUCKET_SAMPLES {
            let mean = self.sum / f64::from(self.count);
            self.means.push((self.epoch, mean));
        }
        self.means
            .retain(|(start, _)| start + WINDOW_BUCKETS as u64 >= epoch);
        *self = Self {
            epoch,
            means: std::mem::take(&mut self.means),
            ..Self::default()
        };
    }

    fn minimum(&self) -> Option<f64> {
        let means = self.means.iter().map(|(_, mean)| *mean);
        means.min_by(f64::total_cmp)
    }
}

impl ServiceTimes {
    /// Records the service time of a complete response.
    pub fn record(&mut self, now: LocalTime, class: Urgency, elapsed: Millis) {
        let sample = elapsed.0.max(1) as f64;
        self.overall.record(sample);
        self.classes[class as usize].record(sample);
        self.uncontended[class as usize].record(now, sample);
    }

    /// Returns the mean over all classes; zero before the first response.
    pub fn mean(&self) -> f64 {
        self.overall.mean.unwrap_or(0.0)
    }

    /// Returns the mean of a class, or the mean over all classes while the class has no samples.
    pub fn class_mean(&self, class: Urgency) -> f64 {
        let average = &self.classes[class as usize];
        average.mean.unwrap_or(self.mean())
    }

    /// Returns a time within which most requests of a class end: the mean plus the mean deviation.
    pub fn class_bound(&self, class: Urgency) -> f64 {
        let average = &self.classes[class as usize];
        self.class_mean(class) + average.deviation
    }

    /// Returns the service time of a class without load: the smallest bucket mean of the window, or `None` while no
    /// bucket with enough samples is complete.
    pub fn uncontended(&self, class: Urgency) -> Option<f64> {
        self.uncontended[class as usize].minimum()
    }
}
