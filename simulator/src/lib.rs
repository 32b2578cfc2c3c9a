//! Test support: a simulated network, disk and clock, stand-ins for database instances, platform, operators and
//! clients, and a runner for scenarios written as small text files.

#![warn(missing_docs)]

pub mod database;
pub mod judge;
pub mod runner;
pub mod scenario;
pub mod soak;
pub mod trace;
pub mod world;
