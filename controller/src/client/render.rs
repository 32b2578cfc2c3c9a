//! The configuration's history and a status report, as text for operators. `None` for a body that is not as expected:
//! it is then printed as it came.

use lichenfield_engine::version::control_state::{ConfigChange, NameDifference};
use serde::Deserialize;
use serde_json::Value;

/// The body of `GET /api/history`.
#[derive(Deserialize)]
struct History {
    changes: Vec<ConfigChange>,
}

/// One line a change, and one for each kind of thing that it touched.
pub fn history(body: &str) -> Option<Vec<String>> {
    let history: History = serde_json::from_str(body).ok()?;
    Some(history.changes.iter().flat_map(change_lines).collect())
}

fn change_lines(change: &ConfigChange) -> Vec<String> {
    let by = Value::from(change.by.as_str());
    let at = change.at.as_secs();
    let mut lines = vec![format!("{} on {} by {by} at {at}", change.revision, change.built_on)];
    let kinds = [("routes", &change.routes), ("backends", &change.backends), ("customers", &change.customers)];
    for (kind, difference) in kinds {
        lines.extend(difference_lines(kind, difference));
    }
    lines
}

fn difference_lines(kind: &str, difference: &NameDifference) -> Vec<String> {
    let parts = [("added", &difference.added), ("removed", &difference.removed), ("changed", &difference.changed)];
    let touched = parts.into_iter().filter(|(_, names)| !names.is_empty());
    touched.map(|(part, names)| format!("  {kind} {part}: {}", names.join(", "))).collect()
}

/// One line a field; lists of objects, and objects, indented below their name. Not by the report's type, so that
/// reports of other versions are shown as well.
pub fn status(body: &str) -> Option<Vec<String>> {
    let report: Value = serde_json::from_str(body).ok()?;
    Some(report.as_object()?.iter().flat_map(|(name, value)| field_lines(name, value)).collect())
}

fn field_lines(name: &str, value: &Value) -> Vec<String> {
    let indented: Vec<String> = match value {
        Value::Array(items) if items.iter().any(Value::is_object) => {
            items.iter().map(|item| format!("  {item}")).collect()
        }
        Value::Object(items) => items.iter().map(|(key, item)| format!("  {key}: {item}")).collect(),
        Value::String(text) => return vec![format!("{name}: {text}")],
        other => return vec![format!("{name}: {other}")],
    };
    std::iter::once(format!("{name}:")).chain(indented).collect()
}
