use std::fmt;

/// Results of one figure over several seeds, printed as median and range.
#[derive(Clone, Debug, Default)]
pub struct SeedSummary {
    /// In ascending order.
    values: Vec<f64>,
}

impl SeedSummary {
    /// Adds the result of one seed.
    pub fn add(&mut self, value: f64) {
        let index = self.values.partition_point(|other| *other < value);
        self.values.insert(index, value);
    }

    /// Returns the mean, or zero without results.
    pub fn mean(&self) -> f64 {
        self.values.iter().sum::<f64>() / self.values.len().max(1) as f64
    }

    /// Returns the standard error of the mean, or zero with fewer than two results.
    pub fn standard_error(&self) -> f64 {
        let count = self.values.len() as f64;
        if count < 2.0 {
            return 0.0;
        }
        let mean = self.mean();
        let squares = self.values.iter().map(|value| (value - mean).powi(2));
        (squares.sum::<f64>() / (count - 1.0) / count).sqrt()
    }

    /// Returns the median (the upper one of an even number of results), or zero without results.
    pub fn median(&self) -> f64 {
        self.values
            .get(self.values.len() / 2)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the largest result, or zero without results.
    pub fn max(&self) -> f64 {
        self.values.last().copied().unwrap_or_default()
    }
}

impl fmt::Display for SeedSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = formatter.precision().unwrap_or(2);
        let low = self.values.first().copied().unwrap_or_default();
        let text = format!(
            "{:.digits$} ({low:.digits$} to {:.digits$})",
            self.median(),
            self.max()
        );
        let width = formatter.width().unwrap_or_default();
        write!(formatter, "{text:>width$}")
    }
}
