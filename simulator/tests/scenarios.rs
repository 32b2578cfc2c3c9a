//! Runs every scenario under `scenarios/`, each as often as its seeds say. With `LICHENFIELD_TRACE` set (and
//! `--nocapture`), prints for each a digest of all that was sent.

#[test]
fn every_scenario_holds() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios");
    let mut names: Vec<_> =
        std::fs::read_dir(folder).expect("the folder").map(|e| e.expect("an entry").path()).collect();
    names.sort();
    assert!(names.len() >= 10, "the scenarios are there");
    let only = std::env::var("SCENARIO").unwrap_or_default();
    let runs: Vec<_> = names
        .into_iter()
        .filter(|p| p.to_string_lossy().contains(&only))
        .map(|path| {
            std::thread::spawn(move || {
                let text = std::fs::read_to_string(&path).expect("a text file");
                (
                    path.file_stem().map(|s| s.to_string_lossy().into_owned()),
                    lichenfield_simulator::scenario::run(&text),
                )
            })
        })
        .collect();
    let mut broken = Vec::new();
    for run in runs {
        let (name, result) = run.join().expect("a scenario panicked");
        let name = name.unwrap_or_default();
        match result {
            Ok(Some(trace)) => println!("trace {name} {}", trace.digest()),
            Ok(None) => {}
            Err(why) => broken.push(format!("{name}: {why}")),
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
