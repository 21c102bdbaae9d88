//! Children of a supervisor come back, and do not take each other down.

use std::cell::Cell;
use std::rc::Rc;

use actix::Actor;
use jasminefall_runtime::supervisor::{Child, Supervisor};
use tokio::sync::mpsc::unbounded_channel;

#[actix_rt::test]
async fn a_child_that_panics_fails_or_ends_is_started_again_and_its_sibling_runs_on() {
    let (sender, mut starts) = unbounded_channel();
    let count = Rc::new(Cell::new(0));
    let faulty = Child::new("faulty", move || {
        let (sender, number) = (sender.clone(), count.get());
        count.set(number + 1);
        async move {
            sender.send(number).expect("the test listens");
            match number {
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
    assert_eq!(sibling_starts.get(), 1, "the sibling was never disturbed");
}

#[actix_rt::test]
async fn a_supervisor_can_be_a_child() {
    let (sender, mut starts) = unbounded_channel();
    let branch = Child::new("branch", move || {
        let sender = sender.clone();
        async move {
            let leaf = Child::new("leaf", move || {
                let sender = sender.clone();
                async move {
                    sender.send(()).expect("the test listens");
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
        "the leaf is started again by its own supervisor"
    );
}

/// Counts how many of its kind live.
struct Live(Rc<Cell<usize>>);

impl Live {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for Live {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[actix_rt::test]
async fn a_branch_that_fails_takes_its_children_with_it() {
    let live = Rc::new(Cell::new(0));
    let (sender, mut starts) = unbounded_channel();
    let (counted, branch_starts) = (live.clone(), Rc::new(Cell::new(0)));
    let branch = Child::new("branch", move || {
        let (sender, counted) = (sender.clone(), counted.clone());
        let started = Rc::new(tokio::sync::Notify::new());
        let (told, is_first) = (started.clone(), branch_starts.get() == 0);
        branch_starts.set(branch_starts.get() + 1);
        async move {
            let leaf = Child::new("leaf", move || {
                let (live, sender, told) = (Live::new(&counted), sender.clone(), told.clone());
                async move {
                    sender.send(()).expect("the test listens");
                    told.notify_one();
                    let _live = live;
                    std::future::pending().await
                }
            });
            let mut inner = std::pin::pin!(Supervisor::new(vec![leaf]).run());
            tokio::select! {
                () = &mut inner => unreachable!("a supervisor runs for ever"),
                () = started.notified() => {}
            }
            anyhow::ensure!(!is_first, "the first start of the branch fails");
            inner.await;
            Ok(())
        }
    });
    let _supervisor = Supervisor::new(vec![branch]).start();
    assert_eq!(starts.recv().await, Some(()));
    assert_eq!(starts.recv().await, Some(()));
    assert_eq!(live.get(), 1, "the leaf of the failed branch is gone");
}
