//! Guards against a configuration file that is sent before it was checked.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::FakeBackend,
    goldcreststall_cli::ExitStatus,
    goldcreststall_operators::OperatorChange,
    shell::{FakeEntries, invocation, run_invocation, run_line},
    std::fs,
};

/// The example configurations are valid, which is checked without an entry host.
#[tokio::test]
async fn examples() {
    for name in ["ferrandi", "qasr"] {
        let folder = env!("CARGO_MANIFEST_DIR");
        let line = format!("config validate {folder}/../../docs/examples/{name}.toml");
        let result = run_invocation(invocation(&line), &FakeEntries(Vec::new())).await;
        assert_eq!(result.status, ExitStatus::Done, "{}", result.errors);
        assert!(
            result.output.starts_with("valid: 7 pools, 5 services,"),
            "{}",
            result.output
        );
    }
}

/// All mistakes in a file are printed, one line each, and the file is not published.
#[tokio::test]
async fn bad_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("fleet.toml");
    fs::write(
        &path,
        "[[pools]]\nname = \"p\"\nmin_available = -1\nspare = 1\nfrob = 2\n",
    )
    .unwrap();
    let expected = [
        "pools[0].min_available: -1 is not accepted; allowed: a whole number from 0 to 100000",
        "pools[0].spare: 1 is not accepted; allowed: true, false",
        "pools[0].frob: 2 is not accepted; allowed: the fields min_available, name, reboot_limit_s, spare, survive",
    ];
    let backend = FakeBackend::default();
    for command in ["validate", "publish --base 0"] {
        let result = run_line(&format!("config {command} {}", path.display()), &backend).await;
        assert_eq!(result.error_lines(), expected);
        assert_eq!(
            (result.status, result.output.as_str()),
            (ExitStatus::Rejected, "")
        );
    }
    assert_eq!(backend.arrived(), 0);
}

/// The published document equals the file byte for byte.
#[tokio::test]
async fn published_file() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("fleet.toml");
    let text = "# Größe\n[[pools]]\nname = \"p\"\nmin_available = 1\n";
    fs::write(&path, text).unwrap();
    let backend = FakeBackend::default();
    let result = run_line(
        &format!("config publish {} --base 0", path.display()),
        &backend,
    )
    .await;
    assert_eq!(result.status, ExitStatus::Done, "{result:?}");
    let change_request = backend.fleet.lock().unwrap().effects.pop().unwrap();
    let OperatorChange::PublishConfig { base, document } = change_request.change else {
        panic!("{:?}", change_request.change);
    };
    assert_eq!((base.0, document.as_str()), (0, text));
    let shown = run_line("config show", &backend).await;
    assert_eq!(shown.output, format!("# version 1\n{text}"));
}
