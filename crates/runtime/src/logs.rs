//! Logging with `flexi_logger`.

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

/// Maximum length of a level specification in bytes.
const MAX_LEVELS_BYTES: usize = 1_024;

/// Names of all levels.
const LEVEL_NAMES: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];

/// Logger of the process, of which `log` allows only one.
static RUNNING_LOGGER: Mutex<RunningLogger> =
    Mutex::new(RunningLogger { handle: Weak::new(), levels: String::new() });

struct RunningLogger {
    handle: Weak<LoggerHandle>,
    /// Level specification in effect.
    levels: String,
}

/// Reason why logging cannot be started or its levels cannot be changed.
#[derive(Debug, Error, Diagnostic)]
pub enum LoggingError {
    /// The logger returned an error.
    #[error("logging: {0}")]
    #[diagnostic(code(banyansill::logs))]
    Logger(#[from] FlexiLoggerError),
    /// The level specification is not valid.
    #[error("log levels: {0}")]
    #[diagnostic(code(banyansill::logs))]
    Levels(String),
    /// No logger started by [`LogHandle`] is running in this process.
    #[error("this process has no logger whose levels can change")]
    #[diagnostic(code(banyansill::logs))]
    NotRunning,
}

/// Valid specification of log levels, such as `info` or `info,event=warn`.
///
/// The logger treats a word that is not a level as the name of a module and logs nothing else. A mistyped
/// level would therefore silence the process, so it is rejected here.
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
    type Err = LoggingError;

    fn from_str(text: &str) -> Result<Self, LoggingError> {
        if text.len() > MAX_LEVELS_BYTES {
            return Err(LoggingError::Levels(format!("longer than {MAX_LEVELS_BYTES} bytes")));
        }
        let mut default_levels = 0;
        for part in text.split(',') {
            let level = match part.split_once('=') {
                Some((module, level)) => {
                    check_module(module.trim())?;
                    level.trim()
                }
                None => {
                    default_levels += 1;
                    part.trim()
                }
            };
            if !LEVEL_NAMES.contains(&level) {
                let message = format!("{level:?} is not one of {}", LEVEL_NAMES.join(", "));
                return Err(LoggingError::Levels(message));
            }
        }
        if default_levels > 1 {
            return Err(LoggingError::Levels("more than one level without a module".to_owned()));
        }
        Ok(Self(text.to_owned()))
    }
}

fn check_module(module: &str) -> Result<(), LoggingError> {
    let valid = |letter: char| letter.is_ascii_alphanumeric() || "_:-".contains(letter);
    if !module.is_empty() && module.chars().all(valid) {
        return Ok(());
    }
    Err(LoggingError::Levels(format!("{module:?} is not a valid module name")))
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
    pub fn open(levels: &str, directory: Option<&Path>) -> Result<Self, LoggingError> {
        let levels: LogLevels = levels.parse()?;
        let logger = Logger::try_with_str(levels.as_str())?.format(flexi_logger::detailed_format);
        let logger = match directory {
            Some(directory) => {
                logger.log_to_file(FileSpec::default().directory(directory)).append()
            }
            None => logger.log_to_stderr(),
        };
        Ok(Self::register(logger.start()?, levels))
    }

    /// Starts logging to standard output, with one JSON object per line.
    ///
    /// # Errors
    ///
    /// Returns an error if `levels` is malformed, the writer's thread cannot be started or another
    /// logger runs.
    pub fn open_json(levels: &str, host: &str) -> Result<Self, LoggingError> {
        let levels: LogLevels = levels.parse()?;
        let writer = JsonWriter::spawn(host).map_err(FlexiLoggerError::from)?;
        let logger = Logger::try_with_str(levels.as_str())?.log_to_writer(Box::new(writer));
        Ok(Self::register(logger.start()?, levels))
    }

    fn register(handle: LoggerHandle, levels: LogLevels) -> Self {
        crate::panics::install();
        let handle = Arc::new(handle);
        let mut running = running_logger();
        running.handle = Arc::downgrade(&handle);
        running.levels = levels.into();
        Self { handle }
    }
}

fn running_logger() -> MutexGuard<'static, RunningLogger> {
    RUNNING_LOGGER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Changes the log levels of the process until it ends, and records an event if they differ.
///
/// # Errors
///
/// Returns an error if `levels` is malformed or the process has no logger; the old levels then stay.
pub fn change_levels(levels: &str, operator: &str, events: &EventSink) -> Result<(), LoggingError> {
    let levels: LogLevels = levels.parse()?;
    let specification = LogSpecification::parse(levels.as_str())?;
    let mut running = running_logger();
    let handle = running.handle.upgrade().ok_or(LoggingError::NotRunning)?;
    if running.levels == levels.as_str() {
        return Ok(());
    }
    let fields = [
        ("operator", operator.to_owned()),
        ("before", running.levels.clone()),
        ("after", levels.as_str().to_owned()),
    ];
    // Recorded before the change, since the new levels may keep the event out of the log.
    events.record(EventNumber::LevelsChanged, &fields);
    handle.set_new_spec(specification);
    running.levels = levels.into();
    Ok(())
}
