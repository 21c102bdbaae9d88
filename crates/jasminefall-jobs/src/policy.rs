//! Pure functions and estimators behind the leader's decisions.
//!
//! - [`mechanisms`]: switches for the optional mechanisms
//! - [`priority`]: order in which steps are placed
//! - [`durations`]: estimates of task durations, learnt from runs
//! - [`pace`]: CPU throttling of best-effort tasks
//! - [`health`]: quarantine of workers on which tasks keep failing
//! - [`pools`]: number of instances that each pool needs
//! - [`shares`]: shares of workspaces in a full pool, and their rates of submissions
//! - [`surges`]: detection and prediction of demand surges
//! - [`placement`]: choice of a worker for a task
//! - [`request_limiter`]: rate limit of requests that stop or move instances
//! - [`receivers`]: assignment of workers to the control instances that receive their heartbeats
//! - [`waves`]: deferral of maintenance waves
//! - [`admission`]: refusal of jobs that would be late
//! - [`advice`]: workers that one request to the advice service names

pub mod admission;
pub mod advice;
pub mod crashes;
pub mod durations;
pub mod health;
pub mod mechanisms;
pub mod pace;
pub mod placement;
pub mod pools;
pub mod priority;
pub mod receivers;
pub mod request_limiter;
pub mod shares;
pub mod surges;
pub mod waves;
