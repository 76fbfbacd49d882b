//! Whole instances against stand-ins of the platform: what callers and targets see.

mod control;
mod deployment;
mod lines;
mod plain;
mod streams;
