//! Generates the committed code. See `scripts/generate`.

use {goldcreststall_generate::run, lexopt::Parser, std::path::Path};

fn main() -> anyhow::Result<()> {
    run(Path::new("."), Parser::from_env())
}
