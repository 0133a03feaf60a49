//! Prints the policy tables and the benchmarks of the decision code.

fn main() -> anyhow::Result<()> {
    goldcreststall_measures::run(lexopt::Parser::from_env())
}
