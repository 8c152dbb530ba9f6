use std::collections;
use std::time;

use super::absence;
use super::change;
use super::connection;
use super::load;
use super::options;
use super::relocation;
use crate::clock;
use crate::meter;
use crate::name;
use crate::revision;

/// The time constant over which this host's load is averaged.
const LOAD_TIME: time::Duration = time::Duration::from_millis(2_000);
/// The time after which an absence is forgotten. The few connections that are still open then stay.
const MAX_ABSENCE_AGE: time::Duration = time::Duration::from_secs(600);
/// The maximum number of absences that are remembered.
const MAX_ABSENCES: usize = 512;

/// Decides which callers are asked to connect anew.
#[derive(Debug)]
pub struct Reducer {
    host: name::Name,
    zone: name::Name,
    options: options::Options,
    /// The registered hosts other than this one, with the revisions of their entries.
    hosts: collections::BTreeMap<name::Name, revision::Revision>,
    /// The availability zones of registered and absent hosts, as far as they are known.
    zones: collections::BTreeMap<name::Name, name::Name>,
    /// The absences of hosts, in the order of their beginning.
    absences: collections::VecDeque<absence::Absence>,
    /// Whether all entries have been read once.
    is_listed: bool,
    requests: meter::Meter<()>,
    /// The loads of all availability zones and when they were received.
    loads: Option<(clock::Instant, Vec<load::Load>)>,
}

impl Reducer {
    /// Returns the reducer of the host `host` in the availability zone `zone`.
    #[must_use]
    pub fn new(host: name::Name, zone: name::Name, options: options::Options) -> Self {
        Self {
            host,
            zone,
            options,
            hosts: collections::BTreeMap::new(),
            zones: collections::BTreeMap::new(),
            absences: collections::VecDeque::new(),
            is_listed: false,
            requests: meter::Meter::with_time_constant(LOAD_TIME),
            loads: None,
        }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now: clock::Instant) {
        self.requests.add(now, &(), 1.0);
    }

    /// Returns the requests of callers per second, averaged over some seconds.
    #[must_use]
    pub fn load(&self, now: clock::Instant) -> f64 {
        self.requests.rate(now, &())
    }

    /// Replaces the loads of all availability zones.
    pub fn record_loads(&mut self, now: clock::Instant, loads: Vec<load::Load>) {
        self.loads = Some((now, loads));
    }

    /// Applies a change of the registered hosts. `confirmed` is the last time at which the registrations known before were
    /// complete.
    pub fn step(&mut self, now: clock::Instant, confirmed: clock::Instant, change: change::Change) {
        let earliest = confirmed.min(now) - self.options.entry_lease;
        match change {
            change::Change::Joined { host, revision } if host != self.host => {
                self.record_join(now, earliest, host, revision);
            }
            change::Change::Left(host) => {
                if self.hosts.remove(&host).is_some() {
                    self.record_leave(earliest, host);
                }
            }
            change::Change::Located { host, zone } if host != self.host => {
                self.zones.insert(host, zone);
            }
            change::Change::Joined { .. } | change::Change::Located { .. } => {}
            change::Change::Listed => self.is_listed = true,
        }
        self.forget(now);
    }

    /// Returns why the caller of `connection` is to connect anew; none if it is not.
    #[must_use]
    pub fn relocation(
        &self,
        now: clock::Instant,
        connection: connection::Connection,
    ) -> Option<relocation::Relocation> {
        let (received, loads) = self.loads.as_ref()?;
        let load_age = now.since(*received);
        if load_age > self.options.max_load_age {
            return None;
        }
        let load = self.load(now);
        let exceeds = |mean: &f64| load > mean * self.options.min_load_ratio;
        let own_mean = mean(loads.iter().filter(|load| load.zone == self.zone)).filter(exceeds);
        let fleet_mean = mean(loads.iter()).filter(exceeds);
        if own_mean.is_none() && fleet_mean.is_none() {
            return None;
        }
        let (host, mean_load) = self.absences.iter().find_map(|absence| {
            // Looking up hosts takes longer than comparing times, and most absences do not cover the connection.
            if !absence.covers(connection.accepted, self.options.take_up_time) {
                return None;
            }
            let mean = if self.is_near(&absence.host) {
                own_mean
            } else {
                fleet_mean
            }?;
            let displaced = self.has_displaced(now, absence, connection);
            displaced.then(|| (absence.host.clone(), mean))
        })?;
        Some(relocation::Relocation {
            host,
            age: now.since(connection.accepted),
            load,
            mean_load,
            load_age,
        })
    }

    /// Returns whether the host of `absence`, which covers `connection`, is back, would have got the connection, and it is the
    /// turn of that connection.
    fn has_displaced(
        &self,
        now: clock::Instant,
        absence: &absence::Absence,
        connection: connection::Connection,
    ) -> bool {
        let Some(until) = absence.until else {
            return false;
        };
        let due = until + self.options.take_up_time + self.options.spread.mul_f64(connection.draw);
        now >= due
            && self.hosts.contains_key(&absence.host)
            && (self.is_near(&absence.host) || self.was_vacant(&absence.host, connection.accepted))
    }

    /// Returns whether a host is in this host's availability zone, or its zone is not known.
    fn is_near(&self, host: &name::Name) -> bool {
        self.zones.get(host).is_none_or(|zone| *zone == self.zone)
    }

    /// Returns whether no host of the availability zone of `host` took connections at `at`. Callers connect to hosts of
    /// other zones only then.
    fn was_vacant(&self, host: &name::Name, at: clock::Instant) -> bool {
        let zone = self.zones.get(host);
        let departed = self.absences.iter().map(|absence| &absence.host);
        let mut known = self
            .hosts
            .keys()
            .chain(departed)
            .filter(|other| self.zones.get(*other) == zone);
        known.all(|other| {
            let mut absences = self.absences.iter();
            absences.any(|absence| {
                absence.host == *other && absence.covers(at, self.options.take_up_time)
            })
        })
    }

    fn record_join(
        &mut self,
        now: clock::Instant,
        earliest: clock::Instant,
        host: name::Name,
        revision: revision::Revision,
    ) {
        let previous = self.hosts.insert(host.clone(), revision);
        if previous == Some(revision) || !self.is_listed {
            return;
        }
        if previous.is_some() {
            // The earlier process ended without its entry being removed.
            self.record_leave(earliest, host.clone());
        }
        let open =
            |absence: &&mut absence::Absence| absence.host == host && absence.until.is_none();
        match self.absences.iter_mut().find(open) {
            Some(absence) => absence.until = Some(now),
            None => self.absences.push_back(absence::Absence {
                host,
                from: clock::Instant::default(),
                until: Some(now),
            }),
        }
    }

    fn record_leave(&mut self, earliest: clock::Instant, host: name::Name) {
        let settling_time = self.options.take_up_time + self.options.spread;
        // Of a host that leaves soon after its return, not all callers may have been asked to connect anew.
        let unsettled = self.absences.iter().position(|absence| {
            let is_recent = |until: clock::Instant| until + settling_time > earliest;
            absence.host == host && absence.until.is_some_and(is_recent)
        });
        let from = unsettled.and_then(|index| self.absences.remove(index));
        self.absences.push_back(absence::Absence {
            host,
            from: from.map_or(earliest, |absence| absence.from.min(earliest)),
            until: None,
        });
    }

    /// Forgets old absences, and the zones of hosts that are neither registered nor remembered.
    fn forget(&mut self, now: clock::Instant) {
        self.absences
            .retain(|absence| now.since(absence.last()) < MAX_ABSENCE_AGE);
        while self.absences.len() > MAX_ABSENCES {
            self.absences.pop_front();
        }
        if self.zones.len() > self.hosts.len() + MAX_ABSENCES {
            let (hosts, absences) = (&self.hosts, &self.absences);
            self.zones.retain(|host, _| {
                hosts.contains_key(host) || absences.iter().any(|absence| absence.host == *host)
            });
        }
    }
}

/// Returns the mean load of the hosts that take connections; none if there are none.
fn mean<'a>(loads: impl Iterator<Item = &'a load::Load>) -> Option<f64> {
    let (hosts, load) = loads.fold((0, 0.0), |(hosts, sum), load| {
        (hosts + load.hosts, sum + load.requests_per_second)
    });
    (hosts > 0).then(|| load / f64::from(hosts))
}
