use goldcreststall_core::ids::Millis;

/// Memory of a process whose settings name none.
const DEFAULT_MEMORY_MB: u32 = 256;
/// Descriptors of a process whose settings name none.
const DEFAULT_MAX_FDS: u32 = 4_096;
/// Descriptors that are kept for files.
const FILE_FDS: u32 = 200;
const BYTES_PER_MB: usize = 1024 * 1024;
/// Memory that a connection can hold besides a body: the read buffer, the headers that were taken from it, which keep
/// another buffer of that size, the write buffer and the state of the HTTP library.
const CONNECTION_BYTES: usize = 64 * 1024;
/// One in this many: the fractions of the memory for all request bodies and for connections. The rest is for the work of
/// the process.
const BODY_MEMORY_DIVISOR: usize = 8;
const CONNECTION_MEMORY_DIVISOR: usize = 4;
/// Smallest budget for bodies: four of the largest size.
const MIN_BODY_BYTES: usize = 1024 * 1024;
const MIN_CONNECTIONS: usize = 8;

/// Limits on what all callers together can make the process hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeLimits {
    /// Most bytes of all request bodies that are being read or handled.
    pub body_bytes: usize,
    /// Longest time from the headers to the end of a body.
    pub body_timeout: Millis,
    /// Most open connections.
    pub connections: usize,
    /// Longest time from the first byte of a request to the end of its headers.
    pub header_timeout: Millis,
    /// Longest time without a request, and longest time in which a caller takes no bytes of an answer.
    pub idle_timeout: Millis,
    /// Most open connections that have sent no complete request, or are sending one.
    pub incomplete: usize,
    /// Longest time without a byte of a body.
    pub stall_timeout: Millis,
}

impl IntakeLimits {
    /// Derives the limits from the memory and the descriptors of the process; `None` means the default of 256 MB and
    /// 4,096 descriptors. Half of the descriptors that are not for files serve callers.
    pub fn derive(memory_mb: Option<u32>, max_fds: Option<u32>) -> Self {
        let memory = memory_mb.unwrap_or(DEFAULT_MEMORY_MB) as usize * BYTES_PER_MB;
        let fds = max_fds.unwrap_or(DEFAULT_MAX_FDS);
        let by_fds = fds.saturating_sub(FILE_FDS) as usize / 2;
        let by_memory = memory / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let connections = by_fds.min(by_memory).max(MIN_CONNECTIONS);
        Self {
            body_bytes: (memory / BODY_MEMORY_DIVISOR).max(MIN_BODY_BYTES),
            body_timeout: Millis(30_000),
            connections,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
            // The rest is for connections whose requests are handled, and for those that wait for their next request.
            incomplete: connections / 4 * 3,
            stall_timeout: Millis(5_000),
        }
    }
}
