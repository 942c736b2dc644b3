//! Requests, their classification and the rule of the sheet that applies to them.

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

/// Properties of the statements of one request that affect how it is run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestSummary {
    /// Whether every statement is known to be read-only.
    pub(super) read: bool,
    /// Kind from a tag; `None` without a tag.
    pub(super) kind: Option<SharedName>,
    /// Fingerprint of the first statement, for estimates of the execution time.
    pub(super) fingerprint: u64,
    /// Whether it leaves state on the connection that later statements of the session need.
    pub(super) pins: bool,
    /// Whether it may leave state on the connection that other sessions must not see.
    pub(super) taints: bool,
    /// Whether it may end a transaction, so that the outcome is unknown if the response is lost.
    pub(super) may_end_transaction: bool,
    /// Whether it consists only of transaction control, to which the sheet does not apply.
    pub(super) is_transaction_control: bool,
    /// Whether it consists only of commits and rollbacks.
    pub(super) is_commit_or_rollback: bool,
    /// Whether it consists only of rollbacks, which are always allowed.
    pub(super) is_rollback: bool,
}

impl RequestSummary {
    pub(super) fn of(profile: &StatementProfile) -> Self {
        let action = &profile.action;
        let is_commit_or_rollback =
            matches!(action, StatementAction::Commit | StatementAction::Rollback);
        let changes_settings = matches!(
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
            pins: profile.pins || changes_settings,
            taints: profile.taints || changes_settings,
            may_end_transaction: profile.ends_transaction,
            is_transaction_control: is_commit_or_rollback
                || matches!(action, StatementAction::Savepoint | StatementAction::Begin { .. }),
            is_commit_or_rollback,
            is_rollback: *action == StatementAction::Rollback,
        }
    }

    /// Combines the statements of a batch; an execution of an unknown portal counts as a write.
    pub(super) fn of_batch(batch: &CallerBatch) -> Self {
        let mut profiles = batch.profiles.iter();
        let Some(first) = profiles.next() else {
            return Self {
                read: !batch.unbound,
                kind: None,
                fingerprint: 0,
                pins: false,
                taints: false,
                may_end_transaction: batch.unbound,
                is_transaction_control: !batch.unbound,
                is_commit_or_rollback: false,
                is_rollback: false,
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
            summary.may_end_transaction |= other.may_end_transaction;
            summary.is_transaction_control &= other.is_transaction_control;
            summary.is_commit_or_rollback &= other.is_commit_or_rollback;
            summary.is_rollback &= other.is_rollback;
        }
        summary.read &= !batch.unbound;
        summary.may_end_transaction |= batch.unbound;
        summary
    }

    /// Returns the kind of the request and the rule that applies to it.
    ///
    /// # Errors
    ///
    /// Returns `NotAllowed` if there is no rule, or if the rule allows only reads and the request is not known
    /// to be one.
    pub(super) fn find_rule(
        &self,
        sheet: &RuleSheet,
        database: &str,
        application: &str,
        kind_setting: Option<&SharedName>,
    ) -> Result<(SharedName, SheetRule), FailureKind> {
        let fallback = || SharedName::from(if self.read { READ_KIND } else { WRITE_KIND });
        let kind = self.kind.clone().or_else(|| kind_setting.cloned()).unwrap_or_else(fallback);
        let rule = sheet.find(database, application, &kind).ok_or(FailureKind::NotAllowed)?;
        if rule.access == RuleAccess::Read && !self.read && !self.is_transaction_control {
            return Err(FailureKind::NotAllowed);
        }
        Ok((kind, rule.clone()))
    }
}

/// Returns whether any rule of an application requires that a second server confirms commits.
///
/// Whether commits wait for the confirmation is fixed when a transaction's grant is opened. The kinds of the
/// later statements are not known then, so the strictest rule applies.
pub(super) fn may_need_ack(sheet: &RuleSheet, database: &str, application: &str) -> bool {
    sheet.rules().iter().any(|rule| {
        rule.ack == RuleAck::Replica
            && (rule.database.as_str() == WILDCARD || rule.database.as_str() == database)
            && (rule.application.as_str() == WILDCARD || rule.application.as_str() == application)
    })
}

/// Request in the form in which it is sent to a target.
#[derive(Clone, Debug)]
pub(super) struct CallerRequest {
    /// Whole frontend messages.
    pub(super) data: Bytes,
    /// Properties of the statements.
    pub(super) summary: RequestSummary,
    /// Whether the target responds with ReadyForQuery without further messages.
    pub(super) complete: bool,
    /// Name and SET statement of the setting that the request changes, to be replayed on later grants.
    pub(super) setting: Option<(String, String)>,
}

impl CallerRequest {
    /// Marks the request as the change of a setting that is replayed, so that it does not pin the session.
    ///
    /// Without a setting the request stays as it is.
    pub(super) fn with_setting(mut self, setting: Option<(String, String)>) -> Self {
        if setting.is_some() {
            self.summary.read = true;
            self.summary.pins = false;
            self.summary.taints = true;
            self.setting = setting;
        }
        self
    }
}
