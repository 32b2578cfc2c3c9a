//! The operator's client: every call has a bounded time, and exit codes tell what happened.

use lichenfield_runtime::http::{self, HttpResponse, OutboundRequest};
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(5);
const REDIRECTS: usize = 2;
/// The service refused the call (4xx); it could not be reached or had no answer (anything else).
const EXIT_REFUSED: u8 = 3;
const EXIT_UNREACHED: u8 = 4;

fn call(
    at: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> Result<HttpResponse, String> {
    lichenfield_runtime::run(|executor| async move {
        let mut to = at;
        for _ in 0..=REDIRECTS {
            let request =
                OutboundRequest { address: to, method, path, headers, body: body.to_vec(), timeout: PATIENCE };
            let answer = http::send(executor, request, || true).await.map_err(|e| e.to_string())?;
            let next = answer.location.as_deref().filter(|_| answer.status == 307);
            let Some(place) = next else { return Ok(answer) };
            let host = place.strip_prefix("http://").and_then(|p| p.split('/').next()).unwrap_or_default();
            to = host.parse().map_err(|_| format!("sent on to {place}, which can't be read"))?;
        }
        Err("sent on too often".to_owned())
    })
}

fn finish(result: Result<HttpResponse, String>, show: impl FnOnce(&str)) -> ExitCode {
    match result {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            if (200..300).contains(&answer.status) {
                show(&text);
                return ExitCode::SUCCESS;
            }
            eprintln!("lichenfield-controller: {} {text}", answer.status);
            ExitCode::from(if (400..500).contains(&answer.status) { EXIT_REFUSED } else { EXIT_UNREACHED })
        }
        Err(why) => {
            eprintln!("lichenfield-controller: {why}");
            ExitCode::from(EXIT_UNREACHED)
        }
    }
}

pub fn check(file: &str) -> ExitCode {
    let checked =
        std::fs::read(file).map_err(|e| e.to_string()).and_then(|raw| lichenfield_engine::version::config::read(&raw));
    match checked {
        Ok(document) => {
            println!("{file}: good, revision {}", document.revision);
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("lichenfield-controller: {file}: {why}");
            ExitCode::from(lichenfield_runtime::startup::EXIT_SETTINGS)
        }
    }
}

pub fn get(at: SocketAddrV4) -> ExitCode {
    finish(call(at, "GET", "/api/config", &[], &[]), |text| println!("{text}"))
}

pub fn put(at: SocketAddrV4, if_match: u64, file: &str) -> ExitCode {
    let raw = match std::fs::read(file) {
        Ok(raw) => raw,
        Err(e) => {
            eprintln!("lichenfield-controller: {file}: {e}");
            return ExitCode::from(lichenfield_runtime::startup::EXIT_SETTINGS);
        }
    };
    finish(call(at, "PUT", "/api/config", &[("if-match", if_match.to_string())], &raw), |_| println!("taken"))
}

/// One line a change, and one for each kind of thing that it touched.
pub fn history(at: SocketAddrV4, json: bool) -> ExitCode {
    finish(call(at, "GET", "/api/history", &[], &[]), |text| {
        let read = serde_json::from_str::<serde_json::Value>(text).ok();
        let changes = read.as_ref().and_then(|v| v["changes"].as_array());
        let Some(changes) = changes.filter(|_| !json) else { return println!("{text}") };
        for change in changes {
            let when = change["at"]["secs"].as_u64().unwrap_or(0);
            println!("{} on {} by {} at {when}", change["revision"], change["built_on"], change["by"]);
            for kind in ["routes", "backends", "customers"] {
                for how in ["added", "removed", "changed"] {
                    let names: Vec<&str> =
                        change[kind][how].as_array().into_iter().flatten().filter_map(|n| n.as_str()).collect();
                    if !names.is_empty() {
                        println!("  {kind} {how}: {}", names.join(", "));
                    }
                }
            }
        }
    })
}

pub fn status(at: SocketAddrV4, json: bool) -> ExitCode {
    finish(call(at, "GET", "/api/status", &[], &[]), |text| {
        if json {
            return println!("{text}");
        }
        let Ok(status) = serde_json::from_str::<serde_json::Value>(text) else { return println!("{text}") };
        let Some(fields) = status.as_object() else { return println!("{text}") };
        for (name, value) in fields {
            match value {
                serde_json::Value::Array(items) if items.iter().any(serde_json::Value::is_object) => {
                    println!("{name}:");
                    items.iter().for_each(|item| println!("  {item}"));
                }
                serde_json::Value::Object(items) => {
                    println!("{name}:");
                    items.iter().for_each(|(key, item)| println!("  {key}: {item}"));
                }
                serde_json::Value::String(text) => println!("{name}: {text}"),
                other => println!("{name}: {other}"),
            }
        }
    })
}
