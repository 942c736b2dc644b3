//! Authentication of callers: trust, or SCRAM-SHA-256 with a password file.

use {
    super::{
        caller_stream::{CallerStream, SessionEnd},
        frame::split_text,
        response,
    },
    banyansill_core::{collections::FastMap, failure::FailureKind},
    base64::{Engine, engine::general_purpose::STANDARD},
    bytes::{BufMut, BytesMut},
    pgwire::api::auth::sasl::scram::{ScramSecret, ScramServerAuth},
    sha2::{Digest, Sha256},
    std::{fs, io, path::Path},
};

const MECHANISM: &str = "SCRAM-SHA-256";
const SASL_START: i32 = 10;
const SASL_CONTINUE: i32 = 11;
const SASL_FINAL: i32 = 12;

/// Bytes of the salt that is sent for an unknown user name.
const MOCK_SALT_SIZE: usize = 16;

/// Iteration count that is sent for an unknown user name; PostgreSQL's default.
const MOCK_ITERATIONS: usize = 4_096;

/// Salted keys that verify a SCRAM-SHA-256 password.
#[derive(Clone, PartialEq, Eq)]
struct PasswordVerifier {
    iterations: usize,
    salt: Vec<u8>,
    stored_key: Vec<u8>,
    server_key: Vec<u8>,
}

impl PasswordVerifier {
    /// Parses a password verifier in PostgreSQL's storage format.
    fn parse(text: &str) -> Option<Self> {
        let rest = text.strip_prefix(MECHANISM)?.strip_prefix('$')?;
        let (first, keys) = rest.split_once('$')?;
        let (iterations, salt) = first.split_once(':')?;
        let (stored_key, server_key) = keys.split_once(':')?;
        let verifier = Self {
            iterations: iterations.parse().ok().filter(|count| *count > 0)?,
            salt: STANDARD.decode(salt).ok()?,
            stored_key: STANDARD.decode(stored_key).ok()?,
            server_key: STANDARD.decode(server_key).ok()?,
        };
        let valid_sizes = verifier.stored_key.len() == 32 && verifier.server_key.len() == 32;
        valid_sizes.then_some(verifier)
    }

    fn secret(&self) -> ScramSecret {
        ScramSecret::Verifier {
            salt: self.salt.clone(),
            iterations: self.iterations,
            stored_key: self.stored_key.clone(),
            server_key: self.server_key.clone(),
        }
    }
}

/// Passwords of the callers that may connect.
#[derive(Clone)]
pub(super) struct PasswordTable {
    verifiers: FastMap<String, PasswordVerifier>,
    /// Random key from which the salts of unknown names are derived, so that they are stable and cannot be
    /// guessed.
    mock_key: [u8; 32],
}

impl std::fmt::Debug for PasswordTable {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("PasswordTable").field("names", &self.verifiers.len()).finish()
    }
}

impl PasswordTable {
    /// Reads a password file: one `name:verifier` per line; lines that begin with `#` are comments.
    ///
    /// # Errors
    ///
    /// Returns an error that names the line if the file cannot be read or is malformed.
    pub(super) fn load(path: &Path) -> io::Result<Self> {
        let text = fs::read_to_string(path)?;
        let mut verifiers = FastMap::default();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let parsed = line.split_once(':').and_then(|(name, text)| {
                PasswordVerifier::parse(text).map(|verifier| (name.to_owned(), verifier))
            });
            let Some((name, verifier)) = parsed else {
                let message = format!("{}:{}: not name:verifier", path.display(), index + 1);
                return Err(io::Error::new(io::ErrorKind::InvalidData, message));
            };
            verifiers.insert(name, verifier);
        }
        Ok(Self { verifiers, mock_key: rand::random() })
    }

    /// Returns the secret of a name, or a random one that no password matches if the name is unknown, so
    /// that the exchange does not reveal which names exist.
    fn secret(&self, name: &str) -> ScramSecret {
        if let Some(verifier) = self.verifiers.get(name) {
            return verifier.secret();
        }
        let salt = Sha256::new().chain_update(self.mock_key).chain_update(name).finalize();
        ScramSecret::Verifier {
            salt: salt[..MOCK_SALT_SIZE].to_vec(),
            iterations: MOCK_ITERATIONS,
            stored_key: rand::random::<[u8; 32]>().to_vec(),
            server_key: rand::random::<[u8; 32]>().to_vec(),
        }
    }

    /// Authenticates a caller by a SCRAM exchange.
    ///
    /// # Errors
    ///
    /// Returns `BadCredentials` if the password is wrong or the name is unknown, and `ProtocolViolation` if
    /// a message is malformed.
    pub(super) async fn verify(&self, stream: &CallerStream, name: &str) -> Result<(), SessionEnd> {
        let bad_credentials = || SessionEnd::Failure(FailureKind::BadCredentials, "");
        let malformed = || SessionEnd::Failure(FailureKind::ProtocolViolation, "SASL message");
        send_sasl(stream, SASL_START, format!("{MECHANISM}\0\0").as_bytes()).await?;
        let frame = read_password_message(stream).await?;
        let (mechanism, rest) = split_text(&frame).ok_or_else(malformed)?;
        let (length, first) = rest.split_first_chunk::<4>().ok_or_else(malformed)?;
        let complete = usize::try_from(i32::from_be_bytes(*length)) == Ok(first.len());
        if mechanism != MECHANISM.as_bytes() || !complete {
            return Err(malformed());
        }
        let (reply, client_final) = ScramServerAuth::new()
            .on_client_first_message_with_secret(first, self.secret(name))
            .map_err(|_| malformed())?;
        send_sasl(stream, SASL_CONTINUE, reply.as_bytes()).await?;
        let last = read_password_message(stream).await?;
        let reply = client_final.on_client_final_message(&last).map_err(|_| bad_credentials())?;
        if !self.verifiers.contains_key(name) {
            return Err(bad_credentials());
        }
        send_sasl(stream, SASL_FINAL, reply.as_bytes()).await
    }
}

async fn send_sasl(stream: &CallerStream, code: i32, data: &[u8]) -> Result<(), SessionEnd> {
    let mut buffer = BytesMut::new();
    response::message(&mut buffer, b'R', |buffer| {
        buffer.put_i32(code);
        buffer.put_slice(data);
    });
    stream.write(&buffer)?;
    stream.wait_writable().await
}

async fn read_password_message(stream: &CallerStream) -> Result<Vec<u8>, SessionEnd> {
    match stream.next().await? {
        None => Err(SessionEnd::Closed),
        Some(frame) if frame.tag == b'p' => Ok(frame.body().to_vec()),
        Some(_) => Err(SessionEnd::Failure(FailureKind::ProtocolViolation, "password expected")),
    }
}
