//! What lives for a process.

pub mod carry;
pub mod dance;
pub mod duties;
pub mod field;
pub mod nectar;
pub mod raft;
pub mod registry;
pub mod relay;
pub mod repair;
pub mod ring;
pub mod royal;
pub mod settings;
pub mod views;
