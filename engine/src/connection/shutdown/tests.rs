//! The order of a shutdown.

use super::*;

const GRACE: Duration = Duration::from_secs(6);

fn shutdown() -> (Shutdown, impl Fn(u64) -> Instant) {
    let start = Instant::now();
    (Shutdown::new(start, GRACE), move |ms| start + Duration::from_millis(ms))
}

/// Guards against a process that ends while it accepts: a client that came in its last moment was cut off.
#[test]
fn a_process_that_ends_has_stopped_accepting_and_looked_again_for_clients() {
    let (mut shutdown, at) = shutdown();
    assert_eq!(shutdown.next_step(at(2000), 0), ShutdownStep::Drain(DrainPhase::Draining), "clients may still come");
    assert_eq!(shutdown.next_step(at(2650), 0), ShutdownStep::StopAccepting);
    assert_eq!(shutdown.next_step(at(2650), 1), ShutdownStep::Drain(DrainPhase::Draining), "one had come meanwhile");
    assert_eq!(shutdown.next_step(at(3500), 1), ShutdownStep::Drain(DrainPhase::RollingBack));
    assert_eq!(shutdown.next_step(at(3550), 0), ShutdownStep::End);
}

#[test]
fn with_clients_to_the_last_it_accepts_for_half_of_the_grace_period() {
    let (mut shutdown, at) = shutdown();
    assert_eq!(shutdown.next_step(at(2950), 9), ShutdownStep::Drain(DrainPhase::Draining));
    assert_eq!(shutdown.next_step(at(3050), 9), ShutdownStep::StopAccepting);
    assert_eq!(shutdown.next_step(at(3050), 9), ShutdownStep::Drain(DrainPhase::RollingBack));
    assert_eq!(shutdown.next_step(at(5150), 9), ShutdownStep::Drain(DrainPhase::Closing));
    assert_eq!(shutdown.next_step(at(5750), 9), ShutdownStep::End);
}

#[test]
fn a_process_that_was_frozen_beyond_its_grace_stops_accepting_all_the_same() {
    let (mut shutdown, at) = shutdown();
    assert_eq!(shutdown.next_step(at(9000), 9), ShutdownStep::StopAccepting);
    assert_eq!(shutdown.next_step(at(9000), 9), ShutdownStep::End);
}

#[test]
fn a_short_grace_shortens_the_wait_for_late_clients() {
    let start = Instant::now();
    let mut shutdown = Shutdown::new(start, Duration::from_secs(1));
    assert_eq!(shutdown.next_step(start + Duration::from_millis(550), 0), ShutdownStep::StopAccepting);
}
