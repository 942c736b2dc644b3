//! File operations of the storage, behind a trait so that tests can make them fail.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Write},
    path::Path,
    thread,
    time::Duration,
};

/// Interval at which a write is tried again while the disk is full.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// File operations that the storage needs.
pub trait DiskAccess: Send + 'static {
    /// Open file.
    type File: Send + 'static;

    /// Creates a folder and its parents.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn create_folder(&self, path: &Path) -> io::Result<()>;

    /// Returns the names of the files in a folder.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Opens a file and locks it against other processes; returns `None` if it is already locked.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn lock(&self, path: &Path) -> io::Result<Option<Self::File>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Opens a file for appending and creates it if it is missing.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Appends to a file and returns the number of bytes written, which may be fewer than given.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn write(&self, file: &mut Self::File, bytes: &[u8]) -> io::Result<usize>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn sync(&self, file: &mut Self::File) -> io::Result<()>;

    /// Truncates a file to a length and makes the change durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn truncate(&self, path: &Path, length: u64) -> io::Result<()>;

    /// Renames a file, replacing the target.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes the creation, renaming and removal of files in a folder durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;

    /// Waits before an operation is tried again that failed because the disk is full.
    fn wait_for_room(&self) {
        thread::sleep(ROOM_CHECK_INTERVAL);
    }
}

/// File operations of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDisk;

impl DiskAccess for SystemDisk {
    type File = File;

    fn create_folder(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn lock(&self, path: &Path) -> io::Result<Option<File>> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn open(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().create(true).append(true).open(path)
    }

    fn write(&self, file: &mut File, bytes: &[u8]) -> io::Result<usize> {
        file.write(bytes)
    }

    fn sync(&self, file: &mut File) -> io::Result<()> {
        file.sync_data()
    }

    fn truncate(&self, path: &Path, length: u64) -> io::Result<()> {
        let file = OpenOptions::new().write(true).open(path)?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}
