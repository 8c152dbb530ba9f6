//! The software versions that may go on with streams.

use std::collections;
use std::ops;
use std::time;

use crate::clock;
use crate::name;
use crate::relay::config;
use crate::relay::effect;
use crate::relay::event;
use crate::relay::origin;
use crate::relay::pending;
use crate::relay::refusal;
use crate::timeline;

/// The time after the time limit of its route in which a caller may still take up a stream.
const TAKE_UP_MARGIN: time::Duration = time::Duration::from_secs(10);
/// The interval at which the versions in service are checked.
const VERSION_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The shortest time between two writes of records of streams.
const STORE_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// The longest time for which a take-up waits for the records in the store.
const MAX_LOOKUP_TIME: time::Duration = time::Duration::from_millis(400);
/// The shortest time between two reads of the records.
const MIN_READ_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The time after which a read that was not answered is given up.
const MAX_READ_TIME: time::Duration = time::Duration::from_secs(2);

/// What a host knows about the origins of streams.
#[derive(Clone, Debug, Default)]
pub(super) struct Origins {
    versions: origin::Versions,
    registry: origin::Registry,
    /// The time for which a stream may be taken up after its beginning.
    lifetime: time::Duration,
    /// The same under the configuration before.
    previous_lifetime: time::Duration,
    versions_checked: clock::Instant,
    stored_at: clock::Instant,
    /// The requests that wait for the records in the store.
    lookups: Vec<event::Id>,
    /// When the last read of the records was requested, and whether it is still in progress.
    read: Option<(clock::Instant, bool)>,
}

impl Origins {
    /// Lets all records be stored again, because the store was restored from an older copy.
    pub(super) fn invalidate_stored(&mut self) {
        self.registry.invalidate_stored();
    }

    fn lifetime(&self) -> time::Duration {
        self.lifetime.max(self.previous_lifetime)
    }

    /// Returns the versions of a service at which no stream may begin yet.
    pub(super) fn unrecorded(
        &self,
        now: clock::Instant,
        service: &name::Name,
    ) -> Vec<origin::Origin> {
        self.versions.unrecorded(now, service)
    }

    /// Returns the only origin that a stream of a route may have; none when there are several, or when the store has no
    /// record of one.
    fn only_origin<'a>(&'a self, route: &'a config::Route) -> Option<&'a origin::Origin> {
        let targets = route.targets.iter();
        let mut origins = targets.flat_map(|target| self.versions.of(&target.service));
        let first = origins.next()?;
        let is_only = origins.all(|other| other == first);
        (is_only && self.versions.is_stored(first)).then_some(first)
    }
}

/// How the origin of a stream was found.
#[derive(Clone, Copy, Debug)]
enum Source {
    /// The stream began or went on at this host.
    Own,
    /// There is only one origin.
    Single,
    /// The store has its record.
    Store,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Single => "single",
            Self::Store => "store",
        }
    }
}

impl super::Reducer {
    /// Binds a take-up to the version that began its stream, or looks that up in the store, which delays its dispatch: what
    /// this host has read before may be older than the stream. Breaks when the request is refused because the origin cannot
    /// be found.
    pub(super) fn find_origin(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) -> ops::ControlFlow<()> {
        let Some(request) = self.requests.get_mut(&id) else {
            return ops::ControlFlow::Break(());
        };
        let Some(resumption) = &request.stream.resumption else {
            return ops::ControlFlow::Continue(());
        };
        let stream = resumption.stream.as_deref().map(origin::digest);
        let own = stream.map_or(origin::Knowledge::Absent, |stream| {
            self.origins.registry.find(stream)
        });
        match own {
            origin::Knowledge::Known(origin) => self.pin_to(now, id, origin, Source::Own, effects),
            origin::Knowledge::Ambiguous => self.refuse_unknown(now, id, effects),
            origin::Knowledge::Absent => {
                request.stream.sought_since = Some(now);
                self.origins.lookups.push(id);
                self.read_streams(now, effects);
                ops::ControlFlow::Continue(())
            }
        }
    }

    /// Returns the origin of a stream without a record, if there is only one that a stream of its route may have. The
    /// record of versions must have been read after the take-up arrived.
    fn single_origin(&self, now: clock::Instant, id: event::Id) -> Option<origin::Origin> {
        let route = &self.requests.get(&id)?.route;
        let only = self.origins.only_origin(route);
        only.filter(|_| !self.restoration.may_lack_versions(now))
            .cloned()
    }

    /// Binds a take-up to the version that began its stream. Refuses it and breaks if its route does not lead to the
    /// service any more.
    fn pin_to(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        origin: origin::Origin,
        source: Source,
        effects: &mut Vec<effect::Effect>,
    ) -> ops::ControlFlow<()> {
        let Some(request) = self.requests.get_mut(&id) else {
            return ops::ControlFlow::Break(());
        };
        let mut targets = request.route.targets.iter();
        if !targets.any(|target| target.service == origin.service) {
            return self.refuse_unknown(now, id, effects);
        }
        effects.push(decision(now, request, Some(&origin), source.as_str()));
        request.stream.sought_since = None;
        request.service = origin.service.clone();
        if let Some(stream) = request.stream.digest(&request.request_id) {
            let is_stored = matches!(source, Source::Store);
            let origin = origin.clone();
            self.origins.registry.record(now, stream, origin, is_stored);
        }
        request.stream.pin = origin::Pin::To(origin);
        ops::ControlFlow::Continue(())
    }

    /// Refuses a take-up whose origin is not known, and breaks.
    fn refuse_unknown(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) -> ops::ControlFlow<()> {
        if let Some(request) = self.requests.get(&id) {
            effects.push(decision(now, request, None, "unknown"));
        }
        let retry_after = Some(super::OTHER_HOST_RETRY);
        let reason = refusal::Reason::UnknownOrigin;
        self.refuse(now, id, reason, retry_after, effects);
        ops::ControlFlow::Break(())
    }

    /// Requests a read of the records if take-ups wait for one, none is in progress and the last one is not too recent.
    fn read_streams(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let is_due = self.origins.read.is_none_or(|(sent, in_progress)| {
            let interval = if in_progress {
                MAX_READ_TIME
            } else {
                MIN_READ_INTERVAL
            };
            now.since(sent) >= interval
        });
        if is_due && !self.origins.lookups.is_empty() {
            self.origins.read = Some((now, true));
            effects.push(effect::Effect::ReadStreams);
        }
    }

    /// Ends the look-ups that the records of all hosts answer: those with a record, and those that had arrived when the
    /// read was requested.
    pub(super) fn handle_streams(
        &mut self,
        now: clock::Instant,
        records: Option<&[origin::StreamRecord]>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some((sent, _)) = self.origins.read else {
            return;
        };
        self.origins.read = Some((sent, false));
        let sought: collections::HashMap<_, _> = self
            .origins
            .lookups
            .iter()
            .filter_map(|id| Some((*id, self.sought_stream(*id)?)))
            .collect();
        let is_read = records.is_some();
        let mut found = collections::HashMap::<u64, Vec<&origin::Origin>>::new();
        let streams = sought.values().filter_map(|(stream, _)| *stream);
        let streams: collections::HashSet<_> = streams.collect();
        for record in records.unwrap_or_default() {
            if streams.contains(&record.stream) {
                let origins = found.entry(record.stream).or_default();
                if !origins.contains(&&record.origin) {
                    origins.push(&record.origin);
                }
            }
        }
        for id in std::mem::take(&mut self.origins.lookups) {
            let Some((stream, since)) = sought.get(&id) else {
                continue;
            };
            let origins = stream.and_then(|stream| found.get(&stream));
            match origins.map(Vec::as_slice) {
                Some([origin]) => {
                    let origin = (*origin).clone();
                    self.end_lookup(now, id, origin, Source::Store, effects);
                }
                None if *since > sent => self.origins.lookups.push(id),
                None if is_read => match self.single_origin(now, id) {
                    Some(origin) => self.end_lookup(now, id, origin, Source::Single, effects),
                    None => {
                        let _ = self.refuse_unknown(now, id, effects);
                    }
                },
                Some(_) | None => {
                    let _ = self.refuse_unknown(now, id, effects);
                }
            }
        }
        self.read_streams(now, effects);
    }

    /// Binds a take-up to the version that a look-up found, and sends it if it has its tokens.
    fn end_lookup(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        origin: origin::Origin,
        source: Source,
        effects: &mut Vec<effect::Effect>,
    ) {
        let pinned = self.pin_to(now, id, origin, source, effects);
        if pinned.is_continue() && self.requests.get(&id).is_some_and(|r| r.has_tokens) {
            self.dispatch_or_queue(now, id, effects);
        }
    }

    /// Returns the stream whose origin a request waits for, none when it does not name the stream, and since when.
    fn sought_stream(&self, id: event::Id) -> Option<(Option<u64>, clock::Instant)> {
        let request = self.requests.get(&id)?;
        let stream = request.stream.digest(&request.request_id);
        Some((stream, request.stream.sought_since?))
    }

    /// Returns whether the response to the attempt in progress may be passed on: its events could follow those that the caller
    /// has.
    pub(super) fn admits_response(&self, id: event::Id) -> bool {
        let request = self.requests.get(&id);
        request.is_some_and(|request| match &request.phase {
            pending::Phase::Sent { life, .. } => request.stream.admits(life),
            pending::Phase::Waiting => false,
        })
    }

    /// Decides whether the first events of the attempt in progress may be passed on, and binds the stream to the version that
    /// wrote them if they are its first ones. A head binds nothing: the events that follow it may come later than those of
    /// another attempt, or never.
    pub(super) fn admit_events(&mut self, now: clock::Instant, id: event::Id) -> bool {
        if !self.admits_response(id) {
            return false;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        let pending::Phase::Sent { life, .. } = &request.phase else {
            return false;
        };
        if request.stream.pin != origin::Pin::Free {
            return true;
        }
        let Some(stream) = request.stream.digest(&request.request_id) else {
            return true;
        };
        let registry = &mut self.origins.registry;
        registry.record(now, stream, life.origin.clone(), false);
        request.stream.pin = match &life.other {
            None => origin::Pin::To(life.origin.clone()),
            Some(other) => {
                registry.dispute(stream, other.clone());
                origin::Pin::Unknown
            }
        };
        true
    }

    /// Forgets the origin of a stream that is complete.
    pub(super) fn forget_stream(&mut self, id: event::Id) {
        let request = self.requests.get(&id);
        let stream = request.and_then(|request| request.stream.digest(&request.request_id));
        if let Some(stream) = stream {
            self.origins.registry.remove(stream);
        }
    }

    /// Returns whether no upstream may go on with the stream of a request, now or later.
    pub(super) fn is_version_gone(&self, now: clock::Instant, id: event::Id) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let grace = self.options.removal_grace;
        request.stream.pin != origin::Pin::Free
            && !self.upstreams.values().any(|upstream| {
                request.stream.permits(&upstream.registration)
                    && upstream.may_serve_later(now, grace)
            })
    }

    /// Records the version in the registration of an upstream. Attempts that were sent to an earlier process of another
    /// version may be answered by either.
    pub(super) fn record_origin(
        &mut self,
        now: clock::Instant,
        id: &name::Name,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(entry) = self.upstreams.get(id) else {
            return;
        };
        let current = entry.registration.origin();
        if entry.own_requests > 0 {
            self.dispute_attempts(id, &current);
        }
        let service = current.service.clone();
        if self.origins.versions.record(now, current) {
            self.log_versions(&service, effects);
            self.update_recorded();
        }
    }

    fn dispute_attempts(&mut self, id: &name::Name, current: &origin::Origin) {
        for request in self.requests.values_mut() {
            for phase in std::iter::once(&mut request.phase).chain(&mut request.standbys) {
                let pending::Phase::Sent {
                    upstream,
                    event_received,
                    life,
                    ..
                } = phase
                else {
                    continue;
                };
                if upstream != id || life.origin == *current {
                    continue;
                }
                life.other = Some(current.clone());
                if *event_received {
                    request.stream.pin = origin::Pin::Unknown;
                    if let Some(stream) = request.stream.digest(&request.request_id) {
                        self.origins.registry.dispute(stream, current.clone());
                    }
                }
            }
        }
    }

    /// Applies the store's record of versions.
    pub(super) fn record_stored_versions(
        &mut self,
        now: clock::Instant,
        origins: Vec<origin::Origin>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let services = self.origins.versions.record_stored(now, origins);
        self.handle_version_changes(&services, effects);
    }

    fn handle_version_changes(
        &mut self,
        services: &[name::Name],
        effects: &mut Vec<effect::Effect>,
    ) {
        for service in services {
            self.log_versions(service, effects);
        }
        if !services.is_empty() {
            self.update_recorded();
        }
    }

    fn log_versions(&self, service: &name::Name, effects: &mut Vec<effect::Effect>) {
        let versions = self.origins.versions.of(service);
        let versions: Vec<_> = versions
            .map(|origin| origin.version.as_deref().unwrap_or("none"))
            .collect();
        let decision = timeline::Decision::new("versions")
            .with_subject(service.clone())
            .with("versions", versions.join(","));
        effects.push(super::record(decision));
    }

    /// Sets how long streams may be taken up under a new configuration.
    pub(super) fn set_lifetime(&mut self, config: &config::Config) {
        let timeouts = config.routes().map(|route| route.timeout);
        let longest = timeouts.max().unwrap_or_default();
        self.origins.previous_lifetime = self.origins.lifetime;
        self.origins.lifetime = longest.saturating_add(TAKE_UP_MARGIN);
    }

    /// Determines the services whose streams need records: those of routes whose streams may have several origins.
    pub(super) fn update_recorded(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let mut services = collections::BTreeSet::new();
        for route in config.routes() {
            let targets = || route.targets.iter().map(|target| &target.service);
            let versions = &self.origins.versions;
            let mut origins = targets().flat_map(|service| versions.of(service));
            let first = origins.next();
            if route.kind == config::Kind::Streaming && origins.any(|other| Some(other) != first) {
                services.extend(targets().cloned());
            }
        }
        self.origins.registry.set_recorded(services);
    }

    /// Does the periodic work: the look-ups, the records, and the versions in service.
    pub(super) fn tick_origins(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        self.end_lookups(now, effects);
        if now.since(self.origins.versions_checked) >= VERSION_CHECK_INTERVAL {
            self.origins.versions_checked = now;
            self.check_versions(now, effects);
        }
        if now.since(self.origins.stored_at) >= STORE_INTERVAL {
            let records = self.origins.registry.take_unstored();
            if !records.is_empty() {
                self.origins.stored_at = now;
                effects.push(effect::Effect::StoreStreams(records));
            }
        }
        if let Some(record) = self.origins.versions.take_record(now) {
            effects.push(effect::Effect::StoreVersions(record));
        } else if self.origins.versions.is_record_complete()
            && let Some(era) = self.restoration.take_settlement(now)
        {
            effects.push(effect::Effect::StoreSettlement(era));
        }
    }

    /// Refuses the take-ups that have waited too long for the records, and reads the records for the others.
    fn end_lookups(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        for id in std::mem::take(&mut self.origins.lookups) {
            match self.sought_stream(id) {
                Some((_, since)) if now.since(since) >= MAX_LOOKUP_TIME => {
                    let _ = self.refuse_unknown(now, id, effects);
                }
                Some(_) => self.origins.lookups.push(id),
                None => (),
            }
        }
        self.read_streams(now, effects);
    }

    /// Records the versions in service, and forgets those whose streams have all ended.
    fn check_versions(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let grace = self.options.removal_grace;
        for upstream in self.upstreams.values() {
            if !upstream.has_left(now, grace) {
                let origin = upstream.registration.origin();
                self.origins.versions.record(now, origin);
            }
        }
        let lifetime = self.origins.lifetime();
        self.origins.registry.forget(now, lifetime);
        let services = self.origins.versions.forget(now, lifetime);
        self.handle_version_changes(&services, effects);
    }
}

/// Returns the log record of how the origin of a stream was found.
fn decision(
    now: clock::Instant,
    request: &pending::Pending,
    origin: Option<&origin::Origin>,
    how: &'static str,
) -> effect::Effect {
    let resumption = request.stream.resumption.as_ref();
    let waited = now.since(request.stream.sought_since.unwrap_or(now));
    let decision = timeline::Decision::new("origin")
        .with_request(request.request_id.as_str())
        .with_some("stream", resumption.and_then(|r| r.stream.clone()))
        .with_some("service", origin.map(|origin| &origin.service))
        .with_some("version", origin.and_then(|origin| origin.version.as_ref()))
        .with("how", how)
        .with("waited_ms", timeline::Value::millis(waited));
    super::record(decision)
}
