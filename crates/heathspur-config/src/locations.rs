//! The lines of elements and attributes, for errors that name only a path.

use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;
use std::collections::BTreeMap;

/// The deepest nesting of elements.
const MAX_DEPTH: usize = 16;

/// The place of an error in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Location {
    /// From 1.
    pub line: usize,
    /// `element` or `element@attribute`.
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

/// The line of each element and attribute by its path below the root: `record.mask[1].@header`. The first element of a
/// name has no index.
pub(crate) struct Locations {
    lines: BTreeMap<String, usize>,
    root: &'static str,
}

impl Locations {
    /// Scans the text and checks its structure.
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

    /// The location of a path.
    pub fn find(&self, path: &str) -> Location {
        self.find_nearest(&path.replace("[0]", ""))
    }

    /// The location of a deserialization error at a path. An unknown or duplicate element or attribute is searched for
    /// below the path, by the name that the error quotes.
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

    /// The location of the path, or of its nearest ancestor in the text.
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

/// Replaces serde's names for attributes, text and fields by those of XML.
pub(crate) fn plain_reason(reason: &str) -> String {
    reason
        .replace("`@", "`")
        .replace("field `$text`", "text")
        .replace("unknown field", "unknown element or attribute")
}

/// An element whose end has not been read.
struct OpenElement {
    path: String,
    /// How many children of each name it has.
    children: BTreeMap<String, usize>,
}

/// Collects locations from the events of a reader.
struct Scanner<'a> {
    text: &'a str,
    root: &'static str,
    lines: LineCounter<'a>,
    locations: BTreeMap<String, usize>,
    open: Vec<OpenElement>,
    root_count: usize,
}

impl<'a> Scanner<'a> {
    fn new(text: &'a str, root: &'static str) -> Scanner<'a> {
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

    /// Processes an event that starts at the position, or after the space there.
    fn handle(&mut self, event: &Event<'_>, position: usize) -> Result<(), StructureError> {
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
                return Err(self.error_at(position, "no document type is taken"));
            }
            _ => {}
        }
        Ok(())
    }

    fn finish(mut self) -> Result<Locations, StructureError> {
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

    /// An error in the current element.
    fn error_at(&mut self, position: usize, reason: impl Into<String>) -> StructureError {
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
            return Err(self.error_at(position, "elements stand too deep in each other"));
        }
        let line = self.lines.line_of(position);
        let name = String::from_utf8_lossy(start.name().as_ref()).into_owned();
        let path = self.child_path(&name, line)?;
        self.record_attributes(start, &name, &path, line)?;
        self.locations.entry(path.clone()).or_insert(line);
        Ok(path)
    }

    /// The path of the next element, which may be the root.
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

/// The number of line ends in the element's start before the attribute's key, which is a slice of it.
fn lines_before(start: &[u8], key: &[u8]) -> usize {
    let offset = (key.as_ptr() as usize).saturating_sub(start.as_ptr() as usize);
    count_line_ends(start.get(..offset).unwrap_or(&[]))
}

fn count_line_ends(bytes: &[u8]) -> usize {
    bytes.iter().filter(|byte| **byte == b'\n').count()
}

/// The name in backquotes that follows the prefix.
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

/// The name of the element at a path, without its index.
fn element_name<'a>(path: &'a str, root: &'a str) -> &'a str {
    let name = path.rsplit('.').next().unwrap_or(path);
    let name = name.split('[').next().unwrap_or(name);
    if name.is_empty() {
        root
    } else {
        name
    }
}

/// `element` or `element@attribute`.
fn display_name(path: &str, root: &str) -> String {
    match path.rsplit_once('@') {
        Some((element, attribute)) => {
            let element = element_name(element.trim_end_matches('.'), root);
            format!("{element}@{attribute}")
        }
        None => element_name(path, root).to_string(),
    }
}

fn skip_space(text: &[u8], position: usize) -> usize {
    let rest = text.get(position..).unwrap_or(&[]);
    position
        + rest
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count()
}

/// Counts lines up to ascending positions.
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
