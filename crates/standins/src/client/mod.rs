//! HTTP client that acts as a caller, for tests and the demo.

mod test_client;

pub use test_client::{ClientRequest, ClientResponse, TestClient, read_response};
