//! Admission control and scheduling for one server behind load balancers that it cannot change.
//!
//! An [`AdmissionController`] takes batches of [`Event`]s and returns [`Action`]s. It reads no
//! clock, does no I/O and draws randomness only from its seed, so the same events always give the
//! same actions.
//!
//! Each module owns the state of one concern; `controller` combines them.
#![forbid(unsafe_code)]

mod action;
mod class_queues;
mod concurrency_limit;
mod controller;
mod deadline_factor;
mod dependency_calls;
mod drain;
mod event;
mod ewma;
mod idempotency_groups;
mod idle_connections;
mod load_signal;
mod memory_guard;
mod overload_ceiling;
mod random;
mod rejection;
mod requests;
mod run_estimates;
mod settings;
mod slot_budgets;
mod stall_detector;
mod tenant_quotas;
mod time;

pub use action::Action;
pub use controller::AdmissionController;
pub use event::{Event, Gauges, Outcome, Request, RequestId, Token};
pub use settings::{
    Class, ClassId, Dependency, Idempotency, LoadSignal, Preemption, Settings, Tenant, TenantId,
    WeightUnit,
};
pub use time::{Span, Time};
