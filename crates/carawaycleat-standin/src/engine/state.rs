use std::collections;
use std::time;

use carawaycleat_core::clock;

use super::batch;
use super::cache;
use super::fault;
use super::memory;
use super::options;
use super::order;
use super::report;
use super::request;

/// What a test reads from the engine after a run.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Records {
    /// The most bytes that were ever committed.
    pub peak_committed: u64,
    /// The loads that exceeded the memory.
    pub overcommits: u64,
    /// The most requests that ran at once.
    pub peak_batch: usize,
    /// The blocks in the prefix cache.
    pub cache_blocks: usize,
    /// The accepted requests in the order of their arrival.
    pub executions: Vec<request::Execution>,
}

/// The engine as a state machine.
#[derive(Clone, Debug)]
pub struct State {
    options: options::Options,
    faults: fault::Faults,
    memory: memory::Memory,
    batch: batch::Batch,
    cache: cache::Cache,
    delayed: Vec<(clock::Instant, order::Order)>,
    executions: Vec<request::Execution>,
    outputs: Vec<(batch::Ticket, batch::Output)>,
    reports: collections::VecDeque<(clock::Instant, report::Report)>,
    reported: Option<Mark>,
}

/// What tells whether a report differs from the one before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Mark {
    memory: u64,
    running: usize,
    waiting: usize,
    cache: u64,
}

impl State {
    /// Returns an engine with empty memory.
    pub fn new(options: options::Options) -> Self {
        Self::with_incarnation(options, 1)
    }

    /// Returns an engine with empty memory whose report says `incarnation`.
    pub fn with_incarnation(options: options::Options, incarnation: u64) -> Self {
        let mut state = Self {
            faults: fault::Faults::default(),
            memory: memory::Memory::new(&options, incarnation),
            batch: batch::Batch::default(),
            cache: cache::Cache::new(
                options.cache_blocks,
                options.cache_event_delay,
                options.cache_event_gap,
            ),
            delayed: Vec::new(),
            executions: Vec::new(),
            outputs: Vec::new(),
            reports: collections::VecDeque::new(),
            reported: None,
            options,
        };
        state.snapshot(clock::Instant::default());
        state
    }

    /// Returns the faults that are on.
    pub fn faults(&self) -> &fault::Faults {
        &self.faults
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: fault::Faults) {
        self.faults = faults;
    }

    /// Accepts a request.
    ///
    /// # Errors
    ///
    /// Returns an error when the model is not loaded, or the text to resume at belongs to another request.
    pub fn submit(
        &mut self,
        now: clock::Instant,
        request: request::Request,
    ) -> super::Result<batch::Ticket> {
        self.run(now);
        let request = request.normalize()?;
        if request.max_tokens <= request.resume_at {
            let text = "max_tokens must be greater than resume_at".to_owned();
            return Err(super::Error::Invalid(text));
        }
        let adapter = request.adapter.as_deref();
        self.memory.serves(&request.model, adapter)?;
        let cached = self
            .cache
            .store(now, &request.model, adapter, &request.prompt);
        let resumed = usize::try_from(request.resume_at).unwrap_or(usize::MAX);
        let words = request.prompt.split_whitespace().count() + resumed;
        let ticket = batch::Ticket(self.executions.len() as u64);
        self.executions.push(request::Execution {
            id: request.id.clone(),
            model: request.model.clone(),
            resume_at: request.resume_at,
            cached_tokens: cached,
            produced: 0,
            ended: false,
            cancelled: false,
        });
        self.batch
            .push(ticket, request, words.saturating_sub(cached));
        self.run(now);
        Ok(ticket)
    }

    /// Cancels the requests with this id.
    ///
    /// # Errors
    ///
    /// Returns an error when there is none.
    pub fn cancel(&mut self, now: clock::Instant, id: &str) -> super::Result<()> {
        self.run(now);
        let tickets = self.batch.cancel(id);
        if tickets.is_empty() {
            return Err(super::Error::NotFound);
        }
        for ticket in tickets {
            self.abort(ticket);
        }
        self.run(now);
        Ok(())
    }

    /// Cancels one request, whose caller has gone.
    pub fn cancel_ticket(&mut self, now: clock::Instant, ticket: batch::Ticket) {
        self.run(now);
        if self.batch.cancel_ticket(ticket) {
            self.abort(ticket);
        }
        self.run(now);
    }

    fn abort(&mut self, ticket: batch::Ticket) {
        if let Some(execution) = self.execution(ticket) {
            execution.cancelled = true;
        }
        self.outputs.push((ticket, batch::Output::Aborted));
    }

    fn execution(&mut self, ticket: batch::Ticket) -> Option<&mut request::Execution> {
        self.executions.get_mut(usize::try_from(ticket.0).ok()?)
    }

    /// Accepts an order. One that is delayed or lost by a fault is accepted too.
    ///
    /// # Errors
    ///
    /// Returns an error when the fencing number is old or the memory is not enough.
    pub fn order(&mut self, now: clock::Instant, order: order::Order) -> super::Result<()> {
        self.run(now);
        if self.memory.order_state(&order.id).is_some() {
            return Ok(());
        }
        if self.faults.lose_orders > 0 {
            self.faults.lose_orders -= 1;
            return Ok(());
        }
        if self.faults.order_delay_ms > 0 {
            self.memory
                .set_order(&order.id, order::OrderState::Accepted);
            let delay = time::Duration::from_millis(self.faults.order_delay_ms);
            self.delayed.push((now + delay, order));
            self.snapshot(now);
            return Ok(());
        }
        self.memory.apply(now, &self.options, &order)?;
        self.run(now);
        Ok(())
    }

    /// Returns the loads that wait for the weight store and were not returned before.
    pub fn take_fetches(&mut self) -> Vec<order::Fetch> {
        self.memory.take_fetches()
    }

    /// Ends a load that the weight store has delivered.
    pub fn finish_load(&mut self, now: clock::Instant, fetch: &order::Fetch) {
        self.run(now);
        self.memory.finish_order(fetch);
        self.snapshot(now);
    }

    /// Moves the time on, and returns what was produced since the last call, in order.
    pub fn advance(&mut self, now: clock::Instant) -> Vec<(batch::Ticket, batch::Output)> {
        self.run(now);
        std::mem::take(&mut self.outputs)
    }

    fn run(&mut self, now: clock::Instant) {
        while let Some(next) = self.next().filter(|next| *next <= now) {
            self.run_to(next);
        }
        self.run_to(now);
    }

    fn run_to(&mut self, now: clock::Instant) {
        let (due, later) = std::mem::take(&mut self.delayed)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.delayed = later;
        for (_, order) in due {
            self.land(now, &order);
        }
        if self.batch.next(&self.faults).is_some_and(|end| end <= now) {
            for (ticket, output) in self.batch.end_step(&self.faults) {
                if let Some(execution) = self.execution(ticket) {
                    match output {
                        batch::Output::Token { .. } => execution.produced += 1,
                        _ => execution.ended = true,
                    }
                }
                self.outputs.push((ticket, output));
            }
        }
        self.memory.advance(now, &self.batch);
        self.batch.start_step(now, &self.options, &self.faults);
        self.snapshot(now);
    }

    fn land(&mut self, now: clock::Instant, order: &order::Order) {
        // After a restart the engine has forgotten the order's id, and it lands all the same.
        let state = self.memory.order_state(&order.id);
        if state.is_some_and(|s| s != order::OrderState::Accepted) {
            return;
        }
        if self.memory.apply(now, &self.options, order).is_err() {
            self.memory
                .set_order(&order.id, order::OrderState::Rejected);
        }
    }

    /// Returns when [`State::advance`] has something to do next.
    pub fn next(&self) -> Option<clock::Instant> {
        let landings = self.delayed.iter().map(|(at, _)| *at);
        landings
            .chain(self.batch.next(&self.faults))
            .chain(self.memory.next(&self.batch))
            .min()
    }

    /// Restarts the engine: memory, cache and requests are lost, orders on their way still land.
    pub fn restart(&mut self, now: clock::Instant) {
        self.run(now);
        for ticket in self.batch.clear() {
            self.outputs.push((ticket, batch::Output::Aborted));
        }
        self.memory.restart();
        self.cache.clear();
        // A new process has no older state to report.
        self.reports.clear();
        self.reported = None;
        self.snapshot(now);
    }

    fn snapshot(&mut self, now: clock::Instant) {
        let mark = Mark {
            memory: self.memory.changes,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            cache: self.cache.seq(),
        };
        if self.reported == Some(mark) {
            return;
        }
        self.reported = Some(mark);
        self.reports.push_back((now, self.current()));
        let shown = self.shown(now);
        while self.reports.len() > 1 && self.reports[1].0 <= shown {
            self.reports.pop_front();
        }
    }

    fn shown(&self, now: clock::Instant) -> clock::Instant {
        let lag = u64::try_from(self.options.state_lag.as_micros()).unwrap_or(u64::MAX);
        clock::Instant::from_micros(now.as_micros().saturating_sub(lag))
    }

    fn current(&self) -> report::Report {
        let mut report = report::Report {
            memory_bytes: self.options.memory_bytes,
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            cache_seq: self.cache.seq(),
            ..Default::default()
        };
        self.memory.fill(&mut report);
        report
    }

    /// Returns the state as it was [`Options::state_lag`](options::Options) ago.
    pub fn report(&mut self, now: clock::Instant) -> report::Report {
        self.run(now);
        let shown = self.shown(now);
        let known = self.reports.partition_point(|(at, _)| *at <= shown);
        let (at, report) = &self.reports[known.saturating_sub(1)];
        report::Report {
            taken_at_ms: shown.max(*at).as_micros() / 1_000,
            ..report.clone()
        }
    }

    /// Returns the cache events after number `after` that are published.
    pub fn cache_events(&self, now: clock::Instant, after: u64) -> Vec<cache::CacheEvent> {
        self.cache.events(now, after)
    }

    /// Returns the KV cache of a prefix as bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the prefix is not in the cache.
    pub fn export(&self, prefix: &str) -> super::Result<Vec<u8>> {
        self.cache.export(prefix).ok_or(super::Error::NotFound)
    }

    /// Stores the KV cache that another engine exported.
    ///
    /// # Errors
    ///
    /// Returns an error when the bytes are no export.
    pub fn import(&mut self, now: clock::Instant, bytes: &[u8]) -> super::Result<()> {
        if self.cache.import(now, bytes) {
            return Ok(());
        }
        Err(super::Error::Invalid("the bytes are no export".to_owned()))
    }

    /// Returns the records.
    pub fn records(&self) -> Records {
        Records {
            peak_committed: self.memory.peak_committed,
            overcommits: self.memory.overcommits,
            peak_batch: self.batch.peak(),
            cache_blocks: self.cache.len(),
            executions: self.executions.clone(),
        }
    }
}
