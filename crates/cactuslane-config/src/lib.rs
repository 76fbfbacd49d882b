//! Settings of an instance, and the configuration document of a deployment.
//!
//! Both are JSON with comments. A [`reader::Reader`] walks the syntax tree and collects all errors
//! with their positions, so that one check reports all of them. Only a syntax error is reported
//! alone, since it leaves no tree to walk.

pub mod document;
pub mod edit;
pub mod reader;
pub mod settings;

pub use document::{
    Caller, Document, Drain, EngineModel, FencingMode, PlainService, RoleChangePolicy, Section,
};
pub use reader::Diagnostic;
pub use settings::Settings;
