//! Protocol between the processes of the system, generated from `proto/cactuslatch.proto`.

mod convert;
// Generated code is exempt from the project's format and lints.
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
