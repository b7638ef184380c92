//! Tests of the jobs task against stand-ins.

mod calls;
mod faults;
mod loopback;
mod site;
