//! Start-up of a connection: start-up packets, TLS, authentication and session parameters.

use {
    super::{
        caller_stream::{CallerStream, SessionEnd},
        frame::split_text,
        registry::{CallerRegistration, CancelKey},
        replay::SettingReplay,
        response,
        shared::EntryShared,
    },
    crate::link::GrantRouter,
    banyansill_core::{failure::FailureKind, names::SharedName, time::Micros},
    banyansill_runtime::tls::TlsListener,
    bytes::{BufMut, BytesMut},
    std::time::Duration,
};

/// Protocol version 3.0.
const PROTOCOL_3: i32 = 3 << 16;
const CANCEL_CODE: i32 = 80_877_102;
const TLS_CODE: i32 = 80_877_103;
const GSS_CODE: i32 = 80_877_104;

/// Maximum number of encryption requests before the start-up packet: one for TLS, one for GSS.
const ENCRYPTION_REQUEST_LIMIT: usize = 2;

/// Maximum number of parameters in a start-up packet.
const PARAMETER_LIMIT: usize = 64;

/// Server version reported to callers; drivers choose their SQL dialect by it.
const SERVER_VERSION: &str = "16.0";

/// First packet of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartupPacket {
    /// Requests TLS or GSS encryption.
    Encryption,
    /// Requests the cancellation of another session's statement.
    Cancel(CancelKey),
    /// Starts a session.
    Start {
        /// Minor version of protocol 3 that the caller requests.
        minor: i32,
        /// Names and values of the parameters.
        parameters: Vec<(String, String)>,
    },
    /// Requests a major version other than 3; holds the protocol version.
    Version(i32),
}

/// Parses the body of a start-up packet; returns `None` if it is malformed.
#[must_use]
pub fn parse_startup(body: &[u8]) -> Option<StartupPacket> {
    let (code, mut rest) = split_number(body)?;
    match code {
        TLS_CODE | GSS_CODE => return rest.is_empty().then_some(StartupPacket::Encryption),
        CANCEL_CODE => {
            let (process, rest) = split_number(rest)?;
            let (secret, rest) = split_number(rest)?;
            return rest.is_empty().then_some(StartupPacket::Cancel(CancelKey { process, secret }));
        }
        _ if code >> 16 != PROTOCOL_3 >> 16 => return Some(StartupPacket::Version(code)),
        _ => {}
    }
    let mut parameters = Vec::new();
    loop {
        let (name, after) = split_text(rest)?;
        if name.is_empty() {
            return after
                .is_empty()
                .then_some(StartupPacket::Start { minor: code & 0xffff, parameters });
        }
        let (value, after) = split_text(after)?;
        if parameters.len() == PARAMETER_LIMIT {
            return None;
        }
        let name = str::from_utf8(name).ok()?.to_owned();
        let value = str::from_utf8(value).ok()?.to_owned();
        parameters.push((name, value));
        rest = after;
    }
}

fn split_number(body: &[u8]) -> Option<(i32, &[u8])> {
    let (number, rest) = body.split_first_chunk::<4>()?;
    Some((i32::from_be_bytes(*number), rest))
}

/// User, database, application and settings of a session, from the start-up packet.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerIdentity {
    pub(super) user: String,
    pub(super) database: SharedName,
    pub(super) application: SharedName,
    /// Kind of requests without a tag; `None` selects the default.
    pub(super) kind: Option<SharedName>,
    /// Kind that was set in the start-up packet.
    pub(super) initial_kind: Option<SharedName>,
    /// Settings that are replayed on each grant.
    pub(super) settings: SettingReplay,
}

impl CallerIdentity {
    fn new(parameters: &[(String, String)]) -> Result<Self, SessionEnd> {
        let unsupported = || SessionEnd::Failure(FailureKind::Unsupported, "a setting at start-up");
        let mut identity = Self::default();
        let mut database = None;
        for (name, value) in parameters {
            match name.as_str() {
                "user" => identity.user.clone_from(value),
                "database" if !value.is_empty() => database = Some(value.as_str()),
                "application_name" => identity.application = SharedName::from(value.as_str()),
                "banyansill.kind" => identity.kind = parse_kind(value),
                "options" => identity.parse_options(value).ok_or_else(unsupported)?,
                "database" => {}
                _ if name.starts_with("_pq_.") || identity.settings.add_initial(name, value) => {}
                _ => return Err(unsupported()),
            }
        }
        if identity.user.is_empty() {
            return Err(SessionEnd::Failure(FailureKind::ProtocolViolation, "no user name"));
        }
        identity.initial_kind = identity.kind.clone();
        identity.database = SharedName::from(database.unwrap_or(&identity.user));
        Ok(identity)
    }

    /// Parses `-c name=value` and `--name=value` options; returns `None` if one is not supported.
    fn parse_options(&mut self, options: &str) -> Option<()> {
        for word in options.split_ascii_whitespace() {
            let setting = word.strip_prefix("-c").or_else(|| word.strip_prefix("--"));
            let setting = setting.unwrap_or(word);
            if setting.is_empty() {
                continue;
            }
            let (name, value) = setting.split_once('=')?;
            if name == "banyansill.kind" {
                self.kind = parse_kind(value);
            } else if !self.settings.add_initial(name, value) {
                return None;
            }
        }
        Some(())
    }
}

/// Parses the value of the kind setting; returns `None`, the default, for an empty value.
pub(super) fn parse_kind(value: &str) -> Option<SharedName> {
    (!value.is_empty()).then(|| SharedName::from(value))
}

/// Performs the start-up of a connection.
///
/// Returns `None` if the connection only carried a cancel request.
pub(super) async fn start<R>(
    stream: &mut CallerStream,
    shared: &EntryShared<R>,
    registration: &mut CallerRegistration,
) -> Result<Option<CallerIdentity>, SessionEnd>
where
    R: GrantRouter,
{
    let mut encryption_requests = 0;
    let (minor, parameters) = loop {
        let Some(frame) = stream.next().await? else { return Err(SessionEnd::Closed) };
        match parse_startup(frame.body()) {
            Some(StartupPacket::Encryption) if encryption_requests < ENCRYPTION_REQUEST_LIMIT => {
                encryption_requests += 1;
                let wants_tls =
                    split_number(frame.body()).is_some_and(|(code, _)| code == TLS_CODE);
                match &shared.tls {
                    Some(tls) if wants_tls && !stream.io.is_tls() => {
                        upgrade_to_tls(stream, tls, shared.settings.startup_timeout).await?;
                    }
                    _ => {
                        stream.write(b"N")?;
                        stream.wait_writable().await?;
                    }
                }
            }
            _ if shared.settings.tls_required && !stream.io.is_tls() => {
                return Err(SessionEnd::Failure(FailureKind::TlsRequired, ""));
            }
            Some(StartupPacket::Cancel(key)) => {
                shared.registry.cancel(key);
                return Ok(None);
            }
            Some(StartupPacket::Start { minor, parameters }) => break (minor, parameters),
            Some(StartupPacket::Version(_)) => {
                return Err(SessionEnd::Failure(FailureKind::Unsupported, "protocol version"));
            }
            Some(StartupPacket::Encryption) | None => {
                return Err(SessionEnd::Failure(FailureKind::ProtocolViolation, "start-up packet"));
            }
        }
    };
    stream.codec.finish_startup();
    if *shared.registry.draining().borrow() {
        return Err(SessionEnd::Failure(FailureKind::Draining, ""));
    }
    if shared.registry.is_full() {
        return Err(SessionEnd::Failure(FailureKind::TooManyCallers, ""));
    }
    // Without a lease the first request would fail. An error at start-up lets the caller try another entry.
    if !shared.lease.is_valid() {
        return Err(SessionEnd::Failure(FailureKind::NoLease, ""));
    }
    let identity = CallerIdentity::new(&parameters)?;
    if let Some(passwords) = &shared.passwords {
        passwords.verify(stream, &identity.user).await?;
    }
    stream.codec.set_limit(shared.settings.message_limit);
    let mut buffer = BytesMut::new();
    if minor > 0 {
        negotiate_version(&mut buffer, &parameters);
    }
    response::message(&mut buffer, b'R', |buffer| buffer.put_i32(0));
    for (name, value) in [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("application_name", identity.application.as_str()),
        ("DateStyle", "ISO, MDY"),
        ("IntervalStyle", "postgres"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ] {
        response::parameter_status(&mut buffer, name, value);
    }
    let key = registration.issue_key();
    response::message(&mut buffer, b'K', |buffer| {
        buffer.put_i32(key.process);
        buffer.put_i32(key.secret);
    });
    response::ready_for_query(&mut buffer, response::STATUS_IDLE);
    stream.write(&buffer)?;
    stream.wait_writable().await?;
    Ok(Some(identity))
}

/// Accepts a request for TLS and performs the handshake.
///
/// Bytes that arrived before the response were not encrypted. An attacker who injects them must not have them
/// processed as the caller's first messages.
async fn upgrade_to_tls(
    stream: &mut CallerStream,
    tls: &TlsListener,
    handshake_timeout: Duration,
) -> Result<(), SessionEnd> {
    if stream.io.has_unread() {
        let detail = "data between the request for TLS and the handshake";
        return Err(SessionEnd::Failure(FailureKind::ProtocolViolation, detail));
    }
    stream.write(b"S")?;
    if let Err(error) = stream.io.accept_tls(tls.config(), handshake_timeout).await {
        log::debug!("TLS handshake failed: {error}");
        return Err(SessionEnd::Closed);
    }
    Ok(())
}

/// Writes a `NegotiateProtocolVersion` with version 3.0 and the unknown protocol options.
fn negotiate_version(buffer: &mut BytesMut, parameters: &[(String, String)]) {
    let mut unknown: Vec<&str> = Vec::new();
    for (name, _) in parameters {
        if name.starts_with("_pq_.") {
            unknown.push(name);
        }
    }
    response::message(buffer, b'v', |buffer| {
        buffer.put_i32(0);
        buffer.put_i32(i32::try_from(unknown.len()).unwrap_or(i32::MAX));
        for name in unknown {
            response::c_string(buffer, name);
        }
    });
}

/// Writes the `ErrorResponse` for a connection that fails during start-up or is closed by the proxy.
pub(super) fn fatal_error(buffer: &mut BytesMut, kind: FailureKind, detail: &str) {
    response::failure(buffer, response::ErrorSeverity::Fatal, kind, detail, Micros::ZERO);
}
