//! Why a settings file is refused.

use thiserror::Error;

/// Why a settings file is refused. The message names the key.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not TOML, or a value is missing or of the wrong type.
    #[error("{message}{}", location(*line))]
    Malformed {
        /// What is wrong.
        message: String,
        /// The line, counted from 1, where one is to blame.
        line: Option<usize>,
    },
    /// A value is out of its range.
    #[error("{}", one_line(.0))]
    Invalid(garde::Report),
}

impl SettingsError {
    /// The error of the TOML parser for this text.
    pub(super) fn malformed(text: &str, error: &toml::de::Error) -> Self {
        let before = error.span().and_then(|span| text.get(..span.start));
        let line = before.map(|before| before.matches('\n').count() + 1);
        SettingsError::Malformed { message: error.message().to_owned(), line }
    }
}

fn location(line: Option<usize>) -> String {
    line.map(|line| format!(" (line {line})")).unwrap_or_default()
}

/// A report on several lines, one for each value, as one line.
fn one_line(report: &garde::Report) -> String {
    report.to_string().trim().replace('\n', "; ")
}
