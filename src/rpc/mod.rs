//! Messages between the system's own processes, generated from `proto/cactuslatch.proto`.

mod convert;
// The generator's output is not held to the project's format and lints.
#[rustfmt::skip]
#[allow(
    clippy::all,
    clippy::pedantic,
    clippy::clone_on_ref_ptr,
    clippy::empty_structs_with_brackets,
    clippy::allow_attributes_without_reason,
    missing_docs,
    missing_debug_implementations,
    reason = "generated code"
)]
mod generated;

pub use generated::*;
