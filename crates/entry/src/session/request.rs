//! What a request is and which rule of the sheet applies to it.

use {
    super::prepared::CallerBatch,
    banyansill_core::{
        failure::FailureKind,
        names::SharedName,
        sheet::{RuleAccess, RuleAck, RuleSheet, SheetRule, WILDCARD},
        statement::{StatementAction, StatementProfile},
    },
    bytes::Bytes,
    std::sync::Arc,
};

/// Kind of reads without a tag or setting.
const READ_KIND: &str = "read";

/// Kind of all other requests without a tag or setting.
const WRITE_KIND: &str = "write";

/// What matters about the statements of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestSummary {
    /// Every statement is known to change nothing.
    pub(super) read: bool,
    /// Kind from a tag.
    pub(super) kind: Option<SharedName>,
    /// Fingerprint for estimates.
    pub(super) fingerprint: u64,
    /// Leaves state that later statements of the session need.
    pub(super) pins: bool,
    /// May leave state that other sessions must not see.
    pub(super) taints: bool,
    /// May end a transaction, so that a lost answer leaves the outcome unknown.
    pub(super) ends: bool,
    /// Is nothing but transaction control, which the sheet has no say in.
    pub(super) control: bool,
    /// Is a commit or a rollback and nothing else.
    pub(super) closes: bool,
    /// Is a rollback and nothing else, which needs nobody's permission.
    pub(super) rollback: bool,
}

impl RequestSummary {
    pub(super) fn of(profile: &StatementProfile) -> Self {
        let action = &profile.action;
        let closes = matches!(action, StatementAction::Commit | StatementAction::Rollback);
        let setting = matches!(
            action,
            StatementAction::Setting { .. }
                | StatementAction::DiscardAll
                | StatementAction::DeallocateAll
                | StatementAction::Reset { .. }
        );
        Self {
            read: profile.is_read(),
            kind: profile.kind.clone(),
            fingerprint: profile.fingerprint,
            pins: profile.pins || setting,
            taints: profile.taints || setting,
            ends: profile.ends_transaction,
            control: closes
                || matches!(action, StatementAction::Savepoint | StatementAction::Begin { .. }),
            closes,
            rollback: *action == StatementAction::Rollback,
        }
    }

    /// Combines the statements of a batch; executions of unknown portals are taken for writes.
    pub(super) fn of_batch(batch: &CallerBatch) -> Self {
        let mut profiles = batch.profiles.iter();
        let Some(first) = profiles.next() else {
            return Self {
                read: !batch.unbound,
                kind: None,
                fingerprint: 0,
                pins: false,
                taints: false,
                ends: batch.unbound,
                control: !batch.unbound,
                closes: false,
                rollback: false,
            };
        };
        let mut summary = Self::of(first);
        for profile in profiles {
            if Arc::ptr_eq(profile, first) {
                continue;
            }
            let other = Self::of(profile);
            summary.read &= other.read;
            summary.kind = summary.kind.or(other.kind);
            summary.pins |= other.pins;
            summary.taints |= other.taints;
            summary.ends |= other.ends;
            summary.control &= other.control;
            summary.closes &= other.closes;
            summary.rollback &= other.rollback;
        }
        summary.read &= !batch.unbound;
        summary.ends |= batch.unbound;
        summary
    }

    /// Returns the kind of the request and the rule that applies to it.
    ///
    /// # Errors
    ///
    /// Returns `NotAllowed` without a rule, or if the rule only allows reads and this is not known
    /// to be one.
    pub(super) fn find_rule(
        &self,
        sheet: &RuleSheet,
        database: &str,
        application: &str,
        setting: Option<&SharedName>,
    ) -> Result<(SharedName, SheetRule), FailureKind> {
        let fallback = || SharedName::from(if self.read { READ_KIND } else { WRITE_KIND });
        let kind = self.kind.clone().or_else(|| setting.cloned()).unwrap_or_else(fallback);
        let rule = sheet.find(database, application, &kind).ok_or(FailureKind::NotAllowed)?;
        if rule.access == RuleAccess::Read && !self.read && !self.control {
            return Err(FailureKind::NotAllowed);
        }
        Ok((kind, rule.clone()))
    }
}

/// Returns whether any write of an application may need a second server's confirmation.
///
/// The kind of a transaction's later statements is not known when its grant is opened, and the
/// grant's rule for commits is fixed then, so the strictest one is taken.
pub(super) fn strictest_ack(sheet: &RuleSheet, database: &str, application: &str) -> bool {
    sheet.rules().iter().any(|rule| {
        rule.ack == RuleAck::Replica
            && (rule.database.as_str() == WILDCARD || rule.database.as_str() == database)
            && (rule.application.as_str() == WILDCARD || rule.application.as_str() == application)
    })
}

/// One request as it goes to a target.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    /// Whole frontend messages.
    pub(super) data: Bytes,
    /// What the statements do.
    pub(super) summary: RequestSummary,
    /// Whether the target answers with ReadyForQuery without further messages.
    pub(super) complete: bool,
    /// Name and text of the setting that the request changes, to be remembered for later grants.
    pub(super) setting: Option<(String, String)>,
}

impl CallerRequest {
    /// Makes the request one that sets a remembered setting and needs no connection of its own.
    pub(super) fn remember(mut self, setting: Option<(String, String)>) -> Self {
        if setting.is_some() {
            self.summary.read = true;
            self.summary.pins = false;
            self.summary.taints = true;
            self.setting = setting;
        }
        self
    }
}
