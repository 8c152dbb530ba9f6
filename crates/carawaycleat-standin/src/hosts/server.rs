use std::net;
use std::sync;
use std::time;

use carawaycleat_net as http;

use super::state;
use crate::answer;
use crate::handle;

/// The start options of the host list.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// The time until a change is shown.
    pub lag: time::Duration,
    /// The hosts at the start.
    pub list: state::List,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            lag: time::Duration::ZERO,
            list: state::List::default(),
        }
    }
}

/// The host list over HTTP.
#[derive(Debug)]
pub struct Hosts;

type Shared = sync::Arc<handle::Shared<state::State>>;

impl Hosts {
    /// Starts a host list.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(
        executor: &sync::Arc<http::Executor>,
        options: Options,
    ) -> http::Result<handle::Handle<state::State>> {
        let server = http::Server::bind(options.listen)?.limits(answer::limits());
        let mut state = state::State::new(options.lag);
        // The first list is as old as the clock, so it is shown at once.
        state.set(carawaycleat_core::clock::Instant::default(), options.list);
        let shared = handle::Shared::new(state);
        let state = shared.clone();
        let server = server.start(executor.clone(), move |request| {
            let response = serve(&state, &request);
            async move { response }
        });
        Ok(handle::Handle::new(server, shared))
    }
}

fn serve(shared: &Shared, request: &http::Request) -> http::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/hosts") => {
            let list = shared.look(|state, now| state.get(now));
            http::Response::json(200, &list)
        }
        ("POST", "/standin/hosts") => answer::with_json(&request.body, |list| {
            shared.with(|state, now| state.set(now, list));
            http::Response::new(204)
        }),
        _ => answer::not_found(),
    }
}
