use goldcreststall_core::ids::{LocalTime, Millis};

/// Age up to which a delegate executes a command. It is shorter than the time after which another process may own the
/// fleet and give other commands.
pub const MAX_ORDER_AGE: Millis = Millis(1_000);

/// Bounds the age of commands on the clock of the delegate alone.
///
/// A command may wait for seconds in a full link, or in the socket of a delegate that was paused. Every frame of the
/// delegate carries its time, and every frame of the owner repeats the latest one that arrived: a command cannot be
/// older than that time.
#[derive(Clone, Copy, Debug)]
pub struct OrderAge {
    /// Time of the delegate that the owner's frame repeats.
    pub echoed: LocalTime,
}

impl OrderAge {
    /// Returns whether a command of the frame may still be executed at `now`.
    pub fn is_current(&self, now: LocalTime) -> bool {
        now.since(self.echoed) <= MAX_ORDER_AGE
    }
}
