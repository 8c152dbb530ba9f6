use std::net as std_net;
use std::sync;
use std::sync::atomic;
use std::time;

use carawaycleat_net as net;
use serde_json::json;

use crate::json as body;

/// The longest answer that is read, in bytes; a value of the store has at most 1 MB.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of the store.
///
/// A call goes to the endpoint that answered last. A read moves on to the next endpoint when one does not answer; a write
/// does so only when no byte of it has left.
#[derive(Clone, Debug)]
pub struct Client {
    pool: net::Pool,
    endpoints: sync::Arc<[std_net::SocketAddr]>,
    preferred: sync::Arc<atomic::AtomicUsize>,
    timeout: time::Duration,
}

impl Client {
    /// Returns a client of the store at `endpoints` that waits for an answer for at most `timeout`.
    ///
    /// # Panics
    ///
    /// Panics when `endpoints` is empty.
    pub fn new(
        pool: net::Pool,
        endpoints: &[std_net::SocketAddr],
        timeout: time::Duration,
    ) -> Self {
        assert!(!endpoints.is_empty(), "the store has at least one endpoint");
        Self {
            pool,
            endpoints: endpoints.into(),
            preferred: sync::Arc::default(),
            timeout,
        }
    }

    /// Returns all keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or refuses.
    pub async fn list(&self, prefix: &str) -> crate::Result<crate::Listing> {
        let request =
            json!({"key": body::encode(prefix), "range_end": body::encode(body::end_of(prefix))});
        self.range(&request).await
    }

    /// Returns `key` with the revision of the store, or a listing without pairs when it does not exist.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or refuses.
    pub async fn get(&self, key: &str) -> crate::Result<crate::Listing> {
        self.range(&json!({"key": body::encode(key)})).await
    }

    /// Performs a transaction.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or refuses; see [`Error::may_have_run`](crate::Error::may_have_run).
    pub async fn commit(&self, transaction: &crate::Transaction) -> crate::Result<crate::Response> {
        let request = body::transaction(transaction);
        let answer: body::Transaction = self.call("/v3/kv/txn", &request, Retry::IfNotSent).await?;
        let revision = answer.header.checked_revision()?;
        let mut found = Vec::new();
        if !answer.succeeded {
            for response in answer.responses {
                found.extend(body::pairs(response.response_range.kvs)?);
            }
        }
        Ok(crate::Response {
            succeeded: answer.succeeded,
            revision,
            found,
        })
    }

    /// Asks for a lease of `lifetime`, in whole seconds.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or refuses.
    pub async fn grant(&self, lifetime: time::Duration) -> crate::Result<crate::Lease> {
        let request = json!({"TTL": lifetime.as_secs().max(1).to_string(), "ID": "0"});
        let lease: body::Lease = self
            .call("/v3/lease/grant", &request, Retry::IfNotSent)
            .await?;
        if lease.id == 0 || lease.ttl == 0 {
            // Keys bound to lease 0 would never end.
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
    /// Returns an error when the lease has ended, or when the store does not answer or refuses.
    pub async fn keep_alive(&self, id: i64) -> crate::Result<crate::Lease> {
        let request = json!({"ID": id.to_string()});
        let answer: body::Streamed<body::Lease> = self
            .call("/v3/lease/keepalive", &request, Retry::Always)
            .await?;
        match answer.result {
            Some(lease) if lease.ttl > 0 => Ok(crate::Lease {
                id,
                lifetime: time::Duration::from_secs(lease.ttl),
            }),
            Some(_) => Err(crate::Error::LeaseNotFound),
            None => Err(failure(answer.error)),
        }
    }

    /// Ends the lease `id` and deletes the keys bound to it.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or refuses.
    pub async fn revoke(&self, id: i64) -> crate::Result<()> {
        let request = json!({"ID": id.to_string()});
        let _: serde_json::Value = self
            .call("/v3/lease/revoke", &request, Retry::Always)
            .await?;
        Ok(())
    }

    /// Watches all keys that start with `prefix`, beginning with the change at revision `from`.
    ///
    /// # Errors
    ///
    /// Returns an error when the store does not answer or refuses.
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
        let answer: body::Range = self.call("/v3/kv/range", request, Retry::Always).await?;
        Ok(crate::Listing {
            revision: answer.header.checked_revision()?,
            pairs: body::pairs(answer.kvs)?,
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
        let expired = async {
            async_io::Timer::after(self.timeout).await;
            Err(net::Error::Timeout)
        };
        let bytes = futures_lite::future::or(reply.bytes(MAX_ANSWER_BYTES), expired).await;
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
        for turn in 0..count {
            let index = (first + turn) % count;
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
                Err(failure) if turn + 1 == count || !retry.permits(failure.sent) => {
                    // The next call begins elsewhere, so that one hung endpoint does not delay all calls.
                    self.preferred
                        .store((index + 1) % count, atomic::Ordering::Relaxed);
                    return Err(crate::Error::Unavailable(failure.sent, failure.error));
                }
                Err(_) => {}
            }
        }
        unreachable!("the last turn returns")
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

/// Whether a call may be sent to another endpoint after a failure.
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
