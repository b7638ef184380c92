//! Tests of the placement decisions.

mod loads;
mod places;
mod pool_view;
mod services;
mod times;
