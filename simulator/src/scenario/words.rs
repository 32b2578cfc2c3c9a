//! The words of a scenario's line, with their places.

use super::ScenarioError;
use std::str::FromStr;
use std::time::Duration;

/// A blank-separated word and where it stands.
#[derive(Debug, Clone, Copy)]
pub struct Word<'a> {
    /// The word.
    pub text: &'a str,
    line: usize,
    column: usize,
}

impl Word<'_> {
    /// An error at this word.
    pub fn error(&self, message: impl Into<String>) -> ScenarioError {
        ScenarioError { line: self.line, column: self.column, message: message.into() }
    }

    /// Parses the word as a value; `what` names it in the error.
    pub fn parse<T: FromStr>(&self, what: &str) -> Result<T, ScenarioError> {
        self.text.parse().map_err(|_| self.error(format!("{what} expected, found \"{}\"", self.text)))
    }
}

/// Reads a line word by word.
#[derive(Debug)]
pub struct Words<'a> {
    text: &'a str,
    line: usize,
    /// Byte offset of what was not read yet.
    offset: usize,
}

impl<'a> Words<'a> {
    /// Reads `text`, which is the line of number `line` without its line end.
    pub fn new(text: &'a str, line: usize) -> Self {
        Words { text, line, offset: 0 }
    }

    /// The next word, if there is one.
    pub fn next_word(&mut self) -> Option<Word<'a>> {
        let rest = &self.text[self.offset..];
        let start = self.offset + (rest.len() - rest.trim_start().len());
        let tail = &self.text[start..];
        let length = tail.find(char::is_whitespace).unwrap_or(tail.len());
        let word = Word { text: &tail[..length], line: self.line, column: self.column(start) };
        self.offset = start + length;
        (length > 0).then_some(word)
    }

    /// The next word, which must be there; `what` names it in the error.
    pub fn require(&mut self, what: &str) -> Result<Word<'a>, ScenarioError> {
        self.next_word().ok_or_else(|| ScenarioError {
            line: self.line,
            column: self.column(self.text.len()),
            message: format!("{what} expected at the end of the line"),
        })
    }

    /// The next word as a number.
    pub fn require_number<T: FromStr>(&mut self) -> Result<T, ScenarioError> {
        self.require("a number")?.parse("a number")
    }

    /// The next word as a time in seconds.
    pub fn require_seconds(&mut self) -> Result<Duration, ScenarioError> {
        let word = self.require("a time in seconds")?;
        let seconds = word.parse("a time in seconds")?;
        Duration::try_from_secs_f64(seconds).map_err(|error| word.error(error.to_string()))
    }

    /// The next word as a time in milliseconds.
    pub fn require_milliseconds(&mut self) -> Result<Duration, ScenarioError> {
        Ok(Duration::from_millis(self.require("a time in milliseconds")?.parse("a time in milliseconds")?))
    }

    /// There must be no further word.
    pub fn require_end(&mut self) -> Result<(), ScenarioError> {
        match self.next_word() {
            Some(word) => Err(word.error(format!("end of the line expected, found \"{}\"", word.text))),
            None => Ok(()),
        }
    }

    fn column(&self, offset: usize) -> usize {
        self.text[..offset].chars().count() + 1
    }
}
