//! Prepared statements of a session and the messages that refer to them.

use {
    super::{
        caller_stream::SessionEnd,
        frame::{CallerFrame, split_text},
        response,
    },
    banyansill_core::{
        collections::FastMap,
        failure::FailureKind,
        statement::{ProfileCache, StatementProfile},
    },
    bytes::{BufMut, Bytes, BytesMut},
    sha2::{Digest, Sha256},
    std::{collections::VecDeque, fmt::Write, sync::Arc},
};

/// Maximum number of prepared statements, and of portals, of one session.
const STATEMENT_LIMIT: usize = 4_096;

/// Maximum total size of the texts of one session's prepared statements, in bytes.
const TEXT_LIMIT: usize = 16 << 20;

/// Maximum number of Parse messages of one session without a response.
const IN_FLIGHT_LIMIT: usize = 65_536;

/// Reason for which a message of the extended protocol is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchError {
    /// The body is malformed.
    Malformed,
    /// The session has too many statements or portals.
    TooMany,
}

impl BatchError {
    /// Returns the failure with which the session ends.
    pub(super) const fn session_end(self) -> SessionEnd {
        match self {
            Self::Malformed => SessionEnd::Failure(FailureKind::ProtocolViolation, "message body"),
            Self::TooMany => {
                SessionEnd::Failure(FailureKind::Unsupported, "too many prepared statements")
            }
        }
    }
}

/// Statement name that replaces the caller's in a Close sent to the target.
///
/// All sessions that use a connection share its statements, so a caller's Close must not close one there.
/// No statement has this name, and PostgreSQL responds with `CloseComplete` for a name that does not exist.
const CLOSE_PLACEHOLDER_NAME: &str = "bs_closed";

/// Statement that a caller prepared.
#[derive(Debug)]
pub struct PreparedStatement {
    /// Name on the target; empty for the unnamed statement.
    target_name: String,
    /// Text and parameter types, as in the body of Parse after the name.
    body: Bytes,
    /// Classification of the text.
    pub profile: Arc<StatementProfile>,
}

impl PreparedStatement {
    fn target_reference(&self) -> (Vec<u8>, Option<Arc<StatementProfile>>) {
        (self.target_name.clone().into_bytes(), Some(self.profile.clone()))
    }
}

/// Parse that was sent and has no response yet.
#[derive(Debug)]
struct PendingParse {
    /// Caller's name for the statement, or `None` if the proxy added the Parse.
    caller_name: Option<Vec<u8>>,
    statement: Arc<PreparedStatement>,
}

/// Prepared statements of one session.
#[derive(Debug, Default)]
pub struct StatementStore {
    named: FastMap<Vec<u8>, Arc<PreparedStatement>>,
    unnamed: Option<Arc<PreparedStatement>>,
    in_flight: VecDeque<PendingParse>,
    portals: FastMap<Vec<u8>, Arc<StatementProfile>>,
    /// Total size of the named statements' texts and parameter types, in bytes.
    bytes: usize,
}

impl StatementStore {
    /// Removes all statements.
    pub fn clear(&mut self) {
        self.named.clear();
        self.unnamed = None;
        self.bytes = 0;
    }

    /// Removes all portals, as at the end of a transaction.
    pub fn clear_portals(&mut self) {
        self.portals.clear();
    }

    /// Removes the unnamed statement, as a simple query does.
    pub fn clear_unnamed(&mut self) {
        self.unnamed = None;
    }

    /// Returns whether a Parse was sent that has no response yet.
    #[must_use]
    pub fn has_in_flight(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Removes the Parses that have no response, as after an error.
    pub fn clear_in_flight(&mut self) {
        self.in_flight.clear();
    }

    /// Stores the statement of the oldest Parse in flight.
    ///
    /// Returns whether the `ParseComplete` is forwarded, which is not the case if the proxy added the Parse.
    pub fn complete_parse(&mut self) -> bool {
        let Some(parse) = self.in_flight.pop_front() else { return true };
        let Some(name) = parse.caller_name else { return false };
        if name.is_empty() {
            self.unnamed = Some(parse.statement);
        } else {
            self.bytes += parse.statement.body.len();
            self.subtract_size(self.named.get(&name).cloned());
            self.named.insert(name, parse.statement);
        }
        true
    }

    fn subtract_size(&mut self, statement: Option<Arc<PreparedStatement>>) {
        if let Some(statement) = statement {
            self.bytes -= statement.body.len();
        }
    }

    fn is_full(&self) -> bool {
        self.named.len() >= STATEMENT_LIMIT
            || self.portals.len() >= STATEMENT_LIMIT
            || self.bytes >= TEXT_LIMIT
            || self.in_flight.len() >= IN_FLIGHT_LIMIT
    }

    fn find(&self, name: &[u8]) -> Option<&Arc<PreparedStatement>> {
        if name.is_empty() { self.unnamed.as_ref() } else { self.named.get(name) }
    }
}

/// Extended-protocol messages collected up to Sync or Flush, rewritten for the target.
#[derive(Debug, Default)]
pub struct CallerBatch {
    /// Messages for the target.
    pub output: BytesMut,
    /// Classifications of the statements that the messages use.
    pub profiles: Vec<Arc<StatementProfile>>,
    /// Number of messages other than closes of statements.
    pub messages: usize,
    /// Number of closes of statements.
    pub closes: usize,
    /// Whether a portal is executed whose statement is unknown to the session.
    pub unbound: bool,
    /// Type and first body byte of each message, for responses that the proxy writes itself.
    pub steps: Vec<(u8, u8)>,
    executions: usize,
    first: Option<Arc<PreparedStatement>>,
}

impl CallerBatch {
    /// Returns the statement's text if the batch executes exactly one statement, once.
    #[must_use]
    pub fn single_statement_text(&self) -> Option<Bytes> {
        let first = self.first.as_ref()?;
        let same = |profile: &Arc<StatementProfile>| Arc::ptr_eq(profile, &first.profile);
        if self.executions != 1 || self.unbound || !self.profiles.iter().all(same) {
            return None;
        }
        let end = first.body.iter().position(|byte| *byte == 0)?;
        Some(first.body.slice(..end))
    }

    /// Returns whether the batch has no messages.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.messages == 0 && self.closes == 0
    }

    /// Adds a Parse, Bind, Describe, Execute or Close.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed or the session has too many statements or portals.
    pub fn add(
        &mut self,
        frame: &CallerFrame,
        store: &mut StatementStore,
        cache: &mut ProfileCache,
    ) -> Result<(), BatchError> {
        if matches!(frame.tag, b'P' | b'B') && store.is_full() {
            return Err(BatchError::TooMany);
        }
        self.rewrite(frame, store, cache).ok_or(BatchError::Malformed)
    }

    fn rewrite(
        &mut self,
        frame: &CallerFrame,
        store: &mut StatementStore,
        cache: &mut ProfileCache,
    ) -> Option<()> {
        let body = frame.body();
        self.steps.push((frame.tag, body.first().copied().unwrap_or(0)));
        match frame.tag {
            b'P' => {
                let (name, rest) = split_text(body)?;
                let (text, types) = split_text(rest)?;
                if types.len() < 2 {
                    return None;
                }
                let profile = cache.classify(&String::from_utf8_lossy(text));
                let body = frame.bytes.slice(frame.bytes.len() - rest.len()..);
                let target_name = if name.is_empty() { String::new() } else { target_name(&body) };
                let statement = Arc::new(PreparedStatement { target_name, body, profile });
                self.messages += 1;
                self.add_parse(Some(name.to_vec()), statement, store);
            }
            b'B' => {
                let (portal, rest) = split_text(body)?;
                let (name, rest) = split_text(rest)?;
                let (target, profile) = self.resolve(name, store);
                match profile {
                    Some(profile) => store.portals.insert(portal.to_vec(), profile),
                    None => store.portals.remove(portal),
                };
                response::message(&mut self.output, b'B', |buffer| {
                    buffer.put_slice(portal);
                    buffer.put_u8(0);
                    buffer.put_slice(&target);
                    buffer.put_u8(0);
                    buffer.put_slice(rest);
                });
                self.messages += 1;
            }
            b'D' | b'C' if body.first() == Some(&b'S') => {
                let (name, _) = split_text(&body[1..])?;
                let target = if frame.tag == b'D' {
                    self.messages += 1;
                    self.resolve(name, store).0
                } else {
                    self.closes += 1;
                    if name.is_empty() {
                        store.unnamed = None;
                    } else {
                        let statement = store.named.remove(name);
                        store.subtract_size(statement);
                    }
                    CLOSE_PLACEHOLDER_NAME.as_bytes().to_vec()
                };
                response::message(&mut self.output, frame.tag, |buffer| {
                    buffer.put_u8(b'S');
                    buffer.put_slice(&target);
                    buffer.put_u8(0);
                });
            }
            _ => {
                if frame.tag == b'E' {
                    let (portal, _) = split_text(body)?;
                    self.executions += 1;
                    match store.portals.get(portal) {
                        Some(profile) => self.profiles.push(profile.clone()),
                        None => self.unbound = true,
                    }
                }
                self.messages += 1;
                self.output.put_slice(&frame.bytes);
            }
        }
        Some(())
    }

    /// Returns the statement's name on the target and its profile, and adds a Parse if the target may not have
    /// the statement.
    fn resolve(
        &mut self,
        name: &[u8],
        store: &mut StatementStore,
    ) -> (Vec<u8>, Option<Arc<StatementProfile>>) {
        let has_name = |parse: &&PendingParse| parse.caller_name.as_deref() == Some(name);
        if let Some(parse) = store.in_flight.iter().rev().find(has_name) {
            let statement = parse.statement.clone();
            self.add_profile(&statement);
            return statement.target_reference();
        }
        let Some(statement) = store.find(name).cloned() else {
            // The target then reports the unknown statement in the right order among its responses.
            if name.is_empty() {
                return (Vec::new(), None);
            }
            let mut missing = b"bs_missing_".to_vec();
            missing.extend_from_slice(name);
            return (missing, None);
        };
        let is_same = |parse: &PendingParse| Arc::ptr_eq(&parse.statement, &statement);
        if store.in_flight.iter().any(is_same) {
            self.add_profile(&statement);
        } else {
            self.add_parse(None, statement.clone(), store);
        }
        statement.target_reference()
    }

    fn add_profile(&mut self, statement: &Arc<PreparedStatement>) {
        self.profiles.push(statement.profile.clone());
        if self.first.is_none() {
            self.first = Some(statement.clone());
        }
    }

    fn add_parse(
        &mut self,
        caller_name: Option<Vec<u8>>,
        statement: Arc<PreparedStatement>,
        store: &mut StatementStore,
    ) {
        response::message(&mut self.output, b'P', |buffer| {
            response::c_string(buffer, &statement.target_name);
            buffer.put_slice(&statement.body);
        });
        self.add_profile(&statement);
        store.in_flight.push_back(PendingParse { caller_name, statement });
    }
}

/// Returns the name of a statement on the targets.
///
/// The name is derived from the exact text and parameter types and not from the fingerprint that groups
/// estimates, because statements that differ in a literal must not share a name. A cryptographic hash prevents
/// a caller from choosing a text that collides with another caller's statement.
fn target_name(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let mut name = String::with_capacity(35);
    name.push_str("bs_");
    for byte in &digest[..16] {
        let _ = write!(name, "{byte:02x}");
    }
    name
}
