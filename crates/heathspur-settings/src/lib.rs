//! Reads the JSON settings of a server and converts them to the admission controller's
//! [`Settings`].
//!
//! Only [`wire`] contains the field names of the JSON format. The simulator adapter and the server
//! both deserialize [`WireSettings`] and convert it to [`ServerSettings`].
//!
//! [`Settings`]: heathspur::Settings
#![forbid(unsafe_code)]

mod convert;
mod names;
pub mod wire;

pub use convert::ServerSettings;
pub use names::{GaugeLayout, ProtocolNames};
pub use wire::WireSettings;
