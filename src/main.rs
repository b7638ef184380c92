//! The `cactuslatch` command line.

fn main() {}
