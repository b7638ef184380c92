//! Receiving bodies within a limit for each and a limit for all together.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes of a body that do not count towards the limit for all bodies, so that callers who send
/// large bodies slowly do not keep out small ones.
const FREE_BYTES: usize = 16 * 1024;

/// Room for the bodies of all requests of one listener.
#[derive(Debug, Clone)]
pub(super) struct BodyRoom {
    free: Arc<Semaphore>,
    limit_bytes: usize,
}

/// A whole body, and its part of the room until it is dropped.
#[derive(Debug)]
pub(super) struct Body {
    pub(super) bytes: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

/// Why a body was not received.
#[derive(Debug)]
pub(super) enum BodyFault {
    TooLarge,
    NoRoom,
    Broken(hyper::Error),
}

impl BodyRoom {
    /// Makes room for `all_bytes` of large bodies, each of at most `limit_bytes`.
    pub(super) fn new(all_bytes: usize, limit_bytes: usize) -> Self {
        Self { free: Arc::new(Semaphore::new(all_bytes)), limit_bytes }
    }

    /// Receives a body; its room is taken as its bytes arrive.
    pub(super) async fn receive(&self, mut body: Incoming) -> Result<Body, BodyFault> {
        let mut received = BytesMut::new();
        let mut room = None;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyFault::Broken)?.into_data() else { continue };
            let length = received.len() + data.len();
            if length > self.limit_bytes {
                return Err(BodyFault::TooLarge);
            }
            self.extend(&mut room, length)?;
            received.extend_from_slice(&data);
        }
        Ok(Body { bytes: received.freeze(), _room: room })
    }

    fn extend(
        &self,
        room: &mut Option<OwnedSemaphorePermit>,
        length: usize,
    ) -> Result<(), BodyFault> {
        let held = room.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let needed = length.saturating_sub(FREE_BYTES).saturating_sub(held);
        let needed = u32::try_from(needed).map_err(|_| BodyFault::TooLarge)?;
        if needed == 0 {
            return Ok(());
        }
        let more = Arc::clone(&self.free).try_acquire_many_owned(needed);
        let more = more.map_err(|_| BodyFault::NoRoom)?;
        match room {
            Some(room) => room.merge(more),
            None => *room = Some(more),
        }
        Ok(())
    }
}
