//! Scans a text for the lines of its elements and attributes.

use super::{element_name, join, Locations, StructureError};
use quick_xml::events::{BytesStart, Event};
use std::collections::BTreeMap;

/// The maximum nesting depth of elements.
const MAX_DEPTH: usize = 16;

/// An element whose end has not been read yet.
struct OpenElement {
    path: String,
    /// The number of its children by name.
    children: BTreeMap<String, usize>,
}

/// Collects locations from the events of a reader.
pub(super) struct Scanner<'a> {
    text: &'a str,
    root: &'static str,
    lines: LineCounter<'a>,
    locations: BTreeMap<String, usize>,
    open: Vec<OpenElement>,
    root_count: usize,
}

impl<'a> Scanner<'a> {
    pub fn new(text: &'a str, root: &'static str) -> Scanner<'a> {
        Scanner {
            text,
            root,
            lines: LineCounter {
                text: text.as_bytes(),
                position: 0,
                line: 1,
            },
            locations: BTreeMap::new(),
            open: Vec::new(),
            root_count: 0,
        }
    }

    /// Processes an event that starts at the position, or after the white space at the position.
    pub fn handle(&mut self, event: &Event<'_>, position: usize) -> Result<(), StructureError> {
        match event {
            Event::Start(start) => {
                let path = self.enter(start, position)?;
                self.open.push(OpenElement {
                    path,
                    children: BTreeMap::new(),
                });
            }
            Event::Empty(start) => {
                self.enter(start, position)?;
            }
            Event::End(_) => {
                self.open.pop();
            }
            Event::DocType(_) => {
                let position = skip_space(self.text.as_bytes(), position);
                let reason = "a document type declaration is not allowed";
                return Err(self.error_at(position, reason));
            }
            _ => {}
        }
        Ok(())
    }

    pub fn finish(mut self) -> Result<Locations, StructureError> {
        if !self.open.is_empty() {
            let name = self.current_element();
            let reason = format!("`</{name}>` is expected before the end");
            return Err(self.error_at(self.text.len(), reason));
        }
        if self.root_count != 1 {
            let reason = format!("one element `{}` is expected", self.root);
            return Err(StructureError::new(1, self.root, reason));
        }
        Ok(Locations {
            lines: self.locations,
            root: self.root,
        })
    }

    /// Returns an error in the current element.
    pub fn error_at(&mut self, position: usize, reason: impl Into<String>) -> StructureError {
        let line = self.lines.line_of(position);
        StructureError::new(line, self.current_element(), reason)
    }

    fn current_element(&self) -> String {
        let path = self.open.last().map_or("", |element| &element.path);
        element_name(path, self.root).to_string()
    }

    /// Records an element and its attributes; returns the element's path.
    fn enter(&mut self, start: &BytesStart<'_>, position: usize) -> Result<String, StructureError> {
        let position = skip_space(self.text.as_bytes(), position);
        if self.open.len() >= MAX_DEPTH {
            return Err(self.error_at(position, "elements are nested too deep"));
        }
        let line = self.lines.line_of(position);
        let name = String::from_utf8_lossy(start.name().as_ref()).into_owned();
        let path = self.child_path(&name, line)?;
        self.record_attributes(start, &name, &path, line)?;
        self.locations.entry(path.clone()).or_insert(line);
        Ok(path)
    }

    /// Returns the path of the next element, which may be the root.
    fn child_path(&mut self, name: &str, line: usize) -> Result<String, StructureError> {
        let Some(parent) = self.open.last_mut() else {
            self.root_count += 1;
            if name != self.root || self.root_count > 1 {
                let reason = format!("one element `{}` is expected", self.root);
                return Err(StructureError::new(line, name, reason));
            }
            return Ok(String::new());
        };
        let count = parent.children.entry(name.to_string()).or_default();
        let path = join(&parent.path, name);
        let indexed = if *count > 0 {
            format!("{path}[{count}]")
        } else {
            path
        };
        *count += 1;
        Ok(indexed)
    }

    fn record_attributes(
        &mut self,
        start: &BytesStart<'_>,
        name: &str,
        path: &str,
        line: usize,
    ) -> Result<(), StructureError> {
        for attribute in start.attributes() {
            let attribute =
                attribute.map_err(|error| StructureError::new(line, name, error.to_string()))?;
            let key = attribute.key.as_ref();
            let attribute_path = join(path, &format!("@{}", String::from_utf8_lossy(key)));
            let line = line + lines_before(start, key);
            self.locations.entry(attribute_path).or_insert(line);
        }
        Ok(())
    }
}

/// Returns the number of line ends in the element's start tag before the attribute's key, which is a slice of it.
fn lines_before(start: &[u8], key: &[u8]) -> usize {
    let offset = (key.as_ptr() as usize).saturating_sub(start.as_ptr() as usize);
    count_line_ends(start.get(..offset).unwrap_or(&[]))
}

fn count_line_ends(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte == b'\n').count()
}

fn skip_space(text: &[u8], position: usize) -> usize {
    let rest = text.get(position..).unwrap_or(&[]);
    position
        + rest
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count()
}

/// Counts the lines up to positions that are asked for in ascending order.
struct LineCounter<'a> {
    text: &'a [u8],
    position: usize,
    line: usize,
}

impl LineCounter<'_> {
    fn line_of(&mut self, position: usize) -> usize {
        let end = position.clamp(self.position, self.text.len());
        self.line += count_line_ends(&self.text[self.position..end]);
        self.position = end;
        self.line
    }
}
