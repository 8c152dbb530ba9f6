use std::time;

use super::draw;
use super::plan;
use super::prompt;
use super::workspace;

/// A request and its intended start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// The intended start from the start of the run, in real time.
    pub at: time::Duration,
    /// The index of the workspace in the plan.
    pub workspace: usize,
    /// The number among all arrivals.
    pub number: u64,
    /// The request.
    pub job: Job,
}

/// What an [`Arrival`] asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Job {
    /// A chat.
    Chat {
        /// The class.
        class: workspace::Class,
        /// The model.
        model: String,
        /// The adapter.
        adapter: Option<String>,
        /// The text of the message.
        prompt: String,
        /// The length of the answer.
        max_tokens: u32,
    },
    /// A request to a plain service.
    Booking {
        /// The index among the workspace's bookings.
        booking: usize,
        /// Whether it has an `Idempotency-Key`.
        keyed: bool,
        /// Whether it is repeated at another entry host.
        repeated: bool,
    },
}

/// The arrivals of a plan in the order of their intended starts.
#[derive(Clone, Debug)]
pub struct Arrivals<'a> {
    plan: &'a plan::Plan,
    sources: Vec<Source<'a>>,
    count: u64,
}

#[derive(Clone, Debug)]
struct Source<'a> {
    workspace: usize,
    purpose: u64,
    kind: Kind<'a>,
    random: fastrand::Rng,
    /// The next arrival, in seconds of the file.
    next: f64,
}

#[derive(Clone, Copy, Debug)]
enum Kind<'a> {
    Load(&'a workspace::Load),
    Booking(usize, &'a workspace::Booking),
}

impl<'a> Arrivals<'a> {
    /// Returns the arrivals of `plan`.
    pub fn new(plan: &'a plan::Plan) -> Self {
        let mut sources = Vec::new();
        for (index, workspace) in plan.workspaces.iter().enumerate() {
            let loads = workspace.loads.iter().map(Kind::Load);
            let bookings = workspace.bookings.iter().enumerate();
            let bookings = bookings.map(|(number, booking)| Kind::Booking(number, booking));
            for kind in loads.chain(bookings) {
                let purpose = sources.len() as u64 + 1;
                let mut source = Source {
                    workspace: index,
                    purpose,
                    kind,
                    random: draw::generator(plan.seed, purpose),
                    next: 0.0,
                };
                source.advance(plan);
                sources.push(source);
            }
        }
        Self {
            plan,
            sources,
            count: 0,
        }
    }
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let sources = self.sources.iter_mut();
        let source = sources.min_by(|a, b| a.next.total_cmp(&b.next))?;
        if source.next >= self.plan.duration_s {
            return None;
        }
        let arrival = Arrival {
            at: self.plan.real(source.next),
            workspace: source.workspace,
            number: self.count,
            job: source.job(self.plan),
        };
        self.count += 1;
        source.advance(self.plan);
        Some(arrival)
    }
}

impl Source<'_> {
    /// Finds the next arrival: events of the highest rate are kept with the probability that the current rate is of it.
    fn advance(&mut self, plan: &plan::Plan) {
        let (rate, burst) = match self.kind {
            Kind::Load(load) => (load.requests_per_second, load.burst),
            Kind::Booking(_, booking) => (booking.requests_per_second, None),
        };
        let surge = plan.workspaces[self.workspace].surge;
        let peak = burst.map_or(1.0, |b| b.factor.max(b.off_factor))
            * surge.map_or(1.0, |s| s.factor.max(1.0));
        // Rates are in real time, so that a scaled run has the load of the whole one.
        let highest = rate * peak / plan.time_scale;
        if highest <= 0.0 {
            self.next = f64::INFINITY;
            return;
        }
        while self.next < plan.duration_s {
            self.next += draw::gap(&mut self.random, highest);
            let factor = burst.map_or(1.0, |b| in_burst(&b, self.next))
                * surge.map_or(1.0, |s| in_surge(&s, self.next));
            if self.random.f64() * peak < factor {
                return;
            }
        }
    }

    fn job(&mut self, plan: &plan::Plan) -> Job {
        match self.kind {
            Kind::Load(load) => self.chat(plan, load),
            Kind::Booking(number, booking) => {
                let keyed = self.random.f64() < booking.keyed;
                let repeated = self.random.f64() < booking.repeated;
                Job::Booking {
                    booking: number,
                    keyed,
                    // Without a key, a repetition is a request of its own and may run.
                    repeated: keyed && repeated && !booking.method.is_safe(),
                }
            }
        }
    }

    fn chat(&mut self, plan: &plan::Plan, load: &workspace::Load) -> Job {
        let named = |name: &str| load.models.iter().any(|other| other.get_ref() == name);
        let models: Vec<_> = (0..plan.models.len())
            .filter(|index| load.models.is_empty() || named(&plan.models[*index].name))
            .collect();
        let weights = draw::weights(plan, &models, self.next);
        let model = &plan.models[models[draw::index(&mut self.random, &weights)]];
        let with_adapter = self.random.f64() < plan.popularity.adapter_share;
        let weights: Vec<_> = (0..model.adapters.len())
            .map(|place| draw::zipf(place, plan.popularity.zipf))
            .collect();
        let adapter = draw::index(&mut self.random, &weights);
        let adapter = model.adapters.get(adapter).filter(|_| with_adapter);
        let mut prompt = String::new();
        if let Some(prefixes) = load.prefixes
            && self.random.f64() < prefixes.share
        {
            let number = self.random.u32(..prefixes.count.get());
            let length = workspace::Length {
                mean: prefixes.tokens,
                spread: 0.0,
            };
            let tokens = draw::length(&mut self.random, &length);
            prompt = prompt::prefix(plan.seed, self.purpose, number, tokens);
        }
        let input = draw::length(&mut self.random, &load.input);
        prompt::words(&mut self.random, input, &mut prompt);
        Job::Chat {
            class: load.class,
            model: model.name.clone(),
            adapter: adapter.cloned(),
            prompt,
            max_tokens: draw::length(&mut self.random, &load.output),
        }
    }
}

fn in_burst(burst: &workspace::Burst, seconds: f64) -> f64 {
    let since = seconds - burst.offset_s;
    if since >= 0.0 && since % (burst.on_s + burst.off_s) < burst.on_s {
        burst.factor
    } else {
        burst.off_factor
    }
}

fn in_surge(surge: &workspace::Surge, seconds: f64) -> f64 {
    if seconds >= surge.from_s && surge.to_s.is_none_or(|end| seconds < end) {
        surge.factor
    } else {
        1.0
    }
}
