//! Runs every scenario under `scenarios/`, each as often as its seeds say.

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
    let broken: Vec<String> = runs
        .into_iter()
        .filter_map(|run| {
            let (name, result) = run.join().expect("a scenario panicked");
            result.err().map(|why| format!("{}: {why}", name.unwrap_or_default()))
        })
        .collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
