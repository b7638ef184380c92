//! Line differences between two versions of a document.

use std::fmt::Write;

/// Maximum cells of the comparison table; a larger change is shown as replaced as a whole.
const MAX_TABLE_CELLS: usize = 1_000_000;

/// Returns the lines that differ: `-` for removed and `+` for added ones, with line numbers.
pub(crate) fn line_diff(old: &str, new: &str) -> String {
    let old: Vec<&str> = old.lines().collect();
    let new: Vec<&str> = new.lines().collect();
    let start = old.iter().zip(&new).take_while(|(a, b)| a == b).count();
    let tail = old[start..].iter().rev().zip(new[start..].iter().rev());
    let end = tail.take_while(|(a, b)| a == b).count();
    let old_part = &old[start..old.len() - end];
    let new_part = &new[start..new.len() - end];
    let mut out = String::new();
    for (sign, index) in edits(old_part, new_part) {
        let line = if sign == '-' { old_part[index] } else { new_part[index] };
        _ = writeln!(out, "{sign}{}: {line}", start + index + 1);
    }
    out
}

/// Returns removals (index into `old`) and additions (index into `new`) in reading order.
fn edits(old: &[&str], new: &[&str]) -> Vec<(char, usize)> {
    let removed = |from: usize| (from..old.len()).map(|index| ('-', index));
    let added = |from: usize| (from..new.len()).map(|index| ('+', index));
    if old.len().saturating_mul(new.len()) > MAX_TABLE_CELLS {
        return removed(0).chain(added(0)).collect();
    }
    let common = common_lengths(old, new);
    let width = new.len() + 1;
    let (mut i, mut j) = (0, 0);
    let mut edits = Vec::new();
    while i < old.len() && j < new.len() {
        if old[i] == new[j] {
            i += 1;
            j += 1;
        } else if common[(i + 1) * width + j] >= common[i * width + j + 1] {
            edits.push(('-', i));
            i += 1;
        } else {
            edits.push(('+', j));
            j += 1;
        }
    }
    edits.extend(removed(i).chain(added(j)));
    edits
}

/// Returns the lengths of the longest common subsequences of all pairs of suffixes.
fn common_lengths(old: &[&str], new: &[&str]) -> Vec<u32> {
    let width = new.len() + 1;
    let mut table = vec![0; (old.len() + 1) * width];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            table[i * width + j] = if old[i] == new[j] {
                table[(i + 1) * width + j + 1] + 1
            } else {
                table[(i + 1) * width + j].max(table[i * width + j + 1])
            };
        }
    }
    table
}
