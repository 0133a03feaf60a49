//! Guards against a stand-in of the host list that lists a rebooting host too early.

use {
    goldcreststall_core::ids::{DataCentre, HostName, Incarnation, LogTime, Millis, RackName},
    goldcreststall_platform::hosts::{HostControl, HostList, HostRow, HostStatus, HttpHosts},
    goldcreststall_standins::{client::TestClient, hosts::HostsHandler, http::serve},
    http::{Method, StatusCode},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::net::TcpListener,
};

/// Timeout for a reboot; generous, because the machine may be busy.
const LIST_TIMEOUT: Duration = Duration::from_secs(60);
/// Time for which a rebooting host is missing from the list.
const REBOOT_DURATION: Millis = Millis(500);

fn host(number: usize) -> HostName {
    HostName::try_from(format!("h{number}")).unwrap()
}

/// A served host list.
struct ListFixture {
    address: SocketAddr,
    hosts: HttpHosts,
}

impl ListFixture {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, Arc::new(HostsHandler::new(Millis(0)))));
        let hosts = HttpHosts::new(address);
        Self { address, hosts }
    }

    async fn add(&self, number: usize) {
        let row = HostRow {
            accelerators: 0,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            connections: 64,
            cores: 32,
            data_centre: DataCentre::try_from("dc1").unwrap(),
            incarnation: Incarnation(1),
            memory_mib: 65_536,
            name: host(number),
            rack: RackName::try_from("r1").unwrap(),
            slots: 8,
            status: HostStatus::Live,
            worker: None,
        };
        let body = serde_json::to_vec(&row).unwrap();
        let client = TestClient::default();
        let response = client.call(Method::POST, self.address, "/hosts", body);
        assert_eq!(response.await.unwrap().0, StatusCode::OK);
    }

    async fn reboot(&self, number: usize) {
        let name = host(number);
        let reboot = self.hosts.reboot(&name, Incarnation(1));
        reboot.await.unwrap();
    }

    /// Returns the time of the list.
    async fn time(&self) -> LogTime {
        self.hosts.hosts().await.unwrap().observed
    }

    /// Waits until a host is listed again after its reboot and returns the time of that list.
    async fn listed_again(&self, number: usize) -> LogTime {
        let deadline = Instant::now() + LIST_TIMEOUT;
        loop {
            assert!(Instant::now() < deadline, "h{number} is not listed again");
            let listing = self.hosts.hosts().await.unwrap();
            let mut rows = listing.hosts.iter();
            if rows.any(|row| row.name == host(number) && row.incarnation == Incarnation(2)) {
                return listing.observed;
            }
        }
    }
}

/// A change of another host during a reboot must not end the reboot. The times are those of the platform, so a slow
/// machine cannot fail this test.
#[tokio::test]
async fn change_during_reboot() {
    let list = ListFixture::start().await;
    list.add(1).await;
    let start = list.time().await;
    list.reboot(1).await;
    list.add(2).await;
    assert!(list.listed_again(1).await >= start + REBOOT_DURATION);
    let listing = list.hosts.hosts().await.unwrap();
    assert_eq!(listing.hosts.len(), 2, "{listing:?}");
}

/// The reboot of a second host must not end that of the first one.
#[tokio::test]
async fn two_reboots() {
    let list = ListFixture::start().await;
    list.add(1).await;
    list.add(2).await;
    let start = list.time().await;
    list.reboot(1).await;
    list.reboot(2).await;
    for number in [1, 2] {
        assert!(list.listed_again(number).await >= start + REBOOT_DURATION);
    }
    let listing = list.hosts.hosts().await.unwrap();
    assert_eq!(listing.hosts.len(), 2, "{listing:?}");
}
