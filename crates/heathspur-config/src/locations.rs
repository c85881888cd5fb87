//! Lines of elements and attributes, for errors that know only a path.

use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;
use std::collections::BTreeMap;

/// How deep elements may stand in each other.
const DEEPEST: usize = 16;

/// The line of each element and attribute by its path below the root: `record.mask[1].@header`; the first of a
/// name has no number.
pub(crate) struct Places {
    lines: BTreeMap<String, usize>,
    root: &'static str,
}

impl Places {
    /// Walks through the text; the error is line, element and what is wrong.
    pub fn of(text: &str, root: &'static str) -> Result<Places, (usize, String, String)> {
        let mut reader = Reader::from_str(text);
        reader.config_mut().check_comments = true;
        let mut lines = Lines {
            text: text.as_bytes(),
            at: 0,
            line: 1,
        };
        let mut places = BTreeMap::new();
        // The path of each open element, and how many children of each name it has had.
        let mut open: Vec<(String, BTreeMap<String, usize>)> = Vec::new();
        let mut roots = 0;
        loop {
            let at = reader.buffer_position() as usize;
            let event = reader.read_event();
            let name = open
                .last()
                .map_or(root.to_string(), |(path, _)| last(path, root).to_string());
            let event = event.map_err(|e| {
                let place = reader.error_position().min(text.len() as u64) as usize;
                (lines.of(place), name.clone(), e.to_string())
            })?;
            match &event {
                Event::Start(start) | Event::Empty(start) => {
                    let line = lines.of(skip_space(text.as_bytes(), at));
                    if open.len() >= DEEPEST {
                        return Err((
                            line,
                            name,
                            "elements stand too deep in each other".to_string(),
                        ));
                    }
                    let path = enter(start, line, root, &mut open, &mut roots, &mut places)?;
                    if matches!(event, Event::Start(_)) {
                        open.push((path, BTreeMap::new()));
                    }
                }
                Event::End(_) => {
                    open.pop();
                }
                Event::DocType(_) => {
                    let line = lines.of(skip_space(text.as_bytes(), at));
                    return Err((line, name, "no document type is taken".to_string()));
                }
                Event::Eof => break,
                _ => {}
            }
        }
        if let Some((path, _)) = open.last() {
            let name = last(path, root).to_string();
            let what = format!("`</{name}>` is expected before the end");
            return Err((lines.of(text.len()), name, what));
        }
        if roots != 1 {
            return Err((1, root.into(), format!("one element `{root}` is expected")));
        }
        Ok(Places {
            lines: places,
            root,
        })
    }

    /// Line and name for a path as serde gives it. An element or attribute that is unknown is looked for below
    /// the path, by the name that the error quotes.
    pub fn find(&self, path: &str, what: &str) -> (usize, String) {
        let path = if path == "." {
            String::new()
        } else {
            path.replace("[0]", "")
        };
        let path = &path[..];
        let quoted = |start: &str| {
            what.strip_prefix(start)
                .and_then(|rest| rest.split('`').next())
        };
        if let Some(again) = quoted("duplicate field `") {
            let second = format!("{}[1]", join(path, again));
            if let Some(line) = self.lines.get(&second) {
                return (*line, shown(&second, self.root));
            }
        }
        if let Some(unknown) = quoted("unknown field `") {
            let path = path.strip_suffix(unknown).unwrap_or(path);
            let path = path.trim_end_matches('.');
            for below in [join(path, unknown), path.to_string()] {
                if let Some(line) = self.lines.get(&below) {
                    return (*line, shown(&below, self.root));
                }
            }
        }
        let mut path = path;
        loop {
            if let Some(line) = self.lines.get(path) {
                return (*line, shown(path, self.root));
            }
            match path.rfind('.') {
                Some(at) => path = &path[..at],
                None => {
                    return (
                        self.lines.get("").copied().unwrap_or(1),
                        shown("", self.root),
                    )
                }
            }
        }
    }
}

/// Says `attribute` instead of serde's names for it.
pub(crate) fn plain(what: &str) -> String {
    what.replace("`@", "`")
        .replace("field `$text`", "text")
        .replace("unknown field", "unknown element or attribute")
}

fn enter(
    start: &BytesStart<'_>,
    line: usize,
    root: &str,
    open: &mut [(String, BTreeMap<String, usize>)],
    roots: &mut usize,
    places: &mut BTreeMap<String, usize>,
) -> Result<String, (usize, String, String)> {
    let name = String::from_utf8_lossy(start.name().as_ref()).into_owned();
    let path = match open.last_mut() {
        None => {
            *roots += 1;
            if name != root || *roots > 1 {
                return Err((line, name, format!("one element `{root}` is expected")));
            }
            String::new()
        }
        Some((parent, children)) => {
            let count = children.entry(name.clone()).or_default();
            let index = if *count > 0 {
                format!("[{count}]")
            } else {
                String::new()
            };
            *count += 1;
            join(parent, &format!("{name}{index}"))
        }
    };
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|e| (line, name.clone(), e.to_string()))?;
        let key = format!("@{}", String::from_utf8_lossy(attribute.key.as_ref()));
        let before = &start[..];
        let place =
            (attribute.key.as_ref().as_ptr() as usize).saturating_sub(before.as_ptr() as usize);
        let below = before
            .get(..place)
            .unwrap_or(&[])
            .iter()
            .filter(|b| **b == b'\n')
            .count();
        places.entry(join(&path, &key)).or_insert(line + below);
    }
    places.entry(path.clone()).or_insert(line);
    Ok(path)
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

fn last<'a>(path: &'a str, root: &'a str) -> &'a str {
    let name = path.rsplit('.').next().unwrap_or(path);
    let name = name.split('[').next().unwrap_or(name);
    if name.is_empty() {
        root
    } else {
        name
    }
}

/// `element`, or `element@attribute`.
fn shown(path: &str, root: &str) -> String {
    match path.rsplit_once('@') {
        Some((element, attribute)) => {
            format!("{}@{attribute}", last(element.trim_end_matches('.'), root))
        }
        None => last(path, root).to_string(),
    }
}

fn skip_space(text: &[u8], at: usize) -> usize {
    at + text
        .get(at..)
        .unwrap_or(&[])
        .iter()
        .take_while(|b| b.is_ascii_whitespace())
        .count()
}

/// Line numbers of places that come in order.
struct Lines<'a> {
    text: &'a [u8],
    at: usize,
    line: usize,
}

impl Lines<'_> {
    fn of(&mut self, place: usize) -> usize {
        let to = place.clamp(self.at, self.text.len());
        self.line += self.text[self.at..to]
            .iter()
            .filter(|b| **b == b'\n')
            .count();
        self.at = to;
        self.line
    }
}
