//! Revisions in force and required, and authorization.

use super::*;
use crate::version::config;

fn configuration(revision: u64, max_connections: u32) -> Configuration {
    let raw = format!(
        r#"{{"revision":{revision},
            "routes":[{{"name":"r","hostname":"d","type":"primary","deadline-ms":800,"service":"s"}}],
            "backends":[{{"name":"s","max-connections":{max_connections}}}],
            "customers":[{{"name":"t","api-keys":["k"]}}]}}"#
    );
    Configuration::new(&config::parse(raw.as_bytes()).expect("a valid document"))
}

#[test]
fn replacing_the_configuration_tells_whether_backends_changed() {
    let mut active = ActiveConfiguration::default();
    assert!(active.replace(configuration(1, 20)));
    assert!(!active.replace(configuration(2, 20)));
    assert!(active.replace(configuration(3, 30)));
    assert_eq!(active.revision(), 3);
}

#[test]
fn a_revision_seen_at_work_puts_an_older_configuration_behind() {
    let mut active = ActiveConfiguration::default();
    active.replace(configuration(2, 20));
    assert!(!active.is_behind(2) && active.is_behind(3));
    active.require(3);
    assert!(active.is_behind(0));
    assert_eq!((active.revision(), active.newest_revision()), (2, 3));
}

#[test]
fn keys_are_authorized_by_database() {
    let mut active = ActiveConfiguration::default();
    let refused = |active: &ActiveConfiguration, database, key| match active.authorize(database, key) {
        Err(RequestError::NotExecuted(reply) | RequestError::Rejected(reply)) => reply.code,
        other => panic!("{other:?}"),
    };
    assert_eq!(refused(&active, "d", "k"), "BUSY", "there is no configuration yet");
    active.replace(configuration(1, 20));
    assert_eq!(active.authorize("d", "k"), Ok("t".to_owned()));
    assert_eq!(refused(&active, "d", "other"), "DENIED");
    assert_eq!(refused(&active, "other", "k"), "NODB");
}
