//! Guards against a job that loses its organisation on the way to the owner, to the store or to the next owner, against
//! calls and records without an organisation that change their bytes, and against callers that reach jobs of others.

mod fleet;

use {
    fleet::{TestFleet, empty_response, ended_run, job, route, step},
    goldcreststall_core::ids::Millis,
    goldcreststall_dispatch::{
        jobs::{JobId, JobPhase, JobSpec, StepSpec},
        owner::{CallResponse, JobCall},
        records::{JobSubmission, RecordError, StoreRecord},
        routes::{AdviceRule, FleetRules, RouteRule},
        runners::EndKind,
    },
    std::sync::Arc,
};

/// Bytes of version 921d115, which knew no organisations.
const CALL_BYTES: [&str; 4] = [
    "0007",
    "010670726f6f6673",
    "0207",
    "03070670726f6f66730e70726f6f66732e6578616d706c65082f70726f6f66732f057072657373b817d8040203000000000000f83f01840704746578740103d00f80040190030001000101026b310102723702010032000105060280a0f1c2b134",
];
const RECORD_BYTES: [(&str, &str); 2] = [
    ("a/0000000000000007", "010474657874"),
    (
        "j/0000000000000007",
        "020670726f6f66730e70726f6f66732e6578616d706c65082f70726f6f66732f057072657373b817d8040203000000000000f83f018407000103d00f80040190030001000101026b310102723702010032000105060280a0f1c2b134",
    ),
];

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A submission in which every field has a value of its own.
fn full_submission() -> JobSubmission {
    let queue = RouteRule {
        name: "proofs".to_owned(),
        host: "proofs.example".to_owned(),
        prefix: "/proofs/".to_owned(),
        service: "press".to_owned(),
        timeout: Millis(3_000),
        target_latency: Millis(600),
        priority: 2,
        attempts: 3,
        stretch: 1.5,
        advice: Some(AdviceRule { valid: Millis(900) }),
    };
    let step = StepSpec {
        count: 3,
        cpu: 2_000,
        mem_mb: 512,
        gpu: 1,
        estimate_ms: 400,
        after: Vec::new(),
        checkpointing: true,
        gang: false,
        same_rack: true,
        required_label: Some("k1".to_owned()),
        data_rack: Some("r7".to_owned()),
        anti_affinity: 2,
        speculative: true,
        long_running: false,
        target_ms: 50,
        fills: false,
        may_miss: 1,
    };
    JobSubmission {
        queue,
        job: JobSpec {
            spec: "text".to_owned(),
            steps: vec![step],
            start_at_ms: 5,
            interval_ms: 6,
            times: 2,
        },
        accepted_ms: 1_800_000_000_000,
        organisation: None,
    }
}

/// Guards against another encoding of what a deployment without organisations sends and stores.
#[test]
fn same_bytes() {
    let calls = [
        JobCall::Cancel(JobId(7)),
        JobCall::Pending("proofs".to_owned()),
        JobCall::State(JobId(7)),
        JobCall::Submit(JobId(7), Box::new(full_submission())),
    ];
    for (call, bytes) in calls.iter().zip(CALL_BYTES) {
        assert_eq!(hex(&postcard::to_stdvec(call).expect("bytes")), bytes);
    }
    let rows = StoreRecord::Submission(JobId(7), full_submission()).encode();
    let rows: Vec<_> = rows
        .iter()
        .map(|(key, value)| (&key[..], hex(value)))
        .collect();
    assert_eq!(
        rows,
        RECORD_BYTES.map(|(key, value)| (key, value.to_owned()))
    );
}

/// Guards against a record whose organisation is lost or mixed up with the fields before it, and a cut one that is read.
#[test]
fn organisation_record() {
    let submission = JobSubmission {
        organisation: Some("ferrandi".to_owned()),
        ..full_submission()
    };
    let rows = StoreRecord::Submission(JobId(7), submission.clone()).encode();
    let (key, value) = &rows[1];
    assert_eq!(value[0], 3);
    let mut stored = submission;
    stored.job.spec.clear();
    assert_eq!(
        StoreRecord::decode(key, value),
        Ok(StoreRecord::Submission(JobId(7), stored))
    );
    let cut = StoreRecord::decode(key, &value[..value.len() - 1]);
    assert_eq!(cut, Err(RecordError::Value(key.clone())));
}

fn submit_for(fleet: &mut TestFleet, id: u64, organisation: &str) -> Option<CallResponse> {
    let submission = JobSubmission {
        queue: route(),
        job: job(vec![step(1, 1_000)]),
        accepted_ms: 0,
        organisation: None,
    };
    let call = JobCall::SubmitFor(JobId(id), Box::new(submission), organisation.to_owned());
    // The organisation must survive the link between entry hosts.
    let bytes = postcard::to_stdvec(&call).expect("bytes");
    fleet.call(id, postcard::from_bytes(&bytes).expect("a call"))
}

/// Guards against a job that the next owner no longer knows to belong to its organisation.
#[test]
fn survives_owner_change() {
    let mut first = TestFleet::new(1, &["r1"]);
    submit_for(&mut first, 7, "ferrandi");
    let batches = first.store();
    assert_eq!(first.reply(7), Some(CallResponse::Accepted));
    let rows = batches.iter().flat_map(|batch| &batch.records);
    let records = rows.map(|(key, value)| StoreRecord::decode(key, value).expect("a record"));
    let mut next = TestFleet::restored(2, records.collect(), 0, &["r1"]);
    let cancel = |caller: &str| JobCall::CancelFor(JobId(7), Some(caller.to_owned()));
    assert_eq!(next.call(8, cancel("other")), Some(CallResponse::Gone));
    next.call(9, cancel("ferrandi"));
    next.store();
    assert_eq!(next.reply(9), Some(CallResponse::Accepted));
}

/// Guards against an accepted job that ends or waits for ever when its organisation disappears from the configuration.
#[test]
fn removed_organisation() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    fleet.answer_first_holds();
    submit_for(&mut fleet, 7, "ferrandi");
    fleet.store();
    let rules = FleetRules {
        version: 2,
        organisations: Some(Vec::new()),
        ..(*fleet::rules()).clone()
    };
    fleet.owner.set_rules(Arc::new(rules));
    fleet.advance(100);
    let starts = fleet.starts();
    assert_eq!(starts.len(), 1);
    fleet.accept_starts(&starts);
    fleet.advance(100);
    let mut response = empty_response(fleet.clock());
    response.ended.push(ended_run(1, &starts[0], EndKind::Done));
    fleet.answer_holds(|_| Some(response.clone()));
    fleet.store();
    let state = JobCall::StateFor(JobId(7), Some("other".to_owned()));
    let completed = CallResponse::State(JobPhase::Completed);
    assert_eq!(fleet.call(9, state), Some(completed));
}

/// Guards against callers without a key, or with one of another organisation, that see or cancel a job.
#[test]
fn foreign_callers() {
    let mut fleet = TestFleet::new(1, &["r1"]);
    submit_for(&mut fleet, 7, "ferrandi");
    fleet.submit(8, job(vec![step(1, 1_000)]));
    fleet.store();
    let gone = Some(CallResponse::Gone);
    let queued = Some(CallResponse::State(JobPhase::Queued));
    let (none, other) = (|| None, || Some("other".to_owned()));
    assert_eq!(fleet.call(20, JobCall::StateFor(JobId(7), none())), gone);
    assert_eq!(fleet.call(21, JobCall::StateFor(JobId(7), other())), queued);
    assert_eq!(fleet.call(22, JobCall::CancelFor(JobId(7), none())), gone);
    assert_eq!(fleet.call(23, JobCall::CancelFor(JobId(7), other())), gone);
    assert_eq!(fleet.call(24, JobCall::State(JobId(7))), queued);
    // A job without an organisation is open to all.
    assert_eq!(fleet.call(25, JobCall::StateFor(JobId(8), none())), queued);
    fleet.call(26, JobCall::CancelFor(JobId(8), other()));
    fleet.store();
    assert_eq!(fleet.reply(26), Some(CallResponse::Accepted));
}
