//! Restarting failed tasks with exponential backoff.
//!
//! A [`Supervisor`] is an actor that runs each child in a separate task. A child that panics, fails
//! or merely returns is restarted after a delay that doubles with each consecutive restart. A
//! supervisor can itself be a child ([`Supervisor::run`]), which makes a supervision tree.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{self, Poll};
use std::time::{Duration, Instant};

use actix::prelude::*;
use tokio::task::{JoinError, JoinHandle};

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// The running time after which a child counts as recovered, which resets its backoff.
const BACKOFF_RESET_AFTER: Duration = Duration::from_secs(30);

type ChildFuture = Pin<Box<dyn Future<Output = anyhow::Result<()>>>>;

/// Describes a supervised task: its name and the function that starts it.
#[derive(Clone)]
pub struct Child {
    name: &'static str,
    start: Rc<dyn Fn() -> ChildFuture>,
}

impl Child {
    /// Creates a child that is started, and restarted, by calling `start`.
    pub fn new<F>(name: &'static str, start: impl Fn() -> F + 'static) -> Self
    where
        F: Future<Output = anyhow::Result<()>> + 'static,
    {
        Self {
            name,
            start: Rc::new(move || Box::pin(start())),
        }
    }
}

/// Runs children and restarts each one that terminates.
pub struct Supervisor {
    children: Vec<Child>,
}

impl Supervisor {
    /// Creates a supervisor, which starts `children` when it runs.
    #[must_use]
    pub const fn new(children: Vec<Child>) -> Self {
        Self { children }
    }

    /// Runs the children within the caller's task; dropping the future aborts them.
    ///
    /// Use this to run a supervisor as a child of another one, because a separate actor would
    /// outlive the child that started it.
    pub async fn run(self) {
        futures::future::join_all(self.children.into_iter().map(supervise)).await;
    }
}

impl Actor for Supervisor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        for child in self.children.clone() {
            context.spawn(supervise(child).into_actor(self));
        }
    }
}

/// Aborts the task of a child on drop, so that a restarted subtree leaves no orphaned tasks.
struct AbortOnDrop(JoinHandle<anyhow::Result<()>>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Future for AbortOnDrop {
    type Output = Result<anyhow::Result<()>, JoinError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut task::Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(context)
    }
}

/// Runs and restarts a child; never returns.
async fn supervise(child: Child) {
    let mut backoff = INITIAL_BACKOFF;
    loop {
        let started = Instant::now();
        // The separate task isolates the supervisor from a panic of the child.
        let result = AbortOnDrop(actix_rt::spawn((child.start)())).await;
        if started.elapsed() >= BACKOFF_RESET_AFTER {
            backoff = INITIAL_BACKOFF;
        }
        let cause = match result {
            Ok(Ok(())) => "ended".to_owned(),
            Ok(Err(error)) => format!("{error:#}"),
            Err(error) => format!("panicked: {error}"),
        };
        let pause_ms = backoff.as_millis();
        log::error!(
            "event=child_restarts child={} cause=\"{cause}\" pause_ms={pause_ms}",
            child.name
        );
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}
