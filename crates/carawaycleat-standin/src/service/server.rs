use std::future;
use std::net;
use std::sync;
use std::time;

use carawaycleat_net as http;

use super::state;
use crate::answer;
use crate::handle;

/// The start options of the service.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// The faults at the start.
    pub faults: state::Faults,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            faults: state::Faults::default(),
        }
    }
}

/// The service over HTTP.
#[derive(Debug)]
pub struct Service;

type Shared = sync::Arc<handle::Shared<state::State>>;

impl Service {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(
        executor: &sync::Arc<http::Executor>,
        options: Options,
    ) -> http::Result<handle::Handle<state::State>> {
        let server = http::Server::bind(options.listen)?.limits(answer::limits());
        let shared = handle::Shared::new(state::State::new(options.faults));
        let state = shared.clone();
        let server = server.start(executor.clone(), move |request| {
            serve(state.clone(), request)
        });
        Ok(handle::Handle::new(server, shared))
    }
}

async fn serve(shared: Shared, request: http::Request) -> http::Response {
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/standin/executions") => {
            return shared.look(|state, _| http::Response::json(200, &state.executions()));
        }
        ("POST", "/standin/faults") => {
            return answer::with_json(&request.body, |faults| {
                shared.with(|state, _| state.set_faults(faults));
                http::Response::new(204)
            });
        }
        _ => {}
    }
    let action = shared.with(|state, now| {
        let headers = &request.headers;
        state.serve(
            now,
            &request.method,
            &request.target(),
            headers.get("idempotency-key"),
            headers.get("authorization").is_some(),
            &request.body,
        )
    });
    match action {
        state::Action::Silent => future::pending().await,
        state::Action::Answer {
            status,
            body,
            cut_after,
            delay_ms,
        } => {
            handle::pause(time::Duration::from_millis(delay_ms)).await;
            match cut_after {
                Some(bytes) => answer::cut(&body[..bytes.min(body.len())]),
                None => answer::json_bytes(status, body),
            }
        }
    }
}
