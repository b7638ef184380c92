//! Tests of the decisions, each with the load that it answers.

mod loads;
mod places;
mod pool_view;
mod services;
mod times;
