//! TLS keys and certificates from files, which are reloaded when the files change.

use {
    crate::{
        events::EventSink,
        settings::{SettingsReader, SettingsSource},
    },
    banyansill_core::event::EventNumber,
    miette::Diagnostic,
    rustls::{
        ServerConfig,
        crypto::ring,
        pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject},
    },
    sha2::{Digest, Sha256},
    std::{fs, io, path::PathBuf, sync::Arc, time::Duration},
    thiserror::Error,
    tokio::{sync::watch, task::AbortHandle, time},
};

/// Interval at which the files are checked for changes.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum size of a file in bytes; chains and keys have a few thousand bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// Files with the certificate chain and the key of a listener, both in PEM format.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate of the listener, followed by those of intermediate authorities.
    pub certificate: PathBuf,
    /// Private key of the certificate.
    pub key: PathBuf,
}

impl SettingsSource for TlsFiles {
    fn read(reader: &mut SettingsReader<'_>) -> Self {
        Self {
            certificate: reader.parsed("certificate").unwrap_or_default(),
            key: reader.parsed("key").unwrap_or_default(),
        }
    }
}

/// Reason why key or certificate files cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{path}: {source}")]
    #[diagnostic(code(banyansill::tls))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is too large or does not contain valid PEM text of the expected kind.
    #[error("{path}: {detail}")]
    #[diagnostic(code(banyansill::tls))]
    Content {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// The certificate and the key do not match or are not supported.
    #[error("{certificate} and {key}: {detail}")]
    #[diagnostic(code(banyansill::tls))]
    Pair {
        /// Path of the certificate.
        certificate: PathBuf,
        /// Path of the key.
        key: PathBuf,
        /// What is wrong.
        detail: String,
    },
}

/// Contents of both files.
struct FilePair {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

impl TlsFiles {
    fn read_pair(&self) -> Result<FilePair, TlsError> {
        Ok(FilePair { certificate: read(&self.certificate)?, key: read(&self.key)? })
    }

    fn config(&self, pair: &FilePair) -> Result<Arc<ServerConfig>, TlsError> {
        let content =
            |path: &PathBuf, detail: String| TlsError::Content { path: path.clone(), detail };
        let mut chain = Vec::new();
        for certificate in CertificateDer::pem_slice_iter(&pair.certificate) {
            chain.push(certificate.map_err(|error| content(&self.certificate, error.to_string()))?);
        }
        if chain.is_empty() {
            return Err(content(&self.certificate, "contains no certificate".to_owned()));
        }
        let key = PrivateKeyDer::from_pem_slice(&pair.key)
            .map_err(|error| content(&self.key, error.to_string()))?;
        let pair = |error: rustls::Error| TlsError::Pair {
            certificate: self.certificate.clone(),
            key: self.key.clone(),
            detail: error.to_string(),
        };
        let provider = Arc::new(ring::default_provider());
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(pair)?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(pair)?;
        Ok(Arc::new(config))
    }
}

fn read(path: &PathBuf) -> Result<Vec<u8>, TlsError> {
    let failed = |source| TlsError::Read { path: path.clone(), source };
    let size = fs::metadata(path).map_err(failed)?.len();
    if size > MAX_FILE_BYTES {
        let detail = format!("larger than {MAX_FILE_BYTES} bytes");
        return Err(TlsError::Content { path: path.clone(), detail });
    }
    fs::read(path).map_err(failed)
}

/// Returns a digest of the content of both files, or of the error if they cannot be read.
fn fingerprint(pair: &Result<FilePair, TlsError>) -> [u8; 32] {
    let digest = match pair {
        Ok(pair) => {
            let certificate = Sha256::digest(&pair.certificate);
            Sha256::new().chain_update(certificate).chain_update(&pair.key)
        }
        Err(error) => Sha256::new().chain_update(error.to_string()),
    };
    digest.finalize().into()
}

/// Configuration of a TLS listener, reloaded when its files change; clones share it.
#[derive(Clone, Debug)]
pub struct TlsListener {
    config: watch::Receiver<Arc<ServerConfig>>,
    check: AbortHandle,
}

impl TlsListener {
    /// Loads the files and checks them for changes every `interval` on the current tokio runtime.
    ///
    /// A changed pair that is valid is used for new connections from then on (event BS005). An invalid one
    /// is reported once (event BS006), and the current pair stays in use.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be read or are not valid.
    pub fn spawn(files: TlsFiles, events: EventSink, interval: Duration) -> Result<Self, TlsError> {
        let pair = files.read_pair();
        let known_fingerprint = fingerprint(&pair);
        let (sender, config) = watch::channel(files.config(&pair?)?);
        let task =
            tokio::spawn(reload_on_change(files, events, interval, known_fingerprint, sender));
        Ok(Self { config, check: task.abort_handle() })
    }

    /// Returns the configuration for a new connection.
    #[must_use]
    pub fn config(&self) -> Arc<ServerConfig> {
        self.config.borrow().clone()
    }

    /// Stops checking the files for changes.
    pub fn stop(&self) {
        self.check.abort();
    }
}

async fn reload_on_change(
    files: TlsFiles,
    events: EventSink,
    interval: Duration,
    mut known_fingerprint: [u8; 32],
    sender: watch::Sender<Arc<ServerConfig>>,
) {
    let mut ticks = time::interval(interval);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let pair = files.read_pair();
        let current_fingerprint = fingerprint(&pair);
        if current_fingerprint == known_fingerprint {
            continue;
        }
        known_fingerprint = current_fingerprint;
        let certificate = ("certificate", files.certificate.display().to_string());
        match pair.and_then(|pair| files.config(&pair)) {
            Ok(config) => {
                sender.send_replace(config);
                events.record(EventNumber::CertificateReloaded, &[certificate]);
            }
            Err(error) => {
                let fields = [certificate, ("detail", error.to_string())];
                events.record(EventNumber::CertificateInvalid, &fields);
            }
        }
    }
}
