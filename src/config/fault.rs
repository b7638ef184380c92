//! Faults in a settings file or document, each with its position and key.

use std::fmt;
use std::path::Path;

/// One fault in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Line from 1; 0 if the fault concerns the file as a whole.
    pub line: usize,
    /// Column from 1; 0 if the fault concerns the file as a whole.
    pub column: usize,
    /// Path of the key, such as `timeouts.drain_timeout_ms`; empty if there is none.
    pub key: String,
    /// What is wrong and what is accepted instead.
    pub message: String,
}

/// All faults found in one file, in the order of lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults {
    file: String,
    list: Vec<Fault>,
}

impl Faults {
    pub(crate) fn new(mut list: Vec<Fault>) -> Self {
        list.sort_by_key(|fault| (fault.line, fault.column));
        Self { file: "document".to_owned(), list }
    }

    pub(crate) fn whole_file(message: String) -> Self {
        Self::new(vec![Fault { line: 0, column: 0, key: String::new(), message }])
    }

    pub(crate) fn in_file(self, path: &Path) -> Self {
        Self { file: path.display().to_string(), ..self }
    }

    /// Returns the faults in the order of lines.
    #[must_use]
    pub fn list(&self) -> &[Fault] {
        &self.list
    }

    /// Returns the file's path, or `document` for text that came from no file.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.list.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:", self.file)?;
            if fault.line > 0 {
                write!(f, "{}:", fault.line)?;
            }
            if !fault.key.is_empty() {
                write!(f, " {}:", fault.key)?;
            }
            write!(f, " {}", fault.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
