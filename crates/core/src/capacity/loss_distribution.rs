/// Probability of the tail below which a distribution is truncated.
const TAIL_PROBABILITY: f64 = 1e-9;

/// Probability distribution of the number of hosts that are missing or needed in addition;
/// `probabilities[n]` is the probability of `n` hosts.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LossDistribution {
    probabilities: Vec<f64>,
}

impl LossDistribution {
    /// Zero hosts with probability 1.
    pub(super) fn none() -> Self {
        Self {
            probabilities: vec![1.0],
        }
    }

    /// Poisson distribution of independent failures with `mean` hosts down on average.
    pub(super) fn failures(mean: f64) -> Self {
        let mut probabilities = vec![(-mean).exp()];
        let mut total = probabilities[0];
        while 1.0 - total > TAIL_PROBABILITY && probabilities.len() < 10_000 {
            let probability =
                probabilities[probabilities.len() - 1] * mean / probabilities.len() as f64;
            probabilities.push(probability);
            total += probability;
        }
        Self { probabilities }
    }

    /// `hosts` hosts at the same time with the given probability, otherwise none.
    pub(super) fn concurrent(hosts: u32, probability: f64) -> Self {
        let mut probabilities = vec![0.0; hosts as usize + 1];
        probabilities[0] += 1.0 - probability;
        probabilities[hosts as usize] += probability;
        Self { probabilities }
    }

    /// Need in excess of its forecast: the positive part of a normally distributed error, rounded up to whole hosts.
    pub(super) fn forecast(deviation: f64) -> Self {
        if deviation <= 0.0 {
            return Self::none();
        }
        let mut probabilities = vec![0.5];
        let mut cumulative = 0.5;
        while 1.0 - cumulative > TAIL_PROBABILITY && probabilities.len() < 10_000 {
            let next = normal_cumulative(probabilities.len() as f64 / deviation);
            probabilities.push(next - cumulative);
            cumulative = next;
        }
        Self { probabilities }
    }

    /// Returns the distribution of the sum of two independent numbers.
    pub(super) fn plus(&self, other: &Self) -> Self {
        let mut probabilities = vec![0.0; self.probabilities.len() + other.probabilities.len() - 1];
        for (left, probability) in self.probabilities.iter().enumerate() {
            for (right, other) in other.probabilities.iter().enumerate() {
                probabilities[left + right] += probability * other;
            }
        }
        Self { probabilities }
    }

    /// Returns the probability of more than `hosts` hosts. A negative number is always exceeded.
    pub(super) fn probability_above(&self, hosts: i64) -> f64 {
        let first = usize::try_from(hosts + 1).unwrap_or_default();
        let tail = self.probabilities.iter().skip(first);
        tail.sum()
    }

    /// Returns the smallest number of hosts that is exceeded with at most the given probability.
    pub(super) fn quantile(&self, probability: f64) -> u32 {
        let bounds = 0..self.probabilities.len();
        let found = bounds
            .into_iter()
            .find(|hosts| self.probability_above(*hosts as i64) <= probability);
        found.unwrap_or_default() as u32
    }
}

/// Returns the cumulative standard normal distribution at `value`, which must not be negative, with an error
/// below 1e-7 (Abramowitz and Stegun 26.2.17).
fn normal_cumulative(value: f64) -> f64 {
    const COEFFICIENTS: [f64; 5] = [
        0.319_381_530,
        -0.356_563_782,
        1.781_477_937,
        -1.821_255_978,
        1.330_274_429,
    ];
    let scaled = 1.0 / (1.0 + 0.231_641_9 * value);
    let series = COEFFICIENTS
        .iter()
        .rev()
        .fold(0.0, |sum, coefficient| (sum + coefficient) * scaled);
    let density = (-value * value / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt();
    1.0 - density * series
}
