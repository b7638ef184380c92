//! A stand-in that runs tasks of jobs of steps, on orders of the replicated control.

mod board;
mod server;
#[cfg(test)]
mod tests;

pub use server::{RunningTaskStandin, TaskStandinSettings, start};
