//! Report on service-level burn.
//!
//! The control instances store the request counts of the entries. This crate fetches them, computes
//! error budgets and burn rates from the objectives, and renders them as text or as a
//! self-contained HTML page. The report lists missing data instead of estimating it.
//!
//! # Module map
//!
//! - [`records`]: service-level data of the control instances
//! - [`fetch`]: fetching the data from the control instances
//! - [`burn`]: error budgets and burn rates
//! - [`text`]: rendering as text for a terminal
//! - [`page`]: rendering as an HTML page with plots

pub mod burn;
pub mod fetch;
pub mod page;
pub mod records;
pub mod text;
