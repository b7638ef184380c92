//! Tests of the placement decisions.

mod admissions;
mod capacities;
mod departure;
mod evacuations;
mod loads;
mod openings;
mod places;
mod pool_view;
mod progress;
mod services;
mod suspects;
mod times;
