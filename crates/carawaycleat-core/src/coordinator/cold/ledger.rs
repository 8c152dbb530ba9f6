use std::collections;
use std::time;

use crate::clock;
use crate::cold;
use crate::name;
use crate::relay;

/// The time whose requests, and one more, may be sent at once after a pause. With one alone, an upstream that takes two
/// requests per second gets 1.4, because a request counts until a report shows that it was sent.
const BURST_TIME: time::Duration = time::Duration::from_millis(500);
/// The time in which the weight of a host halves without requests.
const WEIGHT_HALF_LIFE: time::Duration = time::Duration::from_secs(2);
/// The amount by which the rounding offset of a host's share advances from one report to the next, as for
/// [`Reservations`](crate::coordinator::reservation::Reservations).
const ROUNDING_OFFSET_STEP: f64 = 0.618_034;

/// A permit: the host may send until its count of requests is `ceiling`, until `expires`.
#[derive(Clone, Copy, Debug)]
struct Grant {
    number: u64,
    ceiling: u64,
    expires: clock::Instant,
}

/// The requests of one host to a cold upstream.
#[derive(Clone, Debug, Default)]
struct Account {
    process: u64,
    /// The number of the last report, and the requests that the host had sent by then.
    number: u64,
    sent: u64,
    waiting: u32,
    /// The moving sum of its requests.
    weight: f64,
    /// The permits that it may use, or may have used in the last second.
    grants: Vec<Grant>,
    /// The requests that an earlier process of the host may have sent, and until when.
    earlier: Vec<(clock::Instant, u64)>,
}

impl Account {
    /// Returns the requests that this process may have sent since the last report, or may still send, with permits that
    /// expire after `since`.
    fn outstanding_since(&self, since: clock::Instant) -> u64 {
        let grants = self.grants.iter();
        let live = grants.filter(|grant| grant.expires > since);
        let ceiling = live.map(|grant| grant.ceiling).max().unwrap_or(0);
        ceiling.saturating_sub(self.sent)
    }

    /// Forgets what can no longer be in the window.
    fn forget(&mut self, now: clock::Instant) {
        let begin = now - cold::WINDOW;
        self.grants.retain(|grant| grant.expires >= begin);
        self.earlier.retain(|(expires, _)| *expires >= begin);
    }

    /// Begins to count the requests of a new process.
    fn restart(&mut self, now: clock::Instant, process: u64, sent: u64) {
        let outstanding = self.outstanding_since(clock::Instant::default());
        let expires = self.grants.iter().map(|grant| grant.expires).max();
        self.earlier.push((expires.unwrap_or(now), outstanding));
        self.grants.clear();
        self.process = process;
        self.sent = sent;
    }
}

/// The requests to one cold upstream.
#[derive(Clone, Debug)]
pub(super) struct Ledger {
    opened_at: clock::Instant,
    rate: f64,
    /// The requests that may be sent now to keep to the rate, those permitted included.
    level: f64,
    updated_at: clock::Instant,
    /// The requests of the last second: when they were reported at the latest, and their number.
    sent: collections::VecDeque<(clock::Instant, u64)>,
    accounts: collections::BTreeMap<name::Name, Account>,
    /// The requests that may be permitted to the host that is responded to, and those of them that are reserved.
    usable: u64,
    reserved: u64,
}

impl Ledger {
    pub(super) fn new(now: clock::Instant) -> Self {
        Self {
            opened_at: now,
            rate: 0.0,
            level: 0.0,
            updated_at: now,
            sent: collections::VecDeque::new(),
            accounts: collections::BTreeMap::new(),
            usable: 0,
            reserved: 0,
        }
    }

    /// Advances the level and the weights to `now`.
    pub(super) fn advance(&mut self, now: clock::Instant, rate: f64) {
        self.rate = rate;
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let burst = rate * BURST_TIME.as_secs_f64() + 1.0;
        self.level = (self.level + elapsed * rate).min(burst);
        let factor = 0.5_f64.powf(elapsed / WEIGHT_HALF_LIFE.as_secs_f64());
        let begin = now - cold::WINDOW;
        while self.sent.front().is_some_and(|(at, _)| *at < begin) {
            self.sent.pop_front();
        }
        for account in self.accounts.values_mut() {
            account.weight *= factor;
            account.forget(now);
        }
    }

    /// Applies what a host has reported.
    pub(super) fn record_report(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        process: u64,
        number: u64,
        held: u64,
        known: &relay::ColdUpstream,
    ) {
        let account = self.accounts.entry(host.clone()).or_default();
        if account.process != process {
            // What it sent before its first report is counted as that of a host without permits.
            account.restart(now, process, known.sent);
        }
        match known.sent.checked_sub(account.sent) {
            Some(sent) => {
                account.weight += sent as f64;
                self.level -= sent as f64;
                if sent > 0 {
                    self.sent.push_back((now, sent));
                }
                account.sent = known.sent;
            }
            // The host has forgotten the upstream meanwhile.
            None => account.restart(now, process, known.sent),
        }
        account.number = number;
        account.waiting = known.waiting;
        account.grants.retain(|grant| grant.number >= held);
    }

    /// Determines how many requests may be permitted to `host` in response to its report `number`, while `bound` requests
    /// may fall into one window.
    pub(super) fn prepare(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        number: u64,
        bound: f64,
    ) {
        self.usable = 0;
        self.reserved = 0;
        let is_settled = now.since(self.opened_at) >= super::SETTLING_TIME;
        let account = self.accounts.get(host);
        let Some(account) = account.filter(|account| account.number == number && is_settled) else {
            return;
        };
        let mut counted: u64 = self.sent.iter().map(|(_, sent)| sent).sum();
        let mut permitted = 0;
        for account in self.accounts.values() {
            let earlier: u64 = account.earlier.iter().map(|(_, count)| count).sum();
            counted += account.outstanding_since(clock::Instant::default()) + earlier;
            permitted += account.outstanding_since(now);
        }
        let within_bound = bound - counted as f64;
        let within_rate = self.level - permitted as f64;
        let more = within_bound.min(within_rate).floor();
        if within_bound < 0.0 {
            return;
        }
        self.usable = account.outstanding_since(now) + more.max(0.0) as u64;
    }

    /// Returns the requests that may be permitted and are not reserved.
    pub(super) fn available(&self) -> u32 {
        u32::try_from(self.usable.saturating_sub(self.reserved)).unwrap_or(u32::MAX)
    }

    /// Reserves one request for the host that is responded to.
    pub(super) fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Permits requests to `host` in response to its report `number`: those reserved for it, those that wait there, and a
    /// share of the rest. Returns the ceiling, 0 if it permits none; none when the host does not know that the upstream is
    /// cold.
    pub(super) fn permit(
        &mut self,
        now: clock::Instant,
        host: &name::Name,
        number: u64,
    ) -> Option<u64> {
        let total: f64 = self.accounts.values().map(|account| account.weight).sum();
        let hosts = self.accounts.len().max(1) as f64;
        let account = self.accounts.get_mut(host)?;
        if account.number != number {
            return None;
        }
        // The usable requests are divided roughly in proportion to those sent lately. One more request is divided equally,
        // so that a host without requests gets a share too.
        let share = (account.weight + 1.0 / hosts) / (total + 1.0);
        let offset = (number as f64 * ROUNDING_OFFSET_STEP).fract();
        let share = (self.usable as f64 * share + offset).floor() as u64;
        let wanted = self.reserved.max(account.waiting.into()).max(share);
        let requests = wanted.min(self.usable);
        (self.usable, self.reserved) = (0, 0);
        if requests == 0 {
            return Some(0);
        }
        let ceiling = account.sent + requests;
        account.grants.push(Grant {
            number,
            ceiling,
            expires: now + cold::PERMIT_LIFETIME,
        });
        Some(ceiling)
    }

    /// Returns the rate, the requests in the last second, those permitted and those that wait.
    pub(super) fn summary(&self, now: clock::Instant) -> String {
        let sent: u64 = self.sent.iter().map(|(_, sent)| sent).sum();
        let accounts = self.accounts.values();
        let (permitted, waiting) = accounts.fold((0, 0), |(permitted, waiting), account| {
            (
                permitted + account.outstanding_since(now),
                waiting + u64::from(account.waiting),
            )
        });
        format!("{:.1}/{sent}/{permitted}/{waiting}", self.rate)
    }
}
