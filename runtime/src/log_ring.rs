//! The log ring as a `tracing` layer: kept in memory, written out when something goes wrong.

use lichenfield_engine::process::log_ring::LogRing;
use std::fmt::Write as _;
use std::io::Write as _;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

struct Held {
    ring: Mutex<LogRing>,
    start: Instant,
}

static HELD: OnceLock<Held> = OnceLock::new();

struct Text(String);

impl Visit for Text {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        let _ = if field.name() == "message" {
            write!(self.0, "{value:?}")
        } else {
            write!(self.0, " {}={value:?}", field.name())
        };
    }
}

struct RingLayer;

impl<S: Subscriber> Layer<S> for RingLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let Some(held) = HELD.get() else { return };
        let mut text = Text(String::new());
        event.record(&mut text);
        let line = format!("{:9.3} {:5} {}", held.start.elapsed().as_secs_f64(), event.metadata().level(), text.0);
        if let Ok(mut ring) = held.ring.lock() {
            ring.push(line);
        }
        if *event.metadata().level() == Level::ERROR {
            dump();
        }
    }
}

/// Starts the ring; an error event, a panic or [`dump`] writes it out.
pub fn start() {
    if HELD.set(Held { ring: Mutex::default(), start: Instant::now() }).is_err() {
        return;
    }
    let _ = tracing::subscriber::set_global_default(tracing_subscriber::registry().with(RingLayer));
    let usual = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        dump();
        usual(info);
    }));
}

/// Writes the ring to standard error.
pub fn dump() {
    let Some(held) = HELD.get() else { return };
    let lines = held.ring.lock().map(|mut r| r.drain()).unwrap_or_default();
    let mut err = std::io::stderr().lock();
    for line in lines {
        let _ = writeln!(err, "{line}");
    }
}
