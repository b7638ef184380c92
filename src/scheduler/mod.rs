//! The scheduling core: a pure step function over racks, gangs, organisations and the queue.
