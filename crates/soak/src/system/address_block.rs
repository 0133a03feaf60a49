use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Blocks of loopback addresses that runs share out by the ids of their processes.
const BLOCKS: u32 = 200;
const FIRST_BLOCK: u32 = 20;
/// Runs of one process with different addresses: sockets of the run before may still be open.
const RUNS: u64 = 80;
/// Parts of a block that each run has.
const PARTS: u8 = 3;

const CALLERS_PORT: u16 = 7_400;
const READY_PORT: u16 = 7_401;
const LINK_PORT: u16 = 7_410;
const METRICS_PORT: u16 = 7_411;

/// The loopback addresses of one run. Every entry host has an IP number of its own and the same ports, as on the
/// users' platform.
#[derive(Clone, Copy, Debug)]
pub(super) struct AddressBlock {
    block: u8,
    first_part: u8,
}

impl AddressBlock {
    /// Returns the addresses of the run with a seed in this process.
    pub(super) fn of_run(seed: u64) -> Self {
        let block = FIRST_BLOCK + std::process::id() % BLOCKS;
        Self {
            block: block as u8,
            first_part: (seed % RUNS) as u8 * PARTS,
        }
    }

    fn ip(self, part: u8, number: usize) -> IpAddr {
        let part = self.first_part + part;
        IpAddr::V4(Ipv4Addr::new(127, self.block, part, number as u8 + 1))
    }

    pub(super) fn platform(self) -> IpAddr {
        self.ip(3, 0)
    }

    pub(super) fn entry(self, entry: usize) -> IpAddr {
        self.ip(1, entry)
    }

    pub(super) fn callers(self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.entry(entry), CALLERS_PORT)
    }

    pub(super) fn ready(self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.entry(entry), READY_PORT)
    }

    pub(super) fn link(self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.entry(entry), LINK_PORT)
    }

    /// Where other entry hosts connect: a relay to the link address.
    pub(super) fn link_relay(self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(2, entry), LINK_PORT)
    }

    pub(super) fn internal_ports() -> [u16; 2] {
        [LINK_PORT, METRICS_PORT]
    }
}
