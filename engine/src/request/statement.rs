//! The texts of the wire.

/// What a client's text asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    Begin { read: bool },
    Commit,
    Rollback,
    Read,
    Write,
    Set { name: String, value: String },
    Prepare { name: String, shape: Shape },
    Run { name: String, rest: String },
    Forget { name: String },
}

/// What a prepared name stands for; equal shapes share one name on an instance's connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shape {
    pub write: bool,
    pub text: String,
}

impl Shape {
    pub fn verb(&self) -> &'static str {
        if self.write { "WRITE" } else { "READ" }
    }
}

/// Splits the first blank-separated word off.
pub fn word(text: &str) -> (&str, &str) {
    match text.split_once(' ') {
        Some((head, tail)) => (head, tail),
        None => (text, ""),
    }
}

/// Reads a text; what cannot be read is `MALFORMED` to the client.
pub fn parse(text: &str) -> Option<Statement> {
    let (verb, rest) = word(text);
    Some(match verb {
        "BEGIN" => match rest {
            "" => Statement::Begin { read: false },
            "READ" => Statement::Begin { read: true },
            _ => return None,
        },
        "COMMIT" if rest.is_empty() => Statement::Commit,
        "ROLLBACK" if rest.is_empty() => Statement::Rollback,
        "READ" if !rest.is_empty() => Statement::Read,
        "WRITE" if !rest.is_empty() => Statement::Write,
        "SET" => {
            let (name, value) = word(rest);
            if name.is_empty() {
                return None;
            }
            Statement::Set { name: name.to_owned(), value: value.to_owned() }
        }
        "PREPARE" => {
            let (name, rest) = word(rest);
            let (kind, shape) = word(rest);
            let write = match kind {
                "READ" => false,
                "WRITE" => true,
                _ => return None,
            };
            if name.is_empty() || shape.is_empty() {
                return None;
            }
            Statement::Prepare { name: name.to_owned(), shape: Shape { write, text: shape.to_owned() } }
        }
        "RUN" => {
            let (name, rest) = word(rest);
            if name.is_empty() || rest.is_empty() {
                return None;
            }
            Statement::Run { name: name.to_owned(), rest: rest.to_owned() }
        }
        "FORGET" if !rest.is_empty() && !rest.contains(' ') => Statement::Forget { name: rest.to_owned() },
        _ => return None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn texts_are_read_as_the_wire_says() {
        assert_eq!(parse("BEGIN READ"), Some(Statement::Begin { read: true }));
        assert_eq!(parse("SET a b c"), Some(Statement::Set { name: "a".into(), value: "b c".into() }));
        assert_eq!(parse("RUN s1 1a4 xk qp"), Some(Statement::Run { name: "s1".into(), rest: "1a4 xk qp".into() }));
        for bad in ["", "BEGIN WRITE", "COMMIT now", "PREPARE s1 READ", "WAITFOR 3.1 READ x", "STATUS", "RESET"] {
            assert_eq!(parse(bad), None, "{bad}");
        }
    }
}
