//! What this host may use of each upstream, where connections are shared out.

use std::collections;
use std::net;
use std::time;

use crate::balance;
use crate::clock;
use crate::connection;
use crate::name;
use crate::relay::config;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::pending;
use crate::relay::upstream;
use crate::relay::view;

/// The longest time between two updates of what the host may use.
const REFRESH_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The time for which a host that has left counts when connections are divided equally.
const DEPARTURE_TIME: time::Duration = time::Duration::from_secs(10);
/// The part of the hosts' expected connections when there are fewer connections than hosts: the digests that choose the hosts
/// may choose some more.
const CHOSEN_FRACTION: f64 = 0.8;

/// The subsets of one service, and what they were computed from.
#[derive(Debug, Default)]
struct Subsets {
    hosts: Vec<connection::Member>,
    upstreams: Vec<connection::Member>,
    size: usize,
    assignment: connection::Assignment,
}

/// What a host knows of the division of connections.
#[derive(Debug, Default)]
pub(super) struct Connections {
    /// What the coordinator has granted; none until the host has begun to count the time without a view.
    holding: Option<connection::Holding>,
    /// The other hosts that are registered, with their availability zones.
    hosts: collections::BTreeMap<name::Name, Option<name::Name>>,
    /// The availability zones of hosts, which may be read before the hosts' entries.
    zones: collections::BTreeMap<name::Name, name::Name>,
    /// When hosts left that are not back.
    departed: collections::BTreeMap<name::Name, clock::Instant>,
    subsets: collections::BTreeMap<name::Name, Subsets>,
    /// The limits in force.
    limits: collections::BTreeMap<net::SocketAddr, u32>,
    refreshed_at: Option<clock::Instant>,
}

impl Connections {
    /// Applies a change of the registered hosts.
    pub(super) fn record_host(&mut self, now: clock::Instant, change: &balance::Change) {
        match change {
            balance::Change::Joined { host, .. } => {
                let zone = self.zones.get(host).cloned();
                self.hosts.insert(host.clone(), zone);
                self.departed.remove(host);
            }
            balance::Change::Left(host) => {
                if self.hosts.remove(host).is_some() {
                    self.departed.insert(host.clone(), now);
                }
            }
            balance::Change::Located { host, zone } => {
                self.zones.insert(host.clone(), zone.clone());
                if let Some(known) = self.hosts.get_mut(host) {
                    *known = Some(zone.clone());
                }
            }
            balance::Change::Listed => {}
        }
        self.refreshed_at = None;
    }

    /// Returns the number of hosts, `host` and those that left lately included.
    fn host_count(&self, host: &name::Name, counted: usize) -> usize {
        let own = usize::from(!self.hosts.contains_key(host));
        (self.hosts.len() + own).max(counted) + self.departed.len()
    }

    /// Returns the hosts that use upstreams: the registered ones and this one.
    fn members(&self, host: &name::Name, zone: &name::Name) -> Vec<connection::Member> {
        let own = connection::Member {
            name: host.clone(),
            zone: Some(zone.clone()),
        };
        let others = self.hosts.iter().filter(|(name, _)| *name != host);
        let others = others.map(|(name, zone)| connection::Member {
            name: name.clone(),
            zone: zone.clone(),
        });
        std::iter::once(own).chain(others).collect()
    }
}

impl super::Reducer {
    /// Applies the grants of a view. They are as old as the report that it responds to.
    pub(super) fn record_grants(
        &mut self,
        now: clock::Instant,
        view: &mut view::View,
        effects: &mut Vec<effect::Effect>,
    ) {
        let is_last = view.report_number == self.report_count;
        let made_at = if is_last { self.last_report } else { now };
        let grants = std::mem::take(&mut view.connections);
        self.connections
            .holding
            .get_or_insert_with(|| connection::Holding::new(now))
            .record_view(made_at, grants);
        self.connections.refreshed_at = None;
        self.refresh_bounds(now, effects);
    }

    /// Updates what this host may use of each upstream, if that is due.
    pub(super) fn refresh_bounds(
        &mut self,
        now: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let refreshed_at = self.connections.refreshed_at;
        if refreshed_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL) {
            return;
        }
        self.connections.refreshed_at = Some(now);
        if self.connections.holding.is_none() || !self.is_current(now, self.options.max_config_age)
        {
            // The host begins, or was out of touch for so long that the others may count on its share.
            self.connections.holding = Some(connection::Holding::new(now));
        }
        self.connections
            .departed
            .retain(|_, left| now.since(*left) < DEPARTURE_TIME);
        let Some(config) = &self.config else {
            return;
        };
        let services: Vec<_> = config
            .services()
            .map(|(name, service)| {
                let is_shared = service.balancing == config::Balancing::Work;
                let usable = connection::usable(service.max_connections);
                (name.clone(), usable, service.engine.is_some(), is_shared)
            })
            .collect();
        let mut limits = collections::BTreeMap::new();
        for (name, usable, has_models, is_shared) in services {
            if is_shared && !has_models {
                self.update_subsets(now, &name);
            }
            self.bound_service(now, &name, usable, has_models, is_shared);
            let entries = self.upstreams.values();
            let of_service = entries.filter(|entry| entry.registration.service == name);
            limits.extend(of_service.filter_map(|entry| {
                let bound = entry.bound?;
                Some((entry.registration.address, bound.connections))
            }));
        }
        let previous = std::mem::replace(&mut self.connections.limits, limits);
        for (address, limit) in &self.connections.limits {
            if previous.get(address) != Some(limit) {
                effects.push(effect::Effect::LimitConnections(*address, Some(*limit)));
            }
        }
        for address in previous.keys() {
            if !self.connections.limits.contains_key(address) {
                effects.push(effect::Effect::LimitConnections(*address, None));
            }
        }
    }

    /// Computes the subsets of a service without models anew, if its upstreams or the hosts have changed.
    fn update_subsets(&mut self, now: clock::Instant, service: &name::Name) {
        let hosts = self.connections.members(&self.host, &self.zone);
        let grace = self.options.removal_grace;
        let entries = self.upstreams.values().filter(|entry| {
            entry.registration.service == *service && entry.may_serve_later(now, grace)
        });
        let slots = entries.clone().map(|entry| entry.registration.slots);
        let upstreams: Vec<_> = entries
            .map(|entry| connection::Member {
                name: entry.registration.id.clone(),
                zone: Some(entry.registration.zone.clone()),
            })
            .collect();
        let size = connection::size(hosts.len(), upstreams.len(), slots.max().unwrap_or(1));
        let subsets = self.connections.subsets.entry(service.clone()).or_default();
        if (&subsets.hosts, &subsets.upstreams, subsets.size) != (&hosts, &upstreams, size) {
            let assignment = connection::assign(&hosts, &upstreams, size);
            *subsets = Subsets {
                hosts,
                upstreams,
                size,
                assignment,
            };
        }
    }

    /// Sets the bounds of the upstreams of a service.
    fn bound_service(
        &mut self,
        now: clock::Instant,
        service: &name::Name,
        usable: u32,
        has_models: bool,
        is_shared: bool,
    ) {
        let connections = &self.connections;
        let Some(holding) = &connections.holding else {
            return;
        };
        let hosts = connections.host_count(&self.host, self.host_count);
        let assignment = connections
            .subsets
            .get(service)
            .map(|subsets| &subsets.assignment);
        let is_own = |entry: &upstream::Upstream| {
            assignment.is_some_and(|subsets| subsets.includes(&self.host, &entry.registration.id))
        };
        let grace = self.options.removal_grace;
        let is_usable = |entry: &upstream::Upstream| {
            entry.accepts_requests(now, grace) && !entry.is_ejected(now)
        };
        let has_own = self.upstreams.values().any(|entry| {
            entry.registration.service == *service && is_own(entry) && is_usable(entry)
        });
        let bound = |entry: &upstream::Upstream| {
            let id = &entry.registration.id;
            // The names of a host and an upstream do not change, so that the digest is computed once.
            let affinity = match entry.bound {
                Some(bound) => bound.affinity,
                None => connection::affinity(self.host.as_str(), id.as_str()),
            };
            let share = holding.share(now, id, usable, hosts);
            let chance = CHOSEN_FRACTION * f64::from(usable) / (hosts + 1) as f64;
            let is_chosen = (affinity as f64 / u64::MAX as f64) < chance;
            let places = |slots: u32| {
                let grant = holding.grant(now, id, hosts);
                if is_own(entry) {
                    let hosts = assignment.map_or(1, |subsets| subsets.host_count(id));
                    let equal = (connection::places(slots) / hosts.max(1) as f64) as u32;
                    // A grant follows what the host wanted lately, and few hosts need not wait for it.
                    return grant.map_or(1, |grant| grant.places).max(equal).max(1);
                }
                match grant {
                    Some(grant) if grant.others.saturating_add(entry.own_requests) < slots => {
                        grant.places.max(u32::from(!has_own))
                    }
                    _ => u32::from(!has_own),
                }
            };
            connection::Bound {
                connections: share.max(u32::from(is_chosen)),
                places: (!has_models).then(|| places(entry.registration.slots)),
                is_own: !has_models && is_own(entry),
                affinity,
            }
        };
        let entries = self.upstreams.iter();
        let bounds: Vec<_> = entries
            .filter(|(_, entry)| entry.registration.service == *service)
            .map(|(id, entry)| (id.clone(), is_shared.then(|| bound(entry))))
            .collect();
        for (id, bound) in bounds {
            let holding = self.connections.holding.as_ref();
            let grant = holding.and_then(|holding| holding.grant(now, &id, hosts));
            let others = grant.map(|grant| grant.others);
            if let Some(entry) = self.upstreams.get_mut(&id) {
                entry.bound = bound;
                if bound.is_some_and(|bound| bound.places.is_some()) {
                    entry.other_requests = others.unwrap_or(0);
                }
            }
        }
    }

    /// Returns what this host holds and wants of the upstreams' connections, where that is more than every host has.
    pub(super) fn connection_uses(&mut self) -> Vec<connection::Use> {
        let Some(config) = &self.config else {
            return Vec::new();
        };
        let mut waiting = collections::HashMap::<&name::Name, u32>::new();
        for (_, id) in &self.waiting {
            if let Some(request) = self.requests.get(id).filter(|one| one.model.is_none()) {
                *waiting.entry(&request.service).or_default() += 1;
            }
        }
        let connections = &self.connections;
        let hosts = connections.host_count(&self.host, self.host_count);
        let mut uses = Vec::new();
        for entry in self.upstreams.values_mut() {
            let Some(bound) = entry.bound else {
                continue;
            };
            let registration = &entry.registration;
            let Some(service) = config.service(&registration.service) else {
                continue;
            };
            let peak = entry.peak_requests.max(entry.own_requests);
            entry.peak_requests = entry.own_requests;
            let base = connection::base(connection::usable(service.max_connections), hosts);
            let held = bound.connections.max(entry.own_requests);
            let waiting = waiting.get(&registration.service).copied().unwrap_or(0);
            let upstreams = connections.subsets.get(&registration.service);
            let upstreams = upstreams.map_or(1, |subsets| subsets.upstreams.len().max(1));
            let waiting = waiting.div_ceil(u32::try_from(upstreams).unwrap_or(u32::MAX));
            let most = bound.places.unwrap_or(u32::MAX).min(bound.connections);
            let is_full = peak >= most.max(1);
            let wanted = peak + waiting + if is_full { peak / 2 + 1 } else { 0 };
            let is_shared_place = bound.places.is_some() && (bound.is_own || wanted > 0);
            if held > base || wanted > base || is_shared_place {
                uses.push(connection::Use {
                    upstream: registration.id.clone(),
                    held,
                    wanted,
                    running: entry.own_requests,
                });
            }
        }
        uses
    }

    /// Records that a new connection is made for an attempt, so that nothing of it has left.
    pub(super) fn record_connecting(&mut self, id: event::Id, attempt: u32) {
        self.set_connecting(id, attempt, true);
    }

    /// Records that the connection of an attempt has been made, and returns whether the attempt may be sent on it. One that has
    /// been ended meanwhile may not: its caller may have been told that it has not run.
    pub fn begin_send(&mut self, id: event::Id, attempt: u32) -> bool {
        self.set_connecting(id, attempt, false)
    }

    /// Returns whether the attempt is in progress.
    fn set_connecting(&mut self, id: event::Id, attempt: u32, value: bool) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let mut phases = std::iter::once(&mut request.phase).chain(&mut request.standbys);
        let phase = phases.find(|phase| phase.attempt() == Some(attempt));
        if let Some(pending::Phase::Sent { is_connecting, .. }) = phase {
            *is_connecting = value;
            return true;
        }
        false
    }
}
