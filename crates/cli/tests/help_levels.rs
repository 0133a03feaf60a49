//! Guards against a command without help, and against options that the parser cannot tell apart.

#[path = "../../operators/tests/fake/mod.rs"]
mod fake;
mod shell;

use {
    fake::FakeBackend,
    goldcreststall_cli::{COMMANDS, ExitStatus},
    shell::{FakeEntries, invocation, run_invocation, run_line},
};

async fn help(words: &str) -> String {
    let ended = run_invocation(invocation(words), &FakeEntries(Vec::new())).await;
    assert_eq!(
        (ended.status, ended.errors.as_str()),
        (ExitStatus::Done, ""),
        "{words}"
    );
    ended.output
}

/// Help needs neither settings nor operands, and each level names what comes next.
#[tokio::test]
async fn every_level() {
    let top = help("--help").await;
    for spec in COMMANDS {
        let words = spec.words();
        assert!(top.contains(&words) && top.contains(spec.about), "{words}");
        let group = help(&format!("{} -h", spec.group)).await;
        assert!(group.contains(&words), "{words}");
        let own = help(&format!("{words} --help")).await;
        assert!(own.starts_with(spec.about), "{own}");
        let operands = spec.operands.iter().map(|operand| operand.name.to_owned());
        let options = spec
            .options
            .iter()
            .map(|option| format!("--{}", option.name));
        for name in operands.chain(options) {
            assert!(own.contains(&name), "{words}: {name}");
        }
        assert!(own.contains("GOLDCRESTSTALL_ENTRY") && own.contains("Exit codes:"));
    }
    assert!(help("--version").await.starts_with("goldcreststall "));
}

/// The words are split before the command is known, so an option takes a value everywhere or nowhere.
#[test]
fn option_values() {
    let options: Vec<_> = COMMANDS.iter().flat_map(|spec| spec.options).collect();
    for option in &options {
        let same = options.iter().filter(|other| other.name == option.name);
        assert!(
            same.into_iter()
                .all(|other| other.value.is_some() == option.value.is_some())
        );
    }
}

/// Each required operand and option of each command is reported when it is left out, and only those.
#[tokio::test]
async fn required_values() {
    for spec in COMMANDS {
        let ended = run_line(&spec.words(), &FakeBackend::default()).await;
        let operands = spec.operands.iter().filter(|operand| operand.required);
        let options = spec.options.iter().filter(|option| option.required);
        let mut expected: Vec<String> = operands.map(|operand| operand.name.to_owned()).collect();
        expected.extend(options.map(|option| format!("--{}", option.name)));
        let lines = ended.error_lines();
        let fields = lines
            .iter()
            .filter_map(|line| line.split_once(": a value is missing;"));
        let mut fields: Vec<String> = fields.map(|(field, _)| field.to_owned()).collect();
        fields.sort();
        expected.sort();
        assert_eq!(fields, expected, "{}", spec.words());
        assert_eq!(lines.len(), expected.len(), "{lines:?}");
    }
}
