//! What the store asks of a disk, and a folder of a real one.

use std::fs::File;
use std::io::{self, Seek, SeekFrom};
use std::path::{Path, PathBuf};

/// The store's file. `queen.log` is the name since version 0.1, when the daemon was called so; it stays, because a
/// controller that does not find its file would start with a new identity and an empty log.
pub(super) const FILE_NAME: &str = "queen.log";
/// The file that is being written anew; what a crash leaves of it is overwritten.
pub(super) const TEMPORARY_FILE_NAME: &str = "queen.log.new";

/// What the store asks of a disk; tests put one of their own in its place.
pub trait Disk {
    /// Appends at the end; on an error a part may be there.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once everything appended is durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Cuts what lies beyond this many bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
    /// Puts a new file with these bytes in the old one's place, durably, its name too.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A folder that holds the store's file.
pub struct Directory {
    path: PathBuf,
    file: File,
}

impl Directory {
    /// Opens the file in this folder.
    pub(super) fn open(path: &Path) -> io::Result<Self> {
        Ok(Directory { path: path.to_owned(), file: Directory::open_file(path)? })
    }

    /// Makes the file durable, with its metadata.
    pub(super) fn sync_all(&self) -> io::Result<()> {
        self.file.sync_all()
    }

    /// Writes a new file in this folder, which takes its name only once it is whole and synced.
    pub(super) fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
        let temporary = path.join(TEMPORARY_FILE_NAME);
        let mut file = File::create(&temporary)?;
        io::Write::write_all(&mut file, bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, path.join(FILE_NAME))?;
        File::open(path)?.sync_all()
    }

    fn open_file(path: &Path) -> io::Result<File> {
        File::options().read(true).write(true).open(path.join(FILE_NAME))
    }
}

impl Disk for Directory {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.seek(SeekFrom::End(0))?;
        io::Write::write_all(&mut self.file, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        Directory::replace_file(&self.path, bytes)?;
        self.file = Directory::open_file(&self.path)?;
        Ok(())
    }
}
