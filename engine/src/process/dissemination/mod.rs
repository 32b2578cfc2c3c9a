//! How updates reach every daemon: a tree of relays, partial views that find its members, and anti-entropy.

pub mod anti_entropy;
pub mod partial_view;
pub mod tree;
