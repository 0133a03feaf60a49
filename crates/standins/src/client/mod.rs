//! A caller for tests and the demo.

mod test_client;

pub use test_client::{ClientAnswer, ClientRequest, TestClient, read_answer};
