//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static RECORD: OnceLock<(Instant, Mutex<File>)> = OnceLock::new();

/// Opens the record.
pub fn open(path: &Path) -> std::io::Result<()> {
    let file = File::create(path)?;
    let _ = RECORD.set((Instant::now(), Mutex::new(file)));
    Ok(())
}

/// Writes a line, with the milliseconds since the start.
pub fn line(text: &str) {
    let Some((start, file)) = RECORD.get() else { return };
    if let Ok(mut file) = file.lock() {
        let _ = writeln!(file, "{:9.1} {text}", start.elapsed().as_secs_f64() * 1000.0);
    }
}

#[macro_export]
macro_rules! note {
    ($($argument:tt)*) => { $crate::record::line(&format!($($argument)*)) };
}
