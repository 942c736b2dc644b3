//! Keys and certificates from files, reloaded when the files change.

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

/// Largest file that is read; chains and keys have a few thousand bytes.
const FILE_LIMIT: u64 = 1 << 20;

/// Files of a listener's certificate chain and key, both PEM.
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

/// Key or certificate files that cannot be used.
#[derive(Debug, Error, Diagnostic)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{path}: {source}")]
    #[diagnostic(code(banyansill::tls))]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// A file is not valid PEM text of the expected kind.
    #[error("{path}: {detail}")]
    #[diagnostic(code(banyansill::tls))]
    Content {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong.
        detail: String,
    },
    /// The certificate and the key do not fit.
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
            return Err(content(&self.certificate, "no certificate".to_owned()));
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
    if size > FILE_LIMIT {
        let detail = format!("larger than {FILE_LIMIT} bytes");
        return Err(TlsError::Content { path: path.clone(), detail });
    }
    fs::read(path).map_err(failed)
}

/// Digest of what the files hold, or of why they cannot be read.
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

/// Configuration of a TLS listener that follows its files; clones share it.
#[derive(Clone, Debug)]
pub struct TlsListener {
    config: watch::Receiver<Arc<ServerConfig>>,
    check: AbortHandle,
}

impl TlsListener {
    /// Loads the files and checks them for changes every `interval` on the current tokio runtime.
    ///
    /// A changed pair that is valid serves new connections from then on (event BS005). An invalid one is
    /// reported once (event BS006) and the pair in force stays.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be read or are not valid.
    pub fn spawn(files: TlsFiles, events: EventSink, interval: Duration) -> Result<Self, TlsError> {
        let pair = files.read_pair();
        let seen = fingerprint(&pair);
        let (sender, config) = watch::channel(files.config(&pair?)?);
        let task = tokio::spawn(follow(files, events, interval, seen, sender));
        Ok(Self { config, check: task.abort_handle() })
    }

    /// Returns the configuration for a new connection.
    #[must_use]
    pub fn config(&self) -> Arc<ServerConfig> {
        self.config.borrow().clone()
    }

    /// Ends the checks of the files.
    pub fn stop(&self) {
        self.check.abort();
    }
}

async fn follow(
    files: TlsFiles,
    events: EventSink,
    interval: Duration,
    mut seen: [u8; 32],
    sender: watch::Sender<Arc<ServerConfig>>,
) {
    let mut ticks = time::interval(interval);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        let pair = files.read_pair();
        let found = fingerprint(&pair);
        if found == seen {
            continue;
        }
        seen = found;
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
