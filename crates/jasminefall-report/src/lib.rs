//! Report on service-level burn.
//!
//! The control instances keep what the entries counted; this crate reads it, works out objectives,
//! error budgets and burn rates, and writes them as text or as one self-contained HTML page. Where
//! data is missing it says so rather than guess.
//!
//! # Module map
//!
//! - [`records`]: what the control instances answer
//! - [`fetch`]: asking every control instance
//! - [`burn`]: budgets and burn rates
//! - [`text`]: the report for a terminal
//! - [`page`]: the report as an HTML page with plots

pub mod burn;
pub mod fetch;
pub mod page;
pub mod records;
pub mod text;
