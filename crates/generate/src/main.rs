//! Generates the committed code of the schema files; started by `scripts/generate`.

use {goldcreststall_generate::run, lexopt::Parser, std::path::Path};

fn main() -> anyhow::Result<()> {
    run(Path::new("."), Parser::from_env())
}
