//! Tests of the control process as a whole, over its RPCs.

mod work;

mod requests;
mod watch;
