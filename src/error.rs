//! Error type that names the failed step and the peer involved.

use std::error::Error;
use std::fmt;

/// An error with the step that failed and the peer involved.
#[derive(Debug)]
pub struct StepError {
    step: &'static str,
    peer: String,
    source: Box<dyn Error + Send + Sync>,
}

impl StepError {
    /// Wraps `source` with the step and the peer, which may be a file, an address or a name.
    pub fn new(
        step: &'static str,
        peer: impl fmt::Display,
        source: impl Into<Box<dyn Error + Send + Sync>>,
    ) -> Self {
        Self { step, peer: peer.to_string(), source: source.into() }
    }

    /// Returns the step that failed.
    #[must_use]
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Returns the peer involved.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

impl fmt::Display for StepError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({}): {}", self.step, self.peer, self.source)
    }
}

impl Error for StepError {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        Some(self.source.as_ref())
    }
}
