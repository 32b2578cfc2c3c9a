//! Runs every scenario under `scenarios/`, each with all its seeds. With `LICHENFIELD_TRACE` set (and
//! `--nocapture`), prints for each a digest of everything that was sent; `SCENARIO` selects the scenarios whose path
//! contains its value.

use lichenfield_simulator::runner;

#[test]
fn every_scenario_holds() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let mut paths: Vec<_> =
        std::fs::read_dir(folder).expect("the folder").map(|entry| entry.expect("an entry").path()).collect();
    paths.sort();
    assert!(paths.len() >= 10, "the scenarios are there");
    let selection = std::env::var("SCENARIO").unwrap_or_default();
    let runs: Vec<_> = paths
        .into_iter()
        .filter(|path| path.to_string_lossy().contains(&selection))
        .map(|path| {
            std::thread::spawn(move || {
                let text = std::fs::read_to_string(&path).expect("a text file");
                (path.file_stem().map(|name| name.to_string_lossy().into_owned()), runner::run(&text))
            })
        })
        .collect();
    let mut failures = Vec::new();
    for run in runs {
        let (name, result) = run.join().expect("a scenario panicked");
        let name = name.unwrap_or_default();
        match result {
            Ok(Some(trace)) => println!("trace {name} {}", trace.digest()),
            Ok(None) => {}
            Err(error) => failures.push(format!("{name}: {error}")),
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
