//! Errors in a scenario's text.

/// What is wrong in a scenario file, and where.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("line {line}, column {column}: {message}")]
pub struct ScenarioError {
    /// Line number, from 1.
    pub line: usize,
    /// Column of the word at fault, in characters from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}
