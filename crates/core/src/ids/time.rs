use {
    serde::{Deserialize, Serialize},
    std::{fmt, ops},
};

/// A duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Millis(pub u64);

impl fmt::Display for Millis {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

macro_rules! point_in_time {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the time since `earlier`, or zero when `earlier` is later.
            pub fn since(self, earlier: Self) -> Millis {
                Millis(self.0.saturating_sub(earlier.0))
            }
        }

        impl ops::Add<Millis> for $name {
            type Output = Self;

            fn add(self, duration: Millis) -> Self {
                Self(self.0.saturating_add(duration.0))
            }
        }

        impl ops::Sub<Millis> for $name {
            type Output = Self;

            fn sub(self, duration: Millis) -> Self {
                Self(self.0.saturating_sub(duration.0))
            }
        }
    };
}

point_in_time!(
    /// Timestamp of the log service, in milliseconds since the Unix epoch.
    LogTime
);
point_in_time!(
    /// Reading of a local clock that also counts suspended time, in milliseconds since an arbitrary start.
    LocalTime
);
