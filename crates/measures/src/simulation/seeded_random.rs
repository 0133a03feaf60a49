use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Random numbers of one seed and purpose.
#[derive(Debug)]
pub struct SeededRandom {
    generator: StdRng,
}

impl SeededRandom {
    /// Creates a generator for one purpose; draws for other purposes with the same seed do not shift its numbers.
    pub fn new(seed: u64, purpose: u64) -> Self {
        Self {
            generator: StdRng::seed_from_u64(seed * 1_000 + purpose),
        }
    }

    /// Returns a number from 0 up to but not including 1.
    pub fn fraction(&mut self) -> f64 {
        self.generator.random()
    }

    /// Returns whether an event of the given probability happens.
    pub fn happens(&mut self, probability: f64) -> bool {
        self.fraction() < probability
    }

    /// Returns a whole number in `range`, both ends included.
    pub fn between(&mut self, range: (u64, u64)) -> u64 {
        self.generator.random_range(range.0..=range.1)
    }

    /// Returns an approximately normal number with mean 0 and standard deviation 1 (Irwin-Hall).
    pub fn normal(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.fraction()).sum();
        sum - 6.0
    }
}
