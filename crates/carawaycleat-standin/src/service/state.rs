use carawaycleat_core::clock;

/// One executed request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Execution {
    /// When it was executed, in microseconds of the service's clock.
    pub at_us: u64,
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// The body, with invalid UTF-8 replaced.
    pub body: String,
    /// Whether an `Authorization` header came with it, which no upstream may see.
    pub authorization: bool,
}

/// The faults of the service that are switched on.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether requests are executed and never answered.
    pub silent: bool,
    /// The bytes of the body after which the connection is cut.
    pub cut_after: Option<usize>,
    /// The time between execution and answer, in milliseconds.
    pub slow_ms: u64,
    /// The status of an error that is answered without an execution.
    pub error: Option<u16>,
}

/// What the service does with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answers.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The JSON body.
        body: Vec<u8>,
        /// The bytes of the body after which the connection is cut.
        cut_after: Option<usize>,
        /// The time to wait before, in milliseconds.
        delay_ms: u64,
    },
    /// Never answers.
    Silent,
}

#[derive(serde::Serialize)]
struct Answer<'a> {
    method: &'a str,
    path: &'a str,
    body: &'a str,
}

/// Returns the body of the answer to a request, so that a test can tell whether an answer is whole and belongs to it.
pub fn expected(method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let answer = Answer {
        method,
        path,
        body: &String::from_utf8_lossy(body),
    };
    serde_json::to_vec(&answer).unwrap_or_default()
}

/// The service: its faults and the executions.
#[derive(Clone, Debug, Default)]
pub struct State {
    faults: Faults,
    executions: Vec<Execution>,
}

impl State {
    /// Returns a service with `faults`.
    pub fn new(faults: Faults) -> Self {
        Self {
            faults,
            executions: Vec::new(),
        }
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
    }

    /// Returns the executions in their order.
    pub fn executions(&self) -> &[Execution] {
        &self.executions
    }

    /// Executes a request, unless the fault says that it fails before.
    pub fn serve(
        &mut self,
        now: clock::Instant,
        method: &str,
        path: &str,
        idempotency_key: Option<&str>,
        authorization: bool,
        body: &[u8],
    ) -> Action {
        if let Some(status) = self.faults.error {
            return Action::Answer {
                status,
                body: b"{\"error\":\"failed by a fault, not executed\"}".to_vec(),
                cut_after: None,
                delay_ms: self.faults.slow_ms,
            };
        }
        self.executions.push(Execution {
            at_us: now.as_micros(),
            method: method.to_owned(),
            path: path.to_owned(),
            idempotency_key: idempotency_key.map(str::to_owned),
            body: String::from_utf8_lossy(body).into_owned(),
            authorization,
        });
        if self.faults.silent {
            return Action::Silent;
        }
        Action::Answer {
            status: 200,
            body: expected(method, path, body),
            cut_after: self.faults.cut_after,
            delay_ms: self.faults.slow_ms,
        }
    }
}
