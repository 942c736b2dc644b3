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

/// Prepared statements, and portals, that one session may keep.
const STATEMENT_LIMIT: usize = 4_096;

/// Bytes of the texts that one session may keep prepared.
const TEXT_LIMIT: usize = 16 << 20;

/// Parses of one session that may be unanswered.
const IN_FLIGHT_LIMIT: usize = 65_536;

/// Extended-protocol message that cannot be taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchError {
    /// The body is malformed.
    Malformed,
    /// The session keeps too many statements or portals.
    TooMany,
}

impl BatchError {
    /// Returns the failure that ends the session.
    pub(super) const fn end(self) -> SessionEnd {
        match self {
            Self::Malformed => SessionEnd::Failure(FailureKind::ProtocolViolation, "message body"),
            Self::TooMany => {
                SessionEnd::Failure(FailureKind::Unsupported, "too many prepared statements")
            }
        }
    }
}

/// Name under which statements are closed on the target.
///
/// Statements are shared by all sessions of a connection, so a caller's Close must not reach its
/// statement. PostgreSQL answers `CloseComplete` for a name that does not exist.
const CLOSED_NAME: &str = "bs_closed";

/// A statement as a caller prepared it.
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
    fn reference(&self) -> (Vec<u8>, Option<Arc<StatementProfile>>) {
        (self.target_name.clone().into_bytes(), Some(self.profile.clone()))
    }
}

/// A Parse that was sent and not yet answered.
#[derive(Debug)]
struct PendingParse {
    /// Name that the caller gave, or `None` if the proxy added the Parse.
    asked: Option<Vec<u8>>,
    statement: Arc<PreparedStatement>,
}

/// Prepared statements of one session.
#[derive(Debug, Default)]
pub struct StatementStore {
    named: FastMap<Vec<u8>, Arc<PreparedStatement>>,
    unnamed: Option<Arc<PreparedStatement>>,
    in_flight: VecDeque<PendingParse>,
    portals: FastMap<Vec<u8>, Arc<StatementProfile>>,
    /// Bytes of the texts of named statements.
    bytes: usize,
}

impl StatementStore {
    /// Forgets every statement.
    pub fn clear(&mut self) {
        self.named.clear();
        self.unnamed = None;
        self.bytes = 0;
    }

    /// Forgets the portals, as at the end of a transaction.
    pub fn clear_portals(&mut self) {
        self.portals.clear();
    }

    /// Forgets the unnamed statement, as a simple query does.
    pub fn clear_unnamed(&mut self) {
        self.unnamed = None;
    }

    /// Returns whether Parses were sent that are not answered yet.
    #[must_use]
    pub fn awaits_parse(&self) -> bool {
        !self.in_flight.is_empty()
    }

    /// Forgets the Parses that were not answered, as after an error.
    pub fn drop_in_flight(&mut self) {
        self.in_flight.clear();
    }

    /// Keeps the statement of the next answered Parse; returns whether the caller waits for the
    /// `ParseComplete`.
    pub fn confirm(&mut self) -> bool {
        let Some(parse) = self.in_flight.pop_front() else { return true };
        let Some(name) = parse.asked else { return false };
        if name.is_empty() {
            self.unnamed = Some(parse.statement);
        } else {
            self.bytes += parse.statement.body.len();
            self.remove_replaced(self.named.get(&name).cloned());
            self.named.insert(name, parse.statement);
        }
        true
    }

    fn remove_replaced(&mut self, statement: Option<Arc<PreparedStatement>>) {
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
    /// Messages other than closes of statements.
    pub messages: usize,
    /// Closes of statements.
    pub closes: usize,
    /// Executions of portals that no message of the batch bound.
    pub unbound: bool,
    /// Type and first body byte of each message, for answers that the proxy writes itself.
    pub steps: Vec<(u8, u8)>,
    executions: usize,
    first: Option<Arc<PreparedStatement>>,
}

impl CallerBatch {
    /// Returns the text of the statement if the batch executes one statement once and no other.
    #[must_use]
    pub fn local_candidate(&self) -> Option<Bytes> {
        let first = self.first.as_ref()?;
        let same = |profile: &Arc<StatementProfile>| Arc::ptr_eq(profile, &first.profile);
        if self.executions != 1 || self.unbound || !self.profiles.iter().all(same) {
            return None;
        }
        let end = first.body.iter().position(|byte| *byte == 0)?;
        Some(first.body.slice(..end))
    }

    /// Returns whether nothing was collected.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.messages == 0 && self.closes == 0
    }

    /// Adds a Parse, Bind, Describe, Execute or Close.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed or the session keeps too much.
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
                self.parse(Some(name.to_vec()), statement, store);
            }
            b'B' => {
                let (portal, rest) = split_text(body)?;
                let (name, rest) = split_text(rest)?;
                let (target, profile) = self.refer(name, store);
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
                    self.refer(name, store).0
                } else {
                    self.closes += 1;
                    if name.is_empty() {
                        store.unnamed = None;
                    } else {
                        let statement = store.named.remove(name);
                        store.remove_replaced(statement);
                    }
                    CLOSED_NAME.as_bytes().to_vec()
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

    /// Returns the statement's name on the target and its profile, and adds the Parse it needs.
    fn refer(
        &mut self,
        name: &[u8],
        store: &mut StatementStore,
    ) -> (Vec<u8>, Option<Arc<StatementProfile>>) {
        let asked = |parse: &&PendingParse| parse.asked.as_deref() == Some(name);
        if let Some(parse) = store.in_flight.iter().rev().find(asked) {
            let statement = parse.statement.clone();
            self.note(&statement);
            return statement.reference();
        }
        let Some(statement) = store.find(name).cloned() else {
            // The target then reports the unknown statement at the right place in its answers.
            if name.is_empty() {
                return (Vec::new(), None);
            }
            let mut missing = b"bs_missing_".to_vec();
            missing.extend_from_slice(name);
            return (missing, None);
        };
        let known = |parse: &PendingParse| Arc::ptr_eq(&parse.statement, &statement);
        if store.in_flight.iter().any(known) {
            self.note(&statement);
        } else {
            self.parse(None, statement.clone(), store);
        }
        statement.reference()
    }

    fn note(&mut self, statement: &Arc<PreparedStatement>) {
        self.profiles.push(statement.profile.clone());
        if self.first.is_none() {
            self.first = Some(statement.clone());
        }
    }

    fn parse(
        &mut self,
        asked: Option<Vec<u8>>,
        statement: Arc<PreparedStatement>,
        store: &mut StatementStore,
    ) {
        response::message(&mut self.output, b'P', |buffer| {
            response::c_string(buffer, &statement.target_name);
            buffer.put_slice(&statement.body);
        });
        self.note(&statement);
        store.in_flight.push_back(PendingParse { asked, statement });
    }
}

/// Returns the name of a statement on the targets.
///
/// It covers the exact text and parameter types and not the fingerprint that groups estimates:
/// statements that differ in a literal must not share a name. A cryptographic hash keeps a caller
/// from choosing a text that collides with another caller's statement.
fn target_name(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let mut name = String::with_capacity(35);
    name.push_str("bs_");
    for byte in &digest[..16] {
        let _ = write!(name, "{byte:02x}");
    }
    name
}
