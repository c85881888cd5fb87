//! The line of each element and attribute. Errors of deserialization and validation have only a path, from which the
//! line is looked up.

mod scanner;

use quick_xml::events::Event;
use quick_xml::Reader;
use scanner::Scanner;
use std::collections::BTreeMap;

/// The location of an error in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    /// The line, from 1.
    pub line: usize,
    /// The name of the element, or of the attribute as `element@attribute`.
    pub element: String,
}

/// An error in the structure of the text.
#[derive(Debug)]
pub(crate) struct StructureError {
    pub location: Location,
    pub reason: String,
}

impl StructureError {
    fn new(line: usize, element: impl Into<String>, reason: impl Into<String>) -> StructureError {
        StructureError {
            location: Location {
                line,
                element: element.into(),
            },
            reason: reason.into(),
        }
    }
}

/// The line of each element and attribute by its path below the root, such as `record.mask[1].@header`. The first of
/// several siblings with the same name has no index.
pub(crate) struct Locations {
    lines: BTreeMap<String, usize>,
    root: &'static str,
}

impl Locations {
    /// Scans the text and validates its structure.
    pub fn scan(text: &str, root: &'static str) -> Result<Locations, StructureError> {
        let mut scanner = Scanner::new(text, root);
        let mut reader = Reader::from_str(text);
        reader.config_mut().check_comments = true;
        loop {
            let position = reader.buffer_position() as usize;
            let event = match reader.read_event() {
                Ok(event) => event,
                Err(error) => {
                    let position = reader.error_position().min(text.len() as u64) as usize;
                    return Err(scanner.error_at(position, error.to_string()));
                }
            };
            if matches!(event, Event::Eof) {
                return scanner.finish();
            }
            scanner.handle(&event, position)?;
        }
    }

    /// Returns the location of a path, or of its nearest ancestor in the text.
    pub fn find(&self, path: &str) -> Location {
        self.find_nearest(&path.replace("[0]", ""))
    }

    /// Returns the location of a deserialization error at a path. Looks for an unknown or duplicate element or
    /// attribute below the path, by the name that the error quotes.
    pub fn find_error(&self, path: &str, reason: &str) -> Location {
        let path = if path == "." { "" } else { path };
        let path = path.replace("[0]", "");
        self.find_duplicate(&path, reason)
            .or_else(|| self.find_unknown(&path, reason))
            .unwrap_or_else(|| self.find_nearest(&path))
    }

    fn find_duplicate(&self, path: &str, reason: &str) -> Option<Location> {
        let name = quoted_after(reason, "duplicate field `")?;
        self.get(&format!("{}[1]", join(path, name)))
    }

    fn find_unknown(&self, path: &str, reason: &str) -> Option<Location> {
        let name = quoted_after(reason, "unknown field `")?;
        let parent = path.strip_suffix(name).unwrap_or(path);
        let parent = parent.trim_end_matches('.');
        self.get(&join(parent, name)).or_else(|| self.get(parent))
    }

    /// Returns the location of the path, or of its nearest ancestor in the text.
    fn find_nearest(&self, path: &str) -> Location {
        let mut path = path;
        loop {
            if let Some(location) = self.get(path) {
                return location;
            }
            let Some(parent_end) = path.rfind('.') else {
                break;
            };
            path = &path[..parent_end];
        }
        self.get("").unwrap_or_else(|| Location {
            line: 1,
            element: self.root.to_string(),
        })
    }

    fn get(&self, path: &str) -> Option<Location> {
        let line = *self.lines.get(path)?;
        Some(Location {
            line,
            element: display_name(path, self.root),
        })
    }
}

/// Replaces serde's terms for attributes, text and fields by those of XML.
pub(crate) fn xml_reason(reason: &str) -> String {
    reason
        .replace("`@", "`")
        .replace("field `$text`", "text")
        .replace("unknown field", "unknown element or attribute")
}

/// Returns the rest of the name whose opening backquote ends the prefix.
fn quoted_after<'a>(reason: &'a str, prefix: &str) -> Option<&'a str> {
    reason.strip_prefix(prefix)?.split('`').next()
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns the name of the element at a path, without its index.
fn element_name<'a>(path: &'a str, root: &'a str) -> &'a str {
    let name = path.rsplit('.').next().unwrap_or(path);
    let name = name.split('[').next().unwrap_or(name);
    if name.is_empty() {
        root
    } else {
        name
    }
}

/// Returns the name of a path in errors: `element` or `element@attribute`.
fn display_name(path: &str, root: &str) -> String {
    match path.rsplit_once('@') {
        Some((element, attribute)) => {
            let element = element_name(element.trim_end_matches('.'), root);
            format!("{element}@{attribute}")
        }
        None => element_name(path, root).to_string(),
    }
}
