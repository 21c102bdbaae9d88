//! The leader's decisions as pure functions.
//!
//! - [`mechanisms`]: which mechanisms the decisions use
//! - [`order`]: which step is placed first
//! - [`durations`]: how long tasks of a kind take, learnt from runs
//! - [`pace`]: at which share of its speed a task that fills may work
//! - [`health`]: whether a worker fails what it is given
//! - [`pools`]: how many instances a pool should have
//! - [`rises`]: when the work of a pool rises, and to what
//! - [`placement`]: which worker gets a task
//! - [`order_rate`]: how many orders about instances may be given
//! - [`receivers`]: which control instance takes the heartbeats of a worker
//! - [`waves`]: whether a maintenance wave may wait
//! - [`admission`]: which jobs are refused at once, and when their clients may come back

pub mod admission;
pub mod durations;
pub mod health;
pub mod mechanisms;
pub mod order;
pub mod order_rate;
pub mod pace;
pub mod placement;
pub mod pools;
pub mod receivers;
pub mod rises;
pub mod waves;
