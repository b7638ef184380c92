//! Tests of jobs with stand-ins.

mod calls;
mod faults;
mod loopback;
mod site;
