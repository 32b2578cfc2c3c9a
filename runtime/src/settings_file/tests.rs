use super::*;

const VALID: &str = r#"
node-name = "pooler-1"
ip = "127.0.0.2"
zone = "local"
internal-ports = [7560, 7575]
seed-nodes = ["127.0.0.1:8462"]

[listen]
session = "127.0.0.2:8465"
"#;

/// A file of its own for one test, removed at its end.
struct TestFile(std::path::PathBuf);

impl TestFile {
    fn new(test: &str, text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("lichenfield-{test}-{}.toml", std::process::id()));
        std::fs::write(&path, text).unwrap();
        TestFile(path)
    }

    fn path(&self) -> String {
        self.0.to_str().unwrap().to_owned()
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn errors_name_the_file_and_what_is_wrong() {
    let missing = SettingsFile::read("/nonexistent/settings.toml".to_owned()).err().unwrap();
    assert!(matches!(&missing, SettingsError::Unreadable { path, .. } if path == "/nonexistent/settings.toml"));
    let file = TestFile::new("invalid", &VALID.replace("zone", "zoo"));
    let invalid = SettingsFile::read(file.path()).err().unwrap().to_string();
    assert!(invalid.contains(&file.path()) && invalid.contains("zone"), "{invalid}");
}

#[test]
fn the_watcher_reports_each_valid_change_once_and_skips_invalid_ones() {
    let file = TestFile::new("watched", VALID);
    let read = SettingsFile::read(file.path()).unwrap();
    let mut watcher = SettingsWatcher::new(read.path, read.text);
    assert_eq!(watcher.changed(), None);
    std::fs::write(&file.0, "zone = 3").unwrap();
    assert_eq!(watcher.changed(), None);
    std::fs::write(&file.0, VALID.replace("local", "other")).unwrap();
    assert_eq!(watcher.changed().unwrap().zone, "other");
    assert_eq!(watcher.changed(), None);
}

#[test]
fn the_command_line_takes_precedence_for_the_path() {
    assert_eq!(settings_path(Some("given.toml".to_owned())), "given.toml");
}
