//! Children that are restarted with back-off.
//!
//! A [`Supervisor`] is an actor that runs each child as a task of its own. A child that panics,
//! fails or merely ends is started again after a pause that doubles with each failure in a row. A
//! supervisor can itself be a child ([`Supervisor::run`]), which makes a tree.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{self, Poll};
use std::time::{Duration, Instant};

use actix::prelude::*;
use tokio::task::{JoinError, JoinHandle};

const FIRST_PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// A child that ran this long has recovered: its pause starts over.
const RECOVERED_AFTER: Duration = Duration::from_secs(30);

type ChildFuture = Pin<Box<dyn Future<Output = anyhow::Result<()>>>>;

/// Describes a child: its name and how to start it.
#[derive(Clone)]
pub struct Child {
    name: &'static str,
    start: Rc<dyn Fn() -> ChildFuture>,
}

impl Child {
    /// Creates a child that is started by calling `start`.
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

/// Runs children and restarts them.
pub struct Supervisor {
    children: Vec<Child>,
}

impl Supervisor {
    /// Creates a supervisor of `children`.
    #[must_use]
    pub const fn new(children: Vec<Child>) -> Self {
        Self { children }
    }

    /// Runs the children within the caller's own task; dropping the future ends them.
    ///
    /// This is how a supervisor becomes a child of another: an actor of its own would outlive the
    /// branch that started it.
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

/// Ends a child's task when its supervisor goes, so that a restarted branch leaves none behind.
struct Running(JoinHandle<anyhow::Result<()>>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Future for Running {
    type Output = Result<anyhow::Result<()>, JoinError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut task::Context<'_>) -> Poll<Self::Output> {
        Pin::new(&mut self.0).poll(context)
    }
}

/// Runs one child for ever.
async fn supervise(child: Child) {
    let mut pause = FIRST_PAUSE;
    loop {
        let started = Instant::now();
        // A task of its own keeps a panic of the child away from the supervisor.
        let ended = Running(actix_rt::spawn((child.start)())).await;
        if started.elapsed() >= RECOVERED_AFTER {
            pause = FIRST_PAUSE;
        }
        let cause = match ended {
            Ok(Ok(())) => "ended".to_owned(),
            Ok(Err(error)) => format!("{error:#}"),
            Err(error) => format!("panicked: {error}"),
        };
        let pause_ms = pause.as_millis();
        log::error!(
            "event=child_restarts child={} cause=\"{cause}\" pause_ms={pause_ms}",
            child.name
        );
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
