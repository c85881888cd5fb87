//! The operator's file: the features that an installation enables in addition to the platform's settings.
//!
//! The file is XML, described by the schema in [`SCHEMA`]. A feature that is not in the file is off. Unknown elements
//! and attributes are rejected, and every error names the file, the line, the element and the expected value. The
//! platform's own settings are JSON and are not read here.
//!
//! [`parse`] and [`read_text`] also read other XML files in the same way.
#![forbid(unsafe_code)]

mod error;
mod failover;
mod http2;
mod locations;
mod log;
mod members;
mod operator;
mod reader;
mod record;
pub mod units;

pub use error::{Error, InvalidValue};
pub use failover::{Failover, Replica};
pub use http2::{ClientTimeouts, Http2, Memory, Request, Streams};
pub use log::{Format, Level, Log};
pub use members::{Members, Seed};
pub use operator::{Operator, NAMESPACE, SCHEMA};
pub use reader::{parse, read_text, MAX_FILE_BYTES};
pub use record::{Budget, Contents, Files, Mask, Record};
