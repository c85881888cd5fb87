//! The JSON settings of a server: read from the names of the wire into the admission controller's [`Settings`].
//!
//! [`wire`] is the only place with the wire's names. The simulator adapter and the server both start from
//! [`WireSettings`].
//!
//! [`Settings`]: heathspur::Settings
#![forbid(unsafe_code)]

mod convert;
mod names;
pub mod wire;

pub use convert::ServerSettings;
pub use names::{GaugeLayout, WireNames};
pub use wire::WireSettings;
