use {
    crate::{buffer, moves, overload, rollout, slopes},
    lexopt::prelude::*,
};

/// A table and the name under which it is asked for.
struct TableRow {
    name: &'static str,
    print: fn() -> anyhow::Result<()>,
}

/// All tables, in the order in which they are printed.
const TABLES: [TableRow; 12] = [
    TableRow {
        name: "turns",
        print: overload::print_turns,
    },
    TableRow {
        name: "uneven",
        print: overload::print_uneven,
    },
    TableRow {
        name: "floods",
        print: overload::print_floods,
    },
    TableRow {
        name: "tenants",
        print: overload::print_organisations,
    },
    TableRow {
        name: "sizes",
        print: overload::print_sizes,
    },
    TableRow {
        name: "failing",
        print: overload::print_failing,
    },
    TableRow {
        name: "decisions",
        print: slopes::print_decisions,
    },
    TableRow {
        name: "updates",
        print: slopes::print_updates,
    },
    TableRow {
        name: "state",
        print: slopes::print_state,
    },
    TableRow {
        name: "rollout",
        print: || Ok(rollout::print_rollout(&mut std::io::stdout())?),
    },
    TableRow {
        name: "moves",
        print: || Ok(moves::print_moves(&mut std::io::stdout())?),
    },
    TableRow {
        name: "buffer",
        print: || Ok(buffer::print_buffer(&mut std::io::stdout())?),
    },
];

/// Prints the tables named on the command line, or all of them.
///
/// # Errors
/// An unknown table or option.
pub fn run(mut parser: lexopt::Parser) -> anyhow::Result<()> {
    let mut names = Vec::new();
    while let Some(argument) = parser.next()? {
        match argument {
            Value(name) => names.push(name.string()?),
            _ => return Err(argument.unexpected().into()),
        }
    }
    let known: Vec<&str> = TABLES.iter().map(|table| table.name).collect();
    for name in &names {
        if !known.contains(&name.as_str()) {
            anyhow::bail!("unknown table \"{name}\"; allowed: {}", known.join(", "));
        }
    }
    for table in &TABLES {
        if names.is_empty() || names.iter().any(|name| name == table.name) {
            (table.print)()?;
        }
    }
    Ok(())
}
