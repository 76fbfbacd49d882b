//! Stand-ins and scripts of the review: `standins CASE FOLDER`, run in the repository's root.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod config;
mod fleet;
mod guard;
mod http;
mod json;
mod leaders;
mod load;
mod preempted;
mod record;
mod store;
mod worker;

use std::path::{Path, PathBuf};
use std::sync::Arc;

use guard::Guard;
use record::Record;

/// What a script gets.
pub struct Setting {
    pub trouble: bool,
    pub range: (u8, u8),
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub guard: Arc<Guard>,
}

/// The outcome: whether the rule was broken.
pub type Outcome = Result<bool, String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if let [_, first, folder] = arguments.as_slice()
        && first == guard::ARGUMENT
    {
        return guard::run(folder);
    }
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2);
        }
    };
    let temporary = std::env::temp_dir().join(format!("cactuslane-review-{}", std::process::id()));
    let _ = std::fs::create_dir_all(&temporary);
    let guard = match Guard::start(&temporary) {
        Ok(guard) => Arc::new(guard),
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2);
        }
    };
    let setting = Setting {
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
        range: fleet::free_range(),
        folder: temporary.clone(),
        record: record.clone(),
        guard: guard.clone(),
    };
    let outcome = match case.as_str() {
        "leaders" => leaders::run(&setting),
        "config" => config::run(&setting, config::Trouble::Drill),
        "silence" => config::run(&setting, config::Trouble::Silence),
        "preempted" => preempted::run(&setting),
        _ => Err(format!("no case {case}")),
    };
    guard.stop();
    let (text, code) = match outcome {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
