//! Parsing of statement texts.

use super::*;

#[test]
fn statements_parse_and_malformed_texts_are_refused() {
    assert_eq!(parse("BEGIN READ"), Some(Statement::Begin { read: true }));
    assert_eq!(parse("SET a b c"), Some(Statement::Set { name: "a".into(), value: "b c".into() }));
    assert_eq!(parse("RUN s1 1a4 xk qp"), Some(Statement::Run { name: "s1".into(), rest: "1a4 xk qp".into() }));
    for bad in ["", "BEGIN WRITE", "COMMIT now", "PREPARE s1 READ", "WAITFOR 3.1 READ x", "STATUS", "RESET"] {
        assert_eq!(parse(bad), None, "{bad}");
    }
}
