//! Lines assembled from bytes that arrive in arbitrary pieces.

use super::*;

#[test]
fn lines_survive_any_split() {
    let whole = b"CONNECT a b\r\nQUERY 1 READ x\r\n";
    for cut in 0..whole.len() {
        let mut lines = LineReader::default();
        let mut seen = Vec::new();
        for part in [&whole[..cut], &whole[cut..]] {
            lines.push(part);
            while let NextLine::Line(line) = lines.next_line() {
                seen.push(line);
            }
        }
        assert_eq!(seen, ["CONNECT a b", "QUERY 1 READ x"]);
    }
}

#[test]
fn too_long_and_malformed_lines_are_distinguished() {
    let mut lines = LineReader::default();
    lines.push(&vec![b'a'; MESSAGE_MAX + 2]);
    assert_eq!(lines.next_line(), NextLine::TooLong);
    let mut lines = LineReader::default();
    lines.push(b"\xff\xfe\r\n");
    assert_eq!(lines.next_line(), NextLine::Malformed);
    let mut lines = LineReader::default();
    lines.push(b"no carriage return\n");
    assert_eq!(lines.next_line(), NextLine::Malformed);
}
