use std::fmt;

/// Mean, smallest and largest of the values of all seeds.
#[derive(Clone, Copy, Debug)]
pub struct Spread {
    high: f64,
    low: f64,
    mean: f64,
}

impl Spread {
    /// Sums up the values of the seeds.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len().max(1) as f64;
        Self {
            high: values.iter().copied().fold(f64::MIN, f64::max),
            low: values.iter().copied().fold(f64::MAX, f64::min),
            mean: values.iter().sum::<f64>() / count,
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { high, low, mean } = self;
        formatter.pad(&format!("{mean:.1} ({low:.1}..{high:.1})"))
    }
}
