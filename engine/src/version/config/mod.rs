//! The operator's configuration, from the document as it is sent to the tables that the data plane looks things up in.
//!
//! * [`document`]: the document's fields.
//! * [`validation`]: reading a document and refusing a bad one with a [`ConfigError`].
//! * [`configuration`]: the data plane's [`Configuration`].

pub mod configuration;
pub mod document;
pub mod validation;

pub use configuration::{AdmissionError, Configuration, Quota, Route, quotas};
pub use document::{Backend, Customer, Document, Limits, REVISION_MAX, ReadConsistency, RouteEntry};
pub use validation::{ConfigError, parse};
