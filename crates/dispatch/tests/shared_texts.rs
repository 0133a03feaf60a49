//! Guards against a copy of a job's text for each start command that waits to be sent.

mod fleet;

use {
    fleet::{TestFleet, step},
    std::sync::Arc,
};

/// Guards against start commands of one job with texts of their own.
#[test]
fn start_commands() {
    let (_, starts) = TestFleet::with_work(&["r1"], vec![step(3, 100)]);
    assert_eq!(starts.len(), 3);
    let first = &starts[0].spec;
    assert_eq!(&**first, "text");
    assert!(starts.iter().all(|start| Arc::ptr_eq(first, &start.spec)));
}
