//! Guards against mistakes in arguments and settings that are reported one at a time or ignored.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::FakeBackend,
    goldcreststall_cli::{ExitStatus, Variables},
    shell::{FakeEntries, invocation, run_invocation, run_line},
};

const NAME_RULE: &str = "1 to 63 of a-z, 0-9, '-' and '.', starting with a letter or digit";

/// Mistakes in commands, values, options and variables are reported together, and nothing is sent.
#[tokio::test]
async fn one_report() {
    let backend = FakeBackend::default();
    let mut invocation = invocation(
        "job submit extra --service A --cores 0 --pool --tenant x --urgency soon --frob=3 -x --cores 2 --state done",
    );
    invocation.variables = Variables {
        entry: Some("127.0.0.1,127.0.0.1:7000,host:1".to_owned()),
        operator: Some("-".to_owned()),
        output: Some("xml".to_owned()),
    };
    let result = run_invocation(invocation, &FakeEntries(vec![Some(backend.clone())])).await;
    let entry = "an IP address and port, for example 127.0.0.1:7000";
    let expected = [
        "option: \"--frob\" is not accepted; allowed: the options in --help".to_owned(),
        "option: \"-x\" is not accepted; allowed: the options in --help".to_owned(),
        "--cores: \"2\" is not accepted; allowed: one use of this option".to_owned(),
        "argument: \"extra\" is not accepted; allowed: the operands in `job submit --help`".to_owned(),
        "option: \"--state\" is not accepted; allowed: the options in `job submit --help`".to_owned(),
        format!("--service: \"A\" is not accepted; allowed: {NAME_RULE}"),
        format!("--pool: a value is missing; allowed: {NAME_RULE}"),
        "--cores: \"0\" is not accepted; allowed: a whole number from 1 to 4096".to_owned(),
        "--memory-mib: a value is missing; allowed: a whole number from 1 to 67108864".to_owned(),
        "--deadline-s: a value is missing; allowed: a whole number from 1 to 2592000".to_owned(),
        "--urgency: \"soon\" is not accepted; allowed: urgent, normal, overnight".to_owned(),
        format!("GOLDCRESTSTALL_ENTRY: \"127.0.0.1\" is not accepted; allowed: {entry}"),
        format!("GOLDCRESTSTALL_ENTRY: \"host:1\" is not accepted; allowed: {entry}"),
        "GOLDCRESTSTALL_OPERATOR: \"-\" is not accepted; allowed: 1 to 64 of a-z, A-Z, 0-9, '-', '.', '_' and '@', starting with a letter or digit".to_owned(),
        "GOLDCRESTSTALL_OUTPUT: \"xml\" is not accepted; allowed: table, json".to_owned(),
    ];
    assert_eq!(result.error_lines(), expected);
    assert_eq!(
        (result.status, result.output.as_str()),
        (ExitStatus::Mistakes, "")
    );
    assert_eq!(backend.arrived(), 0);
}

/// An unknown command is reported with the accepted ones.
#[tokio::test]
async fn unknown_command() {
    for (line, expected) in [
        (
            "host frob",
            "command host: \"frob\" is not accepted; allowed: list, add, remove, drain, undrain, move",
        ),
        (
            "hosts",
            "command: \"hosts\" is not accepted; allowed: config, pool, host, wave, job, worker, audit, status",
        ),
        (
            "wave",
            "command wave: a value is missing; allowed: list, start, pause, resume, cancel",
        ),
        (
            "host list --request-id 0192",
            "--request-id: \"0192\" is not accepted; allowed: a UUID of version 7",
        ),
    ] {
        let result = run_line(line, &FakeBackend::default()).await;
        assert_eq!(result.error_lines()[0], expected);
        assert_eq!(result.status, ExitStatus::Mistakes);
    }
}

/// An option takes precedence over its variable, and an empty variable counts as unset.
#[tokio::test]
async fn flag_first() {
    let mut invocation = invocation("pool list --entry 10.0.0.1:1 --output table");
    invocation.variables = Variables {
        entry: Some("nonsense".to_owned()),
        operator: Some(String::new()),
        output: Some("json".to_owned()),
    };
    let entries = FakeEntries(vec![Some(FakeBackend::default())]);
    let result = run_invocation(invocation, &entries).await;
    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
    assert!(result.output.starts_with("POOL"));
}
