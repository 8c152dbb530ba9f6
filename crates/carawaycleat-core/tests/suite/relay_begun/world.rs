//! A simulation of one caller, one host and upstreams that follow scripts.

use std::collections;
use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::relay;

use super::config;
use super::upstream;
use crate::relay_fake;

/// The number of events of a stream.
pub(super) const EVENTS: u64 = 40;
/// The interval of the coordinator's views.
const VIEW_INTERVAL: time::Duration = time::Duration::from_millis(400);
/// The longest time for which two upstreams may work on one stream.
const MAX_OVERLAP: time::Duration = time::Duration::from_millis(400);
/// The shortest time between two attempts at one upstream, the first of which was rejected or failed.
const MIN_RETRY_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// The number of attempts that shows a loop.
const MAX_ATTEMPTS: usize = 500;

/// How the response to the request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum End {
    Complete,
    Refused(relay::Refusal),
}

/// A moment at which the surroundings change.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Moment {
    /// The first upstream falls silent.
    Silence,
    /// A second attempt is sent.
    Retry,
    /// The second attempt has failed or was rejected.
    Failure,
    /// The first upstream goes on.
    Return,
}

/// The world around one request.
pub(super) struct World {
    pub(super) harness: relay_fake::Harness,
    pub(super) upstreams: Vec<upstream::Upstream>,
    /// The load that the coordinator announces, in milliseconds until its end.
    pub(super) announced_ms: Option<u64>,
    /// What the caller received before the request.
    pub(super) received_before: u64,
    /// Until when the host does not run, and whether it then sees a tick before what has arrived.
    pub(super) late: Option<(clock::Instant, bool)>,
    /// The time for which the host has run.
    pub(super) running: time::Duration,
    pub(super) id: relay::Id,
    pub(super) attempts: Vec<upstream::Attempt>,
    pub(super) received: Vec<u64>,
    pub(super) has_begun: bool,
    pub(super) end: Option<End>,
    /// The moments that have come.
    pub(super) moments: collections::HashSet<Moment>,
    pub(super) violations: Vec<String>,
    may_repeat: bool,
    max_upstreams: usize,
    /// The number of commands that were carried out.
    pub(super) carried_out: usize,
    view_due: clock::Instant,
}

impl World {
    /// Returns a world whose upstreams are registered and whose host has a configuration.
    pub(super) fn new(options: relay::Options, upstreams: Vec<upstream::Upstream>) -> Self {
        let mut harness = relay_fake::Harness::with_options(options);
        harness.feed(config::first());
        for entry in &upstreams {
            harness.register(upstream::registration(entry.id));
        }
        Self {
            view_due: harness.now,
            harness,
            upstreams,
            announced_ms: None,
            received_before: 0,
            late: None,
            running: time::Duration::ZERO,
            id: 0,
            attempts: Vec::new(),
            received: Vec::new(),
            has_begun: false,
            end: None,
            moments: collections::HashSet::new(),
            violations: Vec::new(),
            may_repeat: true,
            max_upstreams: 2,
            carried_out: 0,
        }
    }

    /// Lets a request arrive.
    pub(super) fn arrive(&mut self, request: relay::Request) {
        let config = self.harness.reducer.config().expect("a configuration");
        let route = config
            .route(&request.host, &request.path)
            .expect("the route");
        self.may_repeat = route.is_repeatable();
        self.max_upstreams = route.max_attempts as usize;
        self.id = self.harness.arrive(request);
        self.deliver();
    }

    /// Advances the time by one tick.
    pub(super) fn step(&mut self) {
        self.harness.now = self.harness.now + upstream::INTERVAL;
        let now = self.harness.now;
        let mut is_tick_first = false;
        if let Some((end, tick_first)) = self.late {
            if now < end {
                return;
            }
            self.late = None;
            is_tick_first = tick_first;
        }
        self.running += upstream::INTERVAL;
        self.harness.confirm();
        if let Some(millis) = self.announced_ms.filter(|_| now >= self.view_due) {
            self.view_due = now + VIEW_INTERVAL;
            self.harness
                .feed(relay::Event::ViewReceived(Box::new(view(millis))));
        }
        if is_tick_first {
            self.harness.feed(relay::Event::Tick);
        }
        self.deliver();
        self.answer_probes();
        self.harness.feed(relay::Event::Tick);
        self.deliver();
        self.check_overlap();
    }

    /// Steps until `is_over`, the end of the response, or a little after the time limit.
    pub(super) fn run(&mut self, mut is_over: impl FnMut(&mut Self) -> bool) {
        let limit = self.harness.now + config::TIME_LIMIT + upstream::INTERVAL * 4;
        while self.end.is_none() && self.harness.now < limit && !is_over(self) {
            self.step();
        }
    }

    /// Records a violation unless the caller gets a complete response.
    pub(super) fn check_complete(&mut self) {
        let wanted: Vec<_> = (self.received_before + 1..=EVENTS).collect();
        match self.end {
            Some(End::Complete) if self.received == wanted => {}
            Some(End::Complete) => self.violate(format!("events: {:?}", self.received)),
            Some(End::Refused(refusal)) => {
                self.violate(format!("cut: {}", refusal.reason.as_str()));
            }
            None => self.violate("without an end".to_owned()),
        }
    }

    pub(super) fn violate(&mut self, text: String) {
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
    }

    /// Carries out the commands of the host, and delivers what the upstreams have sent by now.
    pub(super) fn deliver(&mut self) {
        let now = self.harness.now;
        self.carry_out();
        loop {
            for attempt in &mut self.attempts {
                let entry = &self.upstreams[attempt.upstream];
                let breaks_at = entry.breaks_at.filter(|at| *at > attempt.sent);
                match breaks_at {
                    Some(at) if attempt.next.1 >= at => {
                        attempt.next = (upstream::Reply::Failure(relay::Failure::BrokenOff), at);
                    }
                    None if attempt.accepted.is_some() => {
                        attempt.next.1 = entry.after_silence(attempt.next.1);
                    }
                    _ => {}
                }
            }
            let open = self.attempts.iter().enumerate();
            let open = open.filter(|(_, attempt)| attempt.is_open);
            let due = open.map(|(index, attempt)| {
                let accepted = attempt.accepted.filter(|_| attempt.left.is_none());
                (accepted.unwrap_or(attempt.next.1), index)
            });
            match due.min() {
                Some((at, index)) if at <= now => self.act(index),
                _ => return,
            }
            self.carry_out();
        }
    }

    /// Lets an upstream do what comes next at an attempt.
    fn act(&mut self, index: usize) {
        let (id, running) = (self.id, self.running);
        let attempt = &mut self.attempts[index];
        let (number, entry) = (attempt.number, &self.upstreams[attempt.upstream]);
        if attempt.accepted.is_some() && attempt.left.is_none() {
            attempt.left = Some(running);
            let reports_departure = attempt.reports_departure;
            let name = relay_fake::name(entry.id);
            if matches!(
                entry.behavior(self.harness.now),
                upstream::Behavior::Unregistered(_)
            ) {
                self.harness.feed(relay::Event::UpstreamRemoved(name));
            }
            if reports_departure {
                self.harness.feed(relay::Event::AttemptSent(id, number));
            }
            return;
        }
        let (reply, at) = attempt.next;
        attempt.next = (upstream::Reply::Event, at + entry.gap);
        match reply {
            upstream::Reply::Head => {
                self.harness
                    .feed(relay::Event::Responded(id, number, head(200, false, true)));
            }
            upstream::Reply::Event if attempt.next_event > EVENTS => {
                attempt.is_open = false;
                self.harness.feed(relay::Event::StreamEnded(id, number));
            }
            upstream::Reply::Event => {
                let event = attempt.next_event;
                attempt.next_event += 1;
                let last = self.received.last().copied();
                let last = last.unwrap_or(self.received_before);
                // Later attempts may repeat events, which the host does not forward.
                if number == 1 || event > last {
                    self.received.push(event);
                }
                self.harness
                    .feed(relay::Event::StreamProgress(id, number, Some(event)));
            }
            upstream::Reply::Response { status, not_run } => {
                attempt.is_open = false;
                attempt.has_failed = true;
                attempt.is_rejected = not_run || status == 421;
                if entry.behavior == (upstream::Behavior::Leaving, None) {
                    self.harness.feed(relay::Event::UpstreamLeaving {
                        upstream: relay_fake::name(entry.id),
                        started: Some(1),
                    });
                }
                self.harness.feed(relay::Event::Responded(
                    id,
                    number,
                    head(status, not_run, false),
                ));
            }
            upstream::Reply::Failure(failure) => {
                attempt.is_open = false;
                attempt.has_failed = true;
                self.harness.feed(relay::Event::AttemptFailed {
                    request: id,
                    attempt: number,
                    failure,
                });
            }
        }
        if number > 1 && self.attempts[index].has_failed {
            self.moments.insert(Moment::Failure);
        }
    }

    /// Carries out the commands that the host has given since the last time.
    fn carry_out(&mut self) {
        let commands = self.harness.commands.get(&self.id);
        let commands = commands.map_or(&[][..], |commands| &commands[self.carried_out..]);
        if commands.is_empty() {
            return;
        }
        let commands = commands.to_vec();
        self.carried_out += commands.len();
        for command in commands {
            match command {
                relay::Command::Send(dispatch) => self.send(&dispatch),
                relay::Command::End(number) => {
                    let mut attempts = self.attempts.iter_mut();
                    if let Some(attempt) = attempts.find(|attempt| attempt.number == number) {
                        attempt.is_open = false;
                    }
                }
                relay::Command::Deliver if self.harness.reducer.counts().0 == 0 => {
                    self.finish(End::Complete);
                }
                relay::Command::Deliver => self.has_begun = true,
                relay::Command::Refuse(refusal) => {
                    let has_run = self.attempts.iter().any(upstream::Attempt::may_have_run);
                    if has_run && !self.has_begun && matches!(refusal.status(), 429 | 503) {
                        self.violate(format!("{} after a run", refusal.status()));
                    }
                    self.finish(End::Refused(refusal));
                }
            }
        }
    }

    fn finish(&mut self, end: End) {
        self.end = Some(end);
        for attempt in &mut self.attempts {
            attempt.is_open = false;
        }
    }

    fn send(&mut self, dispatch: &relay::Dispatch) {
        let now = self.harness.now;
        let mut upstreams = self.upstreams.iter();
        let upstream = upstreams.position(|entry| entry.id == dispatch.upstream.as_str());
        let upstream = upstream.expect("an upstream of this world");
        let mut earlier = self.attempts.iter();
        if !self.may_repeat && earlier.any(upstream::Attempt::may_have_run) {
            self.violate("sent again".to_owned());
        }
        let last = self.attempts.iter().rfind(|a| a.upstream == upstream);
        let is_early =
            |last: &upstream::Attempt| last.has_failed && now.since(last.sent) < MIN_RETRY_INTERVAL;
        if last.is_some_and(is_early) {
            self.violate("sent again too early".to_owned());
        }
        if !dispatch.keeps_previous {
            for attempt in &mut self.attempts {
                attempt.is_open = false;
            }
        }
        if !self.attempts.is_empty() {
            self.moments.insert(Moment::Retry);
        }
        assert!(self.attempts.len() < MAX_ATTEMPTS, "sent without end");
        let (accepted, reply, at) = self.upstreams[upstream].accept(now);
        self.attempts.push(upstream::Attempt {
            number: dispatch.attempt,
            upstream,
            sent: now,
            accepted,
            reports_departure: dispatch.keeps_previous,
            left: None,
            next: (reply, at),
            next_event: dispatch.last_event.unwrap_or(self.received_before) + 1,
            is_open: true,
            is_rejected: false,
            has_failed: false,
        });
    }

    fn answer_probes(&mut self) {
        let now = self.harness.now;
        for name in std::mem::take(&mut self.harness.probes) {
            let mut upstreams = self.upstreams.iter();
            let entry = upstreams.find(|entry| entry.id == name.as_str());
            let probe = entry.map_or(relay::Probe::Gone, |entry| entry.probe(now));
            self.harness.feed(relay::Event::UpstreamProbed {
                upstream: name,
                probe,
            });
        }
    }

    /// Records a violation when two upstreams work on the stream for too long, or too many have worked on the request.
    fn check_overlap(&mut self) {
        let running = self.attempts.iter().filter(|attempt| attempt.is_open);
        let mut left: Vec<_> = running.filter_map(|attempt| attempt.left).collect();
        left.sort_unstable();
        let overlap = left.get(1).map(|second| self.running - *second);
        if overlap.is_some_and(|overlap| overlap >= MAX_OVERLAP) {
            self.violate("two upstreams at work".to_owned());
        }
        let ran = self
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run());
        let ran: collections::HashSet<_> = ran.map(|attempt| attempt.upstream).collect();
        if ran.len() > self.max_upstreams {
            self.violate("too many upstreams".to_owned());
        }
    }
}

fn head(status: u16, not_run: bool, is_stream: bool) -> relay::Response {
    relay::Response {
        status,
        not_run,
        is_stream,
        request_limit: None,
        pause: None,
    }
}

/// Returns a view in which a load of the model ends after `ready_in_ms`.
fn view(ready_in_ms: u64) -> relay::View {
    relay::View {
        ready_in_ms: vec![(relay_fake::name("small"), ready_in_ms)],
        ..relay_fake::view(Vec::new())
    }
}
