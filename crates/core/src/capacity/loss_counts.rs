/// Probability below which the tail of a distribution is cut off.
const TAIL: f64 = 1e-9;

/// Distribution of a number of hosts that are missing or needed in addition; `shares[n]` is the probability
/// of `n` hosts.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LossCounts {
    shares: Vec<f64>,
}

impl LossCounts {
    /// No host, always.
    pub(super) fn none() -> Self {
        Self { shares: vec![1.0] }
    }

    /// Independent failures with `mean` hosts down on average (Poisson).
    pub(super) fn failures(mean: f64) -> Self {
        let mut shares = vec![(-mean).exp()];
        let mut total = shares[0];
        while 1.0 - total > TAIL && shares.len() < 10_000 {
            let share = shares[shares.len() - 1] * mean / shares.len() as f64;
            shares.push(share);
            total += share;
        }
        Self { shares }
    }

    /// `hosts` at the same time during `share` of the time, none otherwise.
    pub(super) fn during(hosts: u32, share: f64) -> Self {
        let mut shares = vec![0.0; hosts as usize + 1];
        shares[0] += 1.0 - share;
        shares[hosts as usize] += share;
        Self { shares }
    }

    /// A need above its forecast: the positive part of a normal error, rounded up to whole hosts.
    pub(super) fn forecast(deviation: f64) -> Self {
        if deviation <= 0.0 {
            return Self::none();
        }
        let mut shares = vec![0.5];
        let mut below = 0.5;
        while 1.0 - below > TAIL && shares.len() < 10_000 {
            let next = normal_share(shares.len() as f64 / deviation);
            shares.push(next - below);
            below = next;
        }
        Self { shares }
    }

    /// Returns the distribution of the sum of two independent numbers.
    pub(super) fn plus(&self, other: &Self) -> Self {
        let mut shares = vec![0.0; self.shares.len() + other.shares.len() - 1];
        for (left, share) in self.shares.iter().enumerate() {
            for (right, other) in other.shares.iter().enumerate() {
                shares[left + right] += share * other;
            }
        }
        Self { shares }
    }

    /// Returns the probability of more than `hosts`; a negative number is always exceeded.
    pub(super) fn above(&self, hosts: i64) -> f64 {
        let first = usize::try_from(hosts + 1).unwrap_or_default();
        let tail = self.shares.iter().skip(first);
        tail.sum()
    }

    /// Returns the smallest number that is exceeded with at most probability `share`.
    pub(super) fn quantile(&self, share: f64) -> u32 {
        let bounds = 0..self.shares.len();
        let found = bounds
            .into_iter()
            .find(|hosts| self.above(*hosts as i64) <= share);
        found.unwrap_or_default() as u32
    }
}

/// Returns the share of a standard normal distribution below `value`, with an error below 1e-7
/// (Abramowitz and Stegun 26.2.17), for a value that is not negative.
fn normal_share(value: f64) -> f64 {
    const FACTORS: [f64; 5] = [
        0.319_381_530,
        -0.356_563_782,
        1.781_477_937,
        -1.821_255_978,
        1.330_274_429,
    ];
    let step = 1.0 / (1.0 + 0.231_641_9 * value);
    let series = FACTORS
        .iter()
        .rev()
        .fold(0.0, |sum, factor| (sum + factor) * step);
    let density = (-value * value / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt();
    1.0 - density * series
}
