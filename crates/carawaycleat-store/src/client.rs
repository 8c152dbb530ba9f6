use std::net as std_net;
use std::sync;
use std::sync::atomic;
use std::time;

use carawaycleat_net as net;
use serde_json::json;

use crate::json as body;

/// The maximum length of a response in bytes; a single value of the store has at most 1 MB.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client of the store.
///
/// A call is sent first to the endpoint that responded last. If an endpoint does not respond, a call that may be repeated
/// is sent to the next one; a transaction or the grant of a lease only if no byte of it was sent.
#[derive(Clone, Debug)]
pub struct Client {
    pool: net::Pool,
    endpoints: sync::Arc<[std_net::SocketAddr]>,
    /// The index of the endpoint that the next call is sent to first.
    preferred: sync::Arc<atomic::AtomicUsize>,
    timeout: time::Duration,
}

impl Client {
    /// Returns a client of the store at `endpoints`.
    ///
    /// `timeout` limits connecting, sending and receiving the head of a response at each endpoint, and separately each
    /// pause in the body, which also has to arrive at 128 KiB a second. The messages of a watch are not limited by it.
    ///
    /// # Panics
    ///
    /// Panics if `endpoints` is empty.
    pub fn new(
        pool: net::Pool,
        endpoints: &[std_net::SocketAddr],
        timeout: time::Duration,
    ) -> Self {
        assert!(
            !endpoints.is_empty(),
            "the store needs at least one endpoint"
        );
        Self {
            pool,
            endpoints: endpoints.into(),
            preferred: sync::Arc::default(),
            timeout,
        }
    }

    /// Returns all pairs whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or refuses the call.
    pub async fn list(&self, prefix: &str) -> crate::Result<crate::Listing> {
        let request =
            json!({"key": body::encode(prefix), "range_end": body::encode(body::end_of(prefix))});
        self.range(&request).await
    }

    /// Returns the pair of `key` with the revision of the store, or a listing without pairs if the key does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or refuses the call.
    pub async fn get(&self, key: &str) -> crate::Result<crate::Listing> {
        self.range(&json!({"key": body::encode(key)})).await
    }

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or refuses the transaction; see
    /// [`Error::may_have_run`](crate::Error::may_have_run).
    pub async fn commit(&self, transaction: &crate::Transaction) -> crate::Result<crate::Response> {
        let request = body::transaction(transaction);
        let response: body::Transaction =
            self.call("/v3/kv/txn", &request, Retry::IfNotSent).await?;
        let revision = response.header.checked_revision()?;
        let mut found = Vec::new();
        if !response.succeeded {
            for operation in response.responses {
                found.extend(body::pairs(operation.response_range.kvs)?);
            }
        }
        Ok(crate::Response {
            succeeded: response.succeeded,
            revision,
            found,
        })
    }

    /// Requests a lease of `lifetime`, which is rounded down to whole seconds and is at least 1 s.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or refuses the call.
    pub async fn grant(&self, lifetime: time::Duration) -> crate::Result<crate::Lease> {
        let request = json!({"TTL": lifetime.as_secs().max(1).to_string(), "ID": "0"});
        let lease: body::Lease = self
            .call("/v3/lease/grant", &request, Retry::IfNotSent)
            .await?;
        if lease.id == 0 || lease.ttl == 0 {
            // Keys bound to lease 0 would never expire.
            return Err(crate::Error::Malformed(
                "a lease without an identifier or lifetime".to_owned(),
            ));
        }
        Ok(crate::Lease {
            id: lease.id.cast_signed(),
            lifetime: time::Duration::from_secs(lease.ttl),
        })
    }

    /// Renews the lease `id`.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease does not exist or has expired, or if the store does not respond or refuses the call.
    pub async fn keep_alive(&self, id: i64) -> crate::Result<crate::Lease> {
        let request = json!({"ID": id.to_string()});
        let response: body::Streamed<body::Lease> = self
            .call("/v3/lease/keepalive", &request, Retry::Always)
            .await?;
        match response.result {
            Some(lease) if lease.ttl > 0 => Ok(crate::Lease {
                id,
                lifetime: time::Duration::from_secs(lease.ttl),
            }),
            Some(_) => Err(crate::Error::LeaseNotFound),
            None => Err(failure(response.error)),
        }
    }

    /// Revokes the lease `id`, which deletes the keys bound to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or refuses the call.
    pub async fn revoke(&self, id: i64) -> crate::Result<()> {
        let request = json!({"ID": id.to_string()});
        let _: serde_json::Value = self
            .call("/v3/lease/revoke", &request, Retry::Always)
            .await?;
        Ok(())
    }

    /// Watches all keys that start with `prefix`, from the change at revision `from` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or refuses the call.
    pub async fn watch(&self, prefix: &str, from: u64) -> crate::Result<crate::Watch> {
        let request = json!({"create_request": {
            "key": body::encode(prefix),
            "range_end": body::encode(body::end_of(prefix)),
            "start_revision": from.to_string(),
            "progress_notify": true,
        }});
        let reply = self.send("/v3/watch", &request, Retry::Always).await?;
        Ok(crate::Watch::new(reply.body))
    }

    async fn range(&self, request: &serde_json::Value) -> crate::Result<crate::Listing> {
        let response: body::Range = self.call("/v3/kv/range", request, Retry::Always).await?;
        Ok(crate::Listing {
            revision: response.header.checked_revision()?,
            pairs: body::pairs(response.kvs)?,
        })
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        request: &serde_json::Value,
        retry: Retry,
    ) -> crate::Result<T> {
        let reply = self.send(path, request, retry).await?;
        let bytes = self.read(reply).await?;
        Ok(serde_json::from_slice(&bytes)?)
    }

    async fn read(&self, reply: net::Reply) -> crate::Result<Vec<u8>> {
        let pace = net::Pace::new(self.timeout);
        let bytes = reply.bytes_at(MAX_RESPONSE_BYTES, pace).await;
        bytes.map_err(|error| crate::Error::Unavailable(true, error))
    }

    async fn send(
        &self,
        path: &str,
        request: &serde_json::Value,
        retry: Retry,
    ) -> crate::Result<net::Reply> {
        let first = self.preferred.load(atomic::Ordering::Relaxed);
        let count = self.endpoints.len();
        for attempt in 0..count {
            let index = (first + attempt) % count;
            let message = net::Request::new("POST", path)
                .header("content-type", "application/json")
                .body(request.to_string().into_bytes());
            match self
                .pool
                .send(self.endpoints[index], message, self.timeout)
                .await
            {
                Ok(reply) => {
                    self.preferred.store(index, atomic::Ordering::Relaxed);
                    return self.check(reply).await;
                }
                Err(failure) if attempt + 1 == count || !retry.permits(failure.sent) => {
                    // The next call starts with another endpoint, so that one hung endpoint does not delay all calls.
                    self.preferred
                        .store((index + 1) % count, atomic::Ordering::Relaxed);
                    return Err(crate::Error::Unavailable(failure.sent, failure.error));
                }
                Err(_) => {}
            }
        }
        unreachable!("the last attempt returns")
    }

    async fn check(&self, reply: net::Reply) -> crate::Result<net::Reply> {
        let status = reply.status;
        if status == 200 {
            return Ok(reply);
        }
        let bytes = self.read(reply).await?;
        let message = match serde_json::from_slice::<body::Failure>(&bytes) {
            Ok(failure) => failure.message,
            Err(_) => String::from_utf8_lossy(&bytes).into_owned(),
        };
        Err(crate::Error::Refused(status, message))
    }
}

/// Whether a call may be sent to the next endpoint after a failure.
#[derive(Clone, Copy)]
enum Retry {
    Always,
    IfNotSent,
}

impl Retry {
    fn permits(self, sent: bool) -> bool {
        matches!(self, Self::Always) || !sent
    }
}

fn failure(failure: Option<body::Failure>) -> crate::Error {
    match failure {
        Some(failure) if failure.message.contains("lease not found") => crate::Error::LeaseNotFound,
        Some(failure) => crate::Error::Refused(200, failure.message),
        None => crate::Error::Malformed("neither a result nor an error".to_owned()),
    }
}
