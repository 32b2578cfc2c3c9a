//! Queens among each other, on simulated time.

mod core;
mod orders;
