//! What lives for a process.

pub mod consensus;
pub mod controller;
pub mod dissemination;
pub mod forwarding;
pub mod instance_registry;
pub mod leadership;
pub mod log_ring;
pub mod peer_message;
pub mod pooler;
pub mod quota;
pub mod settings;
