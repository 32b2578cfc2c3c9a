//! The log: `tracing` events go into a bounded ring in memory, and to standard error when something goes wrong. An
//! error event, a panic, SIGUSR1 (through [`dump`]) and a failed start write the ring out.

use lichenfield_engine::process::log_ring::LogRing;
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

/// The process's log. A panic may come on any thread, hence the mutex.
struct ProcessLog {
    ring: Mutex<LogRing>,
    started_at: Instant,
}

static PROCESS_LOG: OnceLock<ProcessLog> = OnceLock::new();

/// An event as text: its message, then its fields as ` name=value`.
struct EventText(String);

impl Visit for EventText {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        // Writing to a `String` does not fail.
        let _ = if field.name() == "message" {
            write!(self.0, "{value:?}")
        } else {
            write!(self.0, " {}={value:?}", field.name())
        };
    }
}

/// Puts each event into the ring, with the seconds since the start and its level.
struct RingLayer;

impl<S: Subscriber> Layer<S> for RingLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let Some(log) = PROCESS_LOG.get() else { return };
        let mut text = EventText(String::new());
        event.record(&mut text);
        let level = event.metadata().level();
        let line = format!("{:9.3} {level:5} {}", log.started_at.elapsed().as_secs_f64(), text.0);
        if let Ok(mut ring) = log.ring.lock() {
            ring.push(line);
        }
        if *level == Level::ERROR {
            dump();
        }
    }
}

/// Starts the log: from now on events are kept, and a panic writes them out. A second call does nothing.
pub fn start() {
    if PROCESS_LOG.set(ProcessLog { ring: Mutex::default(), started_at: Instant::now() }).is_err() {
        return;
    }
    // Fails only where a subscriber is set already, which then stays.
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(RingLayer));
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        dump();
        default_hook(info);
    }));
}

/// Writes the ring to standard error and empties it.
pub fn dump() {
    let Some(log) = PROCESS_LOG.get() else { return };
    let lines = log.ring.lock().map(|mut ring| ring.drain()).unwrap_or_default();
    let mut stderr = std::io::stderr().lock();
    for line in lines {
        let _ = writeln!(stderr, "{line}");
    }
}
