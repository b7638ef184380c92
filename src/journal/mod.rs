//! An append-only file of checksummed records with group commit.
