//! Settings of the daemons and service documents, read from YAML with positions.

mod control;
mod document;
mod entry;
mod fault;
mod section;
mod settings;
#[cfg(test)]
mod tests;
pub(crate) mod text;

use std::fmt;
use std::path::Path;

use marked_yaml::Node;

pub use fault::{Fault, Faults};
pub use settings::{
    ControlSettings, DataCentrePeers, EntrySettings, JobShape, Limits, Organisation,
    ServiceDocument, TeamCredential, Timeouts,
};

use section::{FaultList, Section};

/// Maximum number of entry hosts in a data centre; each has a permanent base share of one of the 8
/// slots of an upstream.
pub const ENTRY_HOSTS_MAX: usize = 8;

/// Interval at which upstreams send announcements.
pub const ANNOUNCE_INTERVAL_MS: u64 = 1_000;

/// Kind of a file, as given by its top-level key `kind`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Settings of an entry host.
    Entry,
    /// Settings of a control process.
    Control,
    /// A service document.
    Service,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Entry, Self::Control, Self::Service];

    /// Returns the name of the kind as written in files.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Service => "service",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl EntrySettings {
    /// Reads the settings of an entry host.
    ///
    /// # Errors
    /// Returns every fault in the file, or one if the file cannot be read or is not YAML.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        read_file(path, |text| parse(text, Kind::Entry, entry::read))
    }
}

impl ControlSettings {
    /// Reads the settings of a control process.
    ///
    /// # Errors
    /// Returns every fault in the file, or one if the file cannot be read or is not YAML.
    pub fn read(path: &Path) -> Result<Self, Faults> {
        read_file(path, |text| parse(text, Kind::Control, control::read))
    }
}

impl ServiceDocument {
    /// Parses a service document as operators submit it.
    ///
    /// # Errors
    /// Returns every fault in the text, or one if it is not YAML.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        parse(text, Kind::Service, document::read)
    }
}

/// Checks a file of any kind and returns its kind.
///
/// # Errors
/// Returns every fault in the file, or one if the file cannot be read or is not YAML.
pub fn check_file(path: &Path) -> Result<Kind, Faults> {
    read_file(path, check_text)
}

fn check_text(text: &str) -> Result<Kind, Faults> {
    let root = text::load(text)?;
    let faults = FaultList::default();
    let section = Section::root(&root, &faults);
    let Some(kind) = section.required("kind", read_kind) else {
        return Err(Faults::new(faults.take()));
    };
    match kind.value {
        Kind::Entry => parse_root(&root, kind.value, entry::read).map(drop)?,
        Kind::Control => parse_root(&root, kind.value, control::read).map(drop)?,
        Kind::Service => parse_root(&root, kind.value, document::read).map(drop)?,
    }
    Ok(kind.value)
}

fn read_file<T>(path: &Path, read: impl Fn(&str) -> Result<T, Faults>) -> Result<T, Faults> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| Faults::whole_file(format!("the file cannot be read: {error}")));
    text.and_then(|text| read(&text)).map_err(|faults| faults.in_file(path))
}

type Reader<T> = fn(&Section<'_>) -> Option<T>;

fn parse<T>(text: &str, kind: Kind, read: Reader<T>) -> Result<T, Faults> {
    parse_root(&text::load(text)?, kind, read)
}

fn parse_root<T>(root: &Node, kind: Kind, read: Reader<T>) -> Result<T, Faults> {
    let faults = FaultList::default();
    let section = Section::root(root, &faults);
    if let Some(found) = section.required("kind", read_kind)
        && found.value != kind
    {
        section.fault_at(&found, format!("this is a file of kind {}, not {kind}", found.value));
        return Err(Faults::new(faults.take()));
    }
    let value = read(&section);
    section.finish();
    let list = faults.take();
    match value {
        Some(value) if list.is_empty() => Ok(value),
        _ => Err(Faults::new(list)),
    }
}

fn read_kind(node: &Node) -> Result<Kind, String> {
    let text = section::text(node)?;
    let kind = Kind::ALL.into_iter().find(|kind| kind.name() == text);
    kind.ok_or_else(|| format!("{text:?} is not a kind of file; use entry, control or service"))
}
