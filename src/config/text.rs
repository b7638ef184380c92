//! Parses YAML into nodes with positions, keeps duplicate keys and bounds the nesting.

use marked_yaml::types::MarkedScalarNode;
use marked_yaml::{LoadError, LoaderOptions, Marker, Node, parse_yaml_with_options};

use super::fault::{Fault, Faults};

/// Largest accepted text; service documents are sent and journalled as a whole.
pub(crate) const TEXT_LIMIT_BYTES: usize = 256 * 1024;

/// Maximum number of opening brackets in a text. The YAML parser recurses once for each nested one,
/// and a text of brackets alone would exhaust a thread's stack.
const BRACKET_LIMIT: usize = 1_000;

/// Maximum indentation in columns, which bounds the parser's recursion over block style.
const INDENT_LIMIT: usize = 128;

/// Maximum number of duplicate keys before parsing stops; each one costs another parse.
const DUPLICATE_LIMIT: usize = 32;

/// Private-use character prefixed to a duplicate key, so that the loader keeps both entries.
pub(super) const DUPLICATE_MARK: char = '\u{E000}';

/// Parses text into nodes; duplicate keys are prefixed with [`DUPLICATE_MARK`].
pub(crate) fn load(text: &str) -> Result<Node, Faults> {
    check_structure(text)?;
    // The YAML parser would take a byte order mark as part of the first key.
    let mut text = text.strip_prefix('\u{FEFF}').unwrap_or(text).to_owned();
    for _ in 0..DUPLICATE_LIMIT {
        let options = LoaderOptions::default().error_on_duplicate_keys(true).prevent_coercion(true);
        match parse_yaml_with_options(0, &text, options) {
            Ok(node) => return Ok(node),
            Err(LoadError::DuplicateKey(pair)) => {
                let marked = mark_duplicate(&text, &pair.key);
                text = marked.ok_or_else(|| Faults::new(vec![duplicate_key_fault(&pair.key)]))?;
            }
            Err(error) => return Err(Faults::new(vec![syntax_fault(&error)])),
        }
    }
    Err(Faults::whole_file(format!("more than {DUPLICATE_LIMIT} keys are given twice")))
}

/// Refuses texts that the parser cannot handle: too long, too deep, or of several documents.
fn check_structure(text: &str) -> Result<(), Faults> {
    if text.len() > TEXT_LIMIT_BYTES {
        let message = format!("the text has {} bytes; use at most {TEXT_LIMIT_BYTES}", text.len());
        return Err(Faults::whole_file(message));
    }
    check_nesting(text)
}

/// Refuses texts on which the YAML parser's recursion would exhaust the stack and end the process, and
/// texts of several documents.
pub(crate) fn check_nesting(text: &str) -> Result<(), Faults> {
    if text.matches(['[', '{']).count() > BRACKET_LIMIT {
        let message =
            format!("the text has over {BRACKET_LIMIT} opening brackets; use block lists");
        return Err(Faults::whole_file(message));
    }
    let mut has_content = false;
    for (index, line) in text.lines().enumerate() {
        let fault_in_line = |message: &str| {
            let message = message.to_owned();
            Faults::new(vec![Fault { line: index + 1, column: 1, key: String::new(), message }])
        };
        // YAML takes a carriage return as the end of a line, too.
        let indent = |part: &str| part.chars().take_while(|c| " \t-?:".contains(*c)).count();
        if line.split('\r').any(|part| indent(part) > INDENT_LIMIT) {
            return Err(fault_in_line("the line is indented too deeply"));
        }
        // The loader would read only the first document and silently ignore the rest.
        if has_content && line.starts_with("---") {
            return Err(fault_in_line(
                "a second YAML document begins here; use one document a file",
            ));
        }
        has_content |= !(line.trim().is_empty() || line.starts_with(['#', '%']));
    }
    Ok(())
}

fn mark_duplicate(text: &str, key: &MarkedScalarNode) -> Option<String> {
    let start = key.span().start()?;
    let line_start: usize = text.split_inclusive('\n').take(start.line() - 1).map(str::len).sum();
    let line = text.get(line_start..)?;
    let column = line.char_indices().nth(start.column() - 1)?.0;
    let mut offset = line_start + column;
    if text.get(offset..)?.starts_with(['"', '\'']) {
        offset += 1;
    }
    text.get(offset..)?.starts_with(key.as_str()).then(|| {
        let (before, after) = text.split_at(offset);
        format!("{before}{DUPLICATE_MARK}{after}")
    })
}

fn duplicate_key_fault(key: &MarkedScalarNode) -> Fault {
    let (line, column) = marker_position(key.span().start());
    let message = "the key is given twice; keep one of them".to_owned();
    Fault { line, column, key: key.as_str().to_owned(), message }
}

fn syntax_fault(error: &LoadError) -> Fault {
    let (marker, message) = match error {
        LoadError::TopLevelMustBeMapping(marker) | LoadError::TopLevelMustBeSequence(marker) => {
            (Some(marker), "the file must consist of keys and values".to_owned())
        }
        LoadError::UnexpectedAnchor(marker) => {
            (Some(marker), "anchors and aliases are not accepted".to_owned())
        }
        LoadError::MappingKeyMustBeScalar(marker) => {
            (Some(marker), "a key must be plain text".to_owned())
        }
        LoadError::UnexpectedTag(marker) => (Some(marker), "tags are not accepted".to_owned()),
        LoadError::ScanError(marker, error) => {
            (Some(marker), format!("not valid YAML: {}", error.info()))
        }
        LoadError::DuplicateKey(pair) => return duplicate_key_fault(&pair.key),
    };
    let (line, column) = marker_position(marker);
    Fault { line, column, key: String::new(), message }
}

/// Returns the line and column of a marker, or of the start of the file if there is none.
pub(crate) fn marker_position(marker: Option<&Marker>) -> (usize, usize) {
    marker.map_or((1, 1), |marker| (marker.line(), marker.column()))
}
