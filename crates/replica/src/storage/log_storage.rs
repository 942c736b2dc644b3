//! Reads and writes the data folder of one replica.

use {
    super::{
        StorageError,
        codec::{
            BatchRecord, ChangeRecord, IdentityRecord, LogChange, RestartRecord, SegmentRecord,
            SnapshotRecord, push_changes,
        },
        disk::DiskAccess,
        record::{self, RecordKind},
        replay::{ReplayedLog, SegmentEnd, SegmentFile, file_number, numbered_path},
        room::DiskRoom,
    },
    banyansill_core::consensus::{
        HardState, ReplicaIdentity, RestoredLog, SnapshotImage, StorageWrite,
    },
    prost::Message,
    std::path::{Path, PathBuf},
};

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const IDENTITY_FILE: &str = "identity";
const LOCK_FILE: &str = "lock";
const TEMPORARY_SUFFIX: &str = ".tmp";

/// File number of the identity file, which is part of its record's checksum.
const IDENTITY_FILE_NUMBER: u64 = 0;

/// Limits of the storage.
#[derive(Clone, Copy, Debug)]
pub struct StorageSettings {
    /// Size in bytes from which on a new segment is started.
    pub segment_bytes: usize,
}

impl Default for StorageSettings {
    fn default() -> Self {
        Self { segment_bytes: 1024 * 1024 }
    }
}

/// State restored from a data folder.
#[derive(Clone, Debug)]
pub struct RestoredReplica {
    /// Identity of the data folder.
    pub identity: ReplicaIdentity,
    /// State of the log.
    pub log: RestoredLog,
    /// Number of bytes removed because their write was incomplete.
    pub torn_bytes: u64,
}

/// Storage of a replica in an open data folder.
#[derive(Debug)]
pub struct LogStorage<D>
where
    D: DiskAccess,
{
    disk: D,
    folder: PathBuf,
    settings: StorageSettings,
    /// Lock file, kept open so that no other process opens the folder.
    _lock: D::File,
    segments: Vec<SegmentFile>,
    /// Last segment.
    file: D::File,
    /// Length of the last segment in bytes.
    length: usize,
    hard_state: HardState,
    /// Index and term of the last entry.
    last: (u64, u64),
    snapshot_index: u64,
    /// Whether an operation has failed, after which every other fails too.
    failed: bool,
    room: DiskRoom,
}

impl<D> LogStorage<D>
where
    D: DiskAccess,
{
    /// Opens a data folder, or creates it with the given identity if it is missing or empty.
    ///
    /// # Errors
    ///
    /// Returns an error if a file operation fails, another process uses the folder, or a file is corrupt in
    /// a way that an incomplete write does not explain.
    pub fn open(
        folder: &Path,
        disk: D,
        settings: StorageSettings,
        fresh_identity: ReplicaIdentity,
    ) -> Result<(Self, RestoredReplica), StorageError> {
        disk.create_folder(folder).map_err(StorageError::io("create", folder))?;
        let lock_path = folder.join(LOCK_FILE);
        let lock = disk.lock(&lock_path).map_err(StorageError::io("lock", &lock_path))?;
        let Some(lock) = lock else {
            return Err(StorageError::Locked { path: folder.to_owned() });
        };
        let mut names = disk.list(folder).map_err(StorageError::io("list", folder))?;
        names.sort_unstable();
        for name in &names {
            if name.ends_with(TEMPORARY_SUFFIX) {
                let path = folder.join(name);
                disk.remove(&path).map_err(StorageError::io("remove", &path))?;
            }
        }
        let identity = read_identity(&disk, folder, &names, fresh_identity)?;
        let snapshot = read_snapshot(&disk, folder, &names)?;
        let mut log = ReplayedLog::default();
        let mut segments = Vec::new();
        let mut torn_bytes = 0;
        let numbers: Vec<u64> =
            names.iter().filter_map(|name| file_number(name, SEGMENT_PREFIX)).collect();
        let mut length = 0;
        for (position, number) in numbers.iter().enumerate() {
            let path = numbered_path(folder, SEGMENT_PREFIX, *number);
            let bytes = disk.read(&path).map_err(StorageError::io("read", &path))?;
            let mut segment = SegmentFile { number: *number, path: path.clone(), last_index: 0 };
            let last = position + 1 == numbers.len();
            match log.read_segment(&mut segment, &bytes, last)? {
                SegmentEnd::Intact { length: 0 } | SegmentEnd::Torn { offset: 0 } => {
                    // The process crashed while it created this segment.
                    torn_bytes += bytes.len() as u64;
                    disk.remove(&path).map_err(StorageError::io("remove", &path))?;
                    continue;
                }
                SegmentEnd::Intact { length: file_length } => length = file_length,
                SegmentEnd::Torn { offset } => {
                    torn_bytes += (bytes.len() - offset) as u64;
                    disk.truncate(&path, offset as u64)
                        .map_err(StorageError::io("truncate", &path))?;
                    length = offset;
                }
            }
            segments.push(segment);
        }
        let restart = log.term_at(snapshot.index) != Some(snapshot.term);
        if restart {
            if log.base_index > snapshot.index {
                let reason = format!(
                    "the log starts after index {} and no snapshot includes that index",
                    log.base_index
                );
                let path = segments.first().map_or_else(|| folder.to_owned(), |s| s.path.clone());
                return Err(StorageError::Corrupt { path, offset: 0, reason });
            }
            // The process crashed between saving a received snapshot and restarting the log after it.
            log.restart(snapshot.index, snapshot.term);
        }
        let (number, path) = match segments.last() {
            Some(segment) => (segment.number, segment.path.clone()),
            None => (1, numbered_path(folder, SEGMENT_PREFIX, 1)),
        };
        let file = disk.open(&path).map_err(StorageError::io("open", &path))?;
        let mut storage = Self {
            disk,
            folder: folder.to_owned(),
            settings,
            _lock: lock,
            file,
            length,
            hard_state: log.hard_state,
            last: (log.last_index(), log.last_term()),
            snapshot_index: snapshot.index,
            failed: false,
            // A start does not wait for room: the process that could be asked to stop does not run yet.
            room: DiskRoom::default(),
            segments,
        };
        storage.room.abandon();
        if storage.segments.is_empty() {
            storage.start_segment(number, path)?;
        } else if restart {
            let restart = RestartRecord { index: snapshot.index, term: snapshot.term };
            let change = ChangeRecord { change: Some(LogChange::Restart(restart)) };
            storage.append_batch(vec![change])?;
        }
        storage.room = DiskRoom::default();
        let restored = RestoredReplica {
            identity,
            log: RestoredLog {
                hard_state: log.hard_state,
                snapshot,
                base: (log.base_index, log.base_term),
                entries: log.entries,
            },
            torn_bytes,
        };
        Ok((storage, restored))
    }

    /// Returns the handle that tells whether the disk is full.
    #[must_use]
    pub fn room(&self) -> DiskRoom {
        self.room.clone()
    }

    /// Carries out writes and makes them durable.
    ///
    /// All changes to the log share one sync unless a snapshot is installed. While the disk is full, the call waits
    /// for room; nothing is acknowledged meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if an operation fails; every later call then fails too, because the content of the
    /// disk is undefined from then on.
    pub fn write(&mut self, writes: &[StorageWrite]) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| storage.write_all(writes))
    }

    /// Saves a snapshot of the applied state and removes the previous one.
    ///
    /// # Errors
    ///
    /// Returns an error under the same conditions as [`LogStorage::write`].
    pub fn save_snapshot(&mut self, image: &SnapshotImage) -> Result<(), StorageError> {
        self.run_unless_failed(|storage| storage.replace_snapshot(image))
    }

    /// Returns the total size of the log's segment files in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read.
    pub fn log_bytes(&self) -> Result<u64, StorageError> {
        let mut total = 0;
        for segment in &self.segments {
            let path = &segment.path;
            let bytes = self.disk.read(path).map_err(StorageError::io("read", path))?;
            total += bytes.len() as u64;
        }
        Ok(total)
    }

    /// Runs an operation, or returns an error if an earlier one has failed.
    fn run_unless_failed<F>(&mut self, operation: F) -> Result<(), StorageError>
    where
        F: FnOnce(&mut Self) -> Result<(), StorageError>,
    {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let result = operation(self);
        self.failed = result.is_err();
        result
    }

    fn write_all(&mut self, writes: &[StorageWrite]) -> Result<(), StorageError> {
        let mut changes = Vec::new();
        for write in writes {
            if let StorageWrite::Install(image) = write {
                // The snapshot must be durable before the log that it replaces is discarded.
                self.append_batch(std::mem::take(&mut changes))?;
                self.replace_snapshot(image)?;
            }
            self.track_write(write);
            push_changes(&mut changes, write);
        }
        self.append_batch(changes)?;
        for write in writes {
            if let StorageWrite::Compact { through } = write {
                self.remove_segments(*through)?;
            }
        }
        Ok(())
    }

    /// Tracks the last entry and the hard state, which the header of the next segment contains.
    fn track_write(&mut self, write: &StorageWrite) {
        match write {
            StorageWrite::HardState(state) => self.hard_state = *state,
            StorageWrite::Append(entries) => {
                if let Some(entry) = entries.last() {
                    self.last = (entry.index, entry.term);
                    if let Some(segment) = self.segments.last_mut() {
                        segment.last_index = segment.last_index.max(entry.index);
                    }
                }
            }
            // The term of the last remaining entry is not known here. It is set to 0, so that no segment
            // is started until the entries that follow the truncation are written.
            StorageWrite::Truncate { from } => self.last = (from - 1, 0),
            StorageWrite::Install(image) => self.last = (image.index, image.term),
            StorageWrite::Compact { .. } => {}
        }
    }

    fn append_batch(&mut self, changes: Vec<ChangeRecord>) -> Result<(), StorageError> {
        if changes.is_empty() {
            return Ok(());
        }
        let Some(segment) = self.segments.last() else { return Err(StorageError::Failed) };
        let payload = BatchRecord { changes }.encode_to_vec();
        let bytes = record::encode(segment.number, self.length, RecordKind::Batch, &payload);
        let path = segment.path.clone();
        let Self { disk, file, room, length, .. } = self;
        let discard = || truncate(disk, &path, *length);
        wait_while_full(disk, room, || write_synced(disk, file, &path, &bytes), discard)?;
        self.length += bytes.len();
        if self.length >= self.settings.segment_bytes && self.last.1 > 0 {
            let number = segment.number + 1;
            let path = numbered_path(&self.folder, SEGMENT_PREFIX, number);
            let create = || self.disk.open(&path).map_err(StorageError::io("create", &path));
            self.file = wait_while_full(&self.disk, &self.room, create, || Ok(()))?;
            self.start_segment(number, path)?;
        }
        Ok(())
    }

    fn start_segment(&mut self, number: u64, path: PathBuf) -> Result<(), StorageError> {
        let header = SegmentRecord {
            hard_state: Some(self.hard_state.into()),
            last_index: self.last.0,
            last_term: self.last.1,
        };
        let payload = header.encode_to_vec();
        let bytes = record::encode(number, 0, RecordKind::Segment, &payload);
        let Self { disk, file, room, .. } = self;
        let discard = || truncate(disk, &path, 0);
        wait_while_full(disk, room, || write_synced(disk, file, &path, &bytes), discard)?;
        self.disk.sync_folder(&self.folder).map_err(StorageError::io("sync", &self.folder))?;
        self.length = bytes.len();
        self.segments.push(SegmentFile { number, path, last_index: self.last.0 });
        Ok(())
    }

    fn replace_snapshot(&mut self, image: &SnapshotImage) -> Result<(), StorageError> {
        if image.index <= self.snapshot_index {
            return Ok(());
        }
        let payload = SnapshotRecord::from(image).encode_to_vec();
        let bytes = record::encode(image.index, 0, RecordKind::Snapshot, &payload);
        let path = numbered_path(&self.folder, SNAPSHOT_PREFIX, image.index);
        let Self { disk, folder, room, .. } = self;
        let temporary = temporary_path(&path);
        let discard = || truncate(disk, &temporary, 0);
        wait_while_full(disk, room, || replace_file(disk, folder, &path, &bytes), discard)?;
        if self.snapshot_index > 0 {
            let old = numbered_path(&self.folder, SNAPSHOT_PREFIX, self.snapshot_index);
            self.disk.remove(&old).map_err(StorageError::io("remove", &old))?;
        }
        self.snapshot_index = image.index;
        Ok(())
    }

    /// Removes the oldest segments that contain only entries up to an index.
    fn remove_segments(&mut self, through: u64) -> Result<(), StorageError> {
        while self.segments.len() > 1 && self.segments[0].last_index <= through {
            let path = self.segments.remove(0).path;
            self.disk.remove(&path).map_err(StorageError::io("remove", &path))?;
            // Without this sync, a crash could bring back an older segment but not its successor.
            self.disk.sync_folder(&self.folder).map_err(StorageError::io("sync", &self.folder))?;
        }
        Ok(())
    }
}

fn read_identity<D>(
    disk: &D,
    folder: &Path,
    names: &[String],
    fresh_identity: ReplicaIdentity,
) -> Result<ReplicaIdentity, StorageError>
where
    D: DiskAccess,
{
    let path = folder.join(IDENTITY_FILE);
    let corrupt = |reason: &str| StorageError::Corrupt {
        path: path.clone(),
        offset: 0,
        reason: reason.to_owned(),
    };
    if names.iter().any(|name| name == IDENTITY_FILE) {
        let bytes = disk.read(&path).map_err(StorageError::io("read", &path))?;
        let decoded = record::decode(IDENTITY_FILE_NUMBER, &bytes, 0)
            .filter(|decoded| decoded.kind == RecordKind::Identity)
            .ok_or_else(|| corrupt("not an identity record"))?;
        let identity =
            IdentityRecord::decode(decoded.payload).map_err(|error| corrupt(&error.to_string()))?;
        return Ok(ReplicaIdentity(identity.identity));
    }
    let is_log_file = |name: &String| {
        file_number(name, SEGMENT_PREFIX).or_else(|| file_number(name, SNAPSHOT_PREFIX)).is_some()
    };
    if names.iter().any(is_log_file) {
        return Err(corrupt("the folder contains a log but no identity file"));
    }
    let payload = IdentityRecord { identity: fresh_identity.0 }.encode_to_vec();
    let bytes = record::encode(IDENTITY_FILE_NUMBER, 0, RecordKind::Identity, &payload);
    replace_file(disk, folder, &path, &bytes)?;
    if let Some(parent) = folder.parent().filter(|parent| !parent.as_os_str().is_empty()) {
        disk.sync_folder(parent).map_err(StorageError::io("sync", parent))?;
    }
    Ok(fresh_identity)
}

fn read_snapshot<D>(
    disk: &D,
    folder: &Path,
    names: &[String],
) -> Result<SnapshotImage, StorageError>
where
    D: DiskAccess,
{
    let mut numbers: Vec<u64> =
        names.iter().filter_map(|name| file_number(name, SNAPSHOT_PREFIX)).collect();
    let Some(latest) = numbers.pop() else { return Ok(SnapshotImage::default()) };
    let path = numbered_path(folder, SNAPSHOT_PREFIX, latest);
    let bytes = disk.read(&path).map_err(StorageError::io("read", &path))?;
    let record = record::decode(latest, &bytes, 0)
        .filter(|decoded| decoded.kind == RecordKind::Snapshot)
        .and_then(|decoded| SnapshotRecord::decode(decoded.payload).ok())
        .ok_or_else(|| StorageError::Corrupt {
            path: path.clone(),
            offset: 0,
            reason: "not an intact snapshot".to_owned(),
        })?;
    for number in numbers {
        let path = numbered_path(folder, SNAPSHOT_PREFIX, number);
        disk.remove(&path).map_err(StorageError::io("remove", &path))?;
    }
    Ok(record.into())
}

fn temporary_path(path: &Path) -> PathBuf {
    path.with_extension(&TEMPORARY_SUFFIX[1..])
}

fn truncate<D>(disk: &D, path: &Path, length: usize) -> Result<(), StorageError>
where
    D: DiskAccess,
{
    match disk.truncate(path, length as u64) {
        // The file could not even be created.
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(()),
        result => result.map_err(StorageError::io("truncate", path)),
    }
}

/// Repeats an operation until it fails for another reason than a full disk; `discard` removes what a failed attempt
/// left behind.
///
/// A replica whose disk is full is slow for its peers and acknowledges nothing, as with a disk that stalls. Everything
/// durable stays as it is, so it goes on when there is room again.
fn wait_while_full<D, T, Operation, Discard>(
    disk: &D,
    room: &DiskRoom,
    mut operation: Operation,
    discard: Discard,
) -> Result<T, StorageError>
where
    D: DiskAccess,
    Operation: FnMut() -> Result<T, StorageError>,
    Discard: Fn() -> Result<(), StorageError>,
{
    let mut discarded = true;
    loop {
        let attempt = if discarded { operation().map(Some) } else { discard().map(|()| None) };
        let error = match attempt {
            Ok(Some(done)) => {
                room.set_full(false);
                return Ok(done);
            }
            Ok(None) => {
                discarded = true;
                continue;
            }
            Err(error) => error,
        };
        if !error.is_full() || room.is_abandoned() {
            return Err(error);
        }
        discarded = false;
        room.set_full(true);
        disk.wait_for_room();
    }
}

/// Replaces a file atomically: after a crash it has either the old content or the new one.
fn replace_file<D>(disk: &D, folder: &Path, path: &Path, bytes: &[u8]) -> Result<(), StorageError>
where
    D: DiskAccess,
{
    let temporary = temporary_path(path);
    let mut file = disk.open(&temporary).map_err(StorageError::io("create", &temporary))?;
    write_synced(disk, &mut file, &temporary, bytes)?;
    disk.rename(&temporary, path).map_err(StorageError::io("rename", &temporary))?;
    disk.sync_folder(folder).map_err(StorageError::io("sync", folder))
}

fn write_synced<D>(
    disk: &D,
    file: &mut D::File,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError>
where
    D: DiskAccess,
{
    let mut rest = bytes;
    while !rest.is_empty() {
        let count = disk.write(file, rest).map_err(StorageError::io("write", path))?;
        if count == 0 {
            let error = std::io::Error::from(std::io::ErrorKind::WriteZero);
            return Err(StorageError::io("write", path)(error));
        }
        rest = &rest[count..];
    }
    disk.sync(file).map_err(StorageError::io("sync", path))
}
