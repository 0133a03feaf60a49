use std::{
    fs, io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Column of the local address in a row of `/proc/PID/net/tcp`.
const ADDRESS_COLUMN: usize = 1;
/// Column of the inode in a row of `/proc/PID/net/tcp`.
const INODE_COLUMN: usize = 9;
const HEX_RADIX: u32 = 16;

/// Returns whether a process is stopped by a signal or has ended.
pub(super) fn is_stopped(process: u32) -> bool {
    let stat = fs::read_to_string(format!("/proc/{process}/stat"));
    // The state follows the name of the program, which is in parentheses and may contain some.
    let state = stat.ok().and_then(|stat| {
        let (_, rest) = stat.rsplit_once(')')?;
        rest.trim_start().chars().next()
    });
    state.is_none_or(|state| matches!(state, 'T' | 'Z'))
}

/// Returns the local addresses of the IPv4 TCP sockets of a process.
///
/// # Errors
/// If the process has ended.
pub fn local_addresses(process: u32) -> io::Result<Vec<SocketAddr>> {
    let inodes = socket_inodes(process)?;
    let table = fs::read_to_string(format!("/proc/{process}/net/tcp"))?;
    let rows = table.lines().skip(1).filter_map(|row| {
        let columns: Vec<&str> = row.split_whitespace().collect();
        let inode = columns.get(INODE_COLUMN)?.parse().ok()?;
        let address = parse_address(columns.get(ADDRESS_COLUMN)?)?;
        inodes.binary_search(&inode).is_ok().then_some(address)
    });
    Ok(rows.collect())
}

/// Returns the inodes of the sockets of a process, sorted.
fn socket_inodes(process: u32) -> io::Result<Vec<u64>> {
    let mut inodes = Vec::new();
    for descriptor in fs::read_dir(format!("/proc/{process}/fd"))? {
        // A descriptor may be closed while the folder is read.
        let target = fs::read_link(descriptor?.path()).unwrap_or_default();
        let target = target.to_string_lossy();
        let inode = target
            .strip_prefix("socket:[")
            .and_then(|rest| rest.strip_suffix(']'));
        inodes.extend(inode.and_then(|inode| inode.parse::<u64>().ok()));
    }
    inodes.sort_unstable();
    Ok(inodes)
}

/// Parses an address of the kernel's table, for example `0100007F:1F90`; the kernel writes the four bytes of the IP address
/// as one number in its own byte order.
fn parse_address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, HEX_RADIX).ok()?.to_ne_bytes();
    let port = u16::from_str_radix(port, HEX_RADIX).ok()?;
    Some(SocketAddr::new(IpAddr::V4(Ipv4Addr::from(ip)), port))
}
