//! Tests of sessions with upstreams, of the causes of losses, of what lists prove, of the detection of hanging runs and of the pace of decisions.

mod hanging;
mod lag;
mod large_fleet;
mod losses;
mod passes;
mod recovery;
mod sessions;
mod submissions;
mod unlisted;
