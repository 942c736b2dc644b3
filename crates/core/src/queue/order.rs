//! Waiting requests sorted by key, with short and long work kept apart.

use {
    super::SlotTicket,
    crate::time::Micros,
    std::collections::{BTreeMap, BTreeSet},
};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkClass {
    Short,
    Long,
}

#[derive(Debug, Default)]
struct ClassOrder {
    keys: BTreeSet<(u64, SlotTicket)>,
    /// Expected work per priority, in microseconds.
    work: BTreeMap<u32, u64>,
}

impl ClassOrder {
    fn work_up_to(&self, priority: u32) -> u64 {
        let mut sum = 0_u64;
        for work in self.work.range(..=priority).map(|(_, work)| *work) {
            sum = sum.saturating_add(work);
        }
        sum
    }
}

/// Waiting requests sorted by key, and their expected work for admission checks.
#[derive(Debug, Default)]
pub(super) struct WaitOrder {
    short: ClassOrder,
    long: ClassOrder,
}

impl WaitOrder {
    pub(super) fn insert(
        &mut self,
        class: WorkClass,
        key: u64,
        ticket: SlotTicket,
        priority: u32,
        estimate: Micros,
    ) {
        let order = self.class_mut(class);
        order.keys.insert((key, ticket));
        let work = order.work.entry(priority).or_default();
        *work = work.saturating_add(estimate.0);
    }

    pub(super) fn remove(
        &mut self,
        class: WorkClass,
        key: u64,
        ticket: SlotTicket,
        priority: u32,
        estimate: Micros,
    ) {
        let order = self.class_mut(class);
        order.keys.remove(&(key, ticket));
        if let Some(work) = order.work.get_mut(&priority) {
            *work = work.saturating_sub(estimate.0);
        }
    }

    /// Returns the eligible request with the lowest key, skipping long work unless `long_allowed`.
    pub(super) fn first<F>(&self, long_allowed: bool, eligible: F) -> Option<SlotTicket>
    where
        F: Fn(SlotTicket) -> bool,
    {
        let first_eligible = |order: &ClassOrder| {
            for (key, ticket) in &order.keys {
                if eligible(*ticket) {
                    return Some((*key, *ticket));
                }
            }
            None
        };
        let short = first_eligible(&self.short);
        let long = if long_allowed { first_eligible(&self.long) } else { None };
        let found = match (short, long) {
            (Some(short), Some(long)) => Some(short.min(long)),
            (short, long) => short.or(long),
        };
        found.map(|(_, ticket)| ticket)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.short.keys.is_empty() && self.long.keys.is_empty()
    }

    pub(super) fn short_up_to(&self, priority: u32) -> u64 {
        self.short.work_up_to(priority)
    }

    pub(super) fn long_up_to(&self, priority: u32) -> u64 {
        self.long.work_up_to(priority)
    }

    pub(super) fn total(&self) -> u64 {
        self.short_up_to(u32::MAX).saturating_add(self.long_up_to(u32::MAX))
    }

    const fn class_mut(&mut self, class: WorkClass) -> &mut ClassOrder {
        match class {
            WorkClass::Short => &mut self.short,
            WorkClass::Long => &mut self.long,
        }
    }
}
