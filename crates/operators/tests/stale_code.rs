//! Guards against generated code in the repository that does not match its schema.

use {
    goldcreststall_generate::{CODEGEN_UNITS, CodegenUnit, StaleFile},
    std::{fs, path::Path},
    tempfile::TempDir,
};

const UNIT: CodegenUnit = CodegenUnit {
    code_folder: "code",
    schema: "proto/a.proto",
};
const SCHEMA: &str = "syntax = \"proto3\";\npackage a.v1;\nmessage Row { string name = 1; }\n";

fn workspace() -> TempDir {
    let root = tempfile::tempdir().unwrap();
    fs::create_dir(root.path().join("proto")).unwrap();
    fs::write(root.path().join(UNIT.schema), SCHEMA).unwrap();
    UNIT.write(root.path()).unwrap();
    root
}

/// The committed code equals the code that is generated from the schemas.
#[test]
fn committed_code() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for unit in CODEGEN_UNITS {
        assert_eq!(unit.check(&root).unwrap(), []);
    }
}

/// A changed schema, an edited file, a missing file and a leftover file are each detected.
#[test]
fn stale_files() {
    let root = workspace();
    let code = root.path().join("code/a.v1.rs");
    let stale = |path| vec![StaleFile { path }];
    assert_eq!(UNIT.check(root.path()).unwrap(), []);

    let changed = SCHEMA.replace("name", "title");
    fs::write(root.path().join(UNIT.schema), changed).unwrap();
    assert_eq!(UNIT.check(root.path()).unwrap(), stale(code.clone()));

    UNIT.write(root.path()).unwrap();
    assert_eq!(UNIT.check(root.path()).unwrap(), []);
    fs::write(&code, "// edited").unwrap();
    assert_eq!(UNIT.check(root.path()).unwrap(), stale(code.clone()));

    fs::remove_file(&code).unwrap();
    assert_eq!(UNIT.check(root.path()).unwrap(), stale(code));

    UNIT.write(root.path()).unwrap();
    let leftover = root.path().join("code/b.v1.rs");
    fs::write(&leftover, "").unwrap();
    assert_eq!(UNIT.check(root.path()).unwrap(), stale(leftover));
}

/// An invalid schema yields an error and no code.
#[test]
fn broken_schema() {
    let root = workspace();
    fs::write(root.path().join(UNIT.schema), "message {").unwrap();
    assert!(UNIT.check(root.path()).is_err());
    assert!(UNIT.write(root.path()).is_err());
}
