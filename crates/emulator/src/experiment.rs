//! Experiments on role planning: the daemon's own decision code against emulated engines, on virtual
//! time, beside baselines on the same requests.

pub mod controller;
pub mod demand;
pub mod deployment;
mod figures;
pub mod generate;
mod oracle;
mod page;
mod parallel;
mod planners;
mod run;
pub mod scenario;
mod schedule_search;
pub mod simulation;
pub mod trace;

pub use figures::{Figures, Percentiles, PriorityGoodput};
pub use page::render;
pub use planners::PlannerName;
pub use run::{Case, CaseSource, PlannerOutcome, SeedReport, Workload, run_seed, run_seeds};
