//! The lines that daemons add to a session which one passes on to another.

use lichenfield_engine::process::forwarding::{CLOSE_REQUEST_LINE, ForwardedSession, revision_line};

#[test]
fn lines_of_carried_sessions_are_as_before() {
    assert_eq!(revision_line(70_017), "REV 70017\r\n");
    assert_eq!(CLOSE_REQUEST_LINE, "PART\r\n");
    let heard = ForwardedSession::new(3).carrier_said(b"REV 70018\r\nPART\r\nREADY I -\r\n");
    assert_eq!((heard.seen, heard.part), (Some(70_018), true));
    assert_eq!(heard.down, b"READY I -\r\n", "only the client's line goes on");
}
