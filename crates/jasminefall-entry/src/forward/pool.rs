//! Pool of idle connections, kept alive between exchanges.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::connection::Connection;

/// Kept short, since a middlebox may drop the state of an idle connection.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
const MAX_IDLE_CONNECTIONS_PER_BACKEND: usize = 8;

/// Holds the idle connections of one thread.
#[derive(Default)]
pub(crate) struct ConnectionPool(RefCell<HashMap<SmolStr, Vec<Connection>>>);

impl ConnectionPool {
    /// Takes the most recently used connection that is still usable.
    pub(super) fn take(&self, address: &SmolStr) -> Option<Connection> {
        let mut idle = self.0.borrow_mut();
        let connections = idle.get_mut(address)?;
        while let Some(connection) = connections.pop() {
            if connection.idle_since.elapsed() < MAX_IDLE_TIME && connection.has_no_input() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose exchange has ended, if it can be reused.
    pub(super) fn put(&self, address: &SmolStr, connection: Connection) {
        if !connection.is_reusable() {
            return;
        }
        let mut idle = self.0.borrow_mut();
        if !idle.contains_key(address) {
            idle.insert(address.clone(), Vec::new());
        }
        if let Some(connections) = idle
            .get_mut(address)
            .filter(|connections| connections.len() < MAX_IDLE_CONNECTIONS_PER_BACKEND)
        {
            connections.push(connection);
        }
    }

    /// Closes every idle connection to a backend server, after one of its connections failed.
    pub(crate) fn close_idle(&self, address: &SmolStr) {
        self.0.borrow_mut().remove(address);
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|_, connections| {
            connections
                .retain(|connection| now.duration_since(connection.idle_since) < MAX_IDLE_TIME);
            !connections.is_empty()
        });
    }
}
