use std::collections;
use std::io;
use std::net;
use std::ops;
use std::sync;

use crate::error;

/// The connections of a pool to one address.
#[derive(Clone, Copy, Debug, Default)]
struct Account {
    /// Those that are open or being made, idle ones included.
    open: usize,
    /// The most that may be open; none for no limit.
    limit: Option<usize>,
}

#[derive(Debug, Default)]
struct State {
    accounts: collections::HashMap<net::SocketAddr, Account>,
    opened: u64,
    refused: u64,
}

/// Counts the connections of a pool by address, and bounds them.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    state: sync::Mutex<State>,
}

impl Ledger {
    /// Counts a connection that is about to be made. Returns none when as many as may be are open.
    pub(super) fn admit(self: &sync::Arc<Self>, address: net::SocketAddr) -> Option<Permit> {
        let mut state = self.lock();
        let account = state.accounts.entry(address).or_default();
        if account.limit.is_some_and(|limit| account.open >= limit) {
            return None;
        }
        account.open += 1;
        state.opened += 1;
        Some(Permit {
            ledger: self.clone(),
            address,
        })
    }

    /// Counts a request that got no connection, and returns its error.
    pub(super) fn refuse(&self) -> error::Error {
        self.lock().refused += 1;
        error::Error::NoConnection
    }

    /// Sets the most connections to an address, and returns by how many more are open.
    pub(super) fn set_limit(&self, address: net::SocketAddr, limit: Option<usize>) -> usize {
        let mut state = self.lock();
        let account = state.accounts.entry(address).or_default();
        account.limit = limit;
        let open = account.open;
        if limit.is_none() && open == 0 {
            state.accounts.remove(&address);
        }
        limit.map_or(0, |limit| open.saturating_sub(limit))
    }

    /// Returns by how many the connections to an address exceed its limit.
    pub(super) fn excess(&self, address: net::SocketAddr) -> usize {
        let state = self.lock();
        let account = state.accounts.get(&address).copied().unwrap_or_default();
        let limit = account.limit.unwrap_or(usize::MAX);
        account.open.saturating_sub(limit)
    }

    /// Returns the number of open connections to an address.
    pub(super) fn open_to(&self, address: net::SocketAddr) -> usize {
        let state = self.lock();
        state
            .accounts
            .get(&address)
            .map_or(0, |account| account.open)
    }

    /// Returns the open connections, those made since the start, and the requests that got none because of a limit.
    pub(super) fn totals(&self) -> (usize, u64, u64) {
        let state = self.lock();
        let open = state.accounts.values().map(|account| account.open).sum();
        (open, state.opened, state.refused)
    }

    fn release(&self, address: net::SocketAddr) {
        let mut state = self.lock();
        if let Some(account) = state.accounts.get_mut(&address) {
            account.open = account.open.saturating_sub(1);
            if account.open == 0 && account.limit.is_none() {
                state.accounts.remove(&address);
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Counts one connection as open until it is dropped.
#[derive(Debug)]
pub(super) struct Permit {
    ledger: sync::Arc<Ledger>,
    address: net::SocketAddr,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.ledger.release(self.address);
    }
}

/// An open connection, counted by the [`Ledger`] of its pool.
#[derive(Debug)]
pub(super) struct Socket {
    // Closed before it stops being counted: fields are dropped in the order of their declaration.
    stream: async_io::Async<net::TcpStream>,
    _permit: Permit,
}

impl Socket {
    /// Connects to an address.
    pub(super) async fn connect(address: net::SocketAddr, permit: Permit) -> io::Result<Self> {
        let stream = async_io::Async::<net::TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Self {
            stream,
            _permit: permit,
        })
    }
}

impl ops::Deref for Socket {
    type Target = async_io::Async<net::TcpStream>;

    fn deref(&self) -> &Self::Target {
        &self.stream
    }
}
