//! Receiving request bodies within a size limit for each and a memory budget for all.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of each body that do not count towards the budget, so that callers that send large bodies
/// slowly do not block small ones.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Memory budget for the bodies of all requests of one listener.
#[derive(Debug, Clone)]
pub(super) struct BodyBudget {
    available: Arc<Semaphore>,
    limit_bytes: usize,
}

/// A complete body, which holds its part of the budget until it is dropped.
#[derive(Debug)]
pub(super) struct Body {
    pub(super) bytes: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Why a body was not received.
#[derive(Debug)]
pub(super) enum BodyError {
    TooLarge,
    BudgetExhausted,
    Read(hyper::Error),
}

impl BodyBudget {
    /// Creates a budget of `all_bytes` for bodies of at most `limit_bytes` each.
    pub(super) fn new(all_bytes: usize, limit_bytes: usize) -> Self {
        Self { available: Arc::new(Semaphore::new(all_bytes)), limit_bytes }
    }

    /// Receives a body and takes its part of the budget as its bytes arrive.
    pub(super) async fn receive(&self, mut body: Incoming) -> Result<Body, BodyError> {
        let mut received = BytesMut::new();
        let mut permit = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyError::Read)?.into_data() else { continue };
            let length = received.len() + data.len();
            if length > self.limit_bytes {
                return Err(BodyError::TooLarge);
            }
            self.grow_permit(&mut permit, length)?;
            received.extend_from_slice(&data);
        }
        Ok(Body { bytes: received.freeze(), _permit: permit })
    }

    fn grow_permit(
        &self,
        permit: &mut Option<OwnedSemaphorePermit>,
        length: usize,
    ) -> Result<(), BodyError> {
        let held = permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let needed = length.saturating_sub(UNCOUNTED_BYTES).saturating_sub(held);
        let needed = u32::try_from(needed).map_err(|_| BodyError::TooLarge)?;
        if needed == 0 {
            return Ok(());
        }
        let more = Arc::clone(&self.available).try_acquire_many_owned(needed);
        let more = more.map_err(|_| BodyError::BudgetExhausted)?;
        match permit {
            Some(permit) => permit.merge(more),
            None => *permit = Some(more),
        }
        Ok(())
    }
}
