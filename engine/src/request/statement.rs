//! Statement texts as clients send them in `QUERY` lines.

/// A parsed statement of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Begins a transaction.
    Begin {
        /// `BEGIN READ`: the transaction only reads.
        read: bool,
    },
    /// Commits the open transaction.
    Commit,
    /// Rolls the open transaction back.
    Rollback,
    /// Reads; the whole text goes to the instance.
    Read,
    /// Writes; the whole text goes to the instance.
    Write,
    /// Sets a session variable.
    Set {
        /// The variable.
        name: String,
        /// Its value.
        value: String,
    },
    /// Prepares a statement under a name of the session.
    Prepare {
        /// The session's name for it.
        name: String,
        /// What it executes.
        shape: Shape,
    },
    /// Executes a prepared statement.
    Run {
        /// The session's name for it.
        name: String,
        /// The arguments.
        rest: String,
    },
    /// Drops a prepared statement.
    Forget {
        /// The session's name for it.
        name: String,
    },
}

/// The body of a prepared statement. Sessions with equal shapes share one prepared statement on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shape {
    /// Whether it writes.
    pub write: bool,
    /// Its text.
    pub text: String,
}

impl Shape {
    /// The verb in `PREPARE` that tells whether it writes.
    pub fn verb(&self) -> &'static str {
        if self.write { "WRITE" } else { "READ" }
    }
}

/// Splits a text at its first space; the second part is empty where there is none.
pub fn split_word(text: &str) -> (&str, &str) {
    match text.split_once(' ') {
        Some((head, tail)) => (head, tail),
        None => (text, ""),
    }
}

/// Parses a statement's text; `None` is answered with `MALFORMED`.
pub fn parse(text: &str) -> Option<Statement> {
    let (verb, rest) = split_word(text);
    match verb {
        "BEGIN" => parse_begin(rest),
        "COMMIT" if rest.is_empty() => Some(Statement::Commit),
        "ROLLBACK" if rest.is_empty() => Some(Statement::Rollback),
        "READ" if !rest.is_empty() => Some(Statement::Read),
        "WRITE" if !rest.is_empty() => Some(Statement::Write),
        "SET" => parse_set(rest),
        "PREPARE" => parse_prepare(rest),
        "RUN" => parse_run(rest),
        "FORGET" if !rest.is_empty() && !rest.contains(' ') => Some(Statement::Forget { name: rest.to_owned() }),
        _ => None,
    }
}

fn parse_begin(rest: &str) -> Option<Statement> {
    match rest {
        "" => Some(Statement::Begin { read: false }),
        "READ" => Some(Statement::Begin { read: true }),
        _ => None,
    }
}

fn parse_set(rest: &str) -> Option<Statement> {
    let (name, value) = split_word(rest);
    if name.is_empty() {
        return None;
    }
    Some(Statement::Set { name: name.to_owned(), value: value.to_owned() })
}

fn parse_prepare(rest: &str) -> Option<Statement> {
    let (name, rest) = split_word(rest);
    let (verb, text) = split_word(rest);
    let write = match verb {
        "READ" => false,
        "WRITE" => true,
        _ => return None,
    };
    if name.is_empty() || text.is_empty() {
        return None;
    }
    Some(Statement::Prepare { name: name.to_owned(), shape: Shape { write, text: text.to_owned() } })
}

fn parse_run(rest: &str) -> Option<Statement> {
    let (name, rest) = split_word(rest);
    if name.is_empty() || rest.is_empty() {
        return None;
    }
    Some(Statement::Run { name: name.to_owned(), rest: rest.to_owned() })
}

#[cfg(test)]
mod tests;
