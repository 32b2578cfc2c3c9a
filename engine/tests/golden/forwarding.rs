//! The lines that daemons add to a session which one passes on to another.

use lichenfield_engine::process::forwarding::{CLOSE_REQUEST_LINE, ForwardedSession, revision_line};

#[test]
fn control_lines_of_forwarded_sessions_are_unchanged() {
    assert_eq!(revision_line(70_017), "REV 70017\r\n");
    assert_eq!(CLOSE_REQUEST_LINE, "PART\r\n");
    let output = ForwardedSession::new(3).handle_carrier_bytes(b"REV 70018\r\nPART\r\nREADY I -\r\n");
    assert_eq!((output.served_revision, output.may_close), (Some(70_018), true));
    assert_eq!(output.to_client, b"READY I -\r\n", "only the client's line goes on");
}
