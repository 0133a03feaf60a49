use std::fmt;

/// Mean, minimum and maximum of one figure over all seeds.
#[derive(Clone, Copy, Debug)]
pub struct ValueSummary {
    high: f64,
    low: f64,
    mean: f64,
}

impl ValueSummary {
    /// Summarises `values`, one per seed.
    pub fn new(values: &[f64]) -> Self {
        let count = values.len().max(1) as f64;
        Self {
            high: values.iter().copied().fold(f64::MIN, f64::max),
            low: values.iter().copied().fold(f64::MAX, f64::min),
            mean: values.iter().sum::<f64>() / count,
        }
    }
}

impl fmt::Display for ValueSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { high, low, mean } = self;
        formatter.pad(&format!("{mean:.1} ({low:.1}..{high:.1})"))
    }
}
