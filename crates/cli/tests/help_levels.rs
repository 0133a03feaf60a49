//! Guards against a command without help, and against options that the parser cannot tell apart.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::FakeBackend,
    goldcreststall_cli::{COMMANDS, ExitStatus},
    shell::{FakeEntries, invocation, run_invocation, run_line},
};

async fn help(line: &str) -> String {
    let result = run_invocation(invocation(line), &FakeEntries(Vec::new())).await;
    assert_eq!(
        (result.status, result.errors.as_str()),
        (ExitStatus::Done, ""),
        "{line}"
    );
    result.output
}

/// Help needs neither settings nor operands, and each level lists the next: commands, then operands and options.
#[tokio::test]
async fn every_level() {
    let top = help("--help").await;
    for spec in COMMANDS {
        let full_name = spec.full_name();
        assert!(
            top.contains(&full_name) && top.contains(spec.about),
            "{full_name}"
        );
        let group = help(&format!("{} -h", spec.group)).await;
        assert!(group.contains(&full_name), "{full_name}");
        let text = help(&format!("{full_name} --help")).await;
        assert!(text.starts_with(spec.about), "{text}");
        let operands = spec.operands.iter().map(|operand| operand.name.to_owned());
        let options = spec
            .options
            .iter()
            .map(|option| format!("--{}", option.name));
        for name in operands.chain(options) {
            assert!(text.contains(&name), "{full_name}: {name}");
        }
        assert!(text.contains("GOLDCRESTSTALL_ENTRY") && text.contains("Exit codes:"));
    }
    assert!(help("--version").await.starts_with("goldcreststall "));
}

/// Arguments are split before the command is known, so an option must take a value in all commands or in none.
#[test]
fn option_values() {
    let options: Vec<_> = COMMANDS.iter().flat_map(|spec| spec.options).collect();
    for option in &options {
        let same = options.iter().filter(|other| other.name == option.name);
        assert!(
            same.into_iter()
                .all(|other| other.value_name.is_some() == option.value_name.is_some())
        );
    }
}

/// For every command, exactly the required operands and options are reported when nothing is given.
#[tokio::test]
async fn required_values() {
    for spec in COMMANDS {
        let result = run_line(&spec.full_name(), &FakeBackend::default()).await;
        let operands = spec.operands.iter().filter(|operand| operand.required);
        let options = spec.options.iter().filter(|option| option.required);
        let mut expected: Vec<String> = operands.map(|operand| operand.name.to_owned()).collect();
        expected.extend(options.map(|option| format!("--{}", option.name)));
        let lines = result.error_lines();
        let fields = lines
            .iter()
            .filter_map(|line| line.split_once(": a value is missing;"));
        let mut fields: Vec<String> = fields.map(|(field, _)| field.to_owned()).collect();
        fields.sort();
        expected.sort();
        assert_eq!(fields, expected, "{}", spec.full_name());
        assert_eq!(lines.len(), expected.len(), "{lines:?}");
    }
}
