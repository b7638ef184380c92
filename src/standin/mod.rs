//! A small upstream for tests and the demo, with faults that can be switched on.
