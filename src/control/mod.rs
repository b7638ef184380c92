//! The control process, which decides for one data centre.

#[cfg_attr(
    not(test),
    expect(
        dead_code,
        unused_imports,
        reason = "the control process that calls it is not part of the tree yet"
    )
)]
mod jobs;
