//! Stand-ins of the platform, workers and clients for the scripts of this review.

mod caller;
mod gateway;
mod guard;
mod helper;
mod http;
mod json;
mod moved;
mod proxy;
mod record;
mod silent;
mod store;
mod unframed;
mod worker;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = args.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    if !matches!(case.as_str(), "guard" | "worker") {
        guard::start();
    }
    let code = match case.as_str() {
        "guard" => guard::serve(),
        "silent" => silent::run(&folder, trouble),
        "helper" => helper::run(&folder, trouble),
        "unframed" => unframed::run(&folder, trouble),
        "worker" => unframed::serve(&folder, &args.next().unwrap_or_default()),
        "moved" => moved::run(&folder, trouble),
        _ => {
            eprintln!("unknown case {case}");
            2
        }
    };
    std::process::exit(code);
}
