use {
    crate::{buffer, moves, overload, rollout, slopes},
    lexopt::prelude::*,
};

/// A table and the name that selects it on the command line.
struct MeasureTable {
    name: &'static str,
    print: fn() -> anyhow::Result<()>,
}

/// All tables in print order.
const TABLES: [MeasureTable; 12] = [
    MeasureTable {
        name: "turns",
        print: overload::print_turns,
    },
    MeasureTable {
        name: "uneven",
        print: overload::print_uneven,
    },
    MeasureTable {
        name: "floods",
        print: overload::print_floods,
    },
    MeasureTable {
        name: "tenants",
        print: overload::print_organisations,
    },
    MeasureTable {
        name: "sizes",
        print: overload::print_sizes,
    },
    MeasureTable {
        name: "failing",
        print: overload::print_failing,
    },
    MeasureTable {
        name: "decisions",
        print: slopes::print_decisions,
    },
    MeasureTable {
        name: "updates",
        print: slopes::print_updates,
    },
    MeasureTable {
        name: "state",
        print: slopes::print_state,
    },
    MeasureTable {
        name: "rollout",
        print: || Ok(rollout::print_rollout(&mut std::io::stdout())?),
    },
    MeasureTable {
        name: "moves",
        print: || Ok(moves::print_moves(&mut std::io::stdout())?),
    },
    MeasureTable {
        name: "buffer",
        print: || Ok(buffer::print_buffer(&mut std::io::stdout())?),
    },
];

/// Prints the tables named on the command line, or all of them.
///
/// # Errors
/// An unknown table name or option, or an error while a table is computed or printed.
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
