//! Logging by `flexi_logger`.

use {
    flexi_logger::{FileSpec, FlexiLoggerError, LogSpecification, Logger, LoggerHandle},
    miette::Diagnostic,
    std::path::Path,
    thiserror::Error,
};

/// Logging that cannot be started or changed.
#[derive(Debug, Error, Diagnostic)]
#[error("logging: {0}")]
#[diagnostic(code(banyansill::logs))]
pub struct LogError(#[from] FlexiLoggerError);

/// Running logger; dropping it flushes and stops logging.
#[must_use]
pub struct LogHandle {
    handle: LoggerHandle,
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
        let logger = Logger::try_with_str(levels)?.format(flexi_logger::detailed_format);
        let logger = match directory {
            Some(directory) => {
                logger.log_to_file(FileSpec::default().directory(directory)).append()
            }
            None => logger.log_to_stderr(),
        };
        Ok(Self { handle: logger.start()? })
    }

    /// Changes the levels of the running logger.
    ///
    /// # Errors
    ///
    /// Returns an error if `levels` is malformed; the old levels then stay.
    pub fn set_levels(&self, levels: &str) -> Result<(), LogError> {
        let specification = LogSpecification::parse(levels)?;
        self.handle.set_new_spec(specification);
        Ok(())
    }
}
