//! Queens among each other, on simulated time.

mod contact;
mod core;
mod orders;
