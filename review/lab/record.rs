//! What was sent, answered and run, with the time since the start of the script.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

static LINES: Mutex<Vec<(f64, String)>> = Mutex::new(Vec::new());
static START: Mutex<Option<Instant>> = Mutex::new(None);

/// Seconds since the first call.
pub fn seconds() -> f64 {
    START.lock().unwrap().get_or_insert_with(Instant::now).elapsed().as_secs_f64()
}

/// Adds a line to the record.
pub fn note(line: String) {
    let at = seconds();
    LINES.lock().unwrap().push((at, line));
}

/// Adds a line to the record and prints it.
pub fn say(line: String) {
    println!("{:8.3} {line}", seconds());
    note(line);
}

/// Writes the record, in order of time.
pub fn write(path: &str) {
    let mut lines = LINES.lock().unwrap().clone();
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut file = std::io::BufWriter::new(std::fs::File::create(path).expect("the record can be created"));
    for (at, line) in lines {
        writeln!(file, "{at:8.3} {line}").expect("the record can be written");
    }
}
