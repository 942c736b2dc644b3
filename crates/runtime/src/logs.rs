//! Logging by `flexi_logger`.

use {
    crate::{events::EventSink, json_log::JsonWriter},
    banyansill_core::event::EventNumber,
    flexi_logger::{FileSpec, FlexiLoggerError, LogSpecification, Logger, LoggerHandle},
    miette::Diagnostic,
    std::{
        path::Path,
        str::FromStr,
        sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    },
    thiserror::Error,
};

/// Longest specification of levels, in bytes.
const LEVELS_LIMIT: usize = 1_024;

/// Names of the levels.
const LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Logger of the process; `log` has one logger for all threads.
static RUNNING: Mutex<RunningLogger> =
    Mutex::new(RunningLogger { handle: Weak::new(), levels: String::new() });

struct RunningLogger {
    handle: Weak<LoggerHandle>,
    levels: String,
}

/// Logging that cannot be started or changed.
#[derive(Debug, Error, Diagnostic)]
pub enum LogError {
    /// The logger refused.
    #[error("logging: {0}")]
    #[diagnostic(code(banyansill::logs))]
    Logger(#[from] FlexiLoggerError),
    /// The levels are not valid.
    #[error("log levels: {0}")]
    #[diagnostic(code(banyansill::logs))]
    Levels(String),
    /// The process has no logger of its own.
    #[error("this process has no logger whose levels can change")]
    #[diagnostic(code(banyansill::logs))]
    NotRunning,
}

/// Valid specification of log levels, such as `info` or `info,event=warn`.
///
/// The logger reads a word that is no level as the name of a module and logs nothing else; a mistyped
/// level would so silence the process, and is refused here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLevels(String);

impl LogLevels {
    /// Returns the text of the specification.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<LogLevels> for String {
    fn from(levels: LogLevels) -> Self {
        levels.0
    }
}

impl FromStr for LogLevels {
    type Err = LogError;

    fn from_str(text: &str) -> Result<Self, LogError> {
        if text.len() > LEVELS_LIMIT {
            return Err(LogError::Levels(format!("longer than {LEVELS_LIMIT} bytes")));
        }
        let mut defaults = 0;
        for part in text.split(',') {
            let level = match part.split_once('=') {
                Some((module, level)) => {
                    check_module(module.trim())?;
                    level.trim()
                }
                None => {
                    defaults += 1;
                    part.trim()
                }
            };
            if !LEVELS.contains(&level) {
                let message = format!("{level:?} is not one of {}", LEVELS.join(", "));
                return Err(LogError::Levels(message));
            }
        }
        if defaults > 1 {
            return Err(LogError::Levels("more than one level without a module".to_owned()));
        }
        Ok(Self(text.to_owned()))
    }
}

fn check_module(module: &str) -> Result<(), LogError> {
    let valid = |letter: char| letter.is_ascii_alphanumeric() || "_:-".contains(letter);
    if !module.is_empty() && module.chars().all(valid) {
        return Ok(());
    }
    Err(LogError::Levels(format!("{module:?} is not the name of a module")))
}

/// Running logger; dropping it flushes and stops logging.
#[must_use]
pub struct LogHandle {
    handle: Arc<LoggerHandle>,
}

impl Drop for LogHandle {
    fn drop(&mut self) {
        self.handle.shutdown();
    }
}

impl LogHandle {
    /// Starts logging to standard error, or to files in `directory`.
    ///
    /// `levels` is a specification such as `info` or `info,event=warn`.
    ///
    /// # Errors
    ///
    /// Returns an error if `levels` is malformed, the directory is not writable or another logger runs.
    pub fn open(levels: &str, directory: Option<&Path>) -> Result<Self, LogError> {
        let levels: LogLevels = levels.parse()?;
        let logger = Logger::try_with_str(levels.as_str())?.format(flexi_logger::detailed_format);
        let logger = match directory {
            Some(directory) => {
                logger.log_to_file(FileSpec::default().directory(directory)).append()
            }
            None => logger.log_to_stderr(),
        };
        Ok(Self::running(logger.start()?, levels))
    }

    /// Starts logging to standard output, one JSON object a line.
    ///
    /// # Errors
    ///
    /// Returns an error if `levels` is malformed, the writer's thread cannot be started or another
    /// logger runs.
    pub fn open_json(levels: &str, host: &str) -> Result<Self, LogError> {
        let levels: LogLevels = levels.parse()?;
        let writer = JsonWriter::spawn(host).map_err(FlexiLoggerError::from)?;
        let logger = Logger::try_with_str(levels.as_str())?.log_to_writer(Box::new(writer));
        Ok(Self::running(logger.start()?, levels))
    }

    fn running(handle: LoggerHandle, levels: LogLevels) -> Self {
        let handle = Arc::new(handle);
        let mut running = running();
        running.handle = Arc::downgrade(&handle);
        running.levels = levels.into();
        Self { handle }
    }
}

fn running() -> MutexGuard<'static, RunningLogger> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Changes the levels of the process until it ends, and records the event if they differ.
///
/// # Errors
///
/// Returns an error if `levels` is malformed or the process has no logger; the old levels then stay.
pub fn change_levels(levels: &str, operator: &str, events: &EventSink) -> Result<(), LogError> {
    let levels: LogLevels = levels.parse()?;
    let specification = LogSpecification::parse(levels.as_str())?;
    let mut running = running();
    let handle = running.handle.upgrade().ok_or(LogError::NotRunning)?;
    if running.levels == levels.as_str() {
        return Ok(());
    }
    let fields = [
        ("operator", operator.to_owned()),
        ("before", running.levels.clone()),
        ("after", levels.as_str().to_owned()),
    ];
    // Recorded before the change, since lower levels would keep the event out of the log.
    events.record(EventNumber::LevelsChanged, &fields);
    handle.set_new_spec(specification);
    running.levels = levels.into();
    Ok(())
}
