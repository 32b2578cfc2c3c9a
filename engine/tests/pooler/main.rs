//! The pooler's state machine, driven from outside: its client, its instance and the leader are the test.

mod draining;
mod harness;
mod transactions;
