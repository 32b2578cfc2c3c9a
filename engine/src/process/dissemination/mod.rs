//! How updates reach every daemon: down a tree of daemons, whose members find each other by partial views and
//! mend differences by anti-entropy.

pub mod anti_entropy;
pub mod partial_view;
pub mod tree;
