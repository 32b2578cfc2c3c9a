//! Several controllers together, on simulated time.

mod configuration_changes;
mod control_plane;
mod quorum_contact;
mod status;
