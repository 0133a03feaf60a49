use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Random numbers of one seed.
#[derive(Debug)]
pub struct VirtualRandom {
    source: StdRng,
}

impl VirtualRandom {
    /// Creates the numbers of `seed` for one purpose, so that another purpose does not shift them.
    pub fn new(seed: u64, purpose: u64) -> Self {
        Self {
            source: StdRng::seed_from_u64(seed * 1_000 + purpose),
        }
    }

    /// Returns a number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        self.source.random()
    }

    /// Tells whether an event of probability `share` happens.
    pub fn happens(&mut self, share: f64) -> bool {
        self.share() < share
    }

    /// Returns a whole number in `range`, both ends included.
    pub fn between(&mut self, range: (u64, u64)) -> u64 {
        self.source.random_range(range.0..=range.1)
    }

    /// Returns a number with mean 0 and standard deviation 1, nearly normal (Irwin-Hall).
    pub fn normal(&mut self) -> f64 {
        let sum: f64 = (0..12).map(|_| self.share()).sum();
        sum - 6.0
    }
}
