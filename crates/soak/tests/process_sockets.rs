//! Guards against losses of power that pass on the end of a process: its connections must all be found.

use {
    goldcreststall_soak::system::local_addresses,
    std::net::{TcpListener, TcpStream},
};

#[test]
fn finds_open_connections() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let client = TcpStream::connect(address).expect("a connection");
    let connected = client.local_addr().expect("a connected address");
    let addresses = || local_addresses(std::process::id()).expect("the process runs");
    assert!(addresses().contains(&address));
    assert!(addresses().contains(&connected));
    drop(client);
    assert!(!addresses().contains(&connected));
}
