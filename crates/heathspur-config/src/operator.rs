//! The root of the operator's file.

use crate::{parse, read_text, Error, Failover, Http2, InvalidValue, Log, Members, Record};
use serde::Deserialize;
use std::path::Path;

/// The schema of the file (XSD 1.0).
pub const SCHEMA: &str = include_str!("../../../deploy/operator.xsd");
/// The namespace of the file's elements.
pub const NAMESPACE: &str = "urn:heathspur:operator:1";
const ROOT: &str = "operator";

/// The features that the operator has enabled.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    #[serde(rename = "@xmlns", default)]
    namespace: String,
    /// The program's own log.
    #[serde(default)]
    pub log: Log,
    /// Recording of traffic to capture files, if enabled.
    #[serde(default)]
    pub record: Option<Record>,
    /// The port for HTTP/2, if enabled.
    #[serde(default)]
    pub http2: Option<Http2>,
    /// Membership of the fleet, if enabled.
    #[serde(default)]
    pub members: Option<Members>,
    /// Failover between zones, if enabled.
    #[serde(default)]
    pub failover: Option<Failover>,
}

impl Operator {
    /// Reads a file. `memory` is the memory limit of the process in bytes, if known.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or is too large, or the first error in its text with its location.
    pub fn read(file: &Path, memory: Option<u64>) -> Result<Operator, Error> {
        let text = read_text(file, ROOT)?;
        Operator::parse(&text, file, memory)
    }

    /// Parses the text of a file. Errors name the path `file`. `memory` is the memory limit of the process in bytes,
    /// if known.
    ///
    /// # Errors
    /// Returns the first error found, with its location.
    pub fn parse(text: &str, file: &Path, memory: Option<u64>) -> Result<Operator, Error> {
        parse(text, file, ROOT, |operator: &Operator| {
            operator.check(memory)
        })
    }

    /// Checks the conditions that the schema can't express, and the ranges of values with units.
    fn check(&self, memory: Option<u64>) -> Result<(), InvalidValue> {
        self.check_namespace()?;
        self.log.check()?;
        if let Some(http2) = &self.http2 {
            http2.check(memory)?;
        }
        if let Some(members) = &self.members {
            members.check()?;
        }
        if let Some(failover) = &self.failover {
            failover.check(self.members.as_ref())?;
        }
        if let Some(record) = &self.record {
            record.check(memory)?;
        }
        Ok(())
    }

    fn check_namespace(&self) -> Result<(), InvalidValue> {
        if self.namespace == NAMESPACE {
            return Ok(());
        }
        let found = &self.namespace;
        let reason = format!("the namespace `{found}` where `{NAMESPACE}` is expected");
        Err(InvalidValue::new("", reason))
    }
}
