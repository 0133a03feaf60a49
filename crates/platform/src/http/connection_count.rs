use {
    parking_lot::Mutex,
    std::{net::SocketAddr, sync::Arc},
};

/// Counts the open connections of a client by the address that they lead to.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCount {
    /// Sorted by address; only addresses with open connections.
    rows: Arc<Mutex<Vec<(SocketAddr, usize)>>>,
}

impl ConnectionCount {
    /// Returns the number of open connections to `address`.
    pub fn to(&self, address: SocketAddr) -> usize {
        let rows = self.rows.lock();
        let index = rows.binary_search_by_key(&address, |(other, _)| *other);
        index.map_or(0, |index| rows[index].1)
    }

    /// Returns the number of all open connections.
    pub fn total(&self) -> usize {
        self.rows.lock().iter().map(|(_, count)| count).sum()
    }

    /// Counts a connection until the returned value is dropped.
    pub(super) fn add(&self, address: SocketAddr) -> OpenConnection {
        let mut rows = self.rows.lock();
        match rows.binary_search_by_key(&address, |(other, _)| *other) {
            Ok(index) => rows[index].1 += 1,
            Err(index) => rows.insert(index, (address, 1)),
        }
        OpenConnection {
            count: self.clone(),
            address,
        }
    }

    fn remove(&self, address: SocketAddr) {
        let mut rows = self.rows.lock();
        if let Ok(index) = rows.binary_search_by_key(&address, |(other, _)| *other) {
            rows[index].1 -= 1;
            if rows[index].1 == 0 {
                rows.remove(index);
            }
        }
    }
}

/// An open connection that is counted.
#[derive(Debug)]
pub(super) struct OpenConnection {
    count: ConnectionCount,
    address: SocketAddr,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.remove(self.address);
    }
}
