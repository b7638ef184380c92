//! Tests of the placement decisions.

mod admissions;
mod capacities;
mod departure;
mod evacuations;
mod fair_order;
mod loads;
mod openings;
mod places;
mod pool_view;
mod preferences;
mod progress;
mod services;
mod stop_costs;
mod suspects;
mod times;
