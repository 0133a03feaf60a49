//! Guards against JSON that programs cannot parse and tables that people cannot read.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::{FakeBackend, id, job},
    goldcreststall_cli::ExitStatus,
    goldcreststall_core::ids::LogTime,
    serde_json::{Value, json},
    shell::run_line,
};

async fn json(line: &str) -> Value {
    let result = run_line(&format!("{line} --output json"), &FakeBackend::default()).await;
    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
    serde_json::from_str(&result.output).unwrap()
}

/// Every command prints JSON. Ids are strings, names of times carry their unit, and keywords are spelled as in the
/// arguments.
#[tokio::test]
async fn json_output() {
    assert_eq!(json("pool list").await[0]["spare_units"], -1);
    assert_eq!(json("pool list").await[0]["survive"], "rack");
    let version = json!({"incarnation": 3, "number": 17});
    assert_eq!(json("host list").await[0]["version"], version);
    assert_eq!(json("wave list").await[0]["id"], id(7).to_string());
    assert_eq!(json("job list").await["jobs"][0]["state"], "leased");
    let line = format!("job show {}", job().id);
    assert_eq!(
        json(&line).await["spec"]["deadline_ms"],
        1_800_000_060_000_u64
    );
    assert_eq!(
        json("audit config").await["rows"][0]["time_ms"],
        1_800_000_000_000_u64
    );
    assert_eq!(json("status").await["host_list_age_ms"], 800);
    assert_eq!(json("config show").await["version"], 0);
    let expected = json!({
        "mistakes": [],
        "offset": 0,
        "reason": null,
        "request": id(5).to_string(),
        "verdict": "accepted",
    });
    assert_eq!(json("wave start press --max-stopping 2").await, expected);
}

/// A table has one line for each row, with the values aligned below their titles.
#[tokio::test]
async fn human_tables() {
    let result = run_line("host list --pool press", &FakeBackend::default()).await;
    let expected = "\
HOST  POOL   DATA-CENTRE  RACK  CONDITION  MOVING-TO  EXCLUDED  VERSION  MAINTAINED
h1    press  dc1          r1    active     -          no        3.17     2027-01-15T08:00:00Z
h2    press  dc1          r1    moving     spare      no        3.17     2027-01-15T08:00:00Z
h3    press  dc1          r1    down       -          yes       3.17     -
";
    assert_eq!(result.output, expected);
    for line in [
        "pool list",
        "wave list",
        "job list",
        "audit host h1",
        "status",
    ] {
        let result = run_line(line, &FakeBackend::default()).await;
        assert!(
            result.output.lines().count() >= 2,
            "{line}: {}",
            result.output
        );
        assert!(
            result.output.lines().all(|line| line.len() < 200),
            "{}",
            result.output
        );
    }
}

/// A deadline may be any time, also one that a date of four-digit years cannot show; it must not end the program.
#[tokio::test]
async fn far_deadline() {
    let cases = [
        (253_402_300_799_999, "9999-12-31T23:59:59Z"),
        (253_402_300_800_000, "253402300800000ms"),
        (u64::MAX, "18446744073709551615ms"),
    ];
    let line = format!("job show {}", job().id);
    for (deadline, expected) in cases {
        let backend = FakeBackend::default();
        backend.fleet.lock().unwrap().job_deadline = Some(LogTime(deadline));
        for line in ["job list", &line] {
            let result = run_line(line, &backend).await;
            assert!(result.output.contains(expected), "{}", result.output);
        }
    }
}

/// A page that is not the last one ends with the option that requests the next.
#[tokio::test]
async fn next_page() {
    let result = run_line("job list", &FakeBackend::default()).await;
    let expected = format!("more rows follow: --after {}\n", job().id);
    assert!(result.output.ends_with(&expected), "{}", result.output);
}

/// A submitted job is sent with the values given; its deadline counts from the start of the run.
#[tokio::test]
async fn submitted_job() {
    let backend = FakeBackend::default();
    let line = "job submit --service proofs --tenant shop --pool press --cores 4 --memory-mib 2048 \
        --accelerators 1 --urgency overnight --deadline-s 60 --idempotent";
    assert_eq!(run_line(line, &backend).await.status, ExitStatus::Done);
    let change_request = backend.fleet.lock().unwrap().effects.pop().unwrap();
    let spec = fake::job_spec();
    let expected = goldcreststall_operators::OperatorChange::SubmitJob { spec };
    assert_eq!(change_request.change, expected);
}
