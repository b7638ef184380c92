//! The control process, which decides for one data centre.
