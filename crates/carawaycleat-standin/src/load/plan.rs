use std::net;
use std::path;
use std::time;

use super::number;
use super::problem;
use super::site;
use super::workspace;

/// What a load file says. The times of the load's course are divided by `time_scale`; bounds on answers and the time to
/// warm up are real times.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The addresses of the entry hosts.
    #[serde(default)]
    pub entries: Vec<net::SocketAddr>,
    /// How a request's entry host is chosen.
    #[serde(default)]
    pub entry_choice: Choice,
    /// The time during which requests arrive, in seconds.
    #[serde(deserialize_with = "number::period")]
    pub duration_s: f64,
    /// The seconds of the file that pass in one second.
    #[serde(default = "workspace::one", deserialize_with = "number::factor")]
    pub time_scale: f64,
    /// The seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// The mean load of all requests to models outside of bursts. Rates, rate limits and bursts are scaled to it.
    #[serde(default, deserialize_with = "number::optional_rate")]
    pub tokens_per_second: Option<f64>,
    /// Whether answers are compared with the text that the stand-ins give.
    #[serde(default)]
    pub check_answers: bool,
    /// The longest time for the answer to a short request, in seconds.
    #[serde(default = "short_bound", deserialize_with = "number::period")]
    pub short_bound_s: f64,
    /// The longest time for the answer to a batch request, in seconds.
    #[serde(default = "batch_bound", deserialize_with = "number::period")]
    pub batch_bound_s: f64,
    /// The time after which a request is given up, in seconds.
    #[serde(default = "timeout", deserialize_with = "number::period")]
    pub timeout_s: f64,
    /// The time from the start in which refusals within the rate are counted separately, in seconds.
    #[serde(default = "warm_up", deserialize_with = "number::seconds")]
    pub warm_up_s: f64,
    /// The number of accelerators; the engines of the site or of `observe` by default.
    pub engines: Option<u32>,
    /// The popularity of models and adapters.
    #[serde(default)]
    pub popularity: Popularity,
    /// The models in the order of their popularity; those of the site when empty.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The workspaces.
    pub workspaces: Vec<workspace::Workspace>,
    /// Changes of the models' popularity.
    #[serde(default)]
    pub demand: Vec<Demand>,
    /// Faults of the stand-ins.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The stand-ins whose counts are read.
    #[serde(default)]
    pub observe: Observe,
    /// The site.
    pub site: Option<site::Site>,
}

/// How a request's entry host is chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Choice {
    /// Each request goes to the next entry host.
    #[default]
    InTurn,
    /// Each workspace has one entry host.
    PerWorkspace,
}

/// The popularity of models and adapters.
#[derive(Clone, Copy, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Popularity {
    /// The exponent `s`: the model at place `n` has the weight `1 / n^s`. Adapters of a model likewise.
    #[serde(deserialize_with = "number::rate")]
    pub zipf: f64,
    /// The part of the requests to a model with adapters that use one.
    #[serde(deserialize_with = "number::fraction")]
    pub adapter_share: f64,
}

impl Default for Popularity {
    fn default() -> Self {
        Self {
            zipf: 1.0,
            adapter_share: 0.5,
        }
    }
}

/// A model.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name.
    pub name: String,
    /// The weight; by the place in the list when absent.
    #[serde(default, deserialize_with = "number::optional_rate")]
    pub weight: Option<f64>,
    /// The adapters.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// A lasting change of popularity.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    /// When it starts, in seconds.
    #[serde(deserialize_with = "number::seconds")]
    pub at_s: f64,
    /// The time in which it happens, in seconds.
    #[serde(default, deserialize_with = "number::seconds")]
    pub over_s: f64,
    /// The models.
    pub models: Vec<toml::Spanned<String>>,
    /// The factor on their weights.
    #[serde(deserialize_with = "number::factor")]
    pub factor: f64,
}

/// A fault of a stand-in, switched by an HTTP call.
#[derive(Clone, Debug)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds.
    #[serde(deserialize_with = "number::seconds")]
    pub at_s: f64,
    /// The stand-in.
    pub address: net::SocketAddr,
    /// The path of the call.
    #[serde(default = "fault_path")]
    pub path: String,
    /// The JSON body.
    #[serde(default)]
    pub body: toml::Table,
}

/// The stand-ins whose counts are read before and after the run.
#[derive(Clone, Debug, Default)]
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Observe {
    /// The plain services.
    pub services: Vec<net::SocketAddr>,
    /// The key-value service.
    pub store: Option<net::SocketAddr>,
    /// The engines.
    pub engines: Vec<net::SocketAddr>,
}

fn short_bound() -> f64 {
    2.0
}

fn batch_bound() -> f64 {
    60.0
}

fn timeout() -> f64 {
    90.0
}

// The time after a start in which refusals within the rate are accepted.
fn warm_up() -> f64 {
    10.0
}

fn fault_path() -> String {
    "/standin/faults".to_owned()
}

impl Plan {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Returns the first problem of the file.
    pub fn read(file: &path::Path) -> Result<Self, problem::Problem> {
        match std::fs::read_to_string(file) {
            Ok(text) => Self::parse(file, &text),
            Err(error) => {
                let text = format!("unreadable ({error}); allowed: a TOML file in UTF-8");
                Err(problem::Problem::new(file, "", 0, text))
            }
        }
    }

    /// Parses the text of `file`, with the models of the site when it lists no others and all rates scaled to
    /// `tokens_per_second`.
    ///
    /// # Errors
    ///
    /// Returns the first problem of the text.
    pub fn parse(file: &path::Path, text: &str) -> Result<Self, problem::Problem> {
        let at = |start, message| problem::Problem::new(file, text, start, message);
        let mut plan: Self = toml::from_str(text).map_err(|error| {
            let start = error.span().unwrap_or_default().start;
            at(start, error.message().replace('\n', " "))
        })?;
        plan.take_site_models();
        plan.check()
            .map_err(|(start, message)| at(start, message))?;
        plan.scale();
        Ok(plan)
    }

    fn take_site_models(&mut self) {
        let Some(site) = self.site.as_ref().filter(|_| self.models.is_empty()) else {
            return;
        };
        let models = site.models.iter().map(|model| Model {
            name: model.name.clone(),
            weight: None,
            adapters: model.adapters.clone(),
        });
        self.models = models.collect();
    }

    fn check(&self) -> Result<(), (usize, String)> {
        if self.workspaces.is_empty() || self.models.is_empty() {
            let text = "found no workspaces or no models; allowed: at least one of each";
            return Err((0, text.to_owned()));
        }
        let loads = self.workspaces.iter().flat_map(|w| &w.loads);
        let named = loads.flat_map(|load| &load.models);
        for name in named.chain(self.demand.iter().flat_map(|d| &d.models)) {
            if !self.models.iter().any(|m| m.name == *name.get_ref()) {
                let known: Vec<_> = self.models.iter().map(|m| m.name.as_str()).collect();
                let (found, known) = (name.get_ref(), known.join(", "));
                let text = format!("found the model {found:?}; allowed: {known}");
                return Err((name.span().start, text));
            }
        }
        for booking in self.workspaces.iter().flat_map(|w| &w.bookings) {
            let path = booking.path.get_ref();
            if !path.starts_with('/') || !path.bytes().all(|byte| byte.is_ascii_graphic()) {
                let text = format!("found {path:?}; allowed: a path such as \"/bookings\"");
                return Err((booking.path.span().start, text));
            }
        }
        Ok(())
    }

    /// Returns the mean load of all requests to models outside of bursts, in tokens a second.
    pub fn mean_load(&self) -> f64 {
        let loads = self.workspaces.iter().flat_map(|w| &w.loads);
        let tokens = loads.map(|load| {
            let prefix = load.prefixes.map_or(0.0, |p| p.tokens * p.share);
            load.requests_per_second * (load.input.mean + load.output.mean + prefix)
        });
        tokens.sum()
    }

    fn scale(&mut self) {
        let mean = self.mean_load();
        let Some(wanted) = self.tokens_per_second.filter(|_| mean > 0.0) else {
            return;
        };
        let factor = wanted / mean;
        for workspace in &mut self.workspaces {
            let longest = workspace.loads.iter().map(|load| {
                let prefix = load.prefixes.map_or(0.0, |p| p.tokens);
                load.input.longest() + load.output.longest() + prefix
            });
            // A request above the burst can never be admitted, however small the site is scaled.
            let longest = longest.fold(0.0, f64::max) * 2.0;
            workspace.tokens_per_second = (workspace.tokens_per_second * factor).ceil();
            if workspace.burst_tokens > 0.0 {
                workspace.burst_tokens = (workspace.burst_tokens * factor).max(longest).ceil();
            }
            for load in &mut workspace.loads {
                load.requests_per_second *= factor;
            }
            for booking in &mut workspace.bookings {
                booking.requests_per_second *= factor;
            }
        }
    }

    /// Returns the real time of a time in the file.
    pub fn real(&self, seconds: f64) -> time::Duration {
        time::Duration::from_secs_f64(seconds / self.time_scale)
    }

    /// Returns the number of accelerators, if it is known.
    pub fn accelerators(&self) -> Option<u32> {
        let site = self.site.as_ref().map(|site| {
            let engines = site.upstreams.iter().filter(|u| u.engine);
            engines.map(|u| u.count).sum()
        });
        let observed = u32::try_from(self.observe.engines.len()).ok();
        self.engines
            .or(site)
            .or(observed)
            .filter(|engines| *engines > 0)
    }
}
