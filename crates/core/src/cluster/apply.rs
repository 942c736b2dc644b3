//! Effects of the commands.

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

/// Expired entries that stay recorded, so that their older incarnations are recognized.
const EXPIRED_KEPT: usize = 4_096;

type Outcome = Result<bool, ClusterRejection>;

impl ClusterState {
    pub(super) fn apply_command(&mut self, index: u64, command: ClusterCommand) -> ClusterReply {
        let outcome = match command {
            ClusterCommand::JoinEntry { entry } => self.join_entry(index, entry),
            ClusterCommand::ExpireEntry { host, expected_version } => {
                self.expire_entry(index, &host, expected_version)
            }
            ClusterCommand::DrainEntry { host, drain, request_id } => {
                return self.answer_once(index, request_id, |state| {
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
                return self.answer_once(index, request_id, |state| {
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

    fn answer_once<F>(&mut self, index: u64, request_id: String, change: F) -> ClusterReply
    where
        F: FnOnce(&mut Self) -> Outcome,
    {
        if let Some(answer) = self.data.requests.find(&request_id) {
            return answer;
        }
        let outcome = change(self);
        let answer = self.reply(index, outcome);
        self.data.requests.keep(request_id, answer.clone());
        answer
    }

    fn touch(&mut self, version: u64, item: ChangedItem) {
        self.data.version = version;
        self.changes.push(version, item);
    }

    fn touch_brokered(&mut self, version: u64, host: &SharedName) {
        let mut affected = BTreeSet::new();
        for (database, server) in self.holders.of_host(host) {
            let broker = self.target(database, server).and_then(|target| target.broker.as_ref());
            if broker.is_some_and(|broker| broker.host == *host) {
                affected.insert(database.clone());
            }
        }
        for name in affected {
            self.touch(version, ChangedItem::Database(name));
        }
    }

    /// Ends all brokerships of an entry process, so that it cannot resume one when it returns.
    ///
    /// It stays recorded as releasing: the leader that assigns the next broker checks its lease again.
    fn end_brokerships(&mut self, version: u64, holder: &BrokerRef) {
        let held: Vec<_> = self.holders.of_process(holder).cloned().collect();
        let mut affected = BTreeSet::new();
        for (database, server) in held {
            let ended = self.change_holder(&database, &server, |target| {
                if target.broker.as_ref() != Some(holder) {
                    return false;
                }
                target.releasing = target.broker.take();
                target.epoch += 1;
                target.assigned_version = version;
                true
            });
            if ended == Ok(true) {
                affected.insert(database);
            }
        }
        for name in affected {
            self.touch(version, ChangedItem::Database(name));
        }
    }

    /// Changes the broker or the releasing process of a target; the only place that does so, which
    /// keeps the index of holders complete.
    fn change_holder<T, F>(
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
        let mut replaced = true;
        let mut joined_version = index;
        if let Some(record) = self.data.entries.get(&host) {
            if info.incarnation < record.info.incarnation {
                return Err(ClusterRejection::OldIncarnation { recorded: record.info.incarnation });
            }
            if record.live && record.info == info {
                return Ok(false);
            }
            drained = record.drained;
            replaced = !record.live
                || record.info.incarnation != info.incarnation
                || record.info.address != info.address;
            if record.live && record.info.incarnation == info.incarnation {
                joined_version = record.joined_version;
            }
        }
        let record = EntryRecord { info, live: true, drained, joined_version, version: index };
        self.data.entries.insert(host.clone(), record);
        self.touch(index, ChangedItem::Entry(host.clone()));
        if replaced {
            self.touch_brokered(index, &host);
        }
        Ok(true)
    }

    fn expire_entry(&mut self, index: u64, host: &SharedName, expected: u64) -> Outcome {
        let Some(record) = self.data.entries.get_mut(host) else { return Err(unknown("entry")) };
        check("entry version", expected, record.version)?;
        if !record.live {
            return Ok(false);
        }
        record.live = false;
        record.version = index;
        let holder = BrokerRef { host: host.clone(), incarnation: record.info.incarnation };
        self.touch(index, ChangedItem::Entry(host.clone()));
        self.end_brokerships(index, &holder);
        self.drop_expired_entries();
        Ok(true)
    }

    fn drop_expired_entries(&mut self) {
        if self.data.entries.len() <= EXPIRED_KEPT {
            return;
        }
        let mut expired = Vec::new();
        for (host, record) in &self.data.entries {
            if !record.live {
                expired.push((record.version, host.clone()));
            }
        }
        expired.sort();
        let excess = expired.len().saturating_sub(EXPIRED_KEPT);
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
        self.touch(index, ChangedItem::Entry(host.clone()));
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
        self.touch(index, ChangedItem::Database(database));
        Ok(true)
    }

    /// Checks that an announcement displaces nothing newer.
    ///
    /// # Errors
    ///
    /// Returns an error if a newer incarnation of the target or a newer holder of its address is known.
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

    /// Takes an address over from a target with a lower incarnation, which then counts as gone.
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
        self.touch(index, ChangedItem::Database(other));
    }

    // No entry acts on the mark, so the version of the group does not change.
    fn set_rejoining(
        &mut self,
        database: &SharedName,
        server: &SharedName,
        incarnation: u64,
        rejoining: bool,
    ) -> Outcome {
        let record = self.target_mut(database, server)?;
        let known = record.rejoining.unwrap_or_default();
        if known > incarnation {
            return Err(not_allowed("a later incarnation is marked"));
        }
        let next = if rejoining {
            Some(incarnation)
        } else if known == incarnation {
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
        check("target version", expected, record.version)?;
        if record.live == live {
            return Ok(false);
        }
        if live && record.info.address.is_empty() {
            return Err(not_allowed("the target's address belongs to another target"));
        }
        record.live = live;
        record.version = index;
        self.touch(index, ChangedItem::Database(database.clone()));
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
        self.touch(index, ChangedItem::Database(database.clone()));
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
        let named = group.candidate.as_ref().is_some_and(|candidate| candidate.server == *server);
        if named || group.primary.as_ref() == Some(server) {
            return Err(not_allowed("the target is the primary or a candidate"));
        }
        let record = self.target_mut(database, server)?;
        check("target version", expected, record.version)?;
        if record.live || !record.is_draining() {
            return Err(not_allowed("the target has not left"));
        }
        let address = record.info.address.clone();
        if let Some(removed) = self.group_mut(database)?.targets.remove(server) {
            self.holders.remove(database, server, &removed);
        }
        if self.addresses.get(&address) == Some(&(database.clone(), server.clone())) {
            self.addresses.remove(&address);
        }
        self.touch(index, ChangedItem::Database(database.clone()));
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
            check("entry incarnation", broker.incarnation, entry.info.incarnation)?;
            if !entry.is_eligible() {
                return Err(not_allowed("the entry is draining or not live"));
            }
        }
        let record = self.target_mut(database, server)?;
        check("epoch", expected_epoch, record.epoch)?;
        self.change_holder(database, server, |record| {
            record.releasing = match &broker {
                // The proposer has seen the release or the end of the earlier holder's lease.
                Some(_) => None,
                None => record.broker.take().or_else(|| record.releasing.take()),
            };
            record.broker = broker;
            record.epoch += 1;
            record.assigned_version = index;
        })?;
        self.touch(index, ChangedItem::Database(database.clone()));
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
        if let Some(answer) = self.data.requests.find(&request_id) {
            return answer;
        }
        let digest = sheet_digest(content.as_bytes());
        let record = SheetRecord {
            number,
            digest,
            operator,
            request_id: request_id.clone(),
            version: index,
        };
        let answer = self.data.sheets.accept(record, content);
        if matches!(answer, ClusterReply::Done { changed: true, .. }) {
            self.touch(index, ChangedItem::Sheet);
        }
        self.data.requests.keep(request_id, answer.clone());
        answer
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

fn check(what: &str, expected: u64, found: u64) -> Result<(), ClusterRejection> {
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
