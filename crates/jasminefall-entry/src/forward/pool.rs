//! Connections that are kept alive between exchanges.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::connection::Connection;

/// How long a connection is kept without use: short, as something between the ends may forget it.
const MAX_IDLE_TIME: Duration = Duration::from_secs(2);
/// How many idle connections are kept to one backend server.
const MAX_IDLE_PER_BACKEND: usize = 8;

/// Holds the idle connections of one thread.
#[derive(Default)]
pub(crate) struct ConnectionPool(RefCell<HashMap<SmolStr, Vec<Connection>>>);

impl ConnectionPool {
    /// Takes the connection that was used last, if one is fit for use.
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

    /// Keeps a connection whose exchange has ended.
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
            .filter(|connections| connections.len() < MAX_IDLE_PER_BACKEND)
        {
            connections.push(connection);
        }
    }

    /// Closes every idle connection to a backend server, as one of its connections has failed.
    pub(crate) fn close_idle(&self, address: &SmolStr) {
        self.0.borrow_mut().remove(address);
    }

    /// Closes what has been idle for too long.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.0.borrow_mut().retain(|_, connections| {
            connections
                .retain(|connection| now.duration_since(connection.idle_since) < MAX_IDLE_TIME);
            !connections.is_empty()
        });
    }
}
