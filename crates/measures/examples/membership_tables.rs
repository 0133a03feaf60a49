//! Prints the tables of roll-outs, host moves and buffers.

use {
    goldcreststall_measures::{buffer::print_buffer, moves::print_moves, rollout::print_rollout},
    std::io::{self, Write},
};

fn main() -> io::Result<()> {
    let mut output = io::stdout().lock();
    print_rollout(&mut output)?;
    writeln!(output)?;
    print_moves(&mut output)?;
    writeln!(output)?;
    print_buffer(&mut output)
}
