//! Functions shared by the daemons' binaries: logging, signals and exit codes.

use std::process::ExitCode;

use tokio::signal::unix::{SignalKind, signal};
use tracing_subscriber::EnvFilter;

/// Writes structured log lines to standard error; `RUST_LOG` sets the level.
pub fn init_logging() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().json().with_env_filter(filter).with_writer(std::io::stderr).init();
}

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_termination() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        // Without a handler the default action of SIGTERM ends the process.
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// Writes an error to standard error and returns the exit code for failure.
pub fn failed(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
