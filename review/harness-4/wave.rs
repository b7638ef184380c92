use crate::record::Record;
pub fn play(_record: &Record) -> bool { panic!("not written yet") }
