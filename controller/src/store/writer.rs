//! The thread that writes.

use super::disk::Disk;
use super::{RETRY_INTERVAL, Store, StoreError};
use lichenfield_engine::process::consensus::Write;
use std::sync::mpsc;

/// A write, and the number by which it is reported as durable.
pub struct NumberedWrite {
    /// Rises by one with each write.
    pub number: u64,
    /// The write.
    pub write: Write,
}

/// Where the thread reports the numbers of durable writes. A number stands for all lower ones too.
type ReportSender = smol::channel::Sender<Result<u64, StoreError>>;

impl<D: Disk + Send + 'static> Store<D> {
    /// Writes on a thread of its own; reports the number of each write once it is durable, or why the store can't be
    /// used any more, after which nothing more is written.
    pub fn spawn_writer(mut self, reports: ReportSender) -> mpsc::Sender<NumberedWrite> {
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            while let Some(batch) = Batch::receive(&receiver) {
                let result = self.write_until_durable(&batch.writes).map(|()| batch.last_number);
                let failed = result.is_err();
                if reports.send_blocking(result).is_err() || failed {
                    return;
                }
            }
        });
        sender
    }

    /// Makes writes durable, however long the disk refuses.
    fn write_until_durable(&mut self, writes: &[Write]) -> Result<(), StoreError> {
        let mut refused = false;
        while let Err(error) = self.write(writes) {
            let StoreError::Disk(error) = error else { return Err(error) };
            if !std::mem::replace(&mut refused, true) {
                tracing::error!("the store can't be written for now: {error}");
            }
            std::thread::sleep(RETRY_INTERVAL);
        }
        if refused {
            tracing::info!("the store takes writes again");
        }
        Ok(())
    }
}

/// The writes that one sync makes durable: all that wait.
struct Batch {
    writes: Vec<Write>,
    last_number: u64,
}

impl Batch {
    /// Waits for a write and takes those that wait behind it; none when the driver is gone.
    fn receive(receiver: &mpsc::Receiver<NumberedWrite>) -> Option<Self> {
        let NumberedWrite { number, write } = receiver.recv().ok()?;
        let mut batch = Batch { writes: vec![write], last_number: number };
        while let Ok(NumberedWrite { number, write }) = receiver.try_recv() {
            batch.writes.push(write);
            batch.last_number = number;
        }
        Some(batch)
    }
}
