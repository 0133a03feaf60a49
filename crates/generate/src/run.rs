use {
    super::CodegenUnit,
    anyhow::bail,
    lexopt::{Arg, Parser},
    std::path::Path,
};

/// Every schema of the workspace whose generated code is committed.
pub const CODEGEN_UNITS: &[CodegenUnit] = &[CodegenUnit {
    code_folder: "crates/operators/src/generated",
    schema: "crates/operators/proto/operators.proto",
}];

/// Generates the code of all schemas below `root`, or checks it when the arguments contain `--check`.
///
/// # Errors
/// When an argument is unknown, a schema is not valid, or committed code is stale.
pub fn run(root: &Path, mut arguments: Parser) -> anyhow::Result<()> {
    let mut check = false;
    while let Some(argument) = arguments.next()? {
        match argument {
            Arg::Long("check") => check = true,
            other => return Err(other.unexpected().into()),
        }
    }
    if check {
        return check_units(root);
    }
    CODEGEN_UNITS.iter().try_for_each(|unit| unit.write(root))
}

fn check_units(root: &Path) -> anyhow::Result<()> {
    let mut stale = Vec::new();
    for unit in CODEGEN_UNITS {
        stale.extend(unit.check(root)?);
    }
    if stale.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = stale.iter().map(ToString::to_string).collect();
    bail!("{}", lines.join("\n"))
}
