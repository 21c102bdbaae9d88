//! Restarts by a supervisor and isolation of its children.

use std::cell::Cell;
use std::rc::Rc;

use actix::Actor;
use jasminefall_runtime::supervisor::{Child, Supervisor};
use tokio::sync::mpsc::unbounded_channel;

#[actix_rt::test]
async fn child_that_panics_fails_or_returns_is_restarted_without_affecting_its_sibling() {
    let (sender, mut starts) = unbounded_channel();
    let start_count = Rc::new(Cell::new(0));
    let faulty = Child::new("faulty", move || {
        let (sender, start) = (sender.clone(), start_count.get());
        start_count.set(start + 1);
        async move {
            sender.send(start).expect("the receiver is open");
            match start {
                0 => panic!("the first start panics"),
                1 => anyhow::bail!("the second start fails"),
                2 => Ok(()),
                _ => std::future::pending().await,
            }
        }
    });
    let sibling_starts = Rc::new(Cell::new(0));
    let counted = sibling_starts.clone();
    let sibling = Child::new("sibling", move || {
        counted.set(counted.get() + 1);
        std::future::pending()
    });
    let _supervisor = Supervisor::new(vec![faulty, sibling]).start();
    for expected in 0..=3 {
        assert_eq!(starts.recv().await, Some(expected));
    }
    assert_eq!(sibling_starts.get(), 1, "the sibling was never restarted");
}

#[actix_rt::test]
async fn nested_supervisor_restarts_its_child() {
    let (sender, mut starts) = unbounded_channel();
    let branch = Child::new("branch", move || {
        let sender = sender.clone();
        async move {
            let leaf = Child::new("leaf", move || {
                let sender = sender.clone();
                async move {
                    sender.send(()).expect("the receiver is open");
                    anyhow::bail!("every start fails")
                }
            });
            Supervisor::new(vec![leaf]).run().await;
            Ok(())
        }
    });
    let _supervisor = Supervisor::new(vec![branch]).start();
    assert_eq!(starts.recv().await, Some(()));
    assert_eq!(
        starts.recv().await,
        Some(()),
        "the leaf is restarted by the nested supervisor"
    );
}

/// Increments a counter while it exists, to count running tasks.
struct RunningGuard(Rc<Cell<usize>>);

impl RunningGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[actix_rt::test]
async fn failed_branch_aborts_its_children() {
    let running = Rc::new(Cell::new(0));
    let (sender, mut starts) = unbounded_channel();
    let (branch_running, branch_starts) = (running.clone(), Rc::new(Cell::new(0)));
    let branch = Child::new("branch", move || {
        let (sender, running) = (sender.clone(), branch_running.clone());
        let leaf_started = Rc::new(tokio::sync::Notify::new());
        let (notify, is_first) = (leaf_started.clone(), branch_starts.get() == 0);
        branch_starts.set(branch_starts.get() + 1);
        async move {
            let leaf = Child::new("leaf", move || {
                let (guard, sender, notify) =
                    (RunningGuard::new(&running), sender.clone(), notify.clone());
                async move {
                    sender.send(()).expect("the receiver is open");
                    notify.notify_one();
                    let _guard = guard;
                    std::future::pending().await
                }
            });
            let mut inner = std::pin::pin!(Supervisor::new(vec![leaf]).run());
            tokio::select! {
                () = &mut inner => unreachable!("a supervisor never returns"),
                () = leaf_started.notified() => {}
            }
            anyhow::ensure!(!is_first, "the first start of the branch fails");
            inner.await;
            Ok(())
        }
    });
    let _supervisor = Supervisor::new(vec![branch]).start();
    assert_eq!(starts.recv().await, Some(()));
    assert_eq!(starts.recv().await, Some(()));
    assert_eq!(running.get(), 1, "the leaf of the failed branch is aborted");
}
