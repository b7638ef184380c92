//! Reads the keys of YAML mappings and collects all faults.

use std::cell::RefCell;
use std::fmt::Display;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use marked_yaml::Node;
use marked_yaml::types::{MarkedMappingNode, MarkedScalarNode};

use super::fault::Fault;
use super::text::{DUPLICATE_MARK, marker_position};

/// Faults found so far, shared by all sections of a file.
pub(super) type FaultList = RefCell<Vec<Fault>>;

/// A value with its key and position.
#[derive(Debug, Clone)]
pub(super) struct Located<T> {
    pub(super) value: T,
    pub(super) key: String,
    /// Line and column; `None` for a default.
    pub(super) position: Option<(usize, usize)>,
}

impl<T: Display> Located<T> {
    /// Returns key, value and line for messages that mention a second key.
    pub(super) fn describe(&self) -> String {
        match self.position {
            Some((line, _)) => format!("{} ({}, line {line})", self.key, self.value),
            None => format!("{} ({}, the default)", self.key, self.value),
        }
    }
}

/// A mapping of the file; [`Section::finish`] reports the keys that were not read.
pub(super) struct Section<'a> {
    map: Option<&'a MarkedMappingNode>,
    path: String,
    position: (usize, usize),
    /// Keys that were asked for, present or not.
    known_keys: RefCell<Vec<&'static str>>,
    faults: &'a FaultList,
}

impl<'a> Section<'a> {
    pub(super) fn root(node: &'a Node, faults: &'a FaultList) -> Self {
        Self::new(node.as_mapping(), String::new(), (1, 1), faults)
    }

    fn new(
        map: Option<&'a MarkedMappingNode>,
        path: String,
        position: (usize, usize),
        faults: &'a FaultList,
    ) -> Self {
        Self { map, path, position, known_keys: RefCell::default(), faults }
    }

    /// Returns the path of a key in this section.
    pub(super) fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Records a fault at a position in the file.
    pub(super) fn fault(&self, position: (usize, usize), key: String, message: impl Into<String>) {
        let (line, column) = position;
        let message = message.into();
        self.faults.borrow_mut().push(Fault { line, column, key, message });
    }

    /// Records a fault at a value, or at the section if the value is a default.
    pub(super) fn fault_at<T>(&self, located: &Located<T>, message: impl Into<String>) {
        self.fault(located.position.unwrap_or(self.position), located.key.clone(), message);
    }

    /// Records that a key is missing.
    fn missing<T>(&self, key: &str) -> Option<T> {
        self.fault(self.position, self.path_of(key), "the key is missing");
        None
    }

    fn node(&self, key: &'static str) -> Option<&'a Node> {
        self.known_keys.borrow_mut().push(key);
        self.map?.get_node(key)
    }

    fn read<T>(
        &self,
        key: &'static str,
        node: &Node,
        read: impl FnOnce(&Node) -> Result<T, String>,
    ) -> Option<Located<T>> {
        let position = marker_position(node.span().start());
        let key = self.path_of(key);
        match read(node) {
            Ok(value) => Some(Located { value, key, position: Some(position) }),
            Err(message) => {
                self.fault(position, key, message);
                None
            }
        }
    }

    /// Reads a key that must be present.
    pub(super) fn required<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&Node) -> Result<T, String>,
    ) -> Option<Located<T>> {
        match self.node(key) {
            Some(node) => self.read(key, node, read),
            None => self.missing(key),
        }
    }

    /// Reads a key with a default; `None` only if the value given is faulty.
    pub(super) fn optional<T>(
        &self,
        key: &'static str,
        default: T,
        read: impl FnOnce(&Node) -> Result<T, String>,
    ) -> Option<Located<T>> {
        match self.node(key) {
            Some(node) => self.read(key, node, read),
            None => Some(Located { value: default, key: self.path_of(key), position: None }),
        }
    }

    /// Opens a mapping under a key; an absent one reads as empty.
    pub(super) fn section(&self, key: &'static str) -> Section<'a> {
        let node = self.node(key);
        let position = node.map_or(self.position, |node| marker_position(node.span().start()));
        if let Some(node) = node
            && node.as_mapping().is_none()
        {
            self.fault(position, self.path_of(key), "expected keys and values below this key");
        }
        let map = node.and_then(Node::as_mapping);
        Self::new(map, self.path_of(key), position, self.faults)
    }

    /// Opens each mapping of a list; an absent list is a fault unless it is `optional`.
    pub(super) fn sections(&self, key: &'static str, optional: bool) -> Option<Vec<Section<'a>>> {
        let Some(items) = self.items(key) else {
            return if optional { Some(Vec::new()) } else { self.missing(key) };
        };
        let sections = items?.into_iter().map(|(path, node)| {
            let position = marker_position(node.span().start());
            if node.as_mapping().is_none() {
                self.fault(position, path.clone(), "expected keys and values in this list item");
            }
            Self::new(node.as_mapping(), path, position, self.faults)
        });
        Some(sections.collect())
    }

    /// Reads each item of a list; `None` if the list is absent or an item is faulty.
    pub(super) fn list<T>(
        &self,
        key: &'static str,
        optional: bool,
        read: impl Fn(&Node) -> Result<T, String>,
    ) -> Option<Vec<Located<T>>> {
        let Some(items) = self.items(key) else {
            return if optional { Some(Vec::new()) } else { self.missing(key) };
        };
        let values: Vec<_> = items?
            .into_iter()
            .map(|(path, node)| {
                let position = marker_position(node.span().start());
                match read(node) {
                    Ok(value) => Some(Located { value, key: path, position: Some(position) }),
                    Err(message) => {
                        self.fault(position, path, message);
                        None
                    }
                }
            })
            .collect();
        values.into_iter().collect()
    }

    /// Returns the items of a list with their paths; the inner `None` means "not a list".
    #[expect(clippy::option_option, reason = "absent and faulty lists are treated differently")]
    fn items(&self, key: &'static str) -> Option<Option<Vec<(String, &'a Node)>>> {
        let node = self.node(key)?;
        let path = self.path_of(key);
        let Some(sequence) = node.as_sequence() else {
            self.fault(marker_position(node.span().start()), path, "expected a list");
            return Some(None);
        };
        let items = sequence.iter().enumerate().map(|(i, node)| (format!("{path}[{i}]"), node));
        Some(Some(items.collect()))
    }

    /// Returns the position of the section in the file.
    pub(super) fn position(&self) -> (usize, usize) {
        self.position
    }

    /// Reports duplicate keys and keys that were not read.
    pub(super) fn finish(self) {
        let Some(map) = self.map else { return };
        for key in map.keys() {
            let name = key.as_str();
            let position = marker_position(key.span().start());
            let plain = name.trim_start_matches(DUPLICATE_MARK);
            if plain != name {
                let first = map.keys().find(|key| key.as_str() == plain);
                let line = marker_position(first.and_then(|key| key.span().start())).0;
                let message = format!("the key is given twice, first on line {line}; keep one");
                self.fault(position, self.path_of(plain), message);
            } else if !self.known_keys.borrow().contains(&name) {
                // A quoted key may hold line ends or terminal controls.
                let shown = name.escape_debug().to_string();
                self.fault(position, self.path_of(&shown), self.unknown_key_message(name));
            }
        }
    }

    fn unknown_key_message(&self, name: &str) -> String {
        let known = self.known_keys.borrow();
        let nearest = known.iter().min_by_key(|known| edit_distance(name, known));
        match nearest.filter(|known| edit_distance(name, known) <= known.len() / 2) {
            Some(nearest) => format!("the key is not known; did you mean {nearest}?"),
            None => format!("the key is not known; known here: {}", known.join(", ")),
        }
    }
}

/// Returns the number of single-character edits between two words (Levenshtein distance).
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, left) in a.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, right) in b.iter().enumerate() {
            let substituted = diagonal + usize::from(left != *right);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[b.len()]
}

fn scalar(node: &Node) -> Result<&MarkedScalarNode, String> {
    node.as_scalar().ok_or_else(|| "expected a single value".to_owned())
}

/// Reads non-empty text.
pub(super) fn text(node: &Node) -> Result<String, String> {
    let value = scalar(node)?.as_str();
    if value.is_empty() { Err("the value is empty".to_owned()) } else { Ok(value.to_owned()) }
}

/// Reads `true` or `false`.
pub(super) fn boolean(node: &Node) -> Result<bool, String> {
    let value = scalar(node)?;
    value.as_bool().ok_or_else(|| format!("{:?} is neither true nor false", value.as_str()))
}

/// Reads an integer within a range.
pub(super) fn integer<T>(range: RangeInclusive<u64>) -> impl Fn(&Node) -> Result<T, String>
where
    T: TryFrom<u64>,
{
    move |node| {
        let value = scalar(node)?;
        let (low, high) = range.clone().into_inner();
        let number =
            value.as_i128().ok_or_else(|| format!("{:?} is not a whole number", value.as_str()))?;
        let accepted = u64::try_from(number).ok().filter(|number| range.contains(number));
        let accepted = accepted.and_then(|number| T::try_from(number).ok());
        accepted.ok_or_else(|| format!("{number} is out of range; use {low} to {high}"))
    }
}

/// Reads a number within a range.
pub(super) fn number(range: RangeInclusive<f64>) -> impl Fn(&Node) -> Result<f64, String> {
    move |node| {
        let value = scalar(node)?;
        let number = value.as_f64().filter(|number| number.is_finite());
        let number = number.ok_or_else(|| format!("{:?} is not a number", value.as_str()))?;
        if range.contains(&number) {
            Ok(number)
        } else {
            Err(format!("{number} is out of range; use {} to {}", range.start(), range.end()))
        }
    }
}

/// Reads a name and checks it by the rules of its type.
pub(super) fn name<T>(node: &Node) -> Result<T, String>
where
    T: FromStr,
    T::Err: Display,
{
    scalar(node)?.as_str().parse().map_err(|error: T::Err| error.to_string())
}

/// Reads an IP address with a port other than 0.
pub(super) fn address(node: &Node) -> Result<SocketAddr, String> {
    let value = scalar(node)?.as_str();
    let address: SocketAddr = value.parse().map_err(|_| {
        format!("{value:?} is not an address; use an IP number and port such as 10.0.0.5:7001")
    })?;
    if address.port() == 0 {
        return Err(format!("{value:?} has port 0; use a port from 1 to 65535"));
    }
    Ok(address)
}
