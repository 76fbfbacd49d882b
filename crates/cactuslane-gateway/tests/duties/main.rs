//! Tests of the calls that one instance at a time makes to the platform, against stand-ins of the
//! store and of the platform's address.

mod calls;
mod counted;
mod fleet;
mod holder;
mod usage;
