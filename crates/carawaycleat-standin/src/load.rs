//! An open-loop load on entry hosts: arrivals do not wait for answers, and latency counts from the intended start.
//!
//! [`Plan`] is read from a TOML file, [`run`] sends its requests and returns a [`Report`]. The same seed gives the same
//! [`Arrivals`].
//!
//! # Examples
//!
//! ```
//! use carawaycleat_standin::load;
//!
//! let text = r#"
//! duration_s = 10
//! models = [{ name = "small" }]
//!
//! [[workspaces]]
//! name = "press"
//! key = "press-key"
//! loads = [{ requests_per_second = 5, input = { mean = 20 }, output = { mean = 10 } }]
//! "#;
//! let plan = load::Plan::parse("example.toml".as_ref(), text)?;
//! let first = load::Arrivals::new(&plan).next();
//! assert_eq!(first, load::Arrivals::new(&plan).next());
//! # Ok::<(), load::Problem>(())
//! ```

mod arrival;
mod bucket;
mod caller;
mod collector;
mod draw;
mod number;
mod observe;
mod plan;
mod plot;
mod problem;
mod progress;
mod prompt;
mod report;
mod run;
mod sample;
mod site;
mod table;
mod workspace;

pub use arrival::Arrival;
pub use arrival::Arrivals;
pub use arrival::Job;
pub use bucket::Bucket;
pub use observe::Observed;
pub use plan::Choice;
pub use plan::Demand;
pub use plan::Fault;
pub use plan::Model;
pub use plan::Observe;
pub use plan::Plan;
pub use plan::Popularity;
pub use plot::plot;
pub use problem::Problem;
pub use prompt::counted;
pub use report::Attained;
pub use report::Quantiles;
pub use report::Report;
pub use report::Second;
pub use report::Summary;
pub use run::run;
pub use sample::Ending;
pub use sample::Sample;
pub use site::Latency;
pub use site::Site;
pub use site::SiteModel;
pub use site::Store;
pub use site::Upstreams;
pub use site::Zone;
pub use workspace::Booking;
pub use workspace::Burst;
pub use workspace::Class;
pub use workspace::Length;
pub use workspace::Load;
pub use workspace::Method;
pub use workspace::Prefixes;
pub use workspace::Surge;
pub use workspace::Workspace;

quick_error! {
    /// Why a run could not start or its result could not be written.
    #[derive(Debug)]
    pub enum Error {
        /// Neither the file nor the caller gives an entry host.
        NoEntry {
            display("no entry host: give `entries` in the file or `--entry ADDRESS`")
        }
        /// The plot could not be drawn.
        Plot(text: String) {
            display("the plot could not be written: {text}")
        }
    }
}

/// A result whose error is [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
