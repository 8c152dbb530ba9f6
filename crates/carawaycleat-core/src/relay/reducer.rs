use std::collections;
use std::time;

use super::allowance;
use super::arrival;
use super::catalog;
use super::command;
use super::effect;
use super::event;
use super::pending;
use super::pick;
use super::refusal;
use super::report;
use super::rules;
use super::sighting;
use super::upstream;
use super::view;
use crate::clock;
use crate::flow;
use crate::name;
use crate::retry;

/// The age up to which the coordinator's view is used.
const VIEW_AGE: time::Duration = time::Duration::from_millis(2_500);
/// The most attempts that are sent for one request, those included that an upstream did not run.
const MAX_SENDS: u32 = 4;
/// The most waiting requests that are looked at in one step.
const MAX_SCAN: usize = 512;
/// The longest time after a loss of the store in which a removed entry may come back.
const OUTAGE_MEMORY: time::Duration = time::Duration::from_millis(2_500);
/// The gap between confirmations that counts as a loss of the store.
const OUTAGE_GAP: time::Duration = time::Duration::from_millis(2_000);
/// The least time for which an attempt is worth sending.
const MIN_REMAINING: time::Duration = time::Duration::from_millis(30);
/// The time before the end of a request's time at which a waiting one is refused, so that the answer arrives in time.
const REFUSAL_LEAD: time::Duration = time::Duration::from_millis(40);

/// The prompt tokens that take an engine as long as one token of an answer.
const PROMPT_TOKENS: u64 = 3;

/// The rate at which requests of a line are sent when none has been sent lately, in requests a second.
const MIN_SEND_RATE: f64 = 1.0;
/// The bounds of the time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: time::Duration = time::Duration::from_millis(300);
const MAX_RETRY_AFTER: time::Duration = time::Duration::from_millis(4_000);
/// One in this many upstreams of a service is avoided at most because of what other hosts say.
const MAX_DOUBT_PART: usize = 4;
/// The time between two looks at whether waiting requests still have a chance.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(150);

/// What requests that wait for the same upstreams have in common: the service and the model.
type Line = (name::Name, Option<name::Name>);
/// The longest time that a request waits for tokens of its workspace: some round trips to the coordinator.
const BORROW_TIME: time::Duration = time::Duration::from_millis(250);
/// The time for which the coordinator is not asked again after it had no tokens.
const DENIAL_TIME: time::Duration = time::Duration::from_millis(60);

/// A request that waits for tokens.
#[derive(Clone, Copy, Debug)]
struct Borrower {
    request: event::Id,
    since: clock::Instant,
    /// The report that asks for its tokens.
    report: Option<u64>,
}

type Key = (clock::Instant, event::Id);

/// Everything that an entry host decides about requests.
#[derive(Debug)]
pub struct Reducer {
    host: name::Name,
    zone: name::Name,
    rules: rules::Rules,
    catalog: Option<catalog::Catalog>,
    confirmed: Option<clock::Instant>,
    /// When the store was last reached again after a gap.
    regained: Option<clock::Instant>,
    table: upstream::Table,
    requests: collections::HashMap<event::Id, pending::Pending>,
    /// The waiting requests by urgency.
    waiting: collections::BTreeSet<Key>,
    /// The waiting requests of each line, as of the last step that served them.
    lines: collections::HashMap<Line, u32>,
    /// The requests sent in each line.
    sends: flow::Flow<Line>,
    checked: clock::Instant,
    allowances: collections::HashMap<name::Name, allowance::Allowance>,
    budgets: collections::HashMap<name::Name, retry::Budget>,
    /// The requests that wait for tokens of their workspace, in order of arrival.
    borrowers: collections::VecDeque<Borrower>,
    /// When the coordinator last had no tokens of a workspace.
    denied: collections::HashMap<name::Name, clock::Instant>,
    reports: u64,
    hosts: usize,
    view: Option<(clock::Instant, view::View)>,
    asks: collections::HashMap<(name::Name, name::Name, Option<name::Name>), u64>,
    usage: collections::HashMap<name::Name, u64>,
    reported: clock::Instant,
}

impl Reducer {
    /// Returns the reducer of the entry host `host` in the availability zone `zone`.
    #[must_use]
    pub fn new(host: name::Name, zone: name::Name, rules: rules::Rules) -> Self {
        Self {
            host,
            zone,
            rules,
            catalog: None,
            confirmed: None,
            regained: None,
            table: upstream::Table::new(),
            requests: collections::HashMap::new(),
            waiting: collections::BTreeSet::new(),
            lines: collections::HashMap::new(),
            sends: flow::Flow::default(),
            checked: clock::Instant::default(),
            allowances: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
            borrowers: collections::VecDeque::new(),
            denied: collections::HashMap::new(),
            reports: 0,
            hosts: 1,
            view: None,
            asks: collections::HashMap::new(),
            usage: collections::HashMap::new(),
            reported: clock::Instant::default(),
        }
    }

    /// Returns the configuration.
    #[must_use]
    pub fn catalog(&self) -> Option<&catalog::Catalog> {
        self.catalog.as_ref()
    }

    /// Returns the upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.table.values()
    }

    /// Returns the numbers of requests that have no complete answer and that wait for an upstream.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.requests.len(), self.waiting.len())
    }

    /// Returns the age of the confirmed configuration.
    #[must_use]
    pub fn config_age(&self, now: clock::Instant) -> Option<time::Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns when the configuration was confirmed last.
    #[must_use]
    pub fn confirmed(&self) -> Option<clock::Instant> {
        self.confirmed
    }

    /// Returns whether this host can serve callers.
    #[must_use]
    pub fn is_ready(&self, now: clock::Instant) -> bool {
        self.catalog.is_some() && self.is_current(now, self.rules.max_config_age)
    }

    /// Takes up an event and returns what is to be done.
    pub fn step(&mut self, now: clock::Instant, event: event::Event) -> Vec<effect::Effect> {
        let mut effects = Vec::new();
        match event {
            event::Event::Arrived(id, arrival) => self.arrive(now, id, *arrival, &mut effects),
            event::Event::CallerGone(id) => self.abandon(now, id, &mut effects),
            event::Event::Answered(id, attempt, answer) => {
                self.answer(now, id, attempt, answer, &mut effects);
            }
            event::Event::Progress(id, attempt, after) => self.progress(now, id, attempt, after),
            event::Event::Ended(id, attempt) => self.end(now, id, attempt, &mut effects),
            event::Event::Failed {
                request,
                attempt,
                sent,
                unreachable,
            } => self.fail(now, request, attempt, sent, unreachable, &mut effects),
            event::Event::Configured(catalog) => self.configure(now, *catalog, &mut effects),
            event::Event::Confirmed(sent) => self.confirm(now, sent, &mut effects),
            event::Event::Seen(sighting) => self.see(now, *sighting, &mut effects),
            event::Event::Removed(id) => self.remove(now, &id, &mut effects),
            event::Event::Viewed(view) => self.look(now, *view, &mut effects),
            event::Event::Hosts(hosts) => self.set_hosts(now, hosts),
            event::Event::Tick => self.tick(now, &mut effects),
        }
        effects
    }

    fn is_current(&self, now: clock::Instant, age: time::Duration) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now.since(confirmed) <= age)
    }

    // ---- Arrival ----

    fn arrive(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        arrival: arrival::Arrival,
        effects: &mut Vec<effect::Effect>,
    ) {
        let name = arrival.name.clone();
        let workspace = self.workspace_of(&arrival);
        let tokens = arrival.tokens.unwrap_or_default();
        match self.admit(now, arrival) {
            Ok(request) => {
                let has_tokens = request.has_tokens;
                self.requests.insert(id, request);
                if has_tokens {
                    self.seek(now, id, effects);
                } else {
                    self.borrowers.push_back(Borrower {
                        request: id,
                        since: now,
                        report: None,
                    });
                    effects.push(effect::Effect::Report);
                }
            }
            Err(refusal) => {
                let detail = format!(
                    "reason={} status={} workspace={} tokens={} config={} config_age_ms={}",
                    refusal.reason.as_str(),
                    refusal.status(),
                    workspace.as_deref().unwrap_or("-"),
                    tokens.0 + tokens.1,
                    self.catalog.as_ref().map_or(0, catalog::Catalog::version),
                    self.config_age(now).map_or(0, |age| age.as_millis())
                );
                effects.push(record("refused", name, None, detail));
                effects.push(effect::Effect::Tell(id, command::Command::Refuse(refusal)));
            }
        }
    }

    /// Returns the workspace whose key came with a request.
    fn workspace_of(&self, arrival: &arrival::Arrival) -> Option<name::Name> {
        let arrival::Credential::Key(digest) = &arrival.credential else {
            return None;
        };
        let workspace = self.catalog.as_ref()?.workspace_of(digest)?;
        Some(workspace.name.clone())
    }

    fn admit(
        &mut self,
        now: clock::Instant,
        arrival: arrival::Arrival,
    ) -> Result<pending::Pending, refusal::Refusal> {
        let stale = refuse(
            refusal::Reason::ConfigurationStale,
            // Another host may serve at once.
            Some(time::Duration::from_millis(100)),
        );
        let Some(catalog) = &self.catalog else {
            return Err(stale);
        };
        let can_deny = self.is_current(now, self.rules.max_denial_age);
        let deny = |reason| {
            if can_deny {
                refuse(reason, None)
            } else {
                stale
            }
        };
        let digest = match &arrival.credential {
            arrival::Credential::Ambiguous => {
                return Err(refuse(refusal::Reason::AmbiguousKey, None));
            }
            arrival::Credential::Absent => None,
            arrival::Credential::Key(digest) => Some(digest),
        };
        let route = catalog
            .route(&arrival.host, &arrival.path)
            .ok_or_else(|| deny(refusal::Reason::UnknownRoute))?;
        let keyed = catalog.needs_keys() && !route.public;
        if keyed && !self.is_current(now, self.rules.max_config_age) {
            return Err(stale);
        }
        let workspace = digest.and_then(|digest| catalog.workspace_of(digest));
        if keyed && workspace.is_none() {
            return Err(deny(refusal::Reason::UnknownKey));
        }
        let service = route
            .service(arrival.seed)
            .ok_or_else(|| deny(refusal::Reason::UnknownRoute))?;
        let patience = arrival.patience.unwrap_or(route.timeout);
        let mut cost = 0;
        let mut has_tokens = true;
        if let Some(workspace) = workspace {
            cost = arrival.cost(workspace.plain_tokens);
            *self.usage.entry(workspace.name.clone()).or_default() += cost;
            let share = self.share(now, &workspace.name);
            let allowance = self
                .allowances
                .entry(workspace.name.clone())
                .or_insert_with(|| {
                    allowance::Allowance::new(now, workspace.rate, workspace.burst, share)
                });
            allowance.set(now, workspace.rate, workspace.burst, share);
            if let Err(wait) = allowance.take(now, cost) {
                let denied = self.denied.get(&workspace.name);
                let denied = denied.is_some_and(|at| now.since(*at) < DENIAL_TIME);
                if !self.has_view(now) || denied {
                    return Err(refuse(refusal::Reason::RateLimited, Some(wait)));
                }
                has_tokens = false;
            }
        }
        if let Some(model) = &arrival.model {
            let key = (service.clone(), model.clone(), arrival.adapter.clone());
            let (prompt, output) = arrival.tokens.unwrap_or((0, 1));
            *self.asks.entry(key).or_default() += output + prompt / PROMPT_TOKENS;
        }
        Ok(pending::Pending {
            name: arrival.name,
            service: service.clone(),
            model: arrival.model,
            adapter: arrival.adapter,
            affinity: arrival.affinity,
            workspace: workspace.map(|workspace| workspace.name.clone()),
            keyed,
            priority: workspace
                .and_then(|workspace| workspace.priority)
                .unwrap_or(route.priority),
            cost,
            has_tokens,
            arrived: now,
            due: now + route.timeout.min(patience),
            patience: now + patience,
            unplaced: false,
            attempt: 0,
            arrivals: 0,
            runs: 0,
            tried: Vec::new(),
            rejected: 0,
            place: pending::Place::Waiting,
            delivered: false,
            after: None,
            route: route.clone(),
        })
    }

    fn has_view(&self, now: clock::Instant) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|(at, _)| now.since(*at) < VIEW_AGE)
    }

    /// Gives the tokens that the coordinator granted to the requests that wait for them, and refuses the others that
    /// the coordinator has heard of.
    fn lend(
        &mut self,
        now: clock::Instant,
        number: u64,
        grants: Vec<(name::Name, u32)>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let mut grants: collections::HashMap<_, _> = grants.into_iter().collect();
        for borrower in std::mem::take(&mut self.borrowers) {
            let id = borrower.request;
            if borrower.report != Some(number) {
                self.borrowers.push_back(borrower);
                continue;
            }
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let workspace = request.workspace.clone();
            let granted = workspace.as_ref().and_then(|name| grants.get_mut(name));
            match granted.filter(|count| **count > 0) {
                Some(count) => {
                    *count -= 1;
                    request.has_tokens = true;
                    self.seek(now, id, effects);
                }
                None => {
                    if let Some(workspace) = workspace {
                        self.denied.insert(workspace, now);
                    }
                    self.refuse_tokens(now, id, effects);
                }
            }
        }
    }

    fn refuse_tokens(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        let request = self.requests.get(&id);
        let allowance = request.and_then(|request| {
            let name = request.workspace.as_ref()?;
            let cost = request.cost;
            Some((self.allowances.get_mut(name)?, cost))
        });
        let wait = allowance.map(|(allowance, cost)| allowance.wait(now, cost));
        let wait = wait.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER);
        self.refuse(now, id, refusal::Reason::RateLimited, Some(wait), effects);
    }

    /// Returns this host's part of a workspace's allowance.
    fn share(&self, now: clock::Instant, workspace: &name::Name) -> f64 {
        let even = 1.0 / self.hosts.max(1) as f64;
        match &self.view {
            Some((at, view)) if now.since(*at) < VIEW_AGE => view
                .shares
                .iter()
                .find(|(name, _)| name == workspace)
                .map_or(even, |(_, share)| *share),
            _ => even,
        }
    }

    // ---- Choice of an upstream ----

    /// Sends a request to an upstream, or lets it wait for one.
    fn seek(&mut self, now: clock::Instant, id: event::Id, effects: &mut Vec<effect::Effect>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let key = (request.urgency(), id);
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&request.service));
        let Some(service) = service else {
            return self.refuse(now, id, refusal::Reason::NoUpstream, None, effects);
        };
        if request.keyed && !self.is_current(now, self.rules.max_config_age) {
            return self.refuse(now, id, refusal::Reason::ConfigurationStale, None, effects);
        }
        let context = pick::Context {
            now,
            zone: &self.zone,
            service,
            lapse: self.rules.lapse,
        };
        match context.pick(&self.table, request) {
            pick::Choice::Upstream(upstream) => {
                self.waiting.remove(&key);
                self.send(now, id, &upstream, effects);
            }
            pick::Choice::Full => self.queue(now, id, key, effects),
            pick::Choice::Unplaced => self.wait_for_placement(now, id, key, effects),
        }
    }

    /// Lets a request wait for room, unless those that wait already leave it no chance.
    fn queue(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        key: Key,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.unplaced = false;
        if request.attempt > 0 || self.waiting.contains(&key) {
            self.waiting.insert(key);
            return;
        }
        let line = (request.service.clone(), request.model.clone());
        let ahead = self.lines.get(&line).copied().unwrap_or(0);
        let rate = self.sends.rate(now, &line).max(MIN_SEND_RATE);
        let wait = time::Duration::from_secs_f64(ahead as f64 / rate);
        if now + wait > request.abandoned() {
            let retry = wait - request.abandoned().since(now);
            let retry = retry.max(MIN_RETRY_AFTER);
            return self.refuse(now, id, refusal::Reason::NoUpstream, Some(retry), effects);
        }
        self.waiting.insert(key);
    }

    /// Lets a request wait for a model that no upstream holds, unless it cannot be loaded in time.
    fn wait_for_placement(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        key: Key,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.unplaced = true;
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let waited = now.since(request.arrived);
        let expected = request
            .model
            .as_ref()
            .and_then(|model| self.expected(now, model));
        let hopeless = match expected {
            Some(expected) => now + expected + MIN_REMAINING >= request.abandoned(),
            None => waited >= self.rules.max_unplaced_wait,
        };
        if hopeless {
            let retry = expected.unwrap_or(time::Duration::from_secs(1));
            return self.refuse(now, id, refusal::Reason::NoUpstream, Some(retry), effects);
        }
        if self.waiting.insert(key) && request.model.is_some() {
            effects.push(effect::Effect::Report);
        }
    }

    /// Returns the time until an upstream will hold `model`, where the coordinator knows it.
    fn expected(&self, now: clock::Instant, model: &name::Name) -> Option<time::Duration> {
        let (at, view) = self.view.as_ref()?;
        let age = now.since(*at);
        if age > VIEW_AGE {
            return None;
        }
        let (_, millis) = view.expected.iter().find(|(name, _)| name == model)?;
        Some(time::Duration::from_millis(*millis).saturating_sub(age))
    }

    fn send(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        upstream: &name::Name,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(entry) = self.table.get_mut(upstream) else {
            return;
        };
        let slack = self.rules.retry_slack / self.hosts.max(1) as u64;
        let budget = self
            .budgets
            .entry(request.service.clone())
            .or_insert_with(|| retry::Budget::new(self.rules.retry_percent, slack));
        budget.set_minimum(slack);
        if request.attempt == 0 {
            budget.request(now);
        }
        request.attempt += 1;
        request.arrivals += 1;
        request.tried.push(upstream.clone());
        request.place = pending::Place::At {
            upstream: upstream.clone(),
            sent: now,
            progress: now,
            answered: false,
        };
        entry.running += 1;
        let line = (request.service.clone(), request.model.clone());
        self.sends.add(now, &line, 1.0);
        let remaining = request.due.since(now);
        let dispatch = command::Dispatch {
            attempt: request.attempt,
            upstream: upstream.clone(),
            address: entry.sighting.address,
            workspace: request.workspace.clone(),
            priority: request.priority.min(9),
            remaining,
            patience: remaining,
            repeatable: request.may_repeat(),
            after: request.after,
        };
        let detail = format!(
            "attempt={} workspace={} tokens={} model={} adapter={} zone={} load={}+{} waited_ms={} config={}",
            request.attempt,
            request.workspace.as_deref().unwrap_or("-"),
            request.cost,
            request.model.as_deref().unwrap_or("-"),
            request.adapter.as_deref().unwrap_or("-"),
            entry.sighting.zone,
            entry.running,
            entry.others,
            now.since(request.arrived).as_millis(),
            self.catalog.as_ref().map_or(0, catalog::Catalog::version),
        );
        effects.push(record(
            "dispatched",
            request.name.clone(),
            Some(upstream.clone()),
            detail,
        ));
        effects.push(effect::Effect::Tell(
            id,
            command::Command::Send(Box::new(dispatch)),
        ));
    }

    // ---- Answers ----

    /// Frees the slot of the attempt in progress and returns its upstream with the time that it took.
    fn release(&mut self, id: event::Id) -> Option<(name::Name, clock::Instant)> {
        let request = self.requests.get_mut(&id)?;
        let place = std::mem::replace(&mut request.place, pending::Place::Waiting);
        let pending::Place::At { upstream, sent, .. } = place else {
            return None;
        };
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.running = entry.running.saturating_sub(1);
        }
        Some((upstream, sent))
    }

    fn is_attempt(&self, id: event::Id, attempt: u32) -> bool {
        self.requests
            .get(&id)
            .is_some_and(|request| request.attempt == attempt && !request.is_waiting())
    }

    fn answer(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        answer: event::Answer,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.is_attempt(id, attempt) {
            return;
        }
        let misdirected = answer.status == 421;
        if answer.not_run || misdirected {
            return self.rejected(now, id, misdirected, effects);
        }
        let succeeded = answer.status < 500;
        if succeeded && answer.streams {
            self.begin_stream(now, id, effects);
            return;
        }
        let Some((upstream, sent)) = self.release(id) else {
            return;
        };
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.answered(now, now.since(sent));
            entry.observe(now, !succeeded);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.runs += 1;
        if request.delivered {
            // A resumed stream was answered by something else.
            return self.retry_or_refuse(now, id, refusal::Reason::UpstreamFailed, effects);
        }
        if !succeeded && self.try_again(now, id, "failed", effects) {
            return;
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let detail = format!(
            "status={} attempts={} ms={}",
            answer.status,
            request.attempt,
            now.since(request.arrived).as_millis()
        );
        effects.push(record("answered", request.name, Some(upstream), detail));
        effects.push(effect::Effect::Tell(id, command::Command::Deliver));
        self.serve_waiting(now, effects);
    }

    fn begin_stream(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let pending::Place::At { progress, .. } = &mut request.place {
            *progress = now;
        }
        request.delivered = true;
        effects.push(effect::Effect::Tell(id, command::Command::Deliver));
    }

    fn progress(&mut self, now: clock::Instant, id: event::Id, attempt: u32, after: Option<u64>) {
        if !self.is_attempt(id, attempt) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.after = after.or(request.after);
        let pending::Place::At {
            upstream,
            sent,
            progress,
            answered,
        } = &mut request.place
        else {
            return;
        };
        *progress = now;
        if let Some(entry) = self.table.get_mut(upstream) {
            entry.progress = now;
            if !*answered {
                entry.answered(now, now.since(*sent));
            }
        }
        *answered = true;
    }

    fn end(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.is_attempt(id, attempt) {
            return;
        }
        let Some((upstream, _)) = self.release(id) else {
            return;
        };
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.observe(now, false);
        }
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        let detail = format!(
            "status=200 attempts={} ms={} last_event={}",
            request.attempt,
            now.since(request.arrived).as_millis(),
            request.after.unwrap_or(0)
        );
        effects.push(record("answered", request.name, Some(upstream), detail));
        effects.push(effect::Effect::Tell(id, command::Command::Deliver));
        self.serve_waiting(now, effects);
    }

    /// Follows an upstream's statement that it did not run the request.
    fn rejected(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        misdirected: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some((upstream, _)) = self.release(id) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.rejected += 1;
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.progress = now;
            match (&request.model, misdirected) {
                (Some(model), true) => entry.lacks(now, model, request.adapter.as_ref()),
                (None, true) => entry.avoid(now),
                (_, false) => entry.was_full(now),
            }
        }
        let detail = format!(
            "attempt={} misdirected={misdirected} model={} adapter={}",
            request.attempt,
            request.model.as_deref().unwrap_or("-"),
            request.adapter.as_deref().unwrap_or("-")
        );
        effects.push(record(
            "not_run",
            request.name.clone(),
            Some(upstream),
            detail,
        ));
        if !self.try_again(now, id, "rejected", effects) {
            let retry = time::Duration::from_millis(300);
            self.refuse(now, id, refusal::Reason::NoUpstream, Some(retry), effects);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn fail(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        attempt: u32,
        sent: bool,
        unreachable: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.is_attempt(id, attempt) {
            return;
        }
        let Some((upstream, _)) = self.release(id) else {
            return;
        };
        if let Some(entry) = self.table.get_mut(&upstream) {
            entry.observe(now, true);
            if unreachable {
                entry.avoid(now);
            } else {
                entry.broke(now);
            }
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if sent {
            request.runs += 1;
        } else {
            request.arrivals -= 1;
        }
        let detail = format!("attempt={attempt} sent={sent} unreachable={unreachable}");
        effects.push(record(
            "attempt_failed",
            request.name.clone(),
            Some(upstream),
            detail,
        ));
        if !sent && now + MIN_REMAINING < self.due(id) {
            // Nothing arrived anywhere, so that this takes nothing of the budget.
            return self.seek(now, id, effects);
        }
        self.retry_or_refuse(now, id, refusal::Reason::UpstreamFailed, effects);
    }

    fn due(&self, id: event::Id) -> clock::Instant {
        self.requests
            .get(&id)
            .map_or_else(clock::Instant::default, |request| request.due)
    }

    fn retry_or_refuse(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        reason: refusal::Reason,
        effects: &mut Vec<effect::Effect>,
    ) {
        if !self.try_again(now, id, reason.as_str(), effects) {
            let runs = self.requests.get(&id).map_or(0, |request| request.runs);
            let retry = (runs == 0).then_some(time::Duration::from_millis(300));
            self.refuse(now, id, reason, retry, effects);
        }
    }

    /// Lets a request seek another upstream, where the route, the budget and the time that is left allow it.
    fn try_again(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        cause: &str,
        effects: &mut Vec<effect::Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let allowed = (request.runs == 0 || request.may_repeat())
            && request.arrivals < MAX_SENDS
            && now + MIN_REMAINING < request.due;
        let budget = self.budgets.get_mut(&request.service);
        if !allowed || !budget.is_some_and(|budget| budget.take(now)) {
            return false;
        }
        let detail = format!("cause={cause} attempt={}", request.attempt);
        effects.push(record("retried", request.name.clone(), None, detail));
        self.seek(now, id, effects);
        true
    }

    /// Ends a request with an answer of this host's own.
    fn refuse(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        reason: refusal::Reason,
        retry_after: Option<time::Duration>,
        effects: &mut Vec<effect::Effect>,
    ) {
        let in_progress = self.release(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.waiting.remove(&(request.urgency(), id));
        let may_have_run = request.runs > 0 || in_progress.is_some();
        if !may_have_run && request.has_tokens {
            self.give_back(&request);
        }
        let refusal = refusal::Refusal {
            reason,
            may_have_run,
            retry_after,
        };
        let detail = format!(
            "reason={} config_age_ms={} workspace={} tokens={} model={} adapter={} status={} attempts={} delivered={} ms={}",
            reason.as_str(),
            self.config_age(now).map_or(0, |age| age.as_millis()),
            request.workspace.as_deref().unwrap_or("-"),
            request.cost,
            request.model.as_deref().unwrap_or("-"),
            request.adapter.as_deref().unwrap_or("-"),
            refusal.status(),
            request.attempt,
            request.delivered,
            now.since(request.arrived).as_millis()
        );
        let upstream = in_progress.map(|(upstream, _)| upstream);
        effects.push(record("refused", request.name, upstream, detail));
        effects.push(effect::Effect::Tell(id, command::Command::Refuse(refusal)));
    }

    fn give_back(&mut self, request: &pending::Pending) {
        let workspace = request.workspace.as_ref();
        if let Some(allowance) = workspace.and_then(|name| self.allowances.get_mut(name)) {
            allowance.give_back(request.cost);
        }
    }

    fn abandon(&mut self, now: clock::Instant, id: event::Id, effects: &mut Vec<effect::Effect>) {
        let in_progress = self.release(id);
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        self.waiting.remove(&(request.urgency(), id));
        let detail = format!(
            "attempts={} ms={}",
            request.attempt,
            now.since(request.arrived).as_millis()
        );
        let upstream = in_progress.map(|(upstream, _)| upstream);
        effects.push(record("caller_gone", request.name, upstream, detail));
        self.serve_waiting(now, effects);
    }

    // ---- Time ----

    fn tick(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let gone = self.rules.lapse;
        self.table.retain(|_, entry| {
            entry.running > 0 || entry.removed.is_none_or(|at| now.since(at) < gone)
        });
        while let Some(borrower) = self.borrowers.front() {
            if now.since(borrower.since) < BORROW_TIME {
                break;
            }
            let id = borrower.request;
            self.borrowers.pop_front();
            self.refuse_tokens(now, id, effects);
        }
        let due: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                let lead = if request.is_waiting() {
                    REFUSAL_LEAD
                } else {
                    time::Duration::ZERO
                };
                let due = if request.is_waiting() && !request.delivered {
                    request.abandoned()
                } else {
                    request.due
                };
                now + lead >= due
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let retry = time::Duration::from_millis(500);
            self.refuse(now, id, refusal::Reason::Timeout, Some(retry), effects);
        }
        let others = self.hosts.saturating_sub(1);
        for entry in self.table.values_mut() {
            entry.estimate_others(now, others);
        }
        self.move_stalled(now, effects);
        self.serve_waiting(now, effects);
        if now.since(self.checked) >= CHECK_INTERVAL {
            self.checked = now;
            self.refuse_hopeless(now, effects);
        }
    }

    /// Refuses waiting requests whose turn comes after their callers have left.
    fn refuse_hopeless(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let mut ahead = collections::HashMap::<Line, u32>::new();
        let mut hopeless = Vec::new();
        let (late, on_time) = self.turns(now);
        for id in on_time.into_iter().chain(late) {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            if request.unplaced || request.attempt > 0 {
                continue;
            }
            let line = (request.service.clone(), request.model.clone());
            let position = ahead.entry(line.clone()).or_default();
            *position += 1;
            let sends = self.sends.rate(now, &line).max(MIN_SEND_RATE);
            let wait = time::Duration::from_secs_f64(f64::from(*position) / sends);
            if now + wait > request.abandoned() {
                *position -= 1;
                hopeless.push((id, wait));
            }
        }
        for (id, wait) in hopeless {
            let retry = Some(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER));
            self.refuse(now, id, refusal::Reason::NoUpstream, retry, effects);
        }
    }

    /// Returns the waiting requests in the order of their turns: those that are late, and before them those that can
    /// be on time, because each takes the same capacity.
    fn turns(&self, now: clock::Instant) -> (Vec<event::Id>, Vec<event::Id>) {
        self.waiting
            .iter()
            .take(MAX_SCAN)
            .map(|(_, id)| *id)
            .partition(|id| {
                let request = self.requests.get(id);
                request.is_none_or(|request| request.wanted() <= now)
            })
    }

    /// Tries requests elsewhere whose upstream makes no progress.
    fn move_stalled(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let stalled: Vec<_> = self
            .requests
            .iter()
            .filter_map(|(id, request)| {
                let pending::Place::At {
                    upstream, progress, ..
                } = &request.place
                else {
                    return None;
                };
                let silent = self.table.get(upstream).map_or(now, |entry| entry.progress);
                let alone = time::Duration::max(request.route.objective * 3, self.rules.stall * 2);
                let quiet = now.since(*progress.max(&silent)) > self.rules.stall;
                let stuck = now.since(*progress) > alone;
                (quiet || stuck).then_some((*id, quiet))
            })
            .collect();
        for (id, quiet) in stalled {
            self.move_elsewhere(now, id, quiet, effects);
        }
    }

    fn move_elsewhere(
        &mut self,
        now: clock::Instant,
        id: event::Id,
        quiet: bool,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let pending::Place::At { upstream, .. } = &request.place else {
            return;
        };
        if quiet && let Some(entry) = self.table.get_mut(upstream) {
            entry.avoid(now);
        }
        let may_move = request.route.is_repeatable()
            && request.runs + 1 < request.route.attempts
            && request.arrivals < MAX_SENDS
            && now + MIN_REMAINING < request.due;
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&request.service));
        let Some(service) = service.filter(|_| may_move) else {
            return;
        };
        let context = pick::Context {
            now,
            zone: &self.zone,
            service,
            lapse: self.rules.lapse,
        };
        let pick::Choice::Upstream(target) = context.pick(&self.table, request) else {
            return;
        };
        let budget = self.budgets.get_mut(&request.service);
        if request.tried.contains(&target) || !budget.is_some_and(|budget| budget.take(now)) {
            return;
        }
        let detail = format!("cause=stalled attempt={}", request.attempt);
        effects.push(record("retried", request.name.clone(), None, detail));
        if let Some((upstream, _)) = self.release(id)
            && let Some(entry) = self.table.get_mut(&upstream)
        {
            entry.observe(now, true);
        }
        if let Some(request) = self.requests.get_mut(&id) {
            request.runs += 1;
        }
        self.send(now, id, &target, effects);
    }

    /// Sends waiting requests to the upstreams that have room.
    fn serve_waiting(&mut self, now: clock::Instant, effects: &mut Vec<effect::Effect>) {
        let (late, on_time) = self.turns(now);
        self.lines.clear();
        for id in on_time.iter().chain(&late) {
            if let Some(request) = self.requests.get(id) {
                let line = (request.service.clone(), request.model.clone());
                *self.lines.entry(line).or_default() += 1;
            }
        }
        let mut unserved = collections::HashSet::new();
        for id in on_time.into_iter().chain(late) {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            // What one request does not find, later ones that need the same do not find either.
            let need = (
                request.service.clone(),
                request.model.clone(),
                request.adapter.clone(),
            );
            if request.tried.is_empty() && unserved.contains(&need) {
                continue;
            }
            self.seek(now, id, effects);
            if self
                .requests
                .get(&id)
                .is_some_and(pending::Pending::is_waiting)
            {
                unserved.insert(need);
            }
        }
    }

    // ---- Beliefs ----

    fn configure(
        &mut self,
        now: clock::Instant,
        catalog: catalog::Catalog,
        effects: &mut Vec<effect::Effect>,
    ) {
        let current = self.catalog.as_ref().map(catalog::Catalog::version);
        if current.is_some_and(|current| current >= catalog.version()) {
            return;
        }
        let detail = format!("version={}", catalog.version());
        effects.push(record("configured", String::new(), None, detail));
        // Allowances fill from the moment at which they are known, not from the first request.
        for workspace in catalog.workspaces() {
            let share = self.share(now, &workspace.name);
            let (rate, burst) = (workspace.rate, workspace.burst);
            self.allowances
                .entry(workspace.name.clone())
                .or_insert_with(|| allowance::Allowance::new(now, rate, burst, share))
                .set(now, rate, burst, share);
        }
        self.allowances
            .retain(|name, _| catalog.workspace(name).is_some());
        self.catalog = Some(catalog);
        self.serve_waiting(now, effects);
    }

    fn confirm(
        &mut self,
        now: clock::Instant,
        sent: clock::Instant,
        effects: &mut Vec<effect::Effect>,
    ) {
        let Some(before) = self.confirmed else {
            self.confirmed = Some(sent);
            return;
        };
        if sent <= before {
            return;
        }
        if sent.since(before) > OUTAGE_GAP {
            self.regained = Some(now);
            let detail = format!("gap_ms={}", sent.since(before).as_millis());
            effects.push(record("store_regained", String::new(), None, detail));
        }
        self.confirmed = Some(sent);
    }

    fn see(
        &mut self,
        now: clock::Instant,
        sighting: sighting::Sighting,
        effects: &mut Vec<effect::Effect>,
    ) {
        let id = sighting.id.clone();
        match self.table.get_mut(&id) {
            Some(entry) => {
                if entry.sighting.state != sighting.state || entry.removed.is_some() {
                    let detail = format!("state={:?}", sighting.state);
                    effects.push(record("upstream", String::new(), Some(id), detail));
                }
                entry.update(now, sighting);
            }
            None => {
                let detail = format!("state={:?} service={}", sighting.state, sighting.service);
                effects.push(record("upstream", String::new(), Some(id.clone()), detail));
                self.table.insert(id, upstream::Upstream::new(sighting));
            }
        }
        self.serve_waiting(now, effects);
    }

    /// Follows the removal of an entry. While the store is away and shortly after, entries of live upstreams may be
    /// missing.
    fn remove(&mut self, now: clock::Instant, id: &name::Name, effects: &mut Vec<effect::Effect>) {
        let recent = self
            .regained
            .is_some_and(|regained| now.since(regained) < OUTAGE_MEMORY);
        let away = !self.is_current(now, OUTAGE_GAP);
        let lapse = self.rules.lapse;
        let Some(entry) = self.table.get_mut(id) else {
            return;
        };
        if entry.removed.is_some() {
            return;
        }
        // A removal that no outage explains takes effect at once.
        entry.removed = Some(if recent || away {
            now
        } else {
            clock::Instant::from_micros(now.as_micros().saturating_sub(lapse.as_micros() as u64))
        });
        let detail = format!("removed=true after_outage={}", recent || away);
        effects.push(record("upstream", String::new(), Some(id.clone()), detail));
    }

    fn look(
        &mut self,
        now: clock::Instant,
        mut view: view::View,
        effects: &mut Vec<effect::Effect>,
    ) {
        let is_older = self
            .view
            .as_ref()
            .is_some_and(|(_, current)| view.epoch < current.epoch);
        if is_older {
            return;
        }
        if !view.full
            && let Some((_, current)) = &mut self.view
        {
            std::mem::swap(&mut view.expected, &mut current.expected);
        }
        self.doubt(now, &view.suspects);
        for placed in view.placed.drain(..) {
            if let Some(entry) = self.table.get_mut(&placed.upstream) {
                entry.place(now, placed);
            }
        }
        let (number, grants) = (view.number, std::mem::take(&mut view.grants));
        self.view = Some((now, view));
        self.lend(now, number, grants, effects);
        self.serve_waiting(now, effects);
    }

    /// Takes over the doubt of other hosts, as long as most upstreams of a service are left.
    fn doubt(&mut self, now: clock::Instant, suspects: &[name::Name]) {
        for suspect in suspects {
            let Some(entry) = self.table.get(suspect) else {
                continue;
            };
            let service = &entry.sighting.service;
            let peers = || {
                self.table
                    .values()
                    .filter(|peer| peer.sighting.service == *service)
            };
            let avoided = peers().filter(|peer| peer.is_avoided(now)).count();
            if (avoided + 1) * MAX_DOUBT_PART <= peers().count()
                && let Some(entry) = self.table.get_mut(suspect)
            {
                entry.doubt(now);
            }
        }
    }

    fn set_hosts(&mut self, _now: clock::Instant, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// Returns what the coordinator is to know, and starts the counts anew. With `full`, the answer is to tell about
    /// engines.
    pub fn report(&mut self, now: clock::Instant, full: bool) -> report::Report {
        self.reports += 1;
        let mut wants = Vec::new();
        for borrower in &mut self.borrowers {
            let request = self.requests.get(&borrower.request);
            let workspace = request.and_then(|request| request.workspace.clone());
            if let (Some(request), Some(workspace)) = (request, workspace) {
                // A repeat after a lost answer takes tokens twice, which is on the safe side.
                borrower.report = Some(self.reports);
                wants.push((workspace, request.cost));
            }
        }
        let mut waiting = collections::HashMap::<_, u32>::new();
        for (_, id) in &self.waiting {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            if let Some(model) = &request.model {
                let key = (
                    request.service.clone(),
                    model.clone(),
                    request.adapter.clone(),
                );
                *waiting.entry(key.clone()).or_default() += 1;
                self.asks.entry(key).or_default();
            }
        }
        let asks = self.asks.drain().map(|(key, tokens)| {
            let waiting = waiting.get(&key).copied().unwrap_or(0);
            let (service, model, adapter) = key;
            report::Ask {
                service,
                model,
                adapter,
                tokens,
                waiting,
            }
        });
        let span = now.since(self.reported);
        self.reported = now;
        report::Report {
            host: self.host.clone(),
            number: self.reports,
            full: full || !waiting.is_empty(),
            wants,
            span_ms: u64::try_from(span.as_millis()).unwrap_or(u64::MAX),
            asks: asks.collect(),
            running: self
                .table
                .values()
                .filter(|entry| entry.running > 0)
                .map(|entry| (entry.sighting.id.clone(), entry.running))
                .collect(),
            usage: self.usage.drain().collect(),
            suspects: self
                .table
                .values()
                .filter(|entry| entry.is_avoided(now))
                .map(|entry| entry.sighting.id.clone())
                .collect(),
        }
    }
}

fn refuse(reason: refusal::Reason, retry_after: Option<time::Duration>) -> refusal::Refusal {
    refusal::Refusal {
        reason,
        may_have_run: false,
        retry_after,
    }
}

fn record(
    event: &'static str,
    request: String,
    subject: Option<name::Name>,
    detail: String,
) -> effect::Effect {
    effect::Effect::Record(effect::Record {
        event,
        request,
        subject,
        detail,
    })
}
