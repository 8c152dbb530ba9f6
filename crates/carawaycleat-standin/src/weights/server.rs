use std::collections;
use std::net;
use std::sync;

use carawaycleat_net as http;

use super::site;
use super::state;
use crate::answer;
use crate::handle;

/// The start options of the weight store.
#[derive(Clone, Debug)]
pub struct Options {
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// The rates.
    pub site: site::Site,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: ([127, 0, 0, 1], 0).into(),
            site: site::Site::default(),
        }
    }
}

/// The body of `POST /weights/fetch`.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Fetch {
    /// The name of the weights.
    pub name: String,
    /// The size in bytes.
    pub bytes: u64,
}

/// The weight store over HTTP.
#[derive(Debug)]
pub struct Weights;

type Shared = sync::Arc<handle::Shared<state::State>>;
type Callers =
    sync::Arc<sync::Mutex<collections::HashMap<state::Ticket, async_channel::Sender<()>>>>;

impl Weights {
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub fn start(
        executor: &sync::Arc<http::Executor>,
        options: Options,
    ) -> http::Result<handle::Handle<state::State>> {
        let server = http::Server::bind(options.listen)?.limits(answer::limits());
        let shared = handle::Shared::new(state::State::new(options.site));
        let callers = Callers::default();
        executor
            .spawn(drive(shared.clone(), callers.clone()))
            .detach();
        let state = shared.clone();
        let server = server.start(executor.clone(), move |request| {
            serve(state.clone(), callers.clone(), request)
        });
        Ok(handle::Handle::new(server, shared))
    }
}

async fn drive(shared: Shared, callers: Callers) {
    let advance = |state: &mut state::State, now| {
        let done = state.advance(now);
        if let Ok(mut callers) = callers.lock() {
            // Dropping the sender wakes the call.
            callers.retain(|ticket, _| !done.contains(ticket));
        }
        state.next()
    };
    shared.drive(advance).await;
}

async fn serve(shared: Shared, callers: Callers, request: http::Request) -> http::Response {
    if (request.method.as_str(), request.path.as_str()) != ("POST", "/weights/fetch") {
        return answer::not_found();
    }
    let fetch: Fetch = match serde_json::from_slice(&request.body) {
        Ok(fetch) => fetch,
        Err(error) => return answer::failure(400, &error.to_string()),
    };
    let (sender, receiver) = async_channel::bounded(1);
    // Registered under the state's lock, so that the driver cannot finish the load before.
    shared.with(|state, now| {
        let ticket = state.fetch(now, fetch.bytes);
        if let Ok(mut callers) = callers.lock() {
            callers.insert(ticket, sender);
        }
    });
    let _ = receiver.recv().await;
    http::Response::json(200, &fetch)
}
