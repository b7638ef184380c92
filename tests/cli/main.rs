//! Tests of the `cactuslatch` binary with files and loopback hosts.

mod check;
mod documents;
mod evacuate;
mod failover;
mod help;
mod host;
mod jobs;
mod operate;
mod send;
mod steps;
mod trace;
mod work;
