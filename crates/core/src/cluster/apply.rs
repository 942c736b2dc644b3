//! Application of commands to the cluster state.

mod terms;

use {
    super::{
        ClusterState,
        change::ChangedItem,
        command::{ClusterCommand, ClusterRejection, ClusterReply},
        record::{
            BrokerRef, CandidateRecord, DatabaseRecord, EntryInfo, EntryRecord, SheetRecord,
            TargetInfo, TargetRecord, TermRecord,
        },
        sheets::sheet_digest,
    },
    crate::names::SharedName,
    std::collections::BTreeSet,
};

/// Number of expired entries whose records are kept, so that a late join of an older incarnation is
/// recognized.
const MAX_EXPIRED_ENTRIES: usize = 4_096;

/// Whether a command changed the state, or why it was rejected.
type Outcome = Result<bool, ClusterRejection>;

impl ClusterState {
    pub(super) fn apply_command(&mut self, index: u64, command: ClusterCommand) -> ClusterReply {
        let outcome = match command {
            ClusterCommand::JoinEntry { entry } => self.join_entry(index, entry),
            ClusterCommand::ExpireEntry { host, expected_version } => {
                self.expire_entry(index, &host, expected_version)
            }
            ClusterCommand::DrainEntry { host, drain, request_id } => {
                return self.apply_idempotent(index, request_id, |state| {
                    state.drain_entry(index, &host, drain)
                });
            }
            ClusterCommand::RecordTarget { database, server, info } => {
                self.record_target(index, database, server, info)
            }
            ClusterCommand::SetRejoining { database, server, incarnation, rejoining } => {
                self.set_rejoining(&database, &server, incarnation, rejoining)
            }
            ClusterCommand::SetTargetLive { database, server, expected_version, live } => {
                self.set_target_live(index, &database, &server, expected_version, live)
            }
            ClusterCommand::DrainTarget { database, server, drain, request_id } => {
                return self.apply_idempotent(index, request_id, |state| {
                    state.drain_target(index, &database, &server, drain)
                });
            }
            ClusterCommand::ForgetTarget { database, server, expected_version } => {
                self.forget_target(index, &database, &server, expected_version)
            }
            ClusterCommand::AssignBroker { database, server, expected_epoch, broker } => {
                self.assign_broker(index, &database, &server, expected_epoch, broker)
            }
            ClusterCommand::AdoptPrimary { database, server, incarnation, term, start } => self
                .adopt_primary(index, &database, server, incarnation, TermRecord { term, start }),
            ClusterCommand::CloseTerm { database, expected_term, planned } => {
                self.close_term(index, &database, expected_term, planned)
            }
            ClusterCommand::ChooseCandidate {
                database,
                expected_term,
                expected_candidate_term,
                candidate,
                incarnation,
                position,
            } => {
                let candidate = CandidateRecord { server: candidate, incarnation, position };
                self.choose_candidate(
                    index,
                    &database,
                    (expected_term, expected_candidate_term),
                    candidate,
                )
            }
            ClusterCommand::Promote { database, expected_term, candidate, term, start } => self
                .promote(index, &database, expected_term, &candidate, TermRecord { term, start }),
            ClusterCommand::ApplySheet { number, content, operator, request_id } => {
                return self.apply_sheet(index, number, content, operator, request_id);
            }
            ClusterCommand::Scoped { scope, command } => {
                return self.apply_scoped(index, &scope, *command);
            }
        };
        self.reply(index, outcome)
    }

    fn reply(&self, index: u64, outcome: Outcome) -> ClusterReply {
        match outcome {
            Ok(true) => ClusterReply::Done { version: index, changed: true },
            Ok(false) => ClusterReply::Done { version: self.data.version, changed: false },
            Err(rejection) => ClusterReply::Rejected(rejection),
        }
    }

    /// Applies a change unless the request already has a stored reply, which is then returned.
    fn apply_idempotent<F>(&mut self, index: u64, request_id: String, change: F) -> ClusterReply
    where
        F: FnOnce(&mut Self) -> Outcome,
    {
        if let Some(reply) = self.data.requests.find(&request_id) {
            return reply;
        }
        let outcome = change(self);
        let reply = self.reply(index, outcome);
        self.data.requests.store(request_id, reply.clone());
        reply
    }

    /// Sets the version of the state and lists the item as changed at this version.
    fn record_change(&mut self, version: u64, item: ChangedItem) {
        self.data.version = version;
        self.changes.push(version, item);
    }

    /// Lists each database as changed that has a target whose broker is a process of the host.
    fn record_brokered_databases(&mut self, version: u64, host: &SharedName) {
        let mut affected = BTreeSet::new();
        for (database, server) in self.holders.targets_of_host(host) {
            let broker = self.target(database, server).and_then(|target| target.broker.as_ref());
            if broker.is_some_and(|broker| broker.host == *host) {
                affected.insert(database.clone());
            }
        }
        for name in affected {
            self.record_change(version, ChangedItem::Database(name));
        }
    }

    /// Revokes all broker assignments of an entry process, so that it cannot resume one when it
    /// returns.
    ///
    /// The process stays recorded as releasing, since the leader checks its lease again before it
    /// assigns the next broker.
    fn revoke_broker_assignments(&mut self, version: u64, holder: &BrokerRef) {
        let held: Vec<_> = self.holders.targets_of_process(holder).cloned().collect();
        let mut affected = BTreeSet::new();
        for (database, server) in held {
            let revoked = self.update_holder(&database, &server, |target| {
                if target.broker.as_ref() != Some(holder) {
                    return false;
                }
                target.releasing = target.broker.take();
                target.epoch += 1;
                target.assigned_version = version;
                true
            });
            if revoked == Ok(true) {
                affected.insert(database);
            }
        }
        for name in affected {
            self.record_change(version, ChangedItem::Database(name));
        }
    }

    /// Changes the broker or the releasing process of a target and updates the index of holders.
    ///
    /// Every such change must go through this method; otherwise the index becomes incomplete.
    fn update_holder<T, F>(
        &mut self,
        database: &SharedName,
        server: &SharedName,
        change: F,
    ) -> Result<T, ClusterRejection>
    where
        F: FnOnce(&mut TargetRecord) -> T,
    {
        let group = self.data.databases.get_mut(database).ok_or_else(|| unknown("database"))?;
        let record = group.targets.get_mut(server).ok_or_else(|| unknown("target"))?;
        self.holders.remove(database, server, record);
        let result = change(record);
        self.holders.add(database, server, record);
        Ok(result)
    }

    fn join_entry(&mut self, index: u64, info: EntryInfo) -> Outcome {
        if info.host.is_empty() {
            return Err(not_allowed("the host name is empty"));
        }
        let host = info.host.clone();
        let mut drained = false;
        let mut process_changed = true;
        let mut joined_version = index;
        if let Some(record) = self.data.entries.get(&host) {
            if info.incarnation < record.info.incarnation {
                return Err(ClusterRejection::OldIncarnation { recorded: record.info.incarnation });
            }
            if record.live && record.info == info {
                return Ok(false);
            }
            drained = record.drained;
            process_changed = !record.live
                || record.info.incarnation != info.incarnation
                || record.info.address != info.address;
            if record.live && record.info.incarnation == info.incarnation {
                joined_version = record.joined_version;
            }
        }
        let record = EntryRecord { info, live: true, drained, joined_version, version: index };
        self.data.entries.insert(host.clone(), record);
        self.record_change(index, ChangedItem::Entry(host.clone()));
        if process_changed {
            self.record_brokered_databases(index, &host);
        }
        Ok(true)
    }

    fn expire_entry(&mut self, index: u64, host: &SharedName, expected: u64) -> Outcome {
        let Some(record) = self.data.entries.get_mut(host) else { return Err(unknown("entry")) };
        check_precondition("entry version", expected, record.version)?;
        if !record.live {
            return Ok(false);
        }
        record.live = false;
        record.version = index;
        let holder = BrokerRef { host: host.clone(), incarnation: record.info.incarnation };
        self.record_change(index, ChangedItem::Entry(host.clone()));
        self.revoke_broker_assignments(index, &holder);
        self.evict_expired_entries();
        Ok(true)
    }

    fn evict_expired_entries(&mut self) {
        if self.data.entries.len() <= MAX_EXPIRED_ENTRIES {
            return;
        }
        let mut expired = Vec::new();
        for (host, record) in &self.data.entries {
            if !record.live {
                expired.push((record.version, host.clone()));
            }
        }
        expired.sort();
        let excess = expired.len().saturating_sub(MAX_EXPIRED_ENTRIES);
        for (_, host) in expired.into_iter().take(excess) {
            self.data.entries.remove(&host);
        }
    }

    fn drain_entry(&mut self, index: u64, host: &SharedName, drain: bool) -> Outcome {
        let Some(record) = self.data.entries.get_mut(host) else { return Err(unknown("entry")) };
        if record.drained == drain {
            return Ok(false);
        }
        record.drained = drain;
        record.version = index;
        self.record_change(index, ChangedItem::Entry(host.clone()));
        Ok(true)
    }

    fn record_target(
        &mut self,
        index: u64,
        database: SharedName,
        server: SharedName,
        info: TargetInfo,
    ) -> Outcome {
        if database.is_empty() || server.is_empty() || info.address.is_empty() {
            return Err(not_allowed("database, server or address is empty"));
        }
        self.check_announcement(&database, &server, &info)?;
        let previous = self.target(&database, &server).map(|record| record.info.clone());
        if previous.as_ref() == Some(&info) {
            return Ok(false);
        }
        self.claim_address(index, &database, &server, &info);
        if let Some(previous) = previous
            && previous.address != info.address
            && self.addresses.get(&previous.address) == Some(&(database.clone(), server.clone()))
        {
            self.addresses.remove(&previous.address);
        }
        self.addresses.insert(info.address.clone(), (database.clone(), server.clone()));
        let group = self.data.databases.entry(database.clone()).or_default();
        let record = group.targets.entry(server).or_insert_with(|| TargetRecord {
            info: TargetInfo::default(),
            live: true,
            drained: false,
            broker: None,
            releasing: None,
            epoch: 0,
            assigned_version: 0,
            version: 0,
            rejoining: None,
        });
        record.live = record.live || record.info.incarnation != info.incarnation;
        record.info = info;
        record.version = index;
        self.record_change(index, ChangedItem::Database(database));
        Ok(true)
    }

    /// Checks that an announcement does not replace a newer incarnation of a target.
    ///
    /// # Errors
    ///
    /// Returns `OldIncarnation` if a newer incarnation of the target is recorded, and `AddressTaken` if
    /// another target with the same or a newer incarnation owns the address.
    pub fn check_announcement(
        &self,
        database: &SharedName,
        server: &SharedName,
        info: &TargetInfo,
    ) -> Result<(), ClusterRejection> {
        if let Some(record) = self.target(database, server)
            && info.incarnation < record.info.incarnation
        {
            return Err(ClusterRejection::OldIncarnation { recorded: record.info.incarnation });
        }
        match self.addresses.get(&info.address) {
            Some((other, name)) if other != database || name != server => {
                let newer = self
                    .target(other, name)
                    .is_some_and(|record| record.info.incarnation >= info.incarnation);
                let holder = || format!("{other}/{name}");
                if newer {
                    Err(ClusterRejection::AddressTaken { holder: holder() })
                } else {
                    Ok(())
                }
            }
            _ => Ok(()),
        }
    }

    /// Removes an address from the other target that owns it, which is then not live any more.
    ///
    /// `check_announcement` must have accepted the announcement before.
    fn claim_address(
        &mut self,
        index: u64,
        database: &SharedName,
        server: &SharedName,
        info: &TargetInfo,
    ) {
        let Some((other, name)) = self.addresses.get(&info.address).cloned() else { return };
        if other == *database && name == *server {
            return;
        }
        let Ok(record) = self.target_mut(&other, &name) else { return };
        record.live = false;
        record.info.address = SharedName::default();
        record.version = index;
        self.record_change(index, ChangedItem::Database(other));
    }

    /// Marks a target as rejoining, or clears the mark.
    ///
    /// Entries do not use the mark, so the version of the state does not change.
    fn set_rejoining(
        &mut self,
        database: &SharedName,
        server: &SharedName,
        incarnation: u64,
        rejoining: bool,
    ) -> Outcome {
        let record = self.target_mut(database, server)?;
        let marked_incarnation = record.rejoining.unwrap_or_default();
        if marked_incarnation > incarnation {
            return Err(not_allowed("a later incarnation is marked as rejoining"));
        }
        let next = if rejoining {
            Some(incarnation)
        } else if marked_incarnation == incarnation {
            None
        } else {
            record.rejoining
        };
        let changed = record.rejoining != next;
        record.rejoining = next;
        Ok(changed)
    }

    fn set_target_live(
        &mut self,
        index: u64,
        database: &SharedName,
        server: &SharedName,
        expected: u64,
        live: bool,
    ) -> Outcome {
        let record = self.target_mut(database, server)?;
        check_precondition("target version", expected, record.version)?;
        if record.live == live {
            return Ok(false);
        }
        if live && record.info.address.is_empty() {
            return Err(not_allowed("the target's address belongs to another target"));
        }
        record.live = live;
        record.version = index;
        self.record_change(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }

    fn drain_target(
        &mut self,
        index: u64,
        database: &SharedName,
        server: &SharedName,
        drain: bool,
    ) -> Outcome {
        let record = self.target_mut(database, server)?;
        if record.drained == drain {
            return Ok(false);
        }
        record.drained = drain;
        record.version = index;
        self.record_change(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }

    fn forget_target(
        &mut self,
        index: u64,
        database: &SharedName,
        server: &SharedName,
        expected: u64,
    ) -> Outcome {
        let group = self.group_mut(database)?;
        let is_candidate =
            group.candidate.as_ref().is_some_and(|candidate| candidate.server == *server);
        if is_candidate || group.primary.as_ref() == Some(server) {
            return Err(not_allowed("the target is the primary or a candidate"));
        }
        let record = self.target_mut(database, server)?;
        check_precondition("target version", expected, record.version)?;
        if record.live || !record.is_draining() {
            return Err(not_allowed("the target is live or not draining"));
        }
        let address = record.info.address.clone();
        if let Some(removed) = self.group_mut(database)?.targets.remove(server) {
            self.holders.remove(database, server, &removed);
        }
        if self.addresses.get(&address) == Some(&(database.clone(), server.clone())) {
            self.addresses.remove(&address);
        }
        self.record_change(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }

    fn assign_broker(
        &mut self,
        index: u64,
        database: &SharedName,
        server: &SharedName,
        expected_epoch: u64,
        broker: Option<BrokerRef>,
    ) -> Outcome {
        if let Some(broker) = &broker {
            let Some(entry) = self.data.entries.get(&broker.host) else {
                return Err(unknown("entry"));
            };
            check_precondition("entry incarnation", broker.incarnation, entry.info.incarnation)?;
            if !entry.is_eligible() {
                return Err(not_allowed("the entry is draining or not live"));
            }
        }
        let record = self.target_mut(database, server)?;
        check_precondition("epoch", expected_epoch, record.epoch)?;
        self.update_holder(database, server, |record| {
            record.releasing = match &broker {
                // The proposer has verified that the earlier holder released the target or that its
                // lease has expired.
                Some(_) => None,
                None => record.broker.take().or_else(|| record.releasing.take()),
            };
            record.broker = broker;
            record.epoch += 1;
            record.assigned_version = index;
        })?;
        self.record_change(index, ChangedItem::Database(database.clone()));
        Ok(true)
    }

    fn apply_sheet(
        &mut self,
        index: u64,
        number: u64,
        content: String,
        operator: String,
        request_id: String,
    ) -> ClusterReply {
        if let Some(reply) = self.data.requests.find(&request_id) {
            return reply;
        }
        let digest = sheet_digest(content.as_bytes());
        let record = SheetRecord {
            number,
            digest,
            operator,
            request_id: request_id.clone(),
            version: index,
        };
        let reply = self.data.sheets.accept(record, content);
        if matches!(reply, ClusterReply::Done { changed: true, .. }) {
            self.record_change(index, ChangedItem::Sheet);
        }
        self.data.requests.store(request_id, reply.clone());
        reply
    }

    fn group_mut(&mut self, database: &str) -> Result<&mut DatabaseRecord, ClusterRejection> {
        self.data.databases.get_mut(database).ok_or_else(|| unknown("database"))
    }

    fn target_mut(
        &mut self,
        database: &str,
        server: &str,
    ) -> Result<&mut TargetRecord, ClusterRejection> {
        self.group_mut(database)?.targets.get_mut(server).ok_or_else(|| unknown("target"))
    }
}

fn check_precondition(what: &str, expected: u64, found: u64) -> Result<(), ClusterRejection> {
    if expected == found {
        return Ok(());
    }
    Err(ClusterRejection::Stale { what: what.to_owned(), expected, found })
}

fn unknown(what: &str) -> ClusterRejection {
    ClusterRejection::Unknown { what: what.to_owned() }
}

fn not_allowed(detail: &str) -> ClusterRejection {
    ClusterRejection::NotAllowed { detail: detail.to_owned() }
}
