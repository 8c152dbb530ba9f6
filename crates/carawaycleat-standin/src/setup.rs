//! The whole path in one process: stand-ins, sidecars and entry hosts on loopback.
//!
//! The demonstration, the end-to-end tests and the measurements start from here.

mod error;
mod plan;
mod resources;
mod site;

pub use error::Error;
pub use error::Result;
pub use plan::Plan;
pub use site::Host;
pub use site::Scale;
pub use site::Site;
pub use site::Upstream;

use std::net;
use std::sync;
use std::time;

use carawaycleat::entry;
use carawaycleat::settings;
use carawaycleat::side;
use carawaycleat_core::resource;
use carawaycleat_net as http;

use crate::engine;
use crate::handle;
use crate::service;
use crate::store;

/// The time allowed for one call to an operators' interface.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// The time between two looks at whether something has come true.
const LOOK: time::Duration = time::Duration::from_millis(20);

/// The longest body of an operators' interface, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// A model engine with its sidecar.
#[derive(Debug)]
pub struct Accelerator {
    /// The engine.
    pub engine: handle::Handle<engine::State>,
    /// The sidecar.
    pub side: side::Daemon,
    /// The settings of the sidecar, to start it anew.
    pub settings: settings::Side,
}

/// A plain service with its sidecar.
#[derive(Debug)]
pub struct Backend {
    /// The service.
    pub service: handle::Handle<service::State>,
    /// The sidecar.
    pub side: side::Daemon,
}

/// A running set of stand-ins, sidecars and entry hosts.
#[derive(Debug)]
pub struct Setup {
    /// What was asked for.
    pub plan: Plan,
    /// The executor that everything runs on.
    pub executor: sync::Arc<http::Executor>,
    /// The store.
    pub store: handle::Handle<store::State>,
    /// The entry hosts.
    pub entries: Vec<entry::Daemon>,
    /// The engines.
    pub accelerators: Vec<Accelerator>,
    /// The services.
    pub backends: Vec<Backend>,
    pool: http::Pool,
}

impl Setup {
    /// Starts everything and writes the resources.
    ///
    /// # Errors
    ///
    /// Returns an error when an address cannot be bound or a resource is refused.
    pub async fn start(executor: &sync::Arc<http::Executor>, plan: Plan) -> Result<Self> {
        let store = crate::Store::start(executor, store::Options::default())?;
        let mut setup = Self {
            plan,
            executor: executor.clone(),
            store,
            entries: Vec::new(),
            accelerators: Vec::new(),
            backends: Vec::new(),
            pool: http::Pool::default(),
        };
        for number in 0..setup.plan.entries {
            let daemon = entry::Daemon::start(executor.clone(), setup.entry_settings(number))?;
            setup.entries.push(daemon);
        }
        for number in 0..setup.plan.engines {
            setup.start_engine(number)?;
        }
        for number in 0..setup.plan.services {
            setup.start_service(number)?;
        }
        setup
            .wait("an entry host is ready", |setup| {
                setup.entries.iter().all(entry::Daemon::is_ready)
            })
            .await?;
        for (name, resource) in resources::of(&setup) {
            setup.apply(&name, &resource).await?;
        }
        Ok(setup)
    }

    /// Returns the settings of entry host `number`.
    pub fn entry_settings(&self, number: usize) -> settings::Entry {
        let loopback: net::SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut settings = settings::Entry::default();
        settings.host = resources::name(&format!("entry-{}", number + 1));
        settings.availability_zone = resources::zone(number);
        settings.listen = settings::Listen {
            callers: loopback,
            operators: loopback,
            peers: loopback,
        };
        settings.store.endpoints = vec![self.store.local_address()];
        settings.peers = self
            .entries
            .iter()
            .map(|entry| entry.addresses().peers)
            .collect();
        settings.placement.loads_per_second = self.plan.loads_per_second;
        settings.placement.loads_in_flight = self.plan.loads_in_flight;
        settings.shutdown.drain_delay_ms = self.plan.drain_delay_ms;
        settings
    }

    fn start_engine(&mut self, number: usize) -> Result<()> {
        let engine = crate::Engine::start(&self.executor, self.plan.engine.clone())?;
        let name = resources::name(&format!("engine-{}", number + 1));
        let mut settings = self.side_settings(&name, number, engine.local_address());
        settings.engine.memory_bytes = self.plan.engine.memory_bytes;
        settings.engine.fencing = self.plan.engine.fencing;
        let side = side::Daemon::start(self.executor.clone(), settings.clone())?;
        settings.listen.work = side.local_address();
        self.accelerators.push(Accelerator {
            engine,
            side,
            settings,
        });
        Ok(())
    }

    fn start_service(&mut self, number: usize) -> Result<()> {
        let service = crate::Service::start(&self.executor, service::Options::default())?;
        let name = resources::name(&format!("service-{}", number + 1));
        let mut settings = self.side_settings(&name, number, service.local_address());
        settings.engine.kind = settings::Kind::Service;
        settings.engine.memory_bytes = 0;
        let side = side::Daemon::start(self.executor.clone(), settings)?;
        self.backends.push(Backend { service, side });
        Ok(())
    }

    fn side_settings(
        &self,
        name: &carawaycleat_core::name::Name,
        number: usize,
        upstream: net::SocketAddr,
    ) -> settings::Side {
        let mut settings = settings::Side::default();
        settings.host = name.clone();
        settings.upstream = name.clone();
        settings.availability_zone = resources::zone(number);
        settings.entries = self
            .entries
            .iter()
            .map(|entry| entry.addresses().peers)
            .collect();
        settings.listen = settings::SideListen {
            work: ([127, 0, 0, 1], 0).into(),
        };
        settings.engine.address = upstream;
        settings.report_ms = self.plan.report_ms;
        settings.order_settle_ms = self.plan.order_settle_ms;
        settings.shutdown.drain_delay_ms = self.plan.drain_delay_ms;
        settings
    }

    /// Writes a resource through an entry host.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry host does not answer or refuses.
    pub async fn apply(&self, name: &str, resource: &resource::Resource) -> Result<()> {
        let path = format!("/v1/resources/{}/{name}", resource.kind());
        let body =
            serde_json::to_vec(resource).map_err(|error| Error::Refused(error.to_string()))?;
        let request = http::Request::new("PUT", path).body(body);
        self.operate(request).await.map(|_| ())
    }

    /// Deletes a resource through an entry host.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry host does not answer or refuses.
    pub async fn delete(&self, kind: resource::Kind, name: &str) -> Result<()> {
        let request = http::Request::new("DELETE", format!("/v1/resources/{kind}/{name}"));
        self.operate(request).await.map(|_| ())
    }

    async fn operate(&self, request: http::Request) -> Result<Vec<u8>> {
        let address = self.entries[0].addresses().operators;
        let reply = self.pool.send(address, request, CALL_TIMEOUT).await?;
        let status = reply.status;
        let bytes = reply.bytes(MAX_BODY_BYTES).await?;
        match status {
            200..300 => Ok(bytes),
            _ => Err(Error::Refused(String::from_utf8_lossy(&bytes).into_owned())),
        }
    }

    /// Sends a request to entry host `number`.
    ///
    /// # Errors
    ///
    /// Returns an error when the entry host does not answer.
    pub async fn send(&self, number: usize, request: http::Request) -> Result<http::Reply> {
        let address = self.entries[number].addresses().callers;
        Ok(self
            .pool
            .send(address, request, time::Duration::from_secs(60))
            .await?)
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Returns an error that names `what` when it does not hold within the time of the plan.
    pub async fn wait(
        &self,
        what: &'static str,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Result<()> {
        let started = time::Instant::now();
        while !holds(self) {
            if started.elapsed() > self.plan.patience {
                return Err(Error::Late(what));
            }
            async_io::Timer::after(LOOK).await;
        }
        Ok(())
    }

    /// Waits until each model has been loaded by an engine.
    ///
    /// # Errors
    ///
    /// Returns an error when this takes longer than the plan allows.
    pub async fn wait_for_models(&self) -> Result<()> {
        self.wait("each model is loaded", |setup| {
            let mut loaded = std::collections::BTreeSet::new();
            for accelerator in &setup.accelerators {
                let report = accelerator.engine.with(|state, now| state.report(now));
                let ready = report
                    .models
                    .into_iter()
                    .filter(|m| m.state == engine::ResidentState::Loaded);
                loaded.extend(ready.map(|model| model.name));
            }
            (0..setup.plan.models).all(|number| loaded.contains(&resources::model(number)))
        })
        .await
    }

    /// Returns a chat request of `workspace` to model `number`.
    pub fn chat(
        &self,
        workspace: usize,
        number: usize,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> http::Request {
        let body = serde_json::json!({
            "model": resources::model(number),
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        http::Request::new("POST", "/v1/chat/completions")
            .header("content-type", "application/json")
            .header(
                "authorization",
                format!("Bearer {}", resources::secret(workspace)),
            )
            .body(body.to_string().into_bytes())
    }

    /// Returns the key of workspace `number`.
    pub fn secret(&self, number: usize) -> String {
        resources::secret(number)
    }

    /// Returns the text that an engine generates for a [`chat`](Self::chat) request.
    pub fn expected(&self, number: usize, prompt: &str, max_tokens: u32) -> String {
        let prompt = engine::chat_prompt([prompt]);
        engine::expected(&resources::model(number), None, &prompt, max_tokens).concat()
    }

    /// Stops the entry hosts and the sidecars without cutting a request. Returns the number of requests that were cut.
    pub async fn stop(&self) -> usize {
        let mut cut = 0;
        for entry in &self.entries {
            cut += entry.stop().await;
        }
        for accelerator in &self.accelerators {
            cut += accelerator.side.stop().await;
        }
        for backend in &self.backends {
            cut += backend.side.stop().await;
        }
        cut
    }
}
