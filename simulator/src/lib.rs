//! Tests only: a simulated network, disk and clock, stand-ins for instances, platform, operator and
//! clients, and a runner for scenarios written as small text files.

pub mod instance;
pub mod judge;
pub mod scenario;
pub mod trace;
pub mod world;
