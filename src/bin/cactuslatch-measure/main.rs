//! Measurements and long randomised runs.

fn main() {}
