//! Settings of the daemons and service documents, read from YAML with positions.

mod settings;

pub use settings::{
    ControlSettings, DataCentrePeers, EntrySettings, Limits, Organisation, ServiceDocument,
    TeamCredential, Timeouts,
};
