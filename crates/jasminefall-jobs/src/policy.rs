//! The leader's decisions as pure functions.
//!
//! - [`mechanisms`]: which mechanisms the decisions use
//! - [`priority`]: which step is placed first
//! - [`durations`]: how long tasks of a kind take, learnt from runs
//! - [`pace`]: at which share of its speed a best-effort task may work
//! - [`health`]: whether a worker fails what it is given
//! - [`pools`]: how many instances a pool should have
//! - [`surges`]: when the work of a pool surges, and to what
//! - [`placement`]: which worker gets a task
//! - [`request_limiter`]: how many requests about instances may be sent
//! - [`receivers`]: which control instance takes the heartbeats of a worker
//! - [`waves`]: whether a maintenance wave may wait
//! - [`admission`]: which jobs are refused at once, and when their clients may come back

pub mod admission;
pub mod durations;
pub mod health;
pub mod mechanisms;
pub mod pace;
pub mod placement;
pub mod pools;
pub mod priority;
pub mod receivers;
pub mod request_limiter;
pub mod surges;
pub mod waves;
