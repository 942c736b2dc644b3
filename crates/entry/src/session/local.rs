//! Statements that the proxy completes without a target.
//!
//! BEGIN is deferred until the first statement, which determines the kind and the target of the transaction.
//! A SET to the default value changes nothing on a target. A few settings are stored and sent again with
//! each grant; any other SET pins the session to a connection of the primary.

use {
    super::{
        replay::{can_replay, is_default},
        response,
        startup::parse_kind,
        state::{CallerSession, TransactionState},
    },
    crate::link::{GrantRouter, LinkInput, TransactionStatus},
    banyansill_core::statement::{StatementAction, StatementProfile},
    bytes::{BufMut, BytesMut},
};

/// Setting that holds the kind of all requests without a tag.
const KIND_SETTING: &str = "banyansill.kind";

/// SQLSTATE of statements in a failed transaction.
const IN_FAILED_TRANSACTION: &str = "25P02";

/// Response that the proxy generates without a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LocalReply {
    /// The statement goes to a target.
    None,
    /// The query contains no statement.
    Empty,
    /// The statement is complete; holds its command tag.
    Complete(&'static str),
    /// A setting has changed; holds its name and new value for a `ParameterStatus`.
    Setting(&'static str, String),
    /// The statement is rejected because the transaction has failed.
    Aborted,
    /// The statement is not supported in the session's current state; holds the error detail.
    Unsupported(&'static str),
}

impl<R> CallerSession<R>
where
    R: GrantRouter,
{
    /// Runs a statement that needs no target; returns `None` for all others.
    pub(super) fn local_reply(&mut self, profile: &StatementProfile, text: &[u8]) -> LocalReply {
        if let TransactionState::Lost { unreported } = self.state {
            let ends_transaction =
                matches!(profile.action, StatementAction::Commit | StatementAction::Rollback);
            return match profile.action {
                // A commit must not appear successful to a caller that has received no error.
                StatementAction::Commit if unreported => LocalReply::None,
                _ if ends_transaction => {
                    self.state = TransactionState::Idle;
                    LocalReply::Complete("ROLLBACK")
                }
                _ if unreported => LocalReply::None,
                _ => LocalReply::Aborted,
            };
        }
        if let Some(grant) = &self.grant
            && grant.status == TransactionStatus::Failed
        {
            return LocalReply::None;
        }
        match &profile.action {
            StatementAction::Empty => LocalReply::Empty,
            StatementAction::Setting { name, value } => self.apply_local_setting(name, value),
            StatementAction::DiscardAll => self.discard_all(),
            StatementAction::DeallocateAll if self.grant.is_some() => {
                // The broker relies on the statements that it prepared on the connection.
                LocalReply::Unsupported("DEALLOCATE ALL on a connection with session state")
            }
            StatementAction::DeallocateAll => {
                self.store.clear();
                LocalReply::Complete("DEALLOCATE ALL")
            }
            StatementAction::Reset { name } => {
                self.identity.settings.reset(name.as_deref());
                if name.as_deref().is_none_or(|name| name == KIND_SETTING) {
                    self.identity.kind = self.identity.initial_kind.clone();
                }
                if self.grant.is_some() {
                    return LocalReply::None;
                }
                LocalReply::Complete("RESET")
            }
            _ if self.grant.is_some() => LocalReply::None,
            action => self.control_transaction(action, text),
        }
    }

    fn control_transaction(&mut self, action: &StatementAction, text: &[u8]) -> LocalReply {
        match action {
            StatementAction::Begin { .. } if !self.shared.lease.is_valid() => LocalReply::None,
            StatementAction::Begin { read_only } => {
                if self.state == TransactionState::Idle {
                    let mut begin = BytesMut::with_capacity(text.len() + 6);
                    response::message(&mut begin, b'Q', |buffer| {
                        buffer.put_slice(text);
                        buffer.put_u8(0);
                    });
                    let begin = begin.freeze();
                    self.state = TransactionState::Deferred { begin, read_only: *read_only };
                }
                LocalReply::Complete("BEGIN")
            }
            StatementAction::Commit => {
                self.state = TransactionState::Idle;
                LocalReply::Complete("COMMIT")
            }
            StatementAction::Rollback => {
                self.state = TransactionState::Idle;
                LocalReply::Complete("ROLLBACK")
            }
            _ => LocalReply::None,
        }
    }

    fn apply_local_setting(&mut self, name: &str, value: &str) -> LocalReply {
        match name {
            KIND_SETTING => {
                self.identity.kind = parse_kind(value);
                LocalReply::Complete("SET")
            }
            // The rules of the sheet apply to the application name from the start-up packet.
            "application_name" => LocalReply::Setting("application_name", value.to_owned()),
            _ if is_default(name, value) => {
                self.identity.settings.reset(Some(name));
                LocalReply::Complete("SET")
            }
            _ => LocalReply::None,
        }
    }

    fn discard_all(&mut self) -> LocalReply {
        if self.state != TransactionState::Idle {
            return LocalReply::Unsupported("DISCARD ALL inside a transaction");
        }
        // The broker resets a tainted connection before reusing it.
        if let Some(grant) = self.grant.take() {
            let _ = grant.link.input.try_send(LinkInput::Release);
        }
        self.store.clear();
        self.identity.kind = self.identity.initial_kind.clone();
        self.identity.settings.reset(None);
        LocalReply::Complete("DISCARD ALL")
    }

    /// Returns the name and text of a setting that can be replayed on later grants once a target has accepted
    /// it.
    pub(super) fn replayable_setting(
        &self,
        profile: &StatementProfile,
        text: &[u8],
    ) -> Option<(String, String)> {
        let StatementAction::Setting { name, .. } = &profile.action else { return None };
        let text = str::from_utf8(text).ok()?;
        let free = self.state == TransactionState::Idle && self.grant.is_none();
        (free && can_replay(name, text)).then(|| (name.clone(), text.to_owned()))
    }

    /// Writes the response to a statement, without ReadyForQuery.
    pub(super) fn write_local(&mut self, buffer: &mut BytesMut, reply: &LocalReply) {
        let severity = response::ErrorSeverity::Error;
        match reply {
            LocalReply::None => {}
            LocalReply::Empty => response::empty_message(buffer, b'I'),
            LocalReply::Complete(command) => response::command_complete(buffer, command),
            LocalReply::Setting(name, value) => {
                response::command_complete(buffer, "SET");
                response::parameter_status(buffer, name, value);
            }
            LocalReply::Aborted => {
                let message = "the transaction has failed; not run until it is rolled back";
                response::error(buffer, severity, IN_FAILED_TRANSACTION, message, "", "");
            }
            LocalReply::Unsupported(detail) => {
                response::error(buffer, severity, "0A000", "not supported; not run", detail, "");
                self.mark_transaction_lost();
            }
        }
    }

    /// Writes the responses to a batch whose only statement the proxy completes itself.
    pub(super) fn write_local_batch(&mut self, buffer: &mut BytesMut, reply: &LocalReply) {
        while self.store.has_in_flight() {
            let _ = self.store.complete_parse();
        }
        let steps = std::mem::take(&mut self.batch.steps);
        for (tag, detail) in steps {
            match tag {
                b'P' => response::empty_message(buffer, b'1'),
                b'B' => response::empty_message(buffer, b'2'),
                b'C' => response::empty_message(buffer, b'3'),
                b'D' => {
                    if detail == b'S' {
                        response::message(buffer, b't', |buffer| buffer.put_i16(0));
                    }
                    response::empty_message(buffer, b'n');
                }
                b'E' => {
                    self.write_local(buffer, reply);
                    if matches!(reply, LocalReply::Aborted | LocalReply::Unsupported(_)) {
                        return;
                    }
                }
                _ => {}
            }
        }
    }

    /// Marks an open transaction as lost after an error in it was reported to the caller.
    pub(super) fn mark_transaction_lost(&mut self) {
        if self.state != TransactionState::Idle {
            self.grant = None;
            self.state = TransactionState::Lost { unreported: false };
        }
    }
}
