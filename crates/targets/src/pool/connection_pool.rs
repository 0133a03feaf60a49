use {
    crate::transport::{RequestBody, TargetEndpoint},
    hyper::client::conn::http1::SendRequest,
    parking_lot::Mutex,
    std::sync::Arc,
};

/// Sending half of an open connection on which no exchange is in progress.
pub(super) type IdleSender = SendRequest<RequestBody>;

/// Connections to one incarnation of a target.
#[derive(Debug)]
struct EndpointRow {
    endpoint: TargetEndpoint,
    idle: Vec<IdleSender>,
    open: u32,
}

/// Idle connections and the count of open ones, by endpoint.
#[derive(Clone, Debug, Default)]
pub(super) struct ConnectionPool {
    rows: Arc<Mutex<Vec<EndpointRow>>>,
}

/// Permits one open connection to an endpoint. Dropping the permit lowers the count of open connections.
#[derive(Debug)]
pub(super) struct ConnectionPermit {
    /// Whether the connection went back to the idle ones, which count it from then on.
    transferred: bool,
    endpoint: TargetEndpoint,
    pool: ConnectionPool,
}

impl ConnectionPool {
    /// Takes an idle connection that is still open, and removes closed ones on the way.
    pub(super) fn take_idle(
        &self,
        endpoint: &TargetEndpoint,
    ) -> Option<(IdleSender, ConnectionPermit)> {
        let mut rows = self.rows.lock();
        let index = search(&rows, endpoint).ok()?;
        let row = &mut rows[index];
        while let Some(sender) = row.idle.pop() {
            if sender.is_ready() {
                return Some((sender, self.permit(endpoint)));
            }
            row.open = row.open.saturating_sub(1);
        }
        None
    }

    /// Reserves a new connection; `None` when this entry host already has as many open as the endpoint allows.
    pub(super) fn reserve(&self, endpoint: &TargetEndpoint) -> Option<ConnectionPermit> {
        let mut rows = self.rows.lock();
        let index = search(&rows, endpoint).unwrap_or_else(|index| {
            // The row of an earlier incarnation is not used: its process is gone, and so are its connections.
            rows.insert(index, EndpointRow::new(endpoint.clone()));
            index
        });
        let row = &mut rows[index];
        if row.open >= endpoint.connections {
            return None;
        }
        row.open += 1;
        Some(self.permit(endpoint))
    }

    /// Returns a connection whose exchange is complete to the pool.
    pub(super) fn return_idle(&self, sender: IdleSender, mut permit: ConnectionPermit) {
        // The lock guard is declared after `permit`, so it is dropped first: the drop of `permit` takes the same
        // lock.
        let mut rows = self.rows.lock();
        if let Ok(index) = search(&rows, &permit.endpoint) {
            rows[index].idle.push(sender);
            // The connection stays open and stays counted.
            permit.transferred = true;
        }
    }

    /// Closes the idle connections to endpoints for which `keep` is false.
    pub(super) fn retain(&self, keep: &dyn Fn(&TargetEndpoint) -> bool) {
        let mut rows = self.rows.lock();
        for row in rows.iter_mut().filter(|row| !keep(&row.endpoint)) {
            row.open = row.open.saturating_sub(row.idle.len() as u32);
            row.idle.clear();
        }
        rows.retain(|row| row.open > 0 || keep(&row.endpoint));
    }

    fn permit(&self, endpoint: &TargetEndpoint) -> ConnectionPermit {
        ConnectionPermit {
            transferred: false,
            endpoint: endpoint.clone(),
            pool: self.clone(),
        }
    }
}

impl EndpointRow {
    fn new(endpoint: TargetEndpoint) -> Self {
        Self {
            endpoint,
            idle: Vec::new(),
            open: 0,
        }
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        if self.transferred {
            return;
        }
        let mut rows = self.pool.rows.lock();
        if let Ok(index) = search(&rows, &self.endpoint) {
            let row = &mut rows[index];
            row.open = row.open.saturating_sub(1);
        }
    }
}

fn search(rows: &[EndpointRow], endpoint: &TargetEndpoint) -> Result<usize, usize> {
    rows.binary_search_by(|row| {
        let key = (
            &row.endpoint.host,
            row.endpoint.incarnation,
            row.endpoint.address,
        );
        key.cmp(&(&endpoint.host, endpoint.incarnation, endpoint.address))
    })
}
