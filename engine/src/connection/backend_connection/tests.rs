//! Session state replayed on a connection, and answers assembled from bytes.

use super::*;

#[test]
fn variables_are_replayed_only_where_they_differ() {
    let mut connection = BackendConnection::new(Instant::now(), "i", "s", "t");
    let variables = |pairs: &[(&str, &str)]| pairs.iter().map(|(a, b)| ((*a).to_owned(), (*b).to_owned())).collect();
    let shape = Shape { write: true, text: "q2c".into() };
    assert_eq!(connection.align(&variables(&[("a", "1")]), Some(&shape)), ["SET a 1", "PREPARE w1 WRITE q2c"]);
    assert!(connection.align(&variables(&[("a", "1")]), Some(&shape)).is_empty());
    assert_eq!(connection.align(&variables(&[("a", "2"), ("b", "3")]), None), ["SET a 2", "SET b 3"]);
    assert_eq!(connection.align(&variables(&[("b", "3")]), Some(&shape)), ["RESET", "SET b 3", "PREPARE w2 WRITE q2c"]);
}

#[test]
fn answers_are_returned_only_when_complete() {
    let mut connection = BackendConnection::new(Instant::now(), "i", "s", "t");
    connection.push(b"READY I 3.7\r\nROW x\r\nDONE");
    let greeting = connection.next_answer().expect("well formed").expect("complete");
    assert_eq!(
        (greeting.expected, greeting.answer.position),
        (ExpectedAnswer::Greeting, Some(Position { term: 3, number: 7 }))
    );
    connection.expect(ExpectedAnswer::Statement, Instant::now());
    assert_eq!(connection.next_answer().expect("well formed"), None);
    connection.push(b" 7.1\r\nREADY T 3.8\r\nROW unexpected\r\n");
    let received = connection.next_answer().expect("well formed").expect("complete");
    assert_eq!(received.answer.raw, "ROW x\r\nDONE 7.1\r\nREADY T 3.8\r\n");
    assert!(connection.next_answer().is_err(), "an answer to nothing");
}
