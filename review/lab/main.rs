//! The stand-ins of the cases in this folder, and what each case does with them.
//!
//! `lab CASE FOLDER RECORD`, started at the repository's root: FOLDER is a temporary folder, RECORD the file for what
//! was sent, answered and run. Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod cut_requests;
mod database;
mod lost_commit;
mod lost_connections;
mod record;
mod split_transaction;
mod stuck_lease;
mod wire;
mod world;

use std::path::Path;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, record] = words.as_slice() else {
        eprintln!("usage: lab CASE FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::seconds();
    record::say(format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let folder = Path::new(folder);
    let verdict = match case.as_str() {
        "lost-commit" => lost_commit::run(folder, trouble),
        "stuck-lease" => stuck_lease::run(folder, trouble),
        "lost-connections" => lost_connections::run(folder, trouble),
        "cut-requests" => cut_requests::run(folder, trouble),
        "split-transaction" => split_transaction::run(folder, trouble),
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    let code = match &verdict {
        Verdict::Held => {
            record::say("the rule held".to_owned());
            0
        }
        Verdict::Broken => {
            record::say("the rule was broken".to_owned());
            1
        }
        Verdict::NotRun(reason) => {
            record::say(format!("the case could not run: {reason}"));
            2
        }
    };
    record::write(record);
    std::process::exit(code);
}
