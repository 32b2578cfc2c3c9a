//! Failover of a primary: one leader at a time against scripted instances and a scripted platform.

mod deposed_primary;
mod promotion_order;
mod proposals;
mod world;
