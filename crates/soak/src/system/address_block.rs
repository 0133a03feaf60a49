use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Number of address blocks `127.x.0.0/16`; the process id selects the block, so that parallel processes use different
/// ones.
const BLOCK_COUNT: u32 = 200;
const FIRST_BLOCK: u32 = 20;
/// Number of consecutive seeds of one process that get different addresses, because sockets of the previous run may
/// still be open.
const SEEDS_PER_BLOCK: u64 = 80;
/// Number of `/24` subnets of a block that each run uses.
const SUBNETS_PER_RUN: u8 = 3;

const CALLERS_PORT: u16 = 7_400;
const READY_PORT: u16 = 7_401;
const LINK_PORT: u16 = 7_410;
const METRICS_PORT: u16 = 7_411;

/// The loopback addresses of one run. Every entry host has its own IP address and the same ports, as on the platform
/// in production.
#[derive(Clone, Copy, Debug)]
pub(super) struct AddressBlock {
    block: u8,
    first_subnet: u8,
}

impl AddressBlock {
    /// Returns the addresses of the run with the seed `seed` in this process.
    pub(super) fn for_run(seed: u64) -> Self {
        let block = FIRST_BLOCK + std::process::id() % BLOCK_COUNT;
        Self {
            block: block as u8,
            first_subnet: (seed % SEEDS_PER_BLOCK) as u8 * SUBNETS_PER_RUN,
        }
    }

    fn ip(self, subnet: u8, index: usize) -> IpAddr {
        let subnet = self.first_subnet + subnet;
        IpAddr::V4(Ipv4Addr::new(127, self.block, subnet, index as u8 + 1))
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

    /// Address of the relay through which other entry hosts reach the link address.
    pub(super) fn link_relay(self, entry: usize) -> SocketAddr {
        SocketAddr::new(self.ip(2, entry), LINK_PORT)
    }

    pub(super) fn internal_ports() -> [u16; 2] {
        [LINK_PORT, METRICS_PORT]
    }
}
