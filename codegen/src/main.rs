//! Generates the Rust code for `proto/cactuslatch.proto` into `src/rpc/generated.rs`.
//!
//! With `--check` it writes nothing and fails if the committed file is out of date.

use std::fs;
use std::path::Path;

use eyre::{Result, bail, eyre};

const PROTO: &str = "proto/cactuslatch.proto";
const GENERATED: &str = "src/rpc/generated.rs";

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .ok_or_else(|| eyre!("the generator has no parent folder"))?;
    let code = generate(root)?;
    let generated = root.join(GENERATED);
    if std::env::args().any(|arg| arg == "--check") {
        if fs::read_to_string(&generated)? != code {
            bail!("{GENERATED} differs from {PROTO}; run: cargo run -p cactuslatch-codegen");
        }
        return Ok(());
    }
    fs::write(generated, code)?;
    Ok(())
}

fn generate(root: &Path) -> Result<String> {
    let descriptors = protox::compile([root.join(PROTO)], [root])?;
    let out = tempfile::tempdir()?;
    tonic_prost_build::configure().out_dir(out.path()).bytes(".").compile_fds(descriptors)?;
    Ok(fs::read_to_string(out.path().join("cactuslatch.v1.rs"))?)
}
